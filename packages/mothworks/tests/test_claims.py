"""Claims: each key runs at most once, whichever step fails."""

import types

import gevent
import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st
import pytest
import result

import memory_objects
from mothworks import (
    claim_messages,
    claim_records,
    claim_shards,
    claims,
    members,
    objects,
    peers,
)

STATE = claim_records.State
KEY = bytes(16)


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch):
    for module, name in (
        (objects, "FIRST_BACKOFF_S"),
        (claim_shards, "MAX_CONFLICT_PAUSE_S"),
        (claim_shards, "BATCH_DELAY_S"),
        (claim_shards, "WRITE_INTERVAL_S"),
        (claim_shards, "OUTCOME_DELAY_S"),
    ):
        monkeypatch.setattr(module, name, 0.0)


def shard(api, retention_s=1e9):
    return claim_shards.Shard(api, "claims/0", lambda: retention_s)


def record(claim_id, state=STATE.CLAIMED, key=KEY, **changes):
    fields = {"timestamp_s": 1_000_000_000, "request_hash": b"hash", "holder": "vm-1"}
    return claim_records.Record(key, claim_id, state, **{**fields, **changes})


def decide_without_owner(failure):
    """Let a VM decide on a key whose owner's call fails; returns the decision."""
    part = claims.Claims.__new__(claims.Claims)
    part.kernel = types.SimpleNamespace(settings=types.SimpleNamespace(name="vm-1"))
    owner = members.Member("vm-2", "127.0.0.1", 1, 2, "dc-1", "region-1")
    part.membership = types.SimpleNamespace(live=lambda: [owner])
    part.peers = types.SimpleNamespace(call=lambda *_: result.Err(failure))
    part.shard_by_number = {0: shard(memory_objects.MemoryApi())}
    request = claim_messages.ClaimRequest(KEY, b"a", b"hash", "vm-1", False, False)
    return part.decide(request).decision


# Guards against a resend that is refused because the owner of its key has died.
def test_a_key_whose_owner_has_died_is_decided_here(monkeypatch):
    # The loss of the connection may be noticed late.
    monkeypatch.setattr(claims, "OWNER_TIMEOUT_S", 0.0)
    lost = peers.PeerFailure("vm-2", "connection lost", True)
    assert decide_without_owner(lost) == claim_messages.Decision.FREE


def test_a_key_whose_owner_is_slow_is_not_decided_here():
    slow = peers.PeerFailure("vm-2", "no reply in time", True, timed_out=True)
    assert decide_without_owner(slow) == claim_messages.Decision.UNAVAILABLE


def test_two_owners_cannot_both_grant_a_claim():
    # A VM that was paused still acts as a shard's owner. Both owners have
    # loaded the shard, and both receive a claim of the same key.
    api = memory_objects.MemoryApi()
    first, second = shard(api), shard(api)
    assert first.find(KEY) == second.find(KEY) == result.Ok(None)
    assert first.append(record(b"a")).unwrap().claim_id == b"a"
    assert second.append(record(b"b")).unwrap().claim_id == b"a"


def test_concurrent_claims_are_written_in_one_batch():
    writes = []
    owner = claim_shards.Shard(
        memory_objects.MemoryApi(), "claims/0", lambda: 1e9, writes.append
    )
    keys = [bytes((number,)) * 16 for number in range(50)]
    tasks = [gevent.spawn(owner.append, record(key, key=key)) for key in keys]
    gevent.joinall(tasks)
    assert [task.value.unwrap().claim_id for task in tasks] == keys
    assert writes == [50]


def test_of_two_duplicates_in_one_batch_the_first_wins():
    owner = shard(memory_objects.MemoryApi())
    tasks = [gevent.spawn(owner.append, record(name)) for name in (b"a", b"b")]
    gevent.joinall(tasks)
    assert [task.value.unwrap().claim_id for task in tasks] == [b"a", b"a"]


def test_outcomes_are_found_by_another_owner_across_segments(monkeypatch):
    monkeypatch.setattr(claim_shards, "SEGMENT_BYTES", 2000)
    api = memory_objects.MemoryApi()
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


def test_old_claims_expire_and_their_segments_are_deleted(monkeypatch):
    monkeypatch.setattr(claim_shards, "SEGMENT_BYTES", 500)
    now = [1000.0]
    monkeypatch.setattr(claim_shards.time, "time", lambda: now[0])
    api = memory_objects.MemoryApi()
    owner = shard(api, retention_s=100)
    for number in range(100):
        now[0] += 10
        key = bytes((number,)) * 16
        owner.append(record(key, key=key, timestamp_s=int(now[0])))
    assert owner.find(KEY) == result.Ok(None)
    remaining_keys = [key for key, bodies in api.bodies_by_key.items() if bodies]
    assert len(remaining_keys) < 10
    assert shard(api, 100).find(bytes((99,)) * 16).unwrap() is not None


def test_a_released_key_is_free_again():
    owner = shard(memory_objects.MemoryApi())
    owner.append(record(b"a"))
    owner.append(record(b"b", STATE.RELEASED))
    assert owner.find(KEY).unwrap().claim_id == b"a"
    owner.append(record(b"a", STATE.RELEASED))
    assert owner.append(record(b"c")).unwrap().claim_id == b"c"


def test_a_write_that_keeps_failing_times_out(monkeypatch):
    # The object API replies so late that each write's outcome is unknown.
    # Without the limit, claiming requests held their slots for half a minute,
    # until no slot was free.
    monkeypatch.setattr(claim_shards, "WRITE_TIMEOUT_S", 0.05)
    monkeypatch.setattr(claim_shards, "CONFIRM_TIMEOUT_S", 0.0)
    api = memory_objects.MemoryApi()
    api.put_faults.extend([memory_objects.Fault.REQUEST_LOST] * 100_000)
    write_result = shard(api).append(record(b"a"))
    assert isinstance(write_result.unwrap_err(), objects.Unavailable)
    assert api.put_faults


@pytest.mark.parametrize("body", [b"\xc1", b"\x91\x01", b"{}"])
def test_claims_are_refused_if_the_shard_has_a_later_format(body):
    # During an upgrade a newer VM wrote the shard. If an older owner exited on
    # it, the next owner would exit too, until no VM was left.
    api = memory_objects.MemoryApi()
    api.bodies_by_key["claims/0"].append(body)
    owner = shard(api)
    assert isinstance(owner.append(record(b"a")).unwrap_err(), objects.Unavailable)
    assert api.bodies_by_key["claims/0"] == [body]


def test_claims_are_refused_during_an_outage():
    api = memory_objects.MemoryApi()
    owner = shard(api)
    api.down = True
    assert isinstance(owner.append(record(b"a")).unwrap_err(), objects.Unavailable)


OWNERS = st.sampled_from((0, 1))
KEYS = st.sampled_from((bytes(16), b"1" * 16, b"2" * 16))
FAULTS = st.lists(
    st.sampled_from(
        (
            None,
            memory_objects.Fault.REPLY_LOST,
            memory_objects.Fault.REQUEST_LOST,
            memory_objects.Fault.UNAVAILABLE,
        )
    ),
    max_size=5,
)
STALE = st.lists(st.sampled_from((None, memory_objects.Fault.STALE)), max_size=4)


class Claiming(hypothesis.stateful.RuleBasedStateMachine):
    """Two owners with pauses between read and write, lost replies, stale reads."""

    def __init__(self):
        super().__init__()
        self.api = memory_objects.MemoryApi()
        self.owners = [shard(self.api), shard(self.api)]
        self.claims = 0
        self.runs_by_key = {}

    @hypothesis.stateful.rule(
        owner=OWNERS,
        key=KEYS,
        puts=FAULTS,
        gets=STALE,
        other_owner_first=st.booleans(),
    )
    def claim(self, owner, key, puts, gets, other_owner_first):
        self.claims += 1
        claim_id = str(self.claims).encode()
        self.api.put_faults.extend(puts)
        self.api.get_faults.extend(gets)
        if other_owner_first:
            # The owner pauses right before its write; the other owner claims.
            self.api.before_put = lambda _: self.claim_from_other_owner(1 - owner, key)
        self.run(key, claim_id, self.owners[owner].append(record(claim_id, key=key)))
        self.api.before_put = lambda _: None
        self.api.put_faults.clear()
        self.api.get_faults.clear()

    def claim_from_other_owner(self, owner, key):
        self.api.before_put = lambda _: None
        claim_id = f"{self.claims}-other".encode()
        self.run(key, claim_id, self.owners[owner].append(record(claim_id, key=key)))

    def run(self, key, claim_id, write_result):
        current = write_result.ok()
        if current is not None and current.claim_id == claim_id:
            self.runs_by_key.setdefault(key, []).append(claim_id)

    @hypothesis.stateful.rule(owner=OWNERS)
    def restart(self, owner):
        self.owners[owner] = shard(self.api)

    @hypothesis.stateful.rule(owner=OWNERS, key=KEYS, state=st.sampled_from(STATE))
    def end(self, owner, key, state):
        # Only the holder stores an outcome, and never releases a request that ran.
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
