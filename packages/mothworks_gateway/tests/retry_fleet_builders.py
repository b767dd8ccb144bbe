"""Builders of fleets whose VMs share a retry budget, in virtual time."""

import collections
import random
import types

import fleet_builders
import gateway_builders
import retry_checks
import virtual_time
from mothworks import membership, peers
from mothworks_gateway import (
    aggregation,
    declarations,
    discovery,
    feeding,
    fleet_size,
    health,
    heartbeat,
    lease,
    owners,
    registry,
    retry_budget,
    running_requests,
    settings,
    shared_budgets,
    shared_health,
    shared_retries,
    sliding_windows,
)

#: The allowance of the deployment, as the users' sheet of a site of nine VMs states it.
BOUNDS = settings.Bounds(retry_share=0.2, retry_window_s=10.0, retry_slack=58.0)
#: Length of a step of the simulation, seconds.
STEP_S = 0.01
#: Time after which VMs notice that another one has vanished, seconds.
DETECTION_S = 2.0
#: Time that a VM needs to discover the others after its start, seconds.
DISCOVERY_S = 0.3
#: Most retries of one request.
MAX_RETRIES = 4


class Vm:
    """One life of a VM: its parts, and when it sends its next heartbeat.

    :param name: its name.
    :param fleet: the fleet.
    :param known_vms: the VMs that it knows at first.
    """

    def __init__(self, name, fleet, known_vms):
        view = registry.Registry()
        # As new as all heartbeats state, so that no VM fetches state from a peer.
        view.cursor = 1
        near = [fleet_builders.make_member(vm) for vm in known_vms if vm != name]
        parts = {
            membership.Membership: types.SimpleNamespace(
                region_peers=lambda: near,
                on_change=[],
                listed_by_name=dict.fromkeys(fleet.listed - {name}),
            ),
            peers.Peers: fleet_builders.SplitPeers(name, fleet.network, fleet.names),
            declarations.Declarations: types.SimpleNamespace(version=1),
            discovery.Discovery: types.SimpleNamespace(registry=view, changed_at=1),
            feeding.FeedFollowers: None,
            lease.Lease: types.SimpleNamespace(holder=lambda: ""),
        }
        self.kernel = gateway_builders.Kernel(parts)
        self.kernel.settings = gateway_builders.make_settings(name=name, bounds=BOUNDS)
        for part_class in (
            heartbeat.Heartbeats,
            owners.Owners,
            fleet_size.FleetSize,
            shared_budgets.SharedBudgets,
            running_requests.RunningRequests,
            health.Health,
            shared_health.SharedHealth,
            shared_retries.SharedRetries,
            retry_budget.RetryBudget,
        ):
            parts[part_class] = part_class(self.kernel)
        fleet_builders.add_endpoint_limits(self.kernel)
        aggregation.Aggregation(self.kernel)
        self.heartbeats = parts[heartbeat.Heartbeats]
        self.budget = parts[retry_budget.RetryBudget]
        self.near = near
        self.heartbeat_at = fleet.clock.now + fleet.random.uniform(0, 0.25)

    def make_old(self):
        """Publish no records any more, as versions without them."""
        self.heartbeats.field_providers.clear()

    def set_members(self, vms):
        """Replace the members of its region except itself."""
        self.near[:] = [fleet_builders.make_member(vm) for vm in vms]
        for notify in self.kernel.get(membership.Membership).on_change:
            notify()


class Fleet:
    """VMs that send heartbeats, and callers whose requests endpoints refuse.

    :param monkeypatch: pytest's fixture.
    :param count: number of VMs.
    :param seed: seed of the requests and of the heartbeats' phases.
    :param has_run: whether the VMs have run for more than a window before.
    """

    #: Modules that read the time.
    modules = (
        aggregation,
        health,
        heartbeat,
        owners,
        running_requests,
        shared_budgets,
        sliding_windows,
    )

    def __init__(self, monkeypatch, count, seed=1, has_run=True):
        self.clock = virtual_time.Clock(monkeypatch, *self.modules)
        self.random = random.Random(seed)
        self.network = fleet_builders.SplitNetwork()
        self.names = fleet_builders.vm_names(count)
        self.listed = set(self.names)
        self.vm_by_name = {}
        self.events = []
        self.requests = []
        self.retries = []
        self.retries_by_vm = collections.Counter()
        for name in self.names:
            self.vm_by_name[name] = Vm(name, self, self.names)
        self.run(11.0 if has_run else 1.0, 0.0)

    def at(self, seconds, action, *args):
        """Schedule an action.

        :param seconds: seconds from now.
        """
        self.events.append((self.clock.now + seconds, action, args))

    def stop(self, name):
        """End a VM's process after a planned stop, which the others learn at once."""
        self.network.down.add(name)
        self.update_members()

    def kill(self, name):
        """Kill a VM's process, which the others notice later."""
        self.network.down.add(name)
        self.at(DETECTION_S, self.update_members)

    def start(self, name):
        """Start a VM's process, which knows no other VM at first."""
        self.network.down.discard(name)
        self.vm_by_name[name] = Vm(name, self, ())
        self.at(DISCOVERY_S, self.update_members)

    def freeze(self, name):
        """Suspend a VM's process, which the others notice later."""
        self.kill(name)

    def thaw(self, name):
        """Let a VM's process run on, with the state that it had."""
        self.network.down.discard(name)
        self.at(DISCOVERY_S, self.update_members)

    def owners(self, service):
        """Return the VMs that may grant retries of a service, its owner first."""
        view = self.vm_by_name[self.names[0]].kernel.get(owners.Owners)
        return view.ranked(f"retries {service}")

    def replace(self, name, new_name):
        """Start a new VM in place of one that is gone for good."""
        self.network.down.add(name)
        self.names.append(new_name)
        self.start(new_name)

    def cut(self, names, group=1):
        """Cut some VMs off from all others; they still reach each other."""
        for name in names:
            self.network.group_by_vm[name] = group
        self.at(DETECTION_S, self.update_members)

    def heal(self):
        """End all cuts."""
        self.network.group_by_vm.clear()
        self.at(DISCOVERY_S, self.update_members)

    def update_members(self):
        """Tell every VM which others it reaches."""
        live = [name for name in self.vm_by_name if name not in self.network.down]
        for name in live:
            vms = [vm for vm in live if vm != name and not self.network.cuts(name, vm)]
            self.vm_by_name[name].set_members(vms)

    def run(self, seconds, per_s, vms=None):
        """Advance the time while callers send requests that endpoints refuse.

        :param seconds: the time.
        :param per_s: requests per second.
        :param vms: the VMs that get the requests; by default all that are not down.
        """
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            now = self.clock.now
            due = [event for event in self.events if event[0] <= now]
            self.events = [event for event in self.events if event[0] > now]
            for _, action, args in due:
                action(*args)
            live = [name for name in self.vm_by_name if name not in self.network.down]
            for name in live:
                vm = self.vm_by_name[name]
                if vm.heartbeat_at <= now:
                    vm.heartbeat_at += heartbeat.INTERVAL_S
                    vm.heartbeats.send()
            able = [name for name in live if vms is None or name in vms]
            count = int(per_s * STEP_S + self.random.random())
            for _ in range(count if able else 0):
                self.request(self.random.choice(able))

    def request(self, name):
        """Send a request to a VM; endpoints refuse it until no retry is left."""
        budget = self.vm_by_name[name].budget
        budget.add_request("s")
        self.requests.append(self.clock.now)
        for _ in range(MAX_RETRIES):
            if not (budget.may_spend("s") and budget.try_spend("s", "r")):
                return
            self.retries.append(self.clock.now)
            self.retries_by_vm[name] += 1

    def worst_excess(self):
        """Return the most retries in a window beyond what the deployment allows."""
        return retry_checks.worst_excess(self.requests, self.retries, BOUNDS)


def add_faults(fleet, seconds):
    """Schedule faults of all kinds that overlap, by the fleet's seed.

    :param fleet: the fleet.
    :param seconds: the time within which they begin.
    """
    at = 0.0
    while (at := at + fleet.random.uniform(0.2, 2.0)) < seconds:
        share = fleet.random.uniform(0.1, 0.6)
        names = fleet.random.sample(fleet.names, max(1, int(share * len(fleet.names))))
        away_s = fleet.random.uniform(0.5, 4.0)
        match fleet.random.choice(["stop", "kill", "freeze", "cut", "replace"]):
            case "cut":
                fleet.at(at, fleet.cut, names, fleet.random.choice([1, 2]))
                fleet.at(at + away_s, fleet.heal)
            case "replace":
                fleet.at(at, fleet.replace, names[0], f"new-{at:.3f}")
            case "freeze":
                for name in names:
                    fleet.at(at, fleet.freeze, name)
                    fleet.at(at + away_s, fleet.thaw, name)
            case ends:
                for name in names:
                    fleet.at(at, getattr(fleet, ends), name)
                    fleet.at(at + away_s, fleet.start, name)
