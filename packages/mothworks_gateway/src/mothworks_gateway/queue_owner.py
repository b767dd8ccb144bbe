"""The owner of a service's queue: decides for all VMs which request runs where.

Each service has one owner among the VMs (:mod:`owners`). It replies to each request at
once, and pushes its decision about one that waits. All of its state can be rebuilt from
the other VMs: they repeat what waits four times a second, and report what they run.

During a partition two VMs may be the owner. So an owner grants only while it receives
heartbeats from most candidates, and no more than its share of the places
(:meth:`shared_budgets.SharedBudgets.share`).
"""

import collections
import collections.abc
import math
import time

import attrs
import gevent.event
import logbook

from mothworks import kernel, logs, membership, peers
from mothworks_gateway import (
    declaration_types,
    declarations,
    discovery,
    endpoint_queue,
    endpoint_speeds,
    prefill_speed,
    queue_messages,
    running_requests,
    shared_budgets,
    shared_speeds,
)

log = logbook.Logger("queue_owner")

#: Time after which a waiting request that its VM did not repeat is dropped, seconds:
#: three repetitions.
WAITING_EXPIRY_S = 0.75
#: Time after which a granted request that its VM did not report is dropped, seconds:
#: two reports and a half.
GRANT_EXPIRY_S = 5.0
#: Time for which a new owner also counts the runs in heartbeats, seconds: by then, all
#: VMs have reported what they run.
TAKEOVER_S = 3.0
#: Interval between checks of capacities and expiries while a queue is in use, seconds.
CHECK_INTERVAL_S = 0.25
#: Interval between publications of the endpoints' speeds, seconds.
PUBLISH_INTERVAL_S = 1.0
#: Shortest time until a scheduled decision, seconds.
MIN_TIMER_S = 0.001
#: Share of the time that decisions may take, and the time that they may take ahead of
#: that share, seconds. Beyond it, decisions pause, and what arrives meanwhile is
#: decided together: otherwise a busy owner replies too late, and VMs do without it.
DECISION_SHARE = 0.25
MAX_AHEAD_S = 0.01
#: Longest pause, seconds.
MAX_PAUSE_S = 0.02
#: Time until its first event, relative to the expected one, from which a run is
#: reported to the speed estimator as overdue: below, it is within the usual spread.
OVERDUE_FACTOR = 1.5
#: Share of a sample in the mean time to the first event.
FIRST_EVENT_SHARE = 0.05
#: Unread prompts of an endpoint whose streams may pause as they like, seconds.
DEFAULT_MAX_UNREAD_S = 0.15
#: Share of the shortest allowed pause for which unread prompts may occupy an endpoint;
#: the rest is left for prompts that are longer than estimated.
MAX_UNREAD_SHARE = 0.5

#: The VM of a request and its ticket there.
Key = tuple[str, int]
#: Called with a reply to a request of this VM.
Deliver = collections.abc.Callable[[queue_messages.QueueReply], None]


@attrs.define
class _Entry:
    """A request that waits or was granted.

    :param message: what its VM asked for; None if a former owner granted it.
    :param seen_at: monotonic time at which its VM last reported it.
    :param endpoint_id: the endpoint that was granted; empty while it waits.
    :param granted_at: monotonic time of the grant.
    :param has_begun: whether its first event arrived.
    """

    message: queue_messages.QueueRequest | None
    seen_at: float
    endpoint_id: str = ""
    granted_at: float = 0.0
    has_begun: bool = False


class _ServiceQueue:
    """The queue of one service, and what its owner knows besides.

    :param speeds: the estimator of its endpoints' speeds.
    :param now: monotonic time.
    """

    def __init__(self, speeds: endpoint_speeds.SpeedEstimator, now: float):
        self.queue = endpoint_queue.EndpointQueue()
        self.speeds = speeds
        self.published_at = now
        #: Monotonic times since which this VM owns the queue, and of the last request.
        self.since = now
        self.used_at = now
        #: The VMs that have reported what they run since then.
        self.reported_vms: set[str] = set()
        self.entry_by_key: dict[Key, _Entry] = {}
        #: Numbers of granted requests by endpoint's id.
        self.granted_by_id: collections.Counter[str] = collections.Counter()
        self.capacities_at = -CHECK_INTERVAL_S
        self.known_ids: set[str] = set()
        #: Monotonic time by which the decisions so far have used their share.
        self.used_until = 0.0
        #: Monotonic time before which no decision is made, and whether one is due then.
        self.paused_until = 0.0
        self.has_changed = False
        #: Mean time from a grant to the first event, seconds; 0 if unknown.
        self.first_event_s = 0.0

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return len(self.entry_by_key) - self.granted_by_id.total()

    def pause(self, began_at: float, ended_at: float) -> None:
        """Pause after a decision if decisions have used more than their share.

        :param began_at: monotonic time at which the decision began.
        :param ended_at: monotonic time at which it ended.
        """
        used_s = (ended_at - began_at) / DECISION_SHARE
        self.used_until = max(self.used_until, began_at) + used_s
        ahead_s = self.used_until - ended_at
        self.used_until = min(self.used_until, ended_at + MAX_AHEAD_S + MAX_PAUSE_S)
        if ahead_s > MAX_AHEAD_S:
            self.paused_until = ended_at + min(MAX_PAUSE_S, ahead_s - MAX_AHEAD_S)

    def due_at(self) -> float:
        """Return the monotonic time at which a decision is due."""
        if self.has_changed:
            return self.paused_until
        next_at = self.queue.next_at()
        return math.inf if next_at is None else max(next_at, self.paused_until)

    def grant(self, key: Key, endpoint_id: str, now: float) -> None:
        """Record a grant."""
        entry = self.entry_by_key[key]
        entry.endpoint_id, entry.granted_at = endpoint_id, now
        entry.seen_at = now
        self.granted_by_id[endpoint_id] += 1

    def remove(self, key: Key) -> _Entry | None:
        """Remove a request; returns it if it was known."""
        entry = self.entry_by_key.pop(key, None)
        if entry is not None and entry.endpoint_id:
            self.granted_by_id[entry.endpoint_id] -= 1
        return entry

    def apply(self, vm: str, row: queue_messages.EventRow, now: float) -> None:
        """Apply one event of a VM."""
        # Later versions may add columns.
        ticket, _, kind, endpoint_id, tokens, seconds = row[:6]
        key = (vm, ticket)
        match kind:
            case queue_messages.EventKind.BEGAN:
                self._on_began(key, tokens, seconds, now)
            case queue_messages.EventKind.ENDED:
                entry = self.remove(key)
                if seconds > 0:
                    self.queue.ended(key, now)
                else:
                    # A failed attempt is no sample of the length of runs.
                    self.queue.withdraw(key, now)
                if entry is not None and entry.endpoint_id:
                    self._sample_end(entry, tokens, seconds, now)
            case queue_messages.EventKind.FULL:
                self.remove(key)
                self.queue.was_full(key, now)
            case queue_messages.EventKind.WITHDRAWN:
                self.remove(key)
                self.queue.withdraw(key, now)
            case queue_messages.EventKind.HOLDS:
                self.reported_vms.add(vm)
                self._on_holds(key, endpoint_id, tokens, seconds >= 0, now)

    def _on_began(self, key: Key, tokens: int, seconds: float, now: float) -> None:
        entry = self.entry_by_key.get(key)
        self.queue.began(key, now)
        if entry is None or entry.has_begun or not entry.endpoint_id:
            return
        entry.has_begun = True
        entry.seen_at = now
        self._add_first_event(seconds)
        if tokens > 0 and entry.message is not None:
            model = entry.message.model
            self.speeds.add_prefill(entry.endpoint_id, model, tokens, seconds, now)

    def _sample_end(
        self, entry: _Entry, tokens: int, seconds: float, now: float
    ) -> None:
        if entry.message is None or seconds <= 0:
            return
        model = entry.message.model
        if tokens > 0:
            self.speeds.add_decode(entry.endpoint_id, model, tokens, seconds, now)
        elif not model:
            self.speeds.add_decode(entry.endpoint_id, model, 1, seconds, now)
            self._add_first_event(seconds)
        self.speeds.add_run(model, now - entry.granted_at, now)

    def _add_first_event(self, seconds: float) -> None:
        previous_s = self.first_event_s or seconds
        self.first_event_s = previous_s + FIRST_EVENT_SHARE * (seconds - previous_s)

    def _on_holds(
        self, key: Key, endpoint_id: str, tokens: int, has_begun: bool, now: float
    ) -> None:
        entry = self.entry_by_key.get(key)
        if entry is not None and entry.endpoint_id == endpoint_id:
            entry.seen_at = now
            return
        if endpoint_id not in self.known_ids:
            return
        self.remove(key)
        self.entry_by_key[key] = _Entry(None, now, has_begun=has_begun)
        self.grant(key, endpoint_id, now)
        self.queue.adopt(key, endpoint_id, tokens, has_begun, now)

    def expire(self, now: float) -> None:
        """Drop the requests that their VMs no longer report."""
        for key, entry in list(self.entry_by_key.items()):
            expiry_s = GRANT_EXPIRY_S if entry.endpoint_id else WAITING_EXPIRY_S
            if now - entry.seen_at > expiry_s:
                self.remove(key)
                self.queue.withdraw(key, now)

    def drop_vm(self, vm: str, now: float) -> None:
        """Drop all requests of a VM."""
        for key in [key for key in self.entry_by_key if key[0] == vm]:
            self.remove(key)
        self.queue.drop_vm(vm, now)

    def report_overdue(self, now: float) -> None:
        """Report the runs that should have begun to the speed estimator."""
        for entry in self.entry_by_key.values():
            if not entry.endpoint_id or entry.has_begun or not self.first_event_s:
                continue
            expected_s = self.first_event_s
            if entry.message is not None and entry.message.prompt_tokens:
                # The speed of the endpoint must not count twice.
                tokens_per_s = self.speeds.prefill_tokens_per_s("", now)
                prompt_s = entry.message.prompt_tokens / tokens_per_s
                expected_s = max(expected_s, prompt_s)
            waited_s = now - entry.granted_at
            if waited_s > OVERDUE_FACTOR * expected_s:
                self.speeds.overdue(entry.endpoint_id, expected_s, waited_s, now)

    def set_capacities(
        self, capacity_by_id: dict[str, endpoint_queue.Capacity], now: float
    ) -> None:
        """Set what the endpoints can run now."""
        for endpoint_id in self.known_ids - capacity_by_id.keys():
            self.speeds.forget(endpoint_id)
            for key, entry in list(self.entry_by_key.items()):
                if entry.endpoint_id == endpoint_id:
                    self.remove(key)
            del self.granted_by_id[endpoint_id]
        self.known_ids = set(capacity_by_id)
        self.capacities_at = now
        self.queue.set_capacities(capacity_by_id, now)


class QueueOwner(kernel.Part):
    """Owns the queues of some services.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.data_centre = node_kernel.settings.data_centre
        self.peers = node_kernel.get(peers.Peers)
        self.membership = node_kernel.get(membership.Membership)
        self.registry = node_kernel.get(discovery.Discovery).registry
        self.declarations = node_kernel.get(declarations.Declarations)
        self.running_requests = node_kernel.get(running_requests.RunningRequests)
        self.budgets = node_kernel.get(shared_budgets.SharedBudgets)
        self.shared_speeds = node_kernel.get(shared_speeds.SharedSpeeds)
        self.prefill_speed = node_kernel.get(prefill_speed.PrefillSpeed)
        self.queue_by_service: dict[str, _ServiceQueue] = {}
        #: Delivers replies to this VM's own requests.
        self.deliver_to_self: Deliver = lambda reply: None
        #: Set while a queue has requests.
        self.in_use = gevent.event.Event()
        #: Set to decide before the time that was scheduled.
        self.woken = gevent.event.Event()
        #: Monotonic time of the next scheduled decision.
        self.due_at = 0.0
        self.peers.handle(queue_messages.QueueRequest, self._serve)
        self.peers.handle(
            queue_messages.RunEvents,
            lambda vm, message, _: self.apply_events(vm, message.rows),
        )
        self.peers.handle(
            queue_messages.QueueRepeat,
            lambda vm, message, reply: reply(self.repeat(vm, message)),
        )
        self.peers.on_disconnect.append(self._drop_vm)
        self.registry.on_change.append(self._on_registry_change)
        self.waiting_gauge = node_kernel.metrics.gauge(
            "queue_waiting", "Requests that wait in the queue of a service, by service."
        )

    def start(self) -> None:
        """Start to decide when time passes."""
        self.tasks.spawn(self._run)

    def request(
        self, vm: str, message: queue_messages.QueueRequest
    ) -> queue_messages.QueueReply:
        """Grant, queue or refuse a request at once.

        :param vm: the VM that asks.
        :param message: the request.
        """
        if not self._is_owner(message.service):
            return queue_messages.QueueReply(False, message.ticket)
        now = time.monotonic()
        served = self._queue_of(message.service, now)
        # A VM reports its runs before it asks a new owner.
        served.reported_vms.add(vm)
        key = (vm, message.ticket)
        entry = served.entry_by_key.get(key)
        if entry is not None and entry.endpoint_id:
            # The reply or the push that granted it was lost.
            entry.seen_at = now
            return _granted(message.ticket, entry.endpoint_id)
        self._refresh_if_due(message, served, now)
        is_known = entry is not None and entry.message is not None
        if is_known and entry.message.endpoint_ids == message.endpoint_ids:
            entry.seen_at = now
            return self._queued(served, key, now)
        served.entry_by_key[key] = _Entry(message, now)
        served.queue.add(self._waiting_request(key, message, now), now)
        if now < served.paused_until and served.waiting_count > 1:
            # A decision about a single request is cheap.
            self._decide_later(served)
            return queue_messages.QueueReply(True, message.ticket)
        reply = self._decide(message.service, served, now, key)
        return reply or self._queued(served, key, now)

    def apply_events(
        self, vm: str, rows: collections.abc.Iterable[queue_messages.EventRow]
    ) -> None:
        """Apply what a VM reports about its requests.

        :param vm: the VM.
        :param rows: the events, in order.
        """
        now = time.monotonic()
        changed = {}
        for row in rows:
            served = self.queue_by_service.get(row[1])
            if served is None and row[2] == queue_messages.EventKind.HOLDS:
                if not self._is_owner(row[1]):
                    continue
                served = self._queue_of(row[1], now)
            if served is not None:
                served.apply(vm, row, now)
                changed[row[1]] = served
        for service, served in changed.items():
            if now < served.paused_until and served.waiting_count:
                self._decide_later(served)
            else:
                self._decide(service, served, now)

    def repeat(
        self, vm: str, message: queue_messages.QueueRepeat
    ) -> queue_messages.QueueRepeatReply:
        """Keep the requests that a VM repeats; a lost grant is sent again.

        :param vm: the VM.
        :param message: its waiting requests.
        """
        now = time.monotonic()
        unknown = []
        for service, tickets in message.tickets_by_service.items():
            served = self.queue_by_service.get(service)
            if served is None or not self._is_owner(service):
                unknown += tickets
                continue
            for ticket in tickets:
                entry = served.entry_by_key.get((vm, ticket))
                if entry is None:
                    unknown.append(ticket)
                    continue
                entry.seen_at = now
                if entry.endpoint_id:
                    self._push(vm, _granted(ticket, entry.endpoint_id))
        return queue_messages.QueueRepeatReply(tuple(unknown))

    def _serve(
        self, vm: str, message: queue_messages.QueueRequest, reply: peers.Reply
    ) -> None:
        reply(self.request(vm, message))

    def _is_owner(self, service: str) -> bool:
        """Return whether this VM grants places, and no VM that ranks before it does.

        A VM that is not connected to the owner asks the next one. If both granted
        places, they would grant twice as many as there are.
        """
        if not self.budgets.may_grant():
            return False
        for vm in self.budgets.owners.ranked(queue_messages.owner_key(service)):
            if vm == self.name:
                return True
            if self.peers.is_connected(vm) and self.budgets.is_responsive(vm):
                return False
        return False

    def _queue_of(self, service: str, now: float) -> _ServiceQueue:
        served = self.queue_by_service.get(service)
        if served is None:
            speeds = self.shared_speeds.new_estimator(service, now)
            served = self.queue_by_service[service] = _ServiceQueue(speeds, now)
            self._refresh(service, served, now)
        elif now - served.used_at > TAKEOVER_S:
            # Another VM may have owned the queue meanwhile.
            served.since = now
            served.reported_vms.clear()
        served.used_at = now
        if not self.in_use.is_set():
            self.in_use.set()
        return served

    def _refresh_if_due(
        self, message: queue_messages.QueueRequest, served: _ServiceQueue, now: float
    ) -> None:
        """Update the capacities if they are old or lack an endpoint of a request."""
        is_new = any(
            endpoint_id not in served.known_ids and endpoint_id in self.registry.by_id
            for endpoint_id in message.endpoint_ids
        )
        if is_new or now - served.capacities_at > 2 * CHECK_INTERVAL_S:
            self._refresh(message.service, served, now)

    def _waiting_request(
        self, key: Key, message: queue_messages.QueueRequest, now: float
    ) -> endpoint_queue.WaitingRequest:
        endpoint_ids = tuple(message.endpoint_ids)
        data_centre = self._data_centre_of(key[0])
        by_id = self.registry.by_id
        local_ids = frozenset(
            endpoint_id
            for endpoint_id in endpoint_ids
            if endpoint_id in by_id
            and by_id[endpoint_id].entry.data_centre == data_centre
        )
        urgency = min(max(message.urgency, 0), declaration_types.LOWEST_URGENCY)
        return endpoint_queue.WaitingRequest(
            key=key,
            endpoint_ids=endpoint_ids,
            local_ids=local_ids,
            prompt_tokens=max(0, message.prompt_tokens),
            shared_tokens=max(0, message.shared_tokens),
            memory_tokens=self._memory_tokens(message),
            urgency=urgency,
            account=message.account,
            weight=message.weight if message.weight > 0 else 1.0,
            arrived_at=now - message.waited_s,
            objective_at=now + message.objective_in_s,
            send_by=now + message.send_in_s,
            is_patient=message.is_patient,
        )

    def _memory_tokens(self, message: queue_messages.QueueRequest) -> int:
        """Return the memory of a request, at most that of an empty endpoint.

        Callers declare it; more would never have room, though the endpoint may run it.
        """
        limit = int(self._kv_tokens(message.service) * self.budgets.share())
        return min(max(0, message.memory_tokens), limit)

    def _kv_tokens(self, service: str) -> int:
        current = self.declarations.current
        declared = current.service_by_name.get(service) if current else None
        accelerator = declared.accelerator if declared else None
        return accelerator.kv_tokens if accelerator else 0

    def _data_centre_of(self, vm: str) -> str:
        if vm == self.name:
            return self.data_centre
        member = self.membership.find(vm)
        return member.data_centre if member else ""

    def _queued(
        self, served: _ServiceQueue, key: Key, now: float
    ) -> queue_messages.QueueReply:
        wait_s = served.queue.expected_wait_s(key, now)
        ahead = max(0, served.waiting_count - 1)
        return queue_messages.QueueReply(True, key[1], wait_s=wait_s, ahead=ahead)

    def _decide(
        self,
        service: str,
        served: _ServiceQueue,
        now: float,
        asking: Key | None = None,
    ) -> queue_messages.QueueReply | None:
        """Send out the decisions that are due; returns the one for an asking VM."""
        if asking is None and not self._is_owner(service):
            served.paused_until = now + MAX_PAUSE_S
            return None
        reply = None
        served.has_changed = False
        decisions = served.queue.decide(now)
        served.pause(now, time.monotonic())
        for decision in decisions:
            decided = self._record(served, decision, now)
            if decided is None:
                continue
            if decision.key == asking:
                reply = decided
            else:
                self._push(decision.key[0], decided)
        if served.due_at() < self.due_at:
            self.woken.set()
        return reply

    def _decide_later(self, served: _ServiceQueue) -> None:
        """Decide once the pause after the last decision is over."""
        if not served.has_changed:
            served.has_changed = True
            if served.paused_until < self.due_at:
                self.woken.set()

    def _record(
        self,
        served: _ServiceQueue,
        decision: endpoint_queue.Granted | endpoint_queue.Refused,
        now: float,
    ) -> queue_messages.QueueReply | None:
        """Record a decision; returns the reply unless the request is gone."""
        ticket = decision.key[1]
        entry = served.entry_by_key.get(decision.key)
        if entry is None:
            served.queue.withdraw(decision.key, now)
            return None
        match decision:
            case endpoint_queue.Granted(endpoint_id=endpoint_id):
                if not entry.endpoint_id:
                    served.grant(decision.key, endpoint_id, now)
                return _granted(ticket, entry.endpoint_id)
            case endpoint_queue.Refused(retry_after_s=retry_after_s, reason=reason):
                ahead = max(0, served.waiting_count - 1)
                served.remove(decision.key)
                return queue_messages.QueueReply(
                    True,
                    ticket,
                    retry_after_s=retry_after_s,
                    reason=reason,
                    ahead=ahead,
                )

    def _push(self, vm: str, reply: queue_messages.QueueReply) -> None:
        if vm == self.name:
            self.deliver_to_self(reply)
        else:
            self.peers.send_nowait(vm, reply)

    def _run(self) -> None:
        """Decide again whenever time alone may change a decision."""
        checked_at = 0.0
        while True:
            self.in_use.wait()
            self.due_at = self._next_due_at(checked_at + CHECK_INTERVAL_S)
            if self.woken.wait(max(MIN_TIMER_S, self.due_at - time.monotonic())):
                # Something is due earlier than before.
                self.woken.clear()
                continue
            now = time.monotonic()
            is_check = now - checked_at >= CHECK_INTERVAL_S
            if is_check:
                checked_at = now
            for service, served in list(self.queue_by_service.items()):
                if is_check:
                    self._check(service, served, now)
                if served.due_at() <= now:
                    self._decide(service, served, now)
            if not any(item.entry_by_key for item in self.queue_by_service.values()):
                self.in_use.clear()
                self.waiting_gauge.values.clear()

    def _next_due_at(self, check_at: float) -> float:
        due = (served.due_at() for served in self.queue_by_service.values())
        return min([check_at, *due])

    def _check(self, service: str, served: _ServiceQueue, now: float) -> None:
        """Update the capacities, and drop what is no longer reported."""
        served.expire(now)
        served.report_overdue(now)
        self._refresh(service, served, now)
        if now >= served.published_at + PUBLISH_INTERVAL_S and self._is_owner(service):
            served.published_at = now
            self.shared_speeds.publish(service, served.speeds, now)
        self.waiting_gauge.set({"service": service}, served.waiting_count)

    def _on_registry_change(self) -> None:
        now = time.monotonic()
        for service, served in self.queue_by_service.items():
            if served.entry_by_key:
                self._refresh(service, served, now)
                self.woken.set()

    def _refresh(self, service: str, served: _ServiceQueue, now: float) -> None:
        """Update what the endpoints of a service can run."""
        declaration = self.declarations.current
        max_unread_s = DEFAULT_MAX_UNREAD_S
        gap_s = declaration.shortest_max_gap_s(service) if declaration else 0.0
        if gap_s:
            max_unread_s = MAX_UNREAD_SHARE * gap_s
        share = self.budgets.share()
        memory_tokens = int(self._kv_tokens(service) * share)
        default_tokens_per_s = self.prefill_speed.tokens_per_s(service)
        served.set_capacities(
            {
                endpoint.id: endpoint_queue.Capacity(
                    slots=max(1, int(endpoint.entry.batch_slots * share)),
                    memory_tokens=memory_tokens,
                    prefill_tokens_per_s=served.speeds.prefill_tokens_per_s(
                        endpoint.id, now, default_tokens_per_s
                    ),
                    speed=served.speeds.speed(endpoint.id, now),
                    max_unread_s=max_unread_s,
                    # Whether an endpoint wants no requests of a VM is known to that VM,
                    # which does not name it then.
                    accepts=endpoint.available,
                )
                for endpoint in self.registry.by_id.values()
                if endpoint.entry.service == service
            },
            now,
        )
        served.queue.set_outside(self._outside(served, now))

    def _outside(self, served: _ServiceQueue, now: float) -> dict[str, int]:
        """Return the runs that a new owner does not know yet, by endpoint's id.

        They are those in the heartbeats of VMs that have not reported their runs.
        """
        if now - served.since > TAKEOVER_S:
            return {}
        totals = self.running_requests.totals
        if totals is None:
            return self.running_requests.running_without(served.reported_vms)
        # Totals do not say which VM runs what.
        unknown_share = 1 - len(served.reported_vms) / max(1, self.budgets.fleet.live)
        return {
            endpoint_id: math.ceil(
                max(0.0, unknown_share)
                * (
                    self.running_requests.of_endpoint(endpoint_id)
                    - served.granted_by_id[endpoint_id]
                )
            )
            for endpoint_id in served.known_ids
        }

    def _drop_vm(self, vm: str) -> None:
        """Drop the requests of a VM whose connection closed."""
        now = time.monotonic()
        for service, served in self.queue_by_service.items():
            before = len(served.entry_by_key)
            served.drop_vm(vm, now)
            dropped = before - len(served.entry_by_key)
            if dropped:
                logs.event(
                    log,
                    "queue",
                    service=service,
                    vm=vm,
                    requests=dropped,
                    outcome="dropped with its connection",
                )
                self.woken.set()


def _granted(ticket: int, endpoint_id: str) -> queue_messages.QueueReply:
    return queue_messages.QueueReply(True, ticket, endpoint_id)
