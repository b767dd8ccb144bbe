"""Traces of requests: bounded, and kept after the end."""

import pytest

import builders
from mothworks import decisions, kernel


@pytest.fixture
def traces():
    return decisions.Decisions(kernel.Kernel(builders.settings()))


def test_a_trace_is_found_while_it_runs_and_after_its_end(traces):
    traces.open(builders.request("r1"))
    traces.step("r1", "engine-1", "down")
    assert traces.find("r1").outcome == ""
    traces.close("r1", "refused: no_endpoint")
    found = traces.find("r1")
    assert found.outcome == "refused: no_endpoint"
    assert [(step.endpoint, step.what) for step in found.steps] == [
        ("engine-1", "down")
    ]


def test_memory_is_bounded(traces):
    for number in range(decisions.RECENT + 10):
        trace = traces.open(builders.request(f"r{number}"))
        for _ in range(decisions.MOST_STEPS + 5):
            trace.add("engine-1", "queue full")
        traces.close(trace.id, "ok")
    assert len(traces.recent) == decisions.RECENT
    assert len(trace.steps) == decisions.MOST_STEPS
    assert traces.find("r0") is None
    assert not traces.trace_by_request
