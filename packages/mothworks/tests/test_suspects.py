"""Poison requests: convicted by crashing endpoints alone, and then refused."""

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
    monkeypatch.setattr(suspects, "WINDOW_S", 0.01)
    made = builders.kernel_with_objects(None).get(suspects.Suspects)
    made.sent = []
    monkeypatch.setattr(made.peers, "send_all", made.sent.append)
    monkeypatch.setattr(made.health, "owner", lambda endpoint: None)
    made.answering = True
    monkeypatch.setattr(made, "_answers", lambda name: made.answering)
    return made


def break_at_once(part, *broken, at="engine-1"):
    endpoint = builders.endpoint(at)
    gevent.joinall([gevent.spawn(part.broke, item, endpoint) for item in broken])


def asked(name, request_id=None, **changes):
    return builders.request(request_id or name, body=name.encode(), **changes)


def test_streams_that_break_at_once_are_suspects_until_they_run_well(part):
    poison, innocent = asked("poison"), asked("innocent")
    break_at_once(part, poison, innocent)
    assert part.check(poison).unwrap() and part.check(innocent).unwrap()
    part.ran_well(innocent)
    assert not part.check(innocent).unwrap()
    assert [item.target for item in part.listed()] == ["menu"]


def test_a_suspect_that_breaks_alone_is_quarantined_for_all_callers_copies(part):
    poison = asked("poison")
    break_at_once(part, poison, asked("innocent"))
    break_at_once(part, asked("poison", request_id="sent again"), at="engine-2")
    refusal = part.check(poison).unwrap_err()
    assert (refusal.status, refusal.code, refusal.ran) == (422, "quarantined", "no")
    assert part.check(asked("innocent")).unwrap()
    other = builders.caller(name="other")
    assert not part.check(asked("poison", caller=other)).unwrap()


def test_a_broken_endpoint_does_not_convict_what_it_is_sent(part):
    # One engine breaks whatever it runs. A caller that sends a good request
    # again, and meets that engine again, would be refused everywhere.
    part.answering = False
    break_at_once(part, asked("unlucky"))
    break_at_once(part, asked("unlucky"))
    assert part.check(asked("unlucky")).unwrap()


def test_one_broken_connection_is_no_crash(part):
    break_at_once(part, asked("unlucky"))
    assert not part.check(asked("unlucky")).unwrap()


def test_one_broken_connection_to_a_dead_endpoint_is_a_crash(part):
    part.answering = False
    break_at_once(part, asked("poison"))
    assert part.check(asked("poison")).unwrap()


def test_a_quarantine_can_be_lifted_and_expires(part, monkeypatch):
    part.answering = False
    poison = asked("poison")
    break_at_once(part, poison)
    break_at_once(part, poison, at="engine-2")
    (listed,) = part.listed()
    assert listed.quarantined
    assert not part.lift("00")
    assert part.lift(listed.fingerprint.hex())
    assert not part.check(poison).unwrap()
    break_at_once(part, poison)
    break_at_once(part, poison, at="engine-2")
    assert part.check(poison).is_err()
    kept_s = part.configuration.index.catalogue.retention.quarantine_s
    later = suspect_records.now_ms() + int(kept_s * 1000) + 1
    monkeypatch.setattr(suspect_records, "now_ms", lambda: later)
    assert not part.check(poison).unwrap()


def test_news_in_any_order_end_in_the_same_state(part):
    part.answering = False
    break_at_once(part, asked("poison"))
    break_at_once(part, asked("poison"), at="engine-2")
    part.lift(suspect_records.fingerprint(asked("poison")).hex())
    news = list(part.sent)
    for order in (news, news[::-1]):
        part.suspect_by_fingerprint.clear()
        for item in order:
            part._serve_news("vm-2", item, None)
        assert part.listed() == []


def test_a_poison_request_crashes_two_engines_and_no_third(bed):
    # A caller sends a request that crashes every engine, again and again and
    # through different nodes. It used to take down one engine after another,
    # and what ran beside it.
    names = ("engine-1", "engine-2", "engine-3")
    declared = []
    for name in names:
        declared.append(bed.add_engine(builders.endpoint(name)))
        bed.fake_by_endpoint[name].place("menu", 16_000)
        bed.fake_by_endpoint[name].restart_s = 0.5
    for name in ("vm-1", "vm-2", "vm-3"):
        bed.add_node(name, "dc-1", "region-1")
    bed.apply(builders.declared(services=(), endpoints=tuple(declared)))
    processes.wait_until(lambda: bed.all_open(names))
    poison = chat(bed, "vm-1", engine.POISON.decode())
    assert code(poison) == (422, "quarantined", "unknown")
    assert crashes(bed) == 2
    for name in bed.node_by_name:
        processes.wait_until(
            lambda name=name: (
                code(chat(bed, name, engine.POISON.decode()))
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


def code(answer):
    status, body = answer
    error = orjson.loads(body).get("error", {})
    return status, error.get("code"), error.get("ran")
