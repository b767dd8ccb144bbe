"""Watch duty: at each moment somebody follows the feeds, and hardly more than one.

The pattern is a fleet of 195 VMs in which all keep the same order, in virtual time.
"""

import fleet_builders
from mothworks_gateway import watch_duty

VMS = 195
#: Seconds between two steps of a fleet: the time between signs.
STEP_S = 0.5


class Fleet:
    """VMs that decide who tells, and hear each other's signs.

    :param count: how many.
    """

    def __init__(self, count=VMS):
        self.names = fleet_builders.names_of(count)
        self.duty_by_vm = {name: watch_duty.WatchDuty(name) for name in self.names}
        self.now = 100.0
        #: VMs that neither send nor hear.
        self.cut = set()
        #: VMs that the platform does not answer.
        self.refused = set()

    def step(self):
        """Let half a second go by; returns who told."""
        self.now += STEP_S
        tell = [name for name in self.names if self.tells(name)]
        for teller in set(tell) - self.cut:
            sign = watch_duty.Sign(teller not in self.refused, 1, 1, 1)
            for name in set(self.names) - self.cut - {teller}:
                self.duty_by_vm[name].hear(teller, sign, self.now)
        return tell

    def tells(self, name):
        return name in self.duty_by_vm[name].tellers(self.names, self.now)

    def follows(self, name):
        """Return whether a VM asks the platform by itself."""
        return self.tells(name) or not self.duty_by_vm[name].good_signs(self.now)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            told = self.step()
        return told


def test_one_vm_tells_all_others():
    fleet = Fleet()
    assert fleet.run(5) == ["vm-0"]
    assert [name for name in fleet.names if fleet.follows(name)] == ["vm-0"]


def test_the_next_tells_when_the_first_falls_silent():
    # The VM that follows the registry is killed. Endpoints that leave just then must
    # be known within two seconds all the same: the others ask by themselves, and
    # the next in line tells.
    fleet = Fleet()
    fleet.run(5)
    fleet.cut.add("vm-0")
    fleet.run(1.5)
    living = [name for name in fleet.names if name not in fleet.cut]
    assert all(fleet.follows(name) for name in living)
    fleet.run(1.5)
    assert [name for name in living if fleet.follows(name)] == ["vm-1"]


def test_a_vm_that_the_platform_turns_away_is_passed_over():
    # The platform refuses the VM that tells and serves all others. Its signs say so.
    fleet = Fleet()
    fleet.run(5)
    fleet.refused.add("vm-0")
    fleet.run(2)
    assert [name for name in fleet.names if fleet.follows(name)] == ["vm-0", "vm-1"]
    fleet.refused.clear()
    fleet.run(5)
    assert [name for name in fleet.names if fleet.follows(name)] == ["vm-0"]


def test_a_vm_that_hears_nobody_follows_by_itself():
    fleet = Fleet()
    fleet.run(5)
    fleet.cut.add("vm-77")
    fleet.run(2)
    assert fleet.follows("vm-77")
    assert not fleet.follows("vm-78")


def test_an_outage_of_the_platform_does_not_make_all_vms_tell():
    # The platform answers nobody for half a minute. With each VM that fails the next
    # one tried to tell, until all 195 sent signs to all others.
    fleet = Fleet()
    fleet.run(5)
    fleet.refused.update(fleet.names)
    assert len(fleet.run(30)) <= watch_duty.CANDIDATES
    assert all(fleet.follows(name) for name in fleet.names)
    fleet.refused.clear()
    fleet.run(5)
    assert [name for name in fleet.names if fleet.follows(name)] == ["vm-0"]


def test_a_vm_that_woke_up_does_not_count_as_silent_for_ever():
    # The first in line was suspended for 20 s. Once it is back it tells again, and the
    # one that stood in for it stops.
    fleet = Fleet()
    fleet.run(5)
    fleet.cut.add("vm-0")
    fleet.run(20)
    fleet.cut.clear()
    fleet.run(6)
    assert [name for name in fleet.names if fleet.tells(name)] == ["vm-0"]
