"""Watcher election: at each moment somebody follows the feeds, and hardly more.

The pattern is a fleet of 195 VMs in which all keep the same order, in virtual time.
"""

import fleet_builders
from mothworks_gateway import watcher_election

VMS = 195
#: Seconds between two steps of a fleet: the time between statuses.
STEP_S = 0.5


class Fleet:
    """VMs that elect watchers and receive each other's statuses.

    :param count: how many.
    """

    def __init__(self, count=VMS):
        self.names = fleet_builders.names_of(count)
        self.election_by_vm = {
            name: watcher_election.WatcherElection(name) for name in self.names
        }
        self.now = 100.0
        #: VMs that neither send nor receive.
        self.cut = set()
        #: VMs that the platform does not answer.
        self.refused = set()

    def step(self):
        """Let half a second go by; returns the watchers."""
        self.now += STEP_S
        watchers = [name for name in self.names if self.watches(name)]
        for watcher in set(watchers) - self.cut:
            status = watcher_election.Status(watcher not in self.refused, 1, 1, 1)
            for name in set(self.names) - self.cut - {watcher}:
                self.election_by_vm[name].receive(watcher, status, self.now)
        return watchers

    def watches(self, name):
        return name in self.election_by_vm[name].watchers(self.names, self.now)

    def follows(self, name):
        """Return whether a VM asks the platform by itself."""
        return self.watches(name) or not self.election_by_vm[name].healthy_watchers(
            self.now
        )

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            watchers = self.step()
        return watchers


def test_one_vm_watches_for_all_others():
    fleet = Fleet()
    assert fleet.run(5) == ["vm-0"]
    assert [name for name in fleet.names if fleet.follows(name)] == ["vm-0"]


def test_the_next_one_watches_when_the_first_falls_silent():
    # The VM that follows the registry is killed. Endpoints that leave just then must
    # be known within two seconds all the same: the others ask by themselves, and
    # the next in line watches.
    fleet = Fleet()
    fleet.run(5)
    fleet.cut.add("vm-0")
    fleet.run(1.5)
    living = [name for name in fleet.names if name not in fleet.cut]
    assert all(fleet.follows(name) for name in living)
    fleet.run(1.5)
    assert [name for name in living if fleet.follows(name)] == ["vm-1"]


def test_a_vm_that_the_platform_turns_away_is_passed_over():
    # The platform refuses the watcher and serves all others. Its statuses say so.
    fleet = Fleet()
    fleet.run(5)
    fleet.refused.add("vm-0")
    fleet.run(2)
    assert [name for name in fleet.names if fleet.follows(name)] == ["vm-0", "vm-1"]
    fleet.refused.clear()
    fleet.run(5)
    assert [name for name in fleet.names if fleet.follows(name)] == ["vm-0"]


def test_a_vm_that_receives_nothing_follows_by_itself():
    fleet = Fleet()
    fleet.run(5)
    fleet.cut.add("vm-77")
    fleet.run(2)
    assert fleet.follows("vm-77")
    assert not fleet.follows("vm-78")


def test_an_outage_of_the_platform_does_not_make_all_vms_watchers():
    # The platform answers nobody for half a minute. With each VM that fails the next
    # one became a watcher, until all 195 sent statuses to all others.
    fleet = Fleet()
    fleet.run(5)
    fleet.refused.update(fleet.names)
    assert len(fleet.run(30)) <= watcher_election.CANDIDATES
    assert all(fleet.follows(name) for name in fleet.names)
    fleet.refused.clear()
    fleet.run(5)
    assert [name for name in fleet.names if fleet.follows(name)] == ["vm-0"]


def test_a_vm_that_woke_up_does_not_count_as_silent_for_ever():
    # The first in line was suspended for 20 s. Once it is back it watches again, and
    # the one that stood in for it stops.
    fleet = Fleet()
    fleet.run(5)
    fleet.cut.add("vm-0")
    fleet.run(20)
    fleet.cut.clear()
    fleet.run(6)
    assert [name for name in fleet.names if fleet.watches(name)] == ["vm-0"]
