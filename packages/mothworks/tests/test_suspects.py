"""Poison requests: identified by crashing endpoints alone, then refused."""

import gevent
import geventhttpclient
import orjson
import pytest

import builders
from mothworks import suspect_records, suspects
from mothworks_fakes import engine, processes

CHAT = "/v1/chat/completions"


@pytest.fixture
def part(monkeypatch):
    monkeypatch.setattr(suspects, "BREAK_WINDOW_S", 0.01)
    new_part = builders.kernel_with_objects(None).get(suspects.Suspects)
    new_part.sent = []
    monkeypatch.setattr(new_part.peers, "send_to_region", new_part.sent.append)
    monkeypatch.setattr(new_part.health, "owner", lambda endpoint: None)
    new_part.responsive = True
    monkeypatch.setattr(new_part, "_is_responsive", lambda name: new_part.responsive)
    return new_part


def break_together(part, *requests, endpoint_name="engine-1"):
    endpoint = builders.endpoint(endpoint_name)
    gevent.joinall(
        [
            gevent.spawn(part.report_broken_and_wait, request, endpoint)
            for request in requests
        ]
    )


def make_request(name, request_id=None, **changes):
    return builders.request(request_id or name, body=name.encode(), **changes)


def test_streams_that_break_together_are_suspects_until_they_complete(part):
    poison, innocent = make_request("poison"), make_request("innocent")
    break_together(part, poison, innocent)
    assert part.check(poison).unwrap() and part.check(innocent).unwrap()
    part.clear(innocent)
    assert not part.check(innocent).unwrap()
    assert [suspect.target for suspect in part.listed()] == ["menu"]


def test_a_suspect_that_breaks_alone_is_quarantined_with_its_resends(part):
    poison = make_request("poison")
    break_together(part, poison, make_request("innocent"))
    break_together(
        part, make_request("poison", request_id="sent again"), endpoint_name="engine-2"
    )
    refusal = part.check(poison).unwrap_err()
    assert (refusal.status, refusal.code, refusal.ran) == (422, "quarantined", "no")
    assert part.check(make_request("innocent")).unwrap()
    other = builders.caller(name="other")
    assert not part.check(make_request("poison", caller=other)).unwrap()


def test_a_faulty_endpoint_does_not_get_requests_quarantined(part):
    # One engine breaks every request. A good request that is resent and runs
    # on that engine again would otherwise be refused on every VM.
    part.responsive = False
    break_together(part, make_request("unlucky"))
    break_together(part, make_request("unlucky"))
    assert part.check(make_request("unlucky")).unwrap()


def test_one_broken_connection_is_no_crash(part):
    break_together(part, make_request("unlucky"))
    assert not part.check(make_request("unlucky")).unwrap()


def test_one_broken_connection_to_a_dead_endpoint_is_a_crash(part):
    part.responsive = False
    break_together(part, make_request("poison"))
    assert part.check(make_request("poison")).unwrap()


def test_a_quarantine_can_be_lifted_and_expires(part, monkeypatch):
    part.responsive = False
    poison = make_request("poison")
    break_together(part, poison)
    break_together(part, poison, endpoint_name="engine-2")
    (listed,) = part.listed()
    assert listed.quarantined
    assert not part.lift("00")
    assert part.lift(listed.fingerprint.hex())
    assert not part.check(poison).unwrap()
    break_together(part, poison)
    break_together(part, poison, endpoint_name="engine-2")
    assert part.check(poison).is_err()
    retention_s = part.configuration.index.catalogue.retention.quarantine_s
    after_retention_ms = suspect_records.now_ms() + int(retention_s * 1000) + 1
    monkeypatch.setattr(suspect_records, "now_ms", lambda: after_retention_ms)
    assert not part.check(poison).unwrap()


def test_updates_in_any_order_lead_to_the_same_state(part):
    part.responsive = False
    break_together(part, make_request("poison"))
    break_together(part, make_request("poison"), endpoint_name="engine-2")
    part.lift(suspect_records.fingerprint(make_request("poison")).hex())
    updates = list(part.sent)
    for updates_in_order in (updates, updates[::-1]):
        part.suspect_by_fingerprint.clear()
        for update in updates_in_order:
            part._serve_update("vm-2", update, None)
        assert part.listed() == []


def test_a_poison_request_crashes_two_engines_and_no_third(bed):
    # A caller repeatedly sends a request that crashes every engine, through
    # different nodes. Without quarantine it crashed one engine after another,
    # together with the other requests that ran there.
    names = ("engine-1", "engine-2", "engine-3")
    declared = []
    for name in names:
        declared.append(bed.add_engine(builders.endpoint(name)))
        bed.fake_by_endpoint[name].place("menu", 16_000)
        bed.fake_by_endpoint[name].restart_s = 0.5
    for name in ("vm-1", "vm-2", "vm-3"):
        bed.add_node(name, "dc-1", "region-1")
    bed.apply(builders.make_catalogue(services=(), endpoints=tuple(declared)))
    processes.wait_until(lambda: bed.all_open(names))
    poison = chat(bed, "vm-1", engine.POISON.decode())
    assert error_of(poison) == (422, "quarantined", "unknown")
    assert crashes(bed) == 2
    for name in bed.node_by_name:
        processes.wait_until(
            lambda name=name: (
                error_of(chat(bed, name, engine.POISON.decode()))
                == (422, "quarantined", "no")
            )
        )
    assert crashes(bed) == 2
    processes.wait_until(lambda: chat(bed, "vm-2", "hello")[0] == 200)


def crashes(bed):
    return sum(fake.crashes for fake in bed.fake_by_endpoint.values())


def chat(bed, name, text):
    http = geventhttpclient.HTTPClient.from_url(
        bed.node_by_name[name].url, network_timeout=30
    )
    body = orjson.dumps(
        {"model": "menu", "messages": [{"role": "user", "content": text}]}
    )
    headers = {"Authorization": f"Bearer {builders.CALLER_KEY}"}
    reply = http.post(CHAT, body, headers)
    return reply.status_code, bytes(reply.read())


def error_of(answer):
    status, body = answer
    error = orjson.loads(body).get("error", {})
    return status, error.get("code"), error.get("ran")
