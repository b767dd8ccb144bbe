"""Fleet size: live VMs and their recent peak."""

import types

import pytest

import gateway_builders
import virtual_time
from mothworks import membership
from mothworks_gateway import fleet_size


class Fleet:
    """One VM's fleet size, with a membership that tests change."""

    def __init__(self, monkeypatch):
        self.clock = virtual_time.Clock(monkeypatch)
        self.members = []
        view = types.SimpleNamespace(region_peers=lambda: self.members, on_change=[])
        kernel = gateway_builders.Kernel({membership.Membership: view})
        self.view = view
        self.size = fleet_size.FleetSize(kernel)

    def resize(self, vms):
        self.members[:] = range(vms - 1)
        for notify in self.view.on_change:
            notify()


@pytest.fixture
def fleet(monkeypatch):
    return Fleet(monkeypatch)


def test_the_peak_is_retained_for_a_while_after_vms_vanish(fleet):
    fleet.resize(8)
    fleet.clock.advance(300.0)
    fleet.resize(5)
    assert (fleet.size.live, fleet.size.peak) == (5, 8)
    fleet.clock.advance(fleet_size.PEAK_RETENTION_S - 1)
    assert fleet.size.peak == 8
    fleet.clock.advance(2.0)
    assert fleet.size.peak == 5


# Guards against the smaller side of a partition counting itself as the whole fleet.
@pytest.mark.parametrize("live", [1, 3, 4])
def test_a_minority_retains_the_peak_for_longer(fleet, live):
    fleet.resize(8)
    fleet.resize(live)
    fleet.clock.advance(fleet_size.MINORITY_PEAK_RETENTION_S - 1)
    assert fleet.size.peak == 8
    fleet.clock.advance(2.0)
    assert fleet.size.peak == live


def test_vms_that_join_count_at_once(fleet):
    fleet.resize(2)
    fleet.resize(9)
    assert fleet.size.peak == 9
