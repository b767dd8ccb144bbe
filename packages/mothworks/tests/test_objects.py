"""The object API's client under outages, lost replies and stale reads."""

import pytest
import result

from mothworks import circuit, metrics, objects, objects_http, settings
from mothworks_fakes import object_api


@pytest.fixture
def fake():
    fake_api = object_api.ObjectApi().start()
    yield fake_api
    fake_api.stop()


def client(fake, name="vm-1"):
    api_settings = settings.ObjectApi(f"{fake.url}/clients/{name}", timeout_s=0.5)
    return objects.Client(objects_http.HttpObjects(api_settings), metrics.Metrics())


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


def test_a_value_over_the_limit_is_not_sent(fake):
    outcome = client(fake).put("a", bytes(objects.MAX_VALUE_BYTES + 1), None)
    assert outcome == result.Err(objects.TooLarge("a", objects.MAX_VALUE_BYTES + 1))
    assert fake.writes == 0


def test_a_write_is_never_sent_twice(fake):
    # A PUT takes effect and its reply is lost. A client that resends it gets a
    # conflict and wrongly concludes that nothing changed.
    fake.faults.lost_reply = 1.0
    outcome = client(fake).put("a", b"value", None)
    assert isinstance(outcome.err(), objects.Unknown)
    assert fake.writes == 1


def test_a_refused_connection_means_that_nothing_changed(fake):
    api = client(fake)
    fake.stop()
    assert isinstance(api.put("a", b"value", None).err(), objects.Unavailable)


def test_put_and_confirm_identifies_its_own_write(fake):
    # The reply to the write is lost, and the repeated write gets a conflict. The
    # nonce in the stored value identifies it as the writer's own.
    fake.faults.lost_reply = 0.7
    fake.faults.writes_only = True
    api = client(fake)
    version = None
    for number in range(20):
        nonce = f"nonce-{number}".encode()
        version = objects.put_and_confirm(api, "a", nonce, version, nonce, 60).unwrap()
    assert fake.item_by_key["a"].body == b"nonce-19"


def test_put_and_confirm_is_correct_despite_stale_reads(fake):
    # The write took effect, its reply was lost, and the read-back returns the
    # previous value. Reporting that nothing changed would be wrong.
    api = client(fake)
    version = api.put("a", b"before", None).unwrap()
    fake.faults.lost_reply = 0.7
    fake.faults.writes_only = True
    fake.stale_reads = 0.7
    written = objects.put_and_confirm(api, "a", b"mine", version, b"mine", 60)
    assert written == result.Ok(str(fake.item_by_key["a"].revision))


def test_put_and_confirm_distinguishes_conflicts_from_unknown_outcomes(fake):
    api = client(fake)
    version = api.put("a", b"theirs", None).unwrap()
    assert objects.put_and_confirm(api, "a", b"mine", "0", b"mine") == result.Err(
        objects.Conflict("a")
    )
    # Every reply is lost, so it stays unknown whether the write took effect.
    fake.faults.lost_reply = 1.0
    outcome = objects.put_and_confirm(api, "a", b"mine", version, b"mine", 0.2)
    assert isinstance(outcome.err(), objects.Unknown)


def test_reads_are_retried_after_broken_connections(fake):
    api = client(fake)
    api.put("a", b"value", None).unwrap()
    fake.faults.dropped = 0.3
    reads = [api.get("a") for _ in range(10)]
    assert sum(outcome.is_ok() for outcome in reads) >= 9


def test_calls_stop_during_an_outage_and_resume_after_it(fake):
    # Guards against a failure in which every VM sent all calls and their retries
    # to the object API during an outage, so that it could not recover.
    api = client(fake)
    fake.faults.outage = True
    for _ in range(circuit.FAILURE_THRESHOLD):
        api.get("a")
    now = [0.0]
    api.guard.circuit.now = lambda: now[0]
    api.guard.circuit.fail()
    calls = []
    get_object = api.plugin.get
    api.plugin.get = lambda key: calls.append(key) or get_object(key)
    for _ in range(100):
        assert isinstance(api.get("a").err(), objects.Unavailable)
    assert not calls
    fake.faults.outage = False
    now[0] += 2 * circuit.PROBE_INTERVAL_S
    assert api.get("a") == result.Err(objects.Missing("a"))
    assert not api.guard.circuit.open


def test_one_client_can_be_disconnected(fake):
    fake.cut_off.add("vm-1")
    assert isinstance(client(fake, "vm-1").get("a").err(), objects.Unavailable)
    assert client(fake, "vm-2").get("a") == result.Err(objects.Missing("a"))
