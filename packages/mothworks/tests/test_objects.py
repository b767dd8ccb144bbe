"""The object API's client against outages, lost replies and stale reads."""

import pytest
import result

from mothworks import circuit, metrics, objects, objects_http, settings
from mothworks_fakes import object_api


@pytest.fixture
def fake():
    made = object_api.ObjectApi().start()
    yield made
    made.stop()


def client(fake, name="vm-1"):
    chosen = settings.ObjectApi(f"{fake.url}/clients/{name}", timeout_s=0.5)
    return objects.Client(objects_http.HttpObjects(chosen), metrics.Metrics())


def test_writes_are_conditional(fake):
    api = client(fake)
    version = api.put("a/b", b"one", None).unwrap()
    assert api.put("a/b", b"two", None) == result.Err(objects.Conflict("a/b"))
    second = api.put("a/b", b"two", version).unwrap()
    assert api.put("a/b", b"three", version) == result.Err(objects.Conflict("a/b"))
    assert api.get("a/b").unwrap() == objects.Stored("a/b", second, b"two")
    assert api.list("a/").unwrap() == {"a/b": second}
    assert api.delete("a/b", second).is_ok()
    assert api.get("a/b") == result.Err(objects.Missing("a/b"))


def test_a_value_over_the_bound_is_refused_here(fake):
    outcome = client(fake).put("a", bytes(objects.MOST_BYTES + 1), None)
    assert outcome == result.Err(objects.TooLarge("a", objects.MOST_BYTES + 1))
    assert fake.writes == 0


def test_a_write_is_never_sent_twice(fake):
    # A PUT takes effect and its reply is lost. A client that sends it again
    # is answered with a conflict and believes that nothing changed.
    fake.faults.lost_reply = 1.0
    outcome = client(fake).put("a", b"value", None)
    assert isinstance(outcome.err(), objects.Unknown)
    assert fake.writes == 1


def test_a_refused_connection_says_that_nothing_changed(fake):
    api = client(fake)
    fake.stop()
    assert isinstance(api.put("a", b"value", None).err(), objects.Unavailable)


def test_put_known_recognises_its_own_write(fake):
    # The reply to the write is lost; the repeated write is answered with a
    # conflict. The nonce in the stored value tells that it was our own.
    fake.faults.lost_reply = 0.7
    fake.faults.writes_only = True
    api = client(fake)
    version = None
    for number in range(20):
        nonce = f"nonce-{number}".encode()
        version = objects.put_known(api, "a", nonce, version, nonce, 60).unwrap()
    assert fake.item_by_key["a"].body == b"nonce-19"


def test_put_known_is_not_fooled_by_stale_reads(fake):
    # The write took effect, its reply was lost, and the read-back shows the
    # value of before: "nothing changed" would be a wrong report.
    api = client(fake)
    version = api.put("a", b"before", None).unwrap()
    fake.faults.lost_reply = 0.7
    fake.faults.writes_only = True
    fake.stale_reads = 0.7
    written = objects.put_known(api, "a", b"mine", version, b"mine", 60)
    assert written == result.Ok(str(fake.item_by_key["a"].revision))


def test_put_known_tells_a_lost_race_from_an_unknown_outcome(fake):
    api = client(fake)
    version = api.put("a", b"theirs", None).unwrap()
    assert objects.put_known(api, "a", b"mine", "0", b"mine") == result.Err(
        objects.Conflict("a")
    )
    # Every reply is lost: whether the write took effect stays unknown.
    fake.faults.lost_reply = 1.0
    outcome = objects.put_known(api, "a", b"mine", version, b"mine", 0.2)
    assert isinstance(outcome.err(), objects.Unknown)


def test_reads_survive_broken_connections(fake):
    api = client(fake)
    api.put("a", b"value", None).unwrap()
    fake.faults.dropped = 0.3
    read = [api.get("a") for _ in range(10)]
    assert sum(outcome.is_ok() for outcome in read) >= 9


def test_an_outage_is_not_hammered_and_its_end_is_noticed(fake):
    # During an outage each call used to reach the object API, from every
    # VM and with retries, so that it could not come back.
    api = client(fake)
    fake.faults.outage = True
    for _ in range(circuit.FAILURES_UNTIL_OPEN):
        api.get("a")
    now = [0.0]
    api.guard.circuit.now = lambda: now[0]
    api.guard.circuit.fail()
    sent = []
    send = api.plugin.get
    api.plugin.get = lambda key: sent.append(key) or send(key)
    for _ in range(100):
        assert isinstance(api.get("a").err(), objects.Unavailable)
    assert not sent
    fake.faults.outage = False
    now[0] += 2 * circuit.PROBE_S
    assert api.get("a") == result.Err(objects.Missing("a"))
    assert not api.guard.circuit.open


def test_one_client_may_be_cut_off(fake):
    fake.cut_off.add("vm-1")
    assert isinstance(client(fake, "vm-1").get("a").err(), objects.Unavailable)
    assert client(fake, "vm-2").get("a") == result.Err(objects.Missing("a"))
