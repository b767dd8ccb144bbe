"""Operators' statements to separate node processes: roles, fan-out, explanations."""

import base64

import gevent
import geventhttpclient
import orjson
import pytest

import builders
from mothctl import client, language
from mothworks import settings, statements
from mothworks_fakes import engine, processes, testbed

VIEWER_KEY = "viewer-key"
VMS = ("vm-1", "vm-2", "vm-3")


@pytest.fixture
def deployment(bed):
    slow_speed = engine.Speed(step_s=0.2)
    declared = bed.add_engine(builders.endpoint(slots=1), slow_speed)
    bed.fake_by_endpoint["engine-1"].place("menu", 16_000)
    operators = (
        settings.Operator(
            "demo", settings.Role.OPERATOR, testbed.key_hash(testbed.OPERATOR_KEY)
        ),
        settings.Operator("guest", settings.Role.VIEWER, testbed.key_hash(VIEWER_KEY)),
    )
    for name in VMS:
        bed.add_node(name, "dc-1", "region-1", operators=operators)
    caller = builders.caller(first_token_ms=60_000)
    bed.apply(
        builders.make_catalogue(endpoints=(declared,), services=(), callers=(caller,))
    )
    processes.wait_until(lambda: bed.all_open(["engine-1"]))
    return bed


def ask(bed, text, vm="vm-1", key=testbed.OPERATOR_KEY):
    node = client.Client(bed.node_by_name[vm].url, key)
    return node.post("ask", statements.plain(language.parse(text).unwrap()))


def rows(bed, text, vm="vm-1", table=0):
    return ask(bed, text, vm).unwrap()["tables"][table]["rows"]


def chat(bed, vm, tokens):
    """Send a chat request and return its ID, status and text."""
    http = geventhttpclient.HTTPClient.from_url(bed.node_by_name[vm].url)
    body = orjson.dumps({"model": "menu", "messages": [], "max_tokens": tokens})
    headers = {"Authorization": f"Bearer {builders.CALLER_KEY}"}
    reply = http.post("/v1/chat/completions", body, headers)
    return reply.get("x-request-id"), reply.status_code, reply.read()


def test_a_viewer_may_query_but_not_command(deployment):
    assert ask(deployment, "show models", key=VIEWER_KEY).is_ok()
    for text in ("drain endpoint engine-1", "move model menu from a to b"):
        refused = ask(deployment, text, key=VIEWER_KEY).unwrap_err()
        assert refused.status == 403
    assert ask(deployment, "show models", key="wrong").unwrap_err().status == 401
    assert ask(deployment, "show models", key="").unwrap_err().status == 401
    assert rows(deployment, "show endpoints")[0]["drain"] is False


def test_a_drain_is_in_force_on_every_vm_and_recorded(deployment):
    ask(deployment, 'drain endpoint engine-1 because "new driver"').unwrap()
    for vm in VMS:
        processes.wait_until(
            lambda vm=vm: rows(deployment, "show endpoints", vm)[0]["drain"]
        )
        _, status, body = chat(deployment, vm, 1)
        assert (status, orjson.loads(body)["error"]["ran"]) == (503, "no")
    [replica] = rows(deployment, "why model menu", "vm-3", table=1)
    assert replica["takes_work"] == "drained by an operator"
    ask(deployment, "resume endpoint engine-1", "vm-2").unwrap()
    processes.wait_until(lambda: deployment.all_open(["engine-1"]))
    assert chat(deployment, "vm-1", 1)[1] == 200
    processes.wait_until(
        lambda: (
            [
                (entry["who"], entry["why"], entry["before"], entry["after"])
                for entry in rows(deployment, "show audit where subject = engine-1")
                if entry["kind"] == "configuration"
            ]
            == [("demo", "new driver", 1, 2), ("demo", "", 2, 3)]
        )
    )


def test_any_vm_lists_and_explains_waiting_requests(deployment):
    requests = [gevent.spawn(chat, deployment, "vm-2", 20) for _ in range(3)]
    processes.wait_until(lambda: len(rows(deployment, "show waiting", "vm-3")) == 2)
    first, second = rows(deployment, "show waiting", "vm-3")
    assert (first["position"], second["position"]) == (1, 2)
    assert (first["queued"], first["running"], first["slots"]) == (2, 1, 1)
    why = ask(deployment, f"why request {second['request']}", "vm-1").unwrap()
    tables = {table["title"]: table["rows"] for table in why["tables"]}
    [request] = tables["request"]
    assert (request["entry"], request["state"]) == ("vm-2", "running")
    assert (request["urgency"], request["caller"]) == ("urgent", "guest")
    assert tables["waiting"][0]["position"] == 2
    assert any(step["endpoint"] == "engine-1" for step in tables["steps"])
    assert why["unanswered"] == []
    gevent.killall(requests)


def test_why_request_explains_an_ended_request(deployment):
    request_id, _, _ = chat(deployment, "vm-2", 1)
    why = ask(deployment, f"why request {request_id}", "vm-3").unwrap()
    tables = {table["title"]: table["rows"] for table in why["tables"]}
    assert tables["request"][0]["state"] == "ok"
    assert tables["waiting"] == []
    absent = ask(deployment, "why request absent").unwrap_err()
    assert absent.status == 404


def test_an_unresponsive_vm_is_listed_as_unanswered(deployment):
    """Without the list, an operator would mistake a partial result for a complete one.

    A paused VM is still a member, but does not reply.
    """
    paused = deployment.node_by_name["vm-2"].process
    rows(deployment, "show waiting")
    paused.send_signal(processes.PAUSE)
    try:
        answer = ask(deployment, "show waiting").unwrap()
    finally:
        paused.send_signal(processes.RESUME)
    assert answer["unanswered"] == ["vm-2"]


def page(bed, authorization):
    http = geventhttpclient.HTTPClient.from_url(bed.node_by_name["vm-1"].url)
    headers = {"Authorization": authorization} if authorization else {}
    reply = http.get("/dashboard", headers)
    return reply.status_code, reply.read().decode()


def test_the_dashboard_requires_a_key_and_shows_the_rows_of_show(deployment):
    wrong = base64.b64encode(b"any:wrong").decode()
    for authorization in ("", f"Basic {wrong}", "Basic ?", "Bearer wrong"):
        status, text = page(deployment, authorization)
        assert status == 401
        assert "engine-1" not in text
    right = base64.b64encode(f"any:{VIEWER_KEY}".encode()).decode()
    status, text = page(deployment, f"Basic {right}")
    assert status == 200
    assert "engine-1" in text
    assert "Attainment of the last minute" in text
    assert testbed.key_hash(VIEWER_KEY) not in text
    assert testbed.key_hash(builders.CALLER_KEY) not in text


def test_quarantine_is_listed_and_lifted(deployment):
    """Otherwise a request wrongly blamed for a crash would stay refused.

    The request is in flight when its endpoint crashes, and becomes a suspect.
    An operator lifts the quarantine through another VM.
    """
    engine_fake = deployment.fake_by_endpoint["engine-1"]
    crashed_request = gevent.spawn(chat, deployment, "vm-1", 50)
    processes.wait_until(lambda: engine_fake.running)
    engine_fake.restart_s = 2.0
    engine_fake.crash()
    crashed_request.join()
    processes.wait_until(lambda: rows(deployment, "show quarantine", "vm-3"))
    [row] = rows(deployment, "show quarantine", "vm-3")
    assert (row["state"], row["caller"], row["model"]) == ("suspect", "guest", "menu")
    lift = f"lift quarantine {row['suspect']} because test"
    assert ask(deployment, lift, key=VIEWER_KEY).unwrap_err().status == 403
    assert ask(deployment, "lift quarantine 00").unwrap_err().status == 404
    ask(deployment, lift, "vm-2").unwrap()
    processes.wait_until(lambda: not rows(deployment, "show quarantine"))


def test_why_model_lists_load_targets_with_verdicts(deployment):
    def verdicts():
        answer = ask(deployment, "why model menu", "vm-3").unwrap()
        tables = {table["title"]: table["rows"] for table in answer["tables"]}
        return [(row["endpoint"], row["verdict"]) for row in tables["places"]]

    processes.wait_until(lambda: verdicts() == [("engine-1", "is resident there")])
