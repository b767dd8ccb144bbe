"""Simulates VMs, callers and endpoints with rate limits in virtual time."""

import collections
import heapq
import itertools
import random
import types

import attrs
import result

import fleet_builders
import gateway_builders
import virtual_time
from mothworks import peers
from mothworks_gateway import (
    aggregation,
    caller_request,
    declarations,
    discovery,
    endpoint_limits,
    error_rates,
    feeding,
    fleet_size,
    health,
    heartbeat,
    lease,
    owners,
    registry,
    running_requests,
    send_slots,
    shared_budgets,
    shared_health,
    sliding_windows,
)

#: Time from a request's arrival at its endpoint to the head of its answer, seconds.
ANSWER_S = 0.03
#: Step of the virtual clock, seconds.
STEP_S = 0.01
#: Longest wait of a request for a slot, seconds.
MAX_WAIT_S = 1.0
#: What an endpoint may receive in a window of WINDOW_S seconds: the limit times
#: ALLOWED_FACTOR, plus ALLOWED_EXTRA requests. A VM's requests count once GRACE_S
#: seconds have passed since its first answer with the limit.
WINDOW_S, ALLOWED_FACTOR, ALLOWED_EXTRA, GRACE_S = 4.0, 1.5, 5, 0.5


@attrs.define
class Endpoint:
    """An endpoint and the requests that it received.

    :param registered: the endpoint in the registry of the VMs.
    :param per_s: the limit that it reports now, requests per second; None for none.
    :param arrivals: the time, VM and limit of each request.
    """

    registered: registry.Endpoint
    per_s: float | None = None
    arrivals: list = attrs.field(factory=list)

    def arrivals_between(self, since, until):
        return [item for item in self.arrivals if since <= item[0] < until]

    def worst_ratio(self):
        """Return the highest ratio of received to allowed requests of all windows.

        Only requests of VMs that know the limit count.
        """
        informed_at_by_vm = {}
        times = []
        for at, vm, per_s in self.arrivals:
            if per_s is None:
                informed_at_by_vm.clear()
            elif at >= informed_at_by_vm.setdefault(vm, at + ANSWER_S) + GRACE_S:
                times.append((at, per_s))
        worst_ratio = 0.0
        for at, per_s in times:
            count = sum(at <= other <= at + WINDOW_S for other, _ in times)
            allowed = int(ALLOWED_FACTOR * per_s * WINDOW_S + ALLOWED_EXTRA)
            worst_ratio = max(worst_ratio, count / allowed)
        return worst_ratio


class Vm:
    """One VM with its heartbeats, limits and send slots, without a network."""

    def __init__(self, name, fleet):
        parts = {
            lease.Lease: types.SimpleNamespace(holder=lambda: ""),
            declarations.Declarations: types.SimpleNamespace(version=1),
            discovery.Discovery: types.SimpleNamespace(
                registry=fleet.registry_view, changed_at=1
            ),
            feeding.FeedFollowers: None,
        }
        kernel = fleet_builders.make_kernel(name, fleet.names, fleet.network, parts)
        kernel.parts[peers.Peers] = fleet_builders.SplitPeers(
            name, fleet.network, fleet.names
        )
        kernel.parts[heartbeat.Heartbeats] = self.heartbeats = heartbeat.Heartbeats(
            kernel
        )
        for part_class in (
            running_requests.RunningRequests,
            health.Health,
            shared_health.SharedHealth,
            owners.Owners,
            fleet_size.FleetSize,
            shared_budgets.SharedBudgets,
        ):
            kernel.parts[part_class] = part_class(kernel)
        self.limits = fleet_builders.add_endpoint_limits(kernel)
        for part_class in (aggregation.Aggregation, send_slots.SendSlots):
            kernel.parts[part_class] = part_class(kernel)
        self.kernel = kernel
        self.slots = kernel.get(send_slots.SendSlots)


class Fleet:
    """VMs that send four heartbeats a second, endpoints, and callers.

    :param count: number of VMs.
    :param endpoints: number of endpoints.
    """

    def __init__(self, monkeypatch, count, endpoints=1, seed=1):
        modules = (
            endpoint_limits,
            aggregation,
            health,
            running_requests,
            owners,
            heartbeat,
            error_rates,
            send_slots,
            shared_budgets,
            sliding_windows,
        )
        self.clock = virtual_time.Clock(monkeypatch, *modules)
        self.rng = random.Random(seed)
        random.seed(seed)
        self.network = fleet_builders.SplitNetwork()
        self.registry_view = registry.Registry()
        # The revision in all heartbeats, so that no VM requests missing updates.
        self.registry_view.cursor = 1
        self.endpoints = [
            Endpoint(gateway_builders.endpoint(f"i-{n}")) for n in range(endpoints)
        ]
        self.registry_view.by_id = {
            item.registered.id: item.registered for item in self.endpoints
        }
        self.names = fleet_builders.vm_names(count)
        self.vm_by_name = {name: Vm(name, self) for name in self.names}
        self.scheduled = []
        self.sequence = itertools.count()
        self.waits = []
        self.refusals = []
        self.began = collections.Counter()
        self.steps = 0
        self.run(2.0, 0.0)

    @property
    def now(self):
        return self.clock.now

    def schedule(self, run_at, action, *arguments):
        heapq.heappush(self.scheduled, (run_at, next(self.sequence), action, arguments))

    def run(self, seconds, per_s, vms=None):
        """Advance the clock while callers send requests.

        :param per_s: requests per second of all callers.
        :param vms: the VMs that receive them; all by default.
        """
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self.steps += 1
            while self.scheduled and self.scheduled[0][0] <= self.now:
                _, _, action, arguments = heapq.heappop(self.scheduled)
                action(*arguments)
            expected_arrivals = per_s * STEP_S
            arrivals_now = int(expected_arrivals) + (
                self.rng.random() < expected_arrivals % 1
            )
            for _ in range(arrivals_now):
                self.send_request(vms)
            if self.steps % 25 == 0:
                self.send_heartbeats()

    def send_heartbeats(self):
        for name in self.rng.sample(self.names, len(self.names)):
            if name not in self.network.down:
                self.vm_by_name[name].heartbeats.send()

    def send_request(self, vms=None):
        """Send one caller's request to a random VM."""
        live_vms = [vm for vm in vms or self.names if vm not in self.network.down]
        self.process_request(self.rng.choice(live_vms), self.now)

    def process_request(self, name, requested_at):
        ranked = [item.registered for item in self.endpoints]
        self.rng.shuffle(ranked)
        max_wait_s = requested_at + MAX_WAIT_S - self.now
        acquired = self.acquire(name, gateway_builders.request(), ranked, max_wait_s)
        match acquired:
            case result.Ok(slot):
                self.schedule(
                    max(slot.at, self.now), self.send, name, slot, requested_at
                )
            case result.Err(at_limit):
                self.refusals.append((self.now, at_limit))

    def acquire(
        self, name: str, request: caller_request.CallerRequest, ranked, max_wait_s
    ):
        return self.vm_by_name[name].slots.acquire(request, ranked, max_wait_s)

    def send(self, name, slot, requested_at):
        if name in self.network.down:
            return
        if not self.vm_by_name[name].slots.wait(slot):
            self.process_request(name, requested_at)
            return
        self.waits.append(self.now - requested_at)
        endpoint = next(i for i in self.endpoints if i.registered is slot.endpoint)
        endpoint.arrivals.append((self.now, name, endpoint.per_s))
        self.schedule(
            self.now + ANSWER_S,
            self.deliver_answer,
            name,
            endpoint,
            endpoint.per_s,
            self.now,
        )

    def deliver_answer(self, name, endpoint, per_s, sent_at):
        if name not in self.network.down:
            limits = self.vm_by_name[name].limits
            limits.observe(endpoint.registered, per_s, sent_at, "q-1")

    def stop_vms(self, names):
        """Stop VMs without notice."""
        self.network.down |= set(names)

    def start_vms(self, names):
        """Start VMs without any state."""
        for name in names:
            self.vm_by_name[name] = Vm(name, self)
            self.network.down.discard(name)

    def partition(self, names):
        """Cut off some VMs from all others; they reach each other and the endpoints."""
        for name in names:
            self.network.group_by_vm[name] = 1

    def end_partition(self):
        self.network.group_by_vm.clear()

    def update_membership(self):
        """Update the membership of all VMs by who reaches whom."""
        for name, vm in self.vm_by_name.items():
            fleet_builders.update_membership(vm.kernel, name, self.names, self.network)

    def owner_of(self, endpoint):
        slots = self.vm_by_name[self.names[0]].slots
        key = send_slots.owner_key(endpoint.registered.id)
        return slots.budgets.owners.ranked(key)[0]
