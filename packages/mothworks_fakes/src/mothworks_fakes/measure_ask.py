"""Measures how fast operators' statements are answered by many nodes.

``python -m mothworks_fakes.measure_ask --nodes 8 --rounds 100`` starts nodes
and engines on loopback, lets requests queue, asks each statement of any node
in turn, one at a time, and prints the times in milliseconds as JSON.
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
#: Requests that are kept waiting, for each engine.
WAITING = 20
QUESTIONS = (
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
    """Measure and print.

    :param nodes: node processes.
    :param engines: stand-ins for engines.
    :param rounds: how often each statement is asked.
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
    slow = engine.Speed(step_s=0.5)
    declared = [
        bed.add_engine(_endpoint(f"engine-{number}"), slow) for number in range(engines)
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
    for number in range(engines * WAITING):
        gevent.spawn(_chat, urls[number % len(urls)])
    gevent.sleep(2.0)


def _endpoint(name: str) -> catalogue.Endpoint:
    return testbed.engine_endpoint(name, "dc-1", memory_mb=8000, slots=1)


def _chat(url: str) -> None:
    http = geventhttpclient.HTTPClient.from_url(url, network_timeout=600.0)
    body = orjson.dumps({"model": MODEL, "messages": [], "max_tokens": 400})
    headers = {"Authorization": f"Bearer {CALLER_KEY}"}
    try:
        http.post("/v1/chat/completions", body, headers).read()
    except (OSError, geventhttpclient.response.HTTPParseError):
        # The nodes end while requests still wait.
        return


def _measure(bed: testbed.Testbed, rounds: int) -> dict[str, dict[str, float]]:
    asked = [bed.operator(node) for node in bed.node_by_name.values()]
    waiting = _ask(asked[0], "show waiting")["tables"][0]["rows"]
    request_id = waiting[0]["request"] if waiting else "absent"
    measured = {}
    for question in QUESTIONS:
        text = question.format(request=request_id)
        for node in asked:
            _ask(node, text)
        times = sorted(_timed(asked[n % len(asked)], text) for n in range(rounds))
        measured[question] = {
            "p50": round(times[rounds // 2], 2),
            "p99": round(times[rounds * 99 // 100], 2),
            "max": round(times[-1], 2),
        }
    measured["rows waiting"] = {"count": len(waiting)}
    return measured


def _timed(node: client.Client, text: str) -> float:
    began = time.monotonic()
    answer = _ask(node, text)
    if answer["unanswered"]:
        raise RuntimeError(f"{text}: no answer from {answer['unanswered']}")
    return (time.monotonic() - began) * 1000


def _ask(node: client.Client, text: str) -> dict:
    return node.post("ask", statements.plain(language.parse(text).unwrap())).unwrap()


if __name__ == "__main__":
    defopt.run(run)
