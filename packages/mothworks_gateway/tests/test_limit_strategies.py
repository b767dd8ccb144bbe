"""Compares strategies: only an owner that grants slots both keeps and uses a limit."""

import pytest

import limit_simulation
import limit_strategies
from mothworks_gateway import send_slots

VM_COUNTS = pytest.mark.parametrize("count", [8, 60])


@VM_COUNTS
def test_a_limit_that_each_vm_enforces_on_its_own_is_exceeded(monkeypatch, count):
    assert (
        limit_strategies.Trial(
            monkeypatch, "each VM on its own", count, 1.5
        ).worst_ratio
        > 1.5
    )


@VM_COUNTS
def test_equal_shares_of_idle_vms_are_wasted(monkeypatch, count):
    trial = limit_strategies.Trial(monkeypatch, "equal shares", count, 12.0, vms=1)
    assert trial.utilisation < 0.5


@VM_COUNTS
@pytest.mark.parametrize("vms", [None, 1])
def test_an_owner_keeps_a_limit_and_uses_it_fully(monkeypatch, count, vms):
    trial = limit_strategies.Trial(
        monkeypatch, "an owner, a queue that overload shortens", count, 12.0, vms
    )
    assert trial.worst_ratio <= 1.0
    assert trial.utilisation >= 0.9
    assert trial.wait_s <= send_slots.OVERLOAD_MAX_AHEAD_S + limit_simulation.STEP_S
