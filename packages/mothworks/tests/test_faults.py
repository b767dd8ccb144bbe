"""Fault matrix: each fault at each step of a request.

The tests guard against orders that run twice, responses that never arrive or
belong to another request, and refusals that report "not run" for work that
ran. A fake pauses the request at the step, the fault is injected, and the
caller retries as real callers do.
"""

import pytest

from mothworks_fakes import callers, fault_matrix, gates, processes, testbed

Fault = fault_matrix.Fault
Step = gates.Step

ORDER_STEPS = (Step.BEFORE_CLAIM, Step.AFTER_CLAIM, Step.SENT, Step.MID_ANSWER)
STREAM_STEPS = (Step.SENT, Step.MID_ANSWER, Step.BEFORE_END)

SINGLE = tuple((fault,) for fault in Fault)
DOUBLE = (
    (Fault.KILL_ENTRY, Fault.KILL_OWNER),
    (Fault.KILL_ENTRY, Fault.OBJECT_API_OUTAGE),
    (Fault.PAUSE_ENTRY, Fault.KILL_OWNER),
    (Fault.CRASH_ENDPOINT, Fault.KILL_OWNER),
    (Fault.STOP_ENTRY, Fault.OBJECT_API_LOST_REPLY),
    (Fault.ISOLATE_OWNER, Fault.KILL_ENTRY),
)

CELLS = [
    (kind, step, faults)
    for kind, steps in (
        (callers.Kind.ORDER, ORDER_STEPS),
        (callers.Kind.STREAM, STREAM_STEPS),
    )
    for step in steps
    for faults in (*SINGLE, *DOUBLE)
]


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    bed = testbed.Testbed(tmp_path_factory.mktemp("nodes"))
    yield fault_matrix.Trial(bed)
    bed.stop()


@pytest.mark.parametrize(
    ("kind", "step", "faults"),
    CELLS,
    ids=lambda value: "+".join(value) if isinstance(value, tuple) else value,
)
def test_fault_at_step(deployment, kind, step, faults):
    assert deployment.run_case(kind, step, faults).check() == []


def test_isolated_vm_is_removed_and_rejoins(deployment):
    # A switch fails: one VM reaches no other, while its process keeps running.
    # The others must remove it from their membership, and let it rejoin when the
    # network is repaired.
    nodes = deployment.bed.node_by_name
    others = [fault_matrix.ENTRY, fault_matrix.OTHER]
    nodes[fault_matrix.OWNER].cut(others)
    for name in others:
        nodes[name].cut([fault_matrix.OWNER])

    def is_member(name, to):
        rows = deployment.bed.operator(nodes[to]).get("show/peers").unwrap()
        return name in {row["vm"] for row in rows}

    processes.wait_until(
        lambda: not is_member(fault_matrix.OWNER, to=fault_matrix.ENTRY), 60.0
    )
    processes.wait_until(
        lambda: not is_member(fault_matrix.ENTRY, to=fault_matrix.OWNER), 60.0
    )
    for node in nodes.values():
        node.cut([])
    deployment.settle()
