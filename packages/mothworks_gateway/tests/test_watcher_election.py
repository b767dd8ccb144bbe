"""Watcher election: the feeds are always followed, by few VMs.

The tests run a fleet of 195 VMs that share one ranking, in virtual time.
"""

import fleet_builders
from mothworks_gateway import watcher_election

VMS = 195
#: Length of one step of the fleet, seconds: the interval between statuses.
STEP_S = 0.5


class Fleet:
    """VMs that elect watchers and receive each other's statuses.

    :param count: number of VMs.
    """

    def __init__(self, count=VMS):
        self.names = fleet_builders.vm_names(count)
        self.election_by_vm = {
            name: watcher_election.WatcherElection(name) for name in self.names
        }
        self.now = 100.0
        #: VMs that neither send nor receive.
        self.partitioned = set()
        #: VMs that the platform rejects.
        self.rejected = set()

    def step(self):
        """Advance the clock by one step and deliver the statuses.

        :returns: the watchers.
        """
        self.now += STEP_S
        watchers = [name for name in self.names if self.is_watcher(name)]
        for watcher in set(watchers) - self.partitioned:
            status = watcher_election.Status(watcher not in self.rejected, 1, 1, 1)
            for name in set(self.names) - self.partitioned - {watcher}:
                self.election_by_vm[name].receive(watcher, status, self.now)
        return watchers

    def is_watcher(self, name):
        return name in self.election_by_vm[name].watchers(self.names, self.now)

    def follows(self, name):
        """Return whether a VM itself calls the platform."""
        return self.is_watcher(name) or not self.election_by_vm[name].healthy_watchers(
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


def test_next_vm_in_rank_takes_over_from_a_silent_watcher():
    # The watcher is killed. Endpoints that leave at that moment must still be noticed
    # within 2 s, so all other VMs follow the feeds until the next VM in rank is the
    # watcher.
    fleet = Fleet()
    fleet.run(5)
    fleet.partitioned.add("vm-0")
    fleet.run(1.5)
    living = [name for name in fleet.names if name not in fleet.partitioned]
    assert all(fleet.follows(name) for name in living)
    fleet.run(1.5)
    assert [name for name in living if fleet.follows(name)] == ["vm-1"]


def test_watcher_that_the_platform_rejects_is_skipped():
    # The platform rejects the watcher and serves all other VMs; the watcher's statuses
    # report it.
    fleet = Fleet()
    fleet.run(5)
    fleet.rejected.add("vm-0")
    fleet.run(2)
    assert [name for name in fleet.names if fleet.follows(name)] == ["vm-0", "vm-1"]
    fleet.rejected.clear()
    fleet.run(5)
    assert [name for name in fleet.names if fleet.follows(name)] == ["vm-0"]


def test_vm_without_statuses_follows_the_feeds_itself():
    fleet = Fleet()
    fleet.run(5)
    fleet.partitioned.add("vm-77")
    fleet.run(2)
    assert fleet.follows("vm-77")
    assert not fleet.follows("vm-78")


def test_platform_outage_does_not_make_all_vms_watchers():
    # The platform answers no VM for 30 s. Without a limit on candidates, each unhealthy
    # watcher made the next VM a watcher, until all 195 sent statuses to all others.
    fleet = Fleet()
    fleet.run(5)
    fleet.rejected.update(fleet.names)
    assert len(fleet.run(30)) <= watcher_election.MAX_CANDIDATES
    assert all(fleet.follows(name) for name in fleet.names)
    fleet.rejected.clear()
    fleet.run(5)
    assert [name for name in fleet.names if fleet.follows(name)] == ["vm-0"]


def test_resumed_vm_becomes_watcher_again():
    # The first VM in rank is suspended for 20 s. After it resumes it is the watcher
    # again, and its replacement stops.
    fleet = Fleet()
    fleet.run(5)
    fleet.partitioned.add("vm-0")
    fleet.run(20)
    fleet.partitioned.clear()
    fleet.run(6)
    assert [name for name in fleet.names if fleet.is_watcher(name)] == ["vm-0"]
