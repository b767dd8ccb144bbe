"""Claims: at most one run a key, whatever fails between the steps."""

import gevent
import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st
import pytest
import result

import stored
from mothworks import claim_records, claim_shards, objects

STATE = claim_records.State
KEY = bytes(16)


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch):
    for module, name in (
        (objects, "PAUSE_S"),
        (claim_shards, "PAUSE_S"),
        (claim_shards, "GATHER_S"),
        (claim_shards, "SPACING_S"),
        (claim_shards, "OUTCOME_S"),
    ):
        monkeypatch.setattr(module, name, 0.0)


def shard(api, retention_s=1e9):
    return claim_shards.Shard(api, "claims/0", lambda: retention_s)


def record(claim_id, state=STATE.CLAIMED, key=KEY, **changes):
    fields = {"when": 1_000_000_000, "request_hash": b"hash", "holder": "vm-1"}
    return claim_records.Record(key, claim_id, state, **{**fields, **changes})


def test_two_owners_cannot_both_give_a_claim():
    # A VM was paused and still believes that it owns a shard. Both owners
    # have read it, and both are asked for the same key.
    api = stored.MemoryApi()
    first, second = shard(api), shard(api)
    assert first.find(KEY) == second.find(KEY) == result.Ok(None)
    assert first.append(record(b"a")).unwrap().claim_id == b"a"
    assert second.append(record(b"b")).unwrap().claim_id == b"a"


def test_claims_of_the_same_moment_share_a_write():
    writes = []
    owner = claim_shards.Shard(
        stored.MemoryApi(), "claims/0", lambda: 1e9, writes.append
    )
    keys = [bytes((number,)) * 16 for number in range(50)]
    tasks = [gevent.spawn(owner.append, record(key, key=key)) for key in keys]
    gevent.joinall(tasks)
    assert [task.value.unwrap().claim_id for task in tasks] == keys
    assert writes == [50]


def test_of_two_copies_in_one_write_the_first_wins():
    owner = shard(stored.MemoryApi())
    tasks = [gevent.spawn(owner.append, record(name)) for name in (b"a", b"b")]
    gevent.joinall(tasks)
    assert [task.value.unwrap().claim_id for task in tasks] == [b"a", b"a"]


def test_outcomes_are_found_by_another_owner_across_segments(monkeypatch):
    monkeypatch.setattr(claim_shards, "SEGMENT_BYTES", 2000)
    api = stored.MemoryApi()
    owner = shard(api)
    keys = [bytes((number,)) * 16 for number in range(100)]
    for key in keys:
        answer = claim_records.StoredAnswer(200, (("A", "b"),), key * 10)
        owner.append(record(key, key=key))
        owner.append(record(key, STATE.DONE, key=key, answer=answer))
    assert len(api.bodies_by_key) > 5
    other = shard(api)
    for key in keys:
        assert other.find(key).unwrap().state is STATE.DONE
        assert other.answer(key).unwrap().body == key * 10
    assert owner.answer(keys[0]).unwrap().body == keys[0] * 10


def test_old_claims_are_forgotten_and_their_segments_deleted(monkeypatch):
    monkeypatch.setattr(claim_shards, "SEGMENT_BYTES", 500)
    now = [1000.0]
    monkeypatch.setattr(claim_shards.time, "time", lambda: now[0])
    api = stored.MemoryApi()
    owner = shard(api, retention_s=100)
    for number in range(100):
        now[0] += 10
        key = bytes((number,)) * 16
        owner.append(record(key, key=key, when=int(now[0])))
    assert owner.find(KEY) == result.Ok(None)
    kept = [key for key, bodies in api.bodies_by_key.items() if bodies]
    assert len(kept) < 10
    assert shard(api, 100).find(bytes((99,)) * 16).unwrap() is not None


def test_a_released_key_is_free_again():
    owner = shard(stored.MemoryApi())
    owner.append(record(b"a"))
    owner.append(record(b"b", STATE.RELEASED))
    assert owner.find(KEY).unwrap().claim_id == b"a"
    owner.append(record(b"a", STATE.RELEASED))
    assert owner.append(record(b"c")).unwrap().claim_id == b"c"


def test_a_write_that_never_gets_through_is_given_up(monkeypatch):
    # The object API answers each call so late that its outcome is unknown.
    # Claimants held their slots for half a minute, until none was left.
    monkeypatch.setattr(claim_shards, "WRITE_S", 0.05)
    monkeypatch.setattr(claim_shards, "PATIENCE_S", 0.0)
    api = stored.MemoryApi()
    api.put_faults.extend([stored.Fault.DROPPED] * 100_000)
    outcome = shard(api).append(record(b"a"))
    assert isinstance(outcome.unwrap_err(), objects.Unavailable)
    assert api.put_faults


@pytest.mark.parametrize("body", [b"\xc1", b"\x91\x01", b"{}"])
def test_a_shard_of_a_later_version_refuses_claims(body):
    # During an upgrade a newer VM wrote the shard. A VM that stopped on it
    # would be followed by the next owner, until none was left.
    api = stored.MemoryApi()
    api.bodies_by_key["claims/0"].append(body)
    owner = shard(api)
    assert isinstance(owner.append(record(b"a")).unwrap_err(), objects.Unavailable)
    assert api.bodies_by_key["claims/0"] == [body]


def test_an_outage_refuses_claims():
    api = stored.MemoryApi()
    owner = shard(api)
    api.down = True
    assert isinstance(owner.append(record(b"a")).unwrap_err(), objects.Unavailable)


OWNERS = st.sampled_from((0, 1))
KEYS = st.sampled_from((bytes(16), b"1" * 16, b"2" * 16))
FAULTS = st.lists(
    st.sampled_from((None, stored.Fault.LOST, stored.Fault.DROPPED, stored.Fault.DOWN)),
    max_size=5,
)
STALE = st.lists(st.sampled_from((None, stored.Fault.STALE)), max_size=4)


class Claiming(hypothesis.stateful.RuleBasedStateMachine):
    """Two owners, pauses between read and write, lost replies, stale reads."""

    def __init__(self):
        super().__init__()
        self.api = stored.MemoryApi()
        self.owners = [shard(self.api), shard(self.api)]
        self.claims = 0
        self.runs_by_key = {}

    @hypothesis.stateful.rule(
        owner=OWNERS,
        key=KEYS,
        puts=FAULTS,
        gets=STALE,
        overtaken=st.booleans(),
    )
    def claim(self, owner, key, puts, gets, overtaken):
        self.claims += 1
        claim_id = str(self.claims).encode()
        self.api.put_faults.extend(puts)
        self.api.get_faults.extend(gets)
        if overtaken:
            # The owner pauses right before its write; the other one claims.
            self.api.before_put = lambda _: self.claim_elsewhere(1 - owner, key)
        self.run(key, claim_id, self.owners[owner].append(record(claim_id, key=key)))
        self.api.before_put = lambda _: None
        self.api.put_faults.clear()
        self.api.get_faults.clear()

    def claim_elsewhere(self, owner, key):
        self.api.before_put = lambda _: None
        claim_id = f"{self.claims}-other".encode()
        self.run(key, claim_id, self.owners[owner].append(record(claim_id, key=key)))

    def run(self, key, claim_id, outcome):
        known = outcome.ok()
        if known is not None and known.claim_id == claim_id:
            self.runs_by_key.setdefault(key, []).append(claim_id)

    @hypothesis.stateful.rule(owner=OWNERS)
    def restart(self, owner):
        self.owners[owner] = shard(self.api)

    @hypothesis.stateful.rule(owner=OWNERS, key=KEYS, state=st.sampled_from(STATE))
    def end(self, owner, key, state):
        # Only a holder ends its claim, and never releases what has run.
        runs = self.runs_by_key.get(key)
        if runs and state is not STATE.RELEASED:
            self.owners[owner].append(record(runs[-1], state, key=key))

    @hypothesis.stateful.invariant()
    def no_key_runs_twice(self):
        for runs in self.runs_by_key.values():
            assert len(runs) == 1


def test_claims_under_faults(monkeypatch):
    monkeypatch.setattr(claim_shards, "SEGMENT_BYTES", 200)
    hypothesis.stateful.run_state_machine_as_test(
        Claiming,
        settings=hypothesis.settings(
            max_examples=60, stateful_step_count=25, deadline=None, derandomize=True
        ),
    )
