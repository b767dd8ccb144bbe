"""Endpoint rooms: permits to run a request on a fragile endpoint.

A fragile endpoint (:mod:`fragile_endpoints`) fails if it refuses more than a few
requests a second for lack of room, and its room may shrink without notice. So all VMs
together send it no more than it can run at once. Its owner among the VMs grants a
permit to each request, and the VM returns the permit once the request has ended.

Permits of a VM that falls silent are dropped. A new owner knows no permits; until the
requests of its predecessor have had time to end, it also counts the running requests
that VMs publish in their heartbeats. A refusal lowers the number of permits, which
recovers slowly, and none are granted while further refusals could be too many.
"""

import collections
import math
import random
import time

import attrs
import gevent
import gevent.event
import logbook

from mothworks import kernel, logs, messages, peers
from mothworks_gateway import (
    caller_request,
    declaration_types,
    discovery,
    fragile_endpoints,
    registry,
    running_requests,
    shared_budgets,
    sliding_windows,
)

log = logbook.Logger("endpoint_rooms")

#: Interval at which returned permits are sent to owners, seconds.
RETURN_INTERVAL_S = 0.04
#: Mean pause before a request without a permit asks again, seconds.
RETRY_INTERVAL_S = 0.06
#: Time for which a new owner also counts the requests in heartbeats, seconds.
TAKEOVER_S = 3.0
#: Longest time for which a permit is valid, seconds.
MAX_PERMIT_S = 120.0
#: Factor on the number of permits after a refusal, and the time after which one permit
#: is added again, seconds.
REFUSAL_FACTOR = 0.8
RECOVERY_INTERVAL_S = 2.0
#: Share of the refusals that an endpoint bears in a second, after which no permits are
#: granted until the second is over.
MAX_REFUSAL_SHARE = 0.5
#: Share of the permits that each rank of urgency leaves to more urgent requests.
RESERVED_SHARE = 0.05
#: Most endpoints that are asked for one request before it waits.
MAX_TRIED = 3
#: Retry-After if no endpoint has room, seconds.
NO_ROOM_RETRY_S = 0.5


@messages.message(143)
@attrs.frozen
class PermitRequest:
    """Requests a permit from the owner of an endpoint's room.

    :param endpoint_id: the endpoint.
    :param max_refusals_per_s: refusals per second that it announced to bear.
    :param urgency: rank of the request.
    """

    endpoint_id: str
    max_refusals_per_s: float
    urgency: int


@messages.message(144)
@attrs.frozen
class PermitReply:
    """The owner's reply.

    :param is_owner: whether the replying VM may act as the owner now.
    :param granted: whether the request got a permit.
    """

    is_owner: bool
    granted: bool = False


@messages.message(145)
@attrs.frozen
class PermitsReturned:
    """Returns permits whose requests have ended.

    :param endpoint_id: the endpoint.
    :param count: the number of permits.
    :param refusals: how many requests the endpoint refused since the last message.
    """

    endpoint_id: str
    count: int
    refusals: int


@attrs.define
class Room:
    """The permits of one endpoint, as its owner knows them.

    :param capacity: number of requests that may run at once.
    :param since: monotonic time since which this VM grants permits.
    :param granted_at_by_vm: monotonic times of the permits in use, by VM.
    :param refusals: refusals in the last second.
    :param changed_at: monotonic time at which the capacity last changed.
    """

    capacity: int
    since: float
    granted_at_by_vm: collections.defaultdict[str, collections.deque[float]] = (
        attrs.field(factory=lambda: collections.defaultdict(collections.deque))
    )
    refusals: sliding_windows.WindowedCount = attrs.field(
        factory=lambda: sliding_windows.WindowedCount(1.0)
    )
    changed_at: float = 0.0

    def in_use(self, now: float) -> int:
        """Return the number of permits in use, without those that expired.

        :param now: monotonic time.
        """
        for granted_at in self.granted_at_by_vm.values():
            while granted_at and now - granted_at[0] > MAX_PERMIT_S:
                granted_at.popleft()
        return sum(map(len, self.granted_at_by_vm.values()))

    def capacity_for(self, urgency: int) -> int:
        """Return how many requests may run when one of some urgency is added.

        :param urgency: its rank.
        """
        rank = min(max(urgency, 0), declaration_types.LOWEST_URGENCY)
        return max(1, math.ceil(self.capacity * (1 - RESERVED_SHARE * rank)))

    def recover(self, slots: int, now: float) -> None:
        """Raise a capacity that refusals lowered.

        :param slots: the endpoint's batch slots.
        :param now: monotonic time.
        """
        steps = int((now - self.changed_at) / RECOVERY_INTERVAL_S)
        if steps and self.capacity < slots:
            self.capacity = min(slots, self.capacity + steps)
            self.changed_at = now

    def lower(self, now: float) -> None:
        """Lower the capacity after a refusal.

        :param now: monotonic time.
        """
        used = max(1, min(self.capacity, self.in_use(now)))
        self.capacity = max(1, int(used * REFUSAL_FACTOR))
        self.changed_at = now


class EndpointRooms(kernel.Part):
    """Grants permits for endpoints that this VM owns, and requests all others.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.peers = node_kernel.get(peers.Peers)
        self.registry = node_kernel.get(discovery.Discovery).registry
        self.fragile = node_kernel.get(fragile_endpoints.FragileEndpoints)
        self.running_requests = node_kernel.get(running_requests.RunningRequests)
        self.budgets = node_kernel.get(shared_budgets.SharedBudgets)
        self.room_by_id: dict[str, Room] = {}
        #: Permits that this VM holds, as their owners, by endpoint's id.
        self.owners_by_id: collections.defaultdict[str, collections.deque[str]] = (
            collections.defaultdict(collections.deque)
        )
        #: Permits whose requests do not count as running yet, by endpoint's id.
        self.starting: collections.Counter[str] = collections.Counter()
        #: Refusals that this VM received since the last message to the owner.
        self.refusals_by_id: collections.Counter[str] = collections.Counter()
        #: Set while this VM holds or grants permits.
        self.in_use = gevent.event.Event()
        self.peers.handle(PermitRequest, self._serve)
        self.peers.handle(PermitsReturned, self._on_returned)
        self.peers.on_disconnect.append(self._drop_permits_of)
        self.fragile.on_change.append(self._open_connection)

    def start(self) -> None:
        """Start to return permits whenever there are any."""
        self.tasks.spawn(self._return_while_in_use)

    def acquire(
        self,
        request: caller_request.CallerRequest,
        ranked: list[registry.Endpoint],
        max_wait_s: float,
    ) -> list[registry.Endpoint]:
        """Return the endpoints that a request may be sent to now.

        If one of several endpoints is not fragile, those that are not need no permit.
        Otherwise the request waits until an endpoint has room for it.

        :param request: the request.
        :param ranked: the endpoints that could run it, the best first.
        :param max_wait_s: longest wait, seconds.
        :returns: endpoints that need no permit, or one whose permit this VM holds now;
            none if no endpoint had room in time.
        """
        free = [item for item in ranked if not self._is_fragile(item)]
        if free or not ranked:
            return free
        wait_s = min(max_wait_s, request.route.objective_s)
        wait_until = time.monotonic() + wait_s
        while True:
            for endpoint in ranked[:MAX_TRIED]:
                if not endpoint.available:
                    continue
                if not self._is_fragile(endpoint):
                    return [endpoint]
                if self._request_permit(endpoint, request.urgency):
                    return [endpoint]
            pause_s = RETRY_INTERVAL_S * random.uniform(0.5, 1.5)
            if time.monotonic() + pause_s > wait_until:
                return []
            gevent.sleep(pause_s)

    def begin(self, endpoint: registry.Endpoint) -> None:
        """Record that a request that acquired a permit counts as running, or ended.

        :param endpoint: the endpoint.
        """
        if self.starting[endpoint.id] > 1:
            self.starting[endpoint.id] -= 1
        else:
            del self.starting[endpoint.id]

    def record_refusal(self, endpoint: registry.Endpoint) -> None:
        """Record that a fragile endpoint refused a request for lack of room.

        :param endpoint: the endpoint.
        """
        if self._is_fragile(endpoint):
            self.refusals_by_id[endpoint.id] += 1
            self._return_permits_of(endpoint.id)

    def _is_fragile(self, endpoint: registry.Endpoint) -> bool:
        return self.fragile.max_refusals_per_s(endpoint.id) is not None

    def _request_permit(self, endpoint: registry.Endpoint, urgency: int) -> bool:
        """Request a permit from the endpoint's owner; returns whether it is granted."""
        max_refusals_per_s = self.fragile.max_refusals_per_s(endpoint.id)
        message = PermitRequest(endpoint.id, max_refusals_per_s, urgency)
        for owner in self.budgets.responsive_owners(owner_key(endpoint.id)):
            reply = self._request_from(owner, message)
            if not isinstance(reply, PermitReply) or not reply.is_owner:
                continue
            if reply.granted:
                self.owners_by_id[endpoint.id].append(owner)
                self.starting[endpoint.id] += 1
                self.in_use.set()
            return reply.granted
        return False

    def _request_from(self, owner: str, message: PermitRequest) -> PermitReply | None:
        if owner == self.name:
            return self._grant(self.name, message)
        thing = f"the room of {message.endpoint_id}"
        try:
            return self.budgets.call_owner(owner, message, thing)
        except gevent.GreenletExit:
            # The caller left. The owner may have granted a permit all the same.
            self.owners_by_id[message.endpoint_id].append(owner)
            self.in_use.set()
            raise

    def _serve(self, vm: str, message: PermitRequest, reply: peers.Reply) -> None:
        reply(self._grant(vm, message))

    def _grant(self, vm: str, message: PermitRequest) -> PermitReply:
        endpoint = self.registry.by_id.get(message.endpoint_id)
        if endpoint is None or not self._is_owner(endpoint):
            return PermitReply(False)
        now = time.monotonic()
        room = self._room(endpoint, now)
        room.recover(self._slots(endpoint), now)
        max_refusals = max(1.0, MAX_REFUSAL_SHARE * message.max_refusals_per_s)
        is_exhausted = room.refusals.count() >= max_refusals
        capacity = room.capacity_for(message.urgency)
        if is_exhausted or self._used(endpoint, room, now) >= capacity:
            return PermitReply(True, False)
        room.granted_at_by_vm[vm].append(now)
        return PermitReply(True, True)

    def _is_owner(self, endpoint: registry.Endpoint) -> bool:
        """Return whether no VM that ranks before this one can grant permits.

        A VM that is not connected to the owner asks the next one. If both granted
        permits, they would grant twice as many as the endpoint has room for.
        """
        if not self.budgets.may_grant():
            return False
        for vm in self.budgets.owners.ranked(owner_key(endpoint.id)):
            if vm == self.name:
                return True
            if self.budgets.is_responsive(vm):
                return False
        return False

    def _used(self, endpoint: registry.Endpoint, room: Room, now: float) -> int:
        """Return the number of requests that may run on an endpoint now."""
        in_use = room.in_use(now)
        if now - room.since > TAKEOVER_S:
            return in_use
        return max(in_use, self.running_requests.of_endpoint(endpoint.id))

    def _room(self, endpoint: registry.Endpoint, now: float) -> Room:
        room = self.room_by_id.get(endpoint.id)
        if room is None:
            room = self.room_by_id[endpoint.id] = Room(self._slots(endpoint), now)
            self.in_use.set()
        return room

    def _slots(self, endpoint: registry.Endpoint) -> int:
        """Return how many requests an endpoint may run, as far as it is in reach.

        During a partition, each side may use its share of the VMs only.
        """
        return max(1, int(endpoint.entry.batch_slots * self.budgets.share()))

    def _return_while_in_use(self) -> None:
        while True:
            self.in_use.wait()
            gevent.sleep(RETURN_INTERVAL_S)
            self._return_permits()
            if not (self.owners_by_id or self.room_by_id):
                self.in_use.clear()

    def _return_permits(self) -> None:
        for endpoint_id in list(self.owners_by_id):
            self._return_permits_of(endpoint_id)
        self._drop_unused_rooms()

    def _return_permits_of(self, endpoint_id: str) -> None:
        """Return the permits of requests of this VM that have ended."""
        held = self.owners_by_id[endpoint_id]
        running = self.running_requests.running.by_endpoint[endpoint_id]
        running += self.starting[endpoint_id]
        returned: collections.Counter[str] = collections.Counter()
        while len(held) > running:
            returned[held.popleft()] += 1
        if not held:
            del self.owners_by_id[endpoint_id]
        refusals = self.refusals_by_id.pop(endpoint_id, 0)
        if refusals and not returned:
            ranked = self.budgets.responsive_owners(owner_key(endpoint_id))
            returned[ranked[0] if ranked else self.name] += 0
        for owner, count in returned.items():
            message = PermitsReturned(endpoint_id, count, refusals)
            refusals = 0
            if owner == self.name:
                self._apply_returned(self.name, message)
            else:
                self.peers.send_nowait(owner, message)

    def _on_returned(self, vm: str, message: PermitsReturned, _: peers.Reply) -> None:
        self._apply_returned(vm, message)

    def _apply_returned(self, vm: str, message: PermitsReturned) -> None:
        endpoint = self.registry.by_id.get(message.endpoint_id)
        if endpoint is None:
            return
        now = time.monotonic()
        room = self._room(endpoint, now)
        if message.refusals:
            for _ in range(message.refusals):
                room.refusals.add()
            room.lower(now)
            logs.event(
                log,
                "endpoint room",
                endpoint=endpoint.id,
                vm=vm,
                refusals=room.refusals.count(),
                capacity=room.capacity,
                outcome="lowered after a refusal",
            )
        granted_at = room.granted_at_by_vm[vm]
        for _ in range(min(message.count, len(granted_at))):
            granted_at.popleft()

    def _open_connection(self, endpoint_id: str) -> None:
        """Connect to the owner of a fragile endpoint before the first request."""
        owner = self.budgets.owners.ranked(owner_key(endpoint_id))[0]
        if owner != self.name:
            self.peers.open(owner)

    def _drop_permits_of(self, vm: str) -> None:
        """Drop the permits of a VM whose connection closed."""
        for room in self.room_by_id.values():
            room.granted_at_by_vm.pop(vm, None)

    def _drop_unused_rooms(self) -> None:
        """Drop the rooms of endpoints that are gone or not fragile any more."""
        for endpoint_id in list(self.room_by_id):
            if (
                endpoint_id not in self.registry.by_id
                or self.fragile.max_refusals_per_s(endpoint_id) is None
            ):
                del self.room_by_id[endpoint_id]


def owner_key(endpoint_id: str) -> str:
    """Return the key that decides which VM owns an endpoint's room.

    :param endpoint_id: the endpoint's id.
    """
    return f"room {endpoint_id}"
