"""Measures the cost of a node's state at the target, for the capacity page.

``python -m mothworks_fakes.measure_state --out docs/slopes/operators.json``
measures one node process with an empty catalogue and with a catalogue of the
target's size; it measures request traces and audit entries in its own process.
"""

import datetime
import pathlib
import re
import tempfile
import time
import tracemalloc

import attrs
import defopt
import gevent
import orjson

from mothworks import audit, catalogue, decisions, kernel, requests, settings
from mothworks_fakes import processes, slopes, testbed

TARGET_MODELS = 720
TARGET_ENDPOINTS = 4700
#: Wait before a node's memory is read, seconds.
SETTLE_S = 5.0
#: Number of request traces and of audit entries that are timed.
REPETITIONS = 20_000
COMMAND = "python -m mothworks_fakes.measure_state"


def run(*, out: pathlib.Path | None = None) -> None:
    """Measure and print all figures.

    :param out: file for the figures as JSON.
    """
    figures = [*_node_memory(), *_traces(), *_audit_entries()]
    for slope in figures:
        print(f"{slope.name}: {slope.value} {slope.unit}")
    if out is not None:
        rows = [attrs.asdict(item) for item in figures]
        out.parent.mkdir(exist_ok=True)
        out.write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2) + b"\n")


def target_catalogue() -> catalogue.Catalogue:
    """Return a catalogue of the target's size.

    Its endpoints are in another region, so the measured node owns none of them.
    """
    return catalogue.Catalogue(
        data_centres=(
            catalogue.DataCentre("dc-1", "region-1"),
            catalogue.DataCentre("dc-2", "region-2"),
        ),
        models=tuple(
            catalogue.Model(f"model-{number}", 16_000, 4000)
            for number in range(TARGET_MODELS)
        ),
        endpoints=tuple(
            catalogue.Endpoint(
                f"engine-{number}",
                "vllm",
                f"10.{number // 250}.0.{number % 250 + 1}",
                8000,
                "dc-2",
                memory_mb=320_000,
                accelerators=4,
                slots=64,
            )
            for number in range(TARGET_ENDPOINTS)
        ),
    )


def _node_memory() -> list[slopes.Slope]:
    with tempfile.TemporaryDirectory() as folder:
        bed = testbed.Testbed(pathlib.Path(folder))
        try:
            node = bed.add_node("vm-1", "dc-1", "region-1")
            gevent.sleep(SETTLE_S)
            idle_mb = _resident_mb(node)
            started_s = time.monotonic()
            bed.apply(target_catalogue())
            apply_s = time.monotonic() - started_s
            gevent.sleep(SETTLE_S)
            loaded_mb = _resident_mb(node)
        finally:
            bed.stop()
    note = "one node process, no requests, resident memory"
    size = f"{TARGET_MODELS} models, {TARGET_ENDPOINTS} endpoints, none owned here"
    return [
        _slope("node memory, empty catalogue", idle_mb, "MB", note),
        _slope("node memory, target catalogue", loaded_mb, "MB", f"{note}; {size}"),
        _slope("apply of a target catalogue", apply_s, "s", size),
    ]


def _resident_mb(node: processes.NodeProcess) -> float:
    status = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024


def _kernel() -> kernel.Kernel:
    return kernel.Kernel(
        settings.Settings(
            "vm-1",
            "127.0.0.1",
            0,
            0,
            "dc-1",
            "region-1",
            settings.ObjectApi("http://127.0.0.1:1"),
            settings.VmList("http://127.0.0.1:1/vms"),
        )
    )


def _traces() -> list[slopes.Slope]:
    traces = decisions.Decisions(_kernel())
    caller = catalogue.Caller("guest", "0" * 64)
    all_requests = [_request(f"{number:032x}", caller) for number in range(REPETITIONS)]
    tracemalloc.start()
    for request in all_requests[: decisions.MAX_ENDED_TRACES]:
        _record_trace(traces, request)
    memory_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    started_s = time.process_time()
    for request in all_requests:
        _record_trace(traces, request)
    mean_us = (time.process_time() - started_s) / REPETITIONS * 1e6
    note = f"{decisions.MAX_ENDED_TRACES} ended requests of 3 steps"
    return [
        _slope("traces of requests, memory", memory_kb, "KB a node", note),
        _slope("traces of requests, processor time", mean_us, "us a request", note),
    ]


def _request(request_id: str, caller: catalogue.Caller) -> requests.Request:
    return requests.Request(
        request_id,
        caller,
        target="menu",
        model="menu",
        method="POST",
        path="/v1/chat/completions",
        headers=(),
        body=b"{}",
        stream=True,
        repeatable=True,
        received_at=0.0,
        first_token_deadline=1.6,
    )


def _record_trace(traces: decisions.Decisions, request: requests.Request) -> None:
    trace = traces.open(request)
    trace.add_step("", f"considered, best first: {request.id}")
    trace.add_step("engine-1", "no capacity in time")
    trace.add_step("engine-2", f"granted by {request.caller.name}")
    traces.close(request.id, "ok")


def _audit_entries() -> list[slopes.Slope]:
    entry = audit.Entry(
        "2026-12-02T20:00:00.000+00:00",
        "vm-123",
        1000,
        audit.Kind.ORDER,
        "vm-123",
        "engine-1234",
        "load model-123 1",
        "3.2 requests/s too many",
        41,
        42,
    )
    started_s = time.process_time()
    for _ in range(REPETITIONS):
        audit.line(entry)
    mean_us = (time.process_time() - started_s) / REPETITIONS * 1e6
    return [
        _slope("audit entry, stored", len(audit.line(entry)), "B", "an order's entry"),
        _slope("audit entry, processor time", mean_us, "us", "encoding, without HTTP"),
    ]


def _slope(name: str, value: float, unit: str, note: str) -> slopes.Slope:
    today = datetime.date.today().isoformat()
    return slopes.Slope(name, round(value, 2), unit, COMMAND, today, note)


if __name__ == "__main__":
    defopt.run(run)
