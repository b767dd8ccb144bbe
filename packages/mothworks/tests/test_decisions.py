"""Decision traces: bounded, and available after a request's end."""

import pytest

import builders
from mothworks import decisions, kernel


@pytest.fixture
def traces():
    return decisions.Decisions(kernel.Kernel(builders.settings()))


def test_trace_is_found_while_its_request_runs_and_after_its_end(traces):
    traces.open(builders.request("r1"))
    traces.add_step("r1", "engine-1", "down")
    assert traces.find("r1").outcome == ""
    traces.close("r1", "refused: no_endpoint")
    ended = traces.find("r1")
    assert ended.outcome == "refused: no_endpoint"
    assert [(step.endpoint, step.what) for step in ended.steps] == [
        ("engine-1", "down")
    ]


def test_traces_and_steps_are_bounded(traces):
    for number in range(decisions.MAX_ENDED_TRACES + 10):
        trace = traces.open(builders.request(f"r{number}"))
        for _ in range(decisions.MAX_STEPS + 5):
            trace.add_step("engine-1", "queue full")
        traces.close(trace.id, "ok")
    assert len(traces.recent) == decisions.MAX_ENDED_TRACES
    assert len(trace.steps) == decisions.MAX_STEPS
    assert traces.find("r0") is None
    assert not traces.trace_by_request
