"""Measures the latency of operators' statements on many nodes.

``python -m mothworks_fakes.measure_ask --nodes 8 --rounds 100`` starts nodes
and engines on loopback and lets requests queue. It then sends each statement to
the nodes in rotation, one at a time, and prints the latencies in milliseconds as
JSON.
"""

import pathlib
import tempfile
import time

import defopt
import gevent
import geventhttpclient
import geventhttpclient.response
import orjson

from mothctl import client, language
from mothworks import catalogue, statements
from mothworks_fakes import engine, processes, testbed

MODEL = "menu"
CALLER_KEY = "measured"
#: Requests sent per engine; each engine has one slot, so the others queue.
REQUESTS_PER_ENGINE = 20
STATEMENTS = (
    "show models",
    "show endpoints",
    "show peers",
    "show waiting",
    "show moves",
    "show attainment",
    "show audit",
    f"why model {MODEL}",
    "why request {request}",
)


def run(*, nodes: int = 8, engines: int = 8, rounds: int = 100) -> None:
    """Measure and print all latencies.

    :param nodes: number of node processes.
    :param engines: number of simulated engines.
    :param rounds: number of times that each statement is sent.
    """
    with tempfile.TemporaryDirectory() as folder:
        bed = testbed.Testbed(pathlib.Path(folder))
        try:
            _start(bed, nodes, engines)
            result = {"nodes": nodes, "engines": engines, "rounds": rounds}
            print(orjson.dumps({**result, "ms": _measure(bed, rounds)}).decode())
        finally:
            bed.stop()


def _start(bed: testbed.Testbed, nodes: int, engines: int) -> None:
    slow_speed = engine.Speed(step_s=0.5)
    declared = [
        bed.add_engine(_engine_endpoint(f"engine-{number}"), slow_speed)
        for number in range(engines)
    ]
    for endpoint in declared:
        bed.fake_by_endpoint[endpoint.name].place(MODEL, 1000)
    for number in range(nodes):
        bed.add_node(f"vm-{number}", "dc-1", "region-1")
    caller = catalogue.Caller(
        "batch", testbed.key_hash(CALLER_KEY), catalogue.Urgency.BULK
    )
    bed.apply(
        catalogue.Catalogue(
            data_centres=(catalogue.DataCentre("dc-1", "region-1"),),
            models=(catalogue.Model(MODEL, 1000),),
            callers=(caller,),
            endpoints=tuple(declared),
        )
    )
    processes.wait_until(lambda: bed.all_open(bed.fake_by_endpoint))
    urls = [node.url for node in bed.node_by_name.values()]
    for number in range(engines * REQUESTS_PER_ENGINE):
        gevent.spawn(_send_chat, urls[number % len(urls)])
    gevent.sleep(2.0)


def _engine_endpoint(name: str) -> catalogue.Endpoint:
    return testbed.engine_endpoint(name, "dc-1", memory_mb=8000, slots=1)


def _send_chat(url: str) -> None:
    http = geventhttpclient.HTTPClient.from_url(url, network_timeout=600.0)
    body = orjson.dumps({"model": MODEL, "messages": [], "max_tokens": 400})
    headers = {"Authorization": f"Bearer {CALLER_KEY}"}
    try:
        http.post("/v1/chat/completions", body, headers).read()
    except (OSError, geventhttpclient.response.HTTPParseError):
        # The nodes stop while requests are still queued.
        return


def _measure(bed: testbed.Testbed, rounds: int) -> dict[str, dict[str, float]]:
    operators = [bed.operator(node) for node in bed.node_by_name.values()]
    waiting_rows = _run_statement(operators[0], "show waiting")["tables"][0]["rows"]
    request_id = waiting_rows[0]["request"] if waiting_rows else "absent"
    ms_by_statement = {}
    for statement in STATEMENTS:
        text = statement.format(request=request_id)
        for operator in operators:
            _run_statement(operator, text)
        times_ms = sorted(
            _time_statement(operators[number % len(operators)], text)
            for number in range(rounds)
        )
        ms_by_statement[statement] = {
            "p50": round(times_ms[rounds // 2], 2),
            "p99": round(times_ms[rounds * 99 // 100], 2),
            "max": round(times_ms[-1], 2),
        }
    ms_by_statement["rows waiting"] = {"count": len(waiting_rows)}
    return ms_by_statement


def _time_statement(operator: client.Client, text: str) -> float:
    started_s = time.monotonic()
    answer = _run_statement(operator, text)
    if answer["unanswered"]:
        raise RuntimeError(f"{text}: no answer from {answer['unanswered']}")
    return (time.monotonic() - started_s) * 1000


def _run_statement(operator: client.Client, text: str) -> dict:
    return operator.post(
        "ask", statements.plain(language.parse(text).unwrap())
    ).unwrap()


if __name__ == "__main__":
    defopt.run(run)
