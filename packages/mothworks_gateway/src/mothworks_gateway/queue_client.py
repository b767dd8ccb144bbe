"""Admission of requests to the queue of their service, at each VM.

Before a request is sent, this VM asks the owner of the queue (:mod:`queue_owner`) for a
place at an endpoint. While the request waits, it runs nowhere; the VM repeats all of
them four times a second, and asks the next owner if the owner is gone or has forgotten
them. Without an owner, requests are sent as if there were no queue.
"""

import collections
import contextlib
import itertools
import random
import time

import attrs
import gevent
import gevent.event
import logbook
import result

from mothworks import kernel, logs, peers
from mothworks_gateway import (
    caller_request,
    declarations,
    endpoint_selection,
    poison_requests,
    queue_messages,
    queue_owner,
    registry,
    request_progress,
    residency,
    shared_budgets,
)

log = logbook.Logger("queue_client")

#: Interval at which a waiting request is repeated, seconds: a third of the time after
#: which the owner drops it.
REPEAT_INTERVAL_S = queue_owner.WAITING_EXPIRY_S / 3
#: Timeout of a repetition, seconds: the next one is due by then.
REPEAT_TIMEOUT_S = REPEAT_INTERVAL_S
#: Time after which a waiting request is reported to the lease holder, seconds.
REPORT_AFTER_S = 0.25
#: Time without an owner's reply after which a request that waits is sent without the
#: queue, seconds: a new owner takes over half a second after the last heartbeat of the
#: former one. If all waiting requests were sent at once, endpoints would reject most.
NO_OWNER_GRACE_S = 1.0
#: Time for which an owner that replied counts as live, and timeout of a call to a live
#: one, seconds. After a timeout of the usual 40 ms, all requests of a VM would be sent
#: past the queue for a second, which fills the endpoints; a busy owner timed out 140
#: times in 16 s before 360 requests a second.
LIVE_S = 0.5
LIVE_TIMEOUT_S = 0.2
#: Repetitions without a reply in a row after which the owner counts as gone.
MAX_MISSED_REPEATS = 2
#: Shortest time between reports to a VM that is not known as the owner, seconds.
INTRODUCE_INTERVAL_S = 0.1
#: Interval at which granted requests are reported to the owner, seconds.
HOLDS_INTERVAL_S = 2.0
#: Time for which events are collected into one message, seconds.
EVENT_BATCH_S = 0.01
#: Most endpoints that are named in one request.
MAX_ENDPOINTS = 16
#: Shortest time until a request is refused, seconds: one whose time is over is granted
#: if there is room now.
MIN_SEND_IN_S = 0.001
#: Pause before a request chooses its endpoint anew, seconds: the owner may know of a
#: change a little earlier than this VM, or later.
CHOOSE_PAUSE_S = 0.03
#: Retry-After of a request that no owner decided about in time, seconds: a new owner
#: takes over in that time.
NOT_DECIDED_RETRY_S = 0.5
#: Bits of the random first ticket: tickets of a VM's former process differ.
TICKET_BITS = 48


@attrs.frozen
class QueueRefusal:
    """A request was not admitted.

    :param retry_after_s: seconds after which the caller should retry; 0 if the request
        is not refused, but has to choose its endpoint anew.
    :param reason: why.
    """

    retry_after_s: float
    reason: str

    @property
    def must_choose_anew(self) -> bool:
        """Return whether the request has to choose its endpoint anew."""
        return self.retry_after_s == 0.0


class Admission:
    """The place of one request at an endpoint, until the request has ended.

    :param client: the part that got it.
    :param ticket: the request's ticket.
    :param request: the request.
    :param endpoint: the endpoint.
    :param prompt_tokens: prompt tokens that the endpoint has to read.
    :param owner: the VM that granted it; empty if the request is sent without a queue.
    """

    def __init__(
        self,
        client: "QueueClient",
        ticket: int,
        request: caller_request.CallerRequest,
        endpoint: registry.Endpoint,
        prompt_tokens: int,
        owner: str,
    ):
        self.client = client
        self.ticket = ticket
        self.service = request.target.service
        self.endpoint = endpoint
        self.prompt_tokens = prompt_tokens
        self.memory_tokens = memory_tokens(request)
        self.is_stream = request.route.streaming
        #: The VMs that count it: the one that granted it, and later owners.
        self.owners = [owner] if owner else []
        #: Whether an owner has granted the place.
        self.is_granted = bool(owner)
        #: Monotonic time of the first event; None before.
        self.began_at: float | None = None
        self.first_event_s = 0.0
        self.is_released = False

    def began(self, seconds: float) -> None:
        """Report that its answer has begun.

        :param seconds: time from sending the request until then.
        """
        if self.began_at is not None or self.is_released:
            return
        self.began_at = time.monotonic()
        self.first_event_s = seconds
        if self.is_stream:
            self._report(queue_messages.EventKind.BEGAN, self.prompt_tokens, seconds)

    def ended(self, events: int = 0) -> None:
        """Report that the request has ended, and release the place.

        :param events: number of events after the first one.
        """
        seconds = 0.0
        if self.began_at is not None:
            seconds = time.monotonic() - self.began_at
            if not self.is_stream:
                seconds += self.first_event_s
        self._release(queue_messages.EventKind.ENDED, events, seconds)

    def was_full(self) -> None:
        """Report that the endpoint had no room, and release the place."""
        self._release(queue_messages.EventKind.FULL)

    def withdraw(self) -> None:
        """Release the place of a request that was not sent."""
        self._release(queue_messages.EventKind.WITHDRAWN)

    def _release(
        self, kind: queue_messages.EventKind, tokens: int = 0, seconds: float = 0.0
    ) -> None:
        if not self.is_released:
            self.is_released = True
            self.client.admission_by_ticket.pop(self.ticket, None)
            self._report(kind, tokens, seconds)

    def _report(
        self, kind: queue_messages.EventKind, tokens: int, seconds: float
    ) -> None:
        row = self.row(kind, tokens, seconds)
        for owner in self.owners:
            self.client.report(owner, row)

    def row(
        self, kind: queue_messages.EventKind, tokens: int, seconds: float
    ) -> queue_messages.EventRow:
        """Return an event of this request; see :class:`queue_messages.RunEvents`."""
        endpoint_id = self.endpoint.id
        return (self.ticket, self.service, int(kind), endpoint_id, tokens, seconds)

    def holds_row(self) -> queue_messages.EventRow:
        """Return the row that reports the place as held."""
        seconds = -1.0
        if self.began_at is not None:
            seconds = time.monotonic() - self.began_at
        kind = queue_messages.EventKind.HOLDS
        return self.row(kind, self.memory_tokens, seconds)


class _Waiting:
    """A request that waits for its admission.

    :param ticket: its ticket.
    :param request: the request.
    :param endpoints: the endpoints that can run it, the best first.
    :param urgency: its rank.
    :param wait_until: monotonic time until which it may wait.
    """

    def __init__(
        self,
        ticket: int,
        request: caller_request.CallerRequest,
        endpoints: list[registry.Endpoint],
        urgency: int,
        wait_until: float,
    ):
        self.ticket = ticket
        self.request = request
        self.endpoints = endpoints[:MAX_ENDPOINTS]
        self.urgency = urgency
        self.wait_until = wait_until
        self.began_at = time.monotonic()
        self.arrived_at = request.received_at
        self.objective_at = request.received_at + request.route.objective_s
        #: Monotonic time at which an owner last confirmed that it waits; None before.
        self.confirmed_at: float | None = None
        #: The VM that queued it, and the one that is being asked; empty for none.
        self.owner = ""
        self.asked = ""
        #: VMs from which it was withdrawn.
        self.withdrawn_from: set[str] = set()
        self.is_queued = False
        #: Whether it is reported to the lease holder.
        self.is_reported = False
        #: A reply that was pushed.
        self.pushed: queue_messages.QueueReply | None = None
        #: Set when a reply was pushed, or it has to be asked for again.
        self.changed = gevent.event.Event()

    def differs_from(self, ready_ids: set[str]) -> bool:
        """Return whether the endpoints that can run it are others than its own.

        :param ready_ids: the endpoints that can run its target.
        """
        own_ids = {item.id for item in self.endpoints}
        if len(own_ids) == MAX_ENDPOINTS:
            return not own_ids <= ready_ids
        return own_ids != ready_ids


class QueueClient(kernel.Part):
    """Admits this VM's requests, and reports what happens to them.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.mode = node_kernel.settings.endpoint_queue
        self.peers = node_kernel.get(peers.Peers)
        self.declarations = node_kernel.get(declarations.Declarations)
        self.selection = node_kernel.get(endpoint_selection.EndpointSelection)
        self.poison_requests = node_kernel.get(poison_requests.PoisonRequests)
        self.residency = node_kernel.get(residency.Residency)
        self.budgets = node_kernel.get(shared_budgets.SharedBudgets)
        self.owner = node_kernel.get(queue_owner.QueueOwner)
        self.owner.deliver_to_self = lambda reply: self._on_pushed(self.name, reply)
        self.peers.handle(
            queue_messages.QueueReply, lambda vm, reply, _: self._on_pushed(vm, reply)
        )
        node_kernel.on_draining.append(self._wake_all)
        self.poison_requests.on_block.append(self._wake_all)
        self.tickets = itertools.count(random.getrandbits(TICKET_BITS))
        self.waiting_by_ticket: dict[int, _Waiting] = {}
        self.admission_by_ticket: dict[int, Admission] = {}
        #: The VM that last replied as the owner, by service.
        self.owner_by_service: dict[str, str] = {}
        #: Monotonic time of the last reply of each owner.
        self.replied_at_by_owner: dict[str, float] = {}
        #: Repetitions without a reply in a row, by owner.
        self.missed_repeats: collections.Counter[str] = collections.Counter()
        #: Monotonic time of the last report to a possible new owner, by service and VM.
        self.introduced_at: dict[tuple[str, str], float] = {}
        self.rows_by_owner: collections.defaultdict[
            str, list[queue_messages.EventRow]
        ] = collections.defaultdict(list)
        #: Set while requests wait.
        self.has_waiting = gevent.event.Event()
        #: Set while there are events to send.
        self.has_rows = gevent.event.Event()
        metrics = node_kernel.metrics
        self.wait_seconds = metrics.duration_histogram(
            "queue_wait_seconds", "Time that admitted requests waited, by service."
        )
        self.granted_total = metrics.counter(
            "queue_granted_total", "Requests that were admitted, by service."
        )
        self.refused_total = metrics.counter(
            "queue_refused_total", "Requests that were not admitted, by reason."
        )

    def start(self) -> None:
        """Start to send events, and to report what this VM runs."""
        self.tasks.spawn(self._send_rows)
        self.tasks.spawn(self._repeat)
        self.tasks.every(HOLDS_INTERVAL_S, self._report_held)

    def is_active(self) -> bool:
        """Return whether requests wait in queues."""
        if self.mode != "auto":
            return self.mode == "on"
        declaration = self.declarations.current
        return declaration is not None and declaration.has_patient_routes

    def admit(
        self,
        request: caller_request.CallerRequest,
        endpoints: list[registry.Endpoint],
        progress: request_progress.RequestProgress | None,
        wait_until: float,
        urgency: int | None = None,
        objective_at: float | None = None,
    ) -> result.Result[Admission, QueueRefusal] | None:
        """Wait for a place at one of several endpoints.

        :param request: the request.
        :param endpoints: the endpoints that can run it, the best first.
        :param progress: its progress, by which its endpoints are chosen again while it
            waits; None to keep to the given ones.
        :param wait_until: monotonic time until which it may wait.
        :param urgency: its rank, if it differs from the request's.
        :param objective_at: monotonic time at which its first event is due, if that
            differs from the request's objective.
        :returns: None if the queue is not active or no owner replies.
        """
        if not (endpoints and self.is_active()):
            return None
        rank = request.urgency if urgency is None else urgency
        ticket = next(self.tickets)
        waiting = _Waiting(ticket, request, endpoints, rank, wait_until)
        if objective_at is not None:
            waiting.objective_at = objective_at
            waiting.arrived_at = waiting.began_at
        self.waiting_by_ticket[ticket] = waiting
        if not self.has_waiting.is_set():
            self.has_waiting.set()
        is_decided = False
        try:
            with contextlib.ExitStack() as stack:
                admitted = self._wait(waiting, progress, stack)
            is_decided = admitted is not None and admitted.is_ok()
            return admitted
        finally:
            del self.waiting_by_ticket[waiting.ticket]
            if not is_decided and waiting.owner:
                self._withdraw(waiting, waiting.owner)

    def track(
        self, request: caller_request.CallerRequest, endpoint: registry.Endpoint
    ) -> Admission | None:
        """Return a place that no owner granted, so that the next owner learns of it.

        :param request: a request that is sent without the queue.
        :param endpoint: its endpoint.
        :returns: None if the queue is not active.
        """
        if not self.is_active():
            return None
        ticket = next(self.tickets)
        tokens = request.unshared_tokens
        admission = Admission(self, ticket, request, endpoint, tokens, "")
        self.admission_by_ticket[ticket] = admission
        return admission

    def report(self, owner: str, row: queue_messages.EventRow) -> None:
        """Report an event to an owner, together with others.

        :param owner: the VM.
        :param row: the event.
        """
        if owner == self.name:
            self.owner.apply_events(self.name, (row,))
            return
        self.rows_by_owner[owner].append(row)
        if not self.has_rows.is_set():
            self.has_rows.set()

    def _wait(
        self,
        waiting: _Waiting,
        progress: request_progress.RequestProgress | None,
        stack: contextlib.ExitStack,
    ) -> result.Result[Admission, QueueRefusal] | None:
        """Ask for a place until there is a decision."""
        while True:
            reply = self._ask(waiting)
            now = time.monotonic()
            if reply is not None:
                if _is_decision(reply):
                    return self._decide(waiting, reply)
                waiting.confirmed_at = now
                if not waiting.is_queued:
                    waiting.is_queued = True
                    self._log(waiting, "queued", reply)
            elif (
                waiting.confirmed_at is None
                or now - waiting.confirmed_at > NO_OWNER_GRACE_S
            ):
                return None
            pushed = self._wait_for_push(waiting, stack)
            if pushed is not None:
                return self._decide(waiting, pushed)
            if self.kernel.draining or self.poison_requests.is_blocked(waiting.request):
                return _choose_anew("its conditions changed while it waited")
            if not self._update_endpoints(waiting, progress):
                return _choose_anew("no endpoint can run it any more")
            if time.monotonic() >= waiting.wait_until + REPEAT_INTERVAL_S:
                # Its owner should have refused it. Sent now, it would run past its
                # deadline, and its outcome would be unknown.
                return result.Err(
                    QueueRefusal(NOT_DECIDED_RETRY_S, "not decided in time")
                )

    def _wait_for_push(
        self, waiting: _Waiting, stack: contextlib.ExitStack
    ) -> queue_messages.QueueReply | None:
        """Wait for a decision; None if the request has to be asked for again."""
        if waiting.owner:
            timeout_s = waiting.wait_until - time.monotonic() + REPEAT_INTERVAL_S
        else:
            timeout_s = random.uniform(0.5, 1.0) * REPEAT_INTERVAL_S
        request = waiting.request
        must_report = request.target.model and not waiting.is_reported
        if must_report and not waiting.changed.wait(min(timeout_s, REPORT_AFTER_S)):
            waiting.is_reported = True
            stack.enter_context(self.residency.count_as_waiting(request))
            timeout_s -= REPORT_AFTER_S
        waiting.changed.wait(max(0.0, timeout_s))
        waiting.changed.clear()
        pushed, waiting.pushed = waiting.pushed, None
        return pushed

    def _decide(
        self, waiting: _Waiting, reply: queue_messages.QueueReply
    ) -> result.Result[Admission, QueueRefusal] | None:
        """Return the outcome of an owner's decision."""
        if reply.endpoint_id:
            endpoint = next(
                (item for item in waiting.endpoints if item.id == reply.endpoint_id),
                None,
            )
            if endpoint is None:
                return _choose_anew("its endpoint is gone")
            return result.Ok(self._admission(waiting, endpoint))
        self._log(waiting, "refused", reply)
        self.refused_total.inc({"reason": reply.reason})
        if reply.retry_after_s:
            return result.Err(QueueRefusal(reply.retry_after_s, reply.reason))
        gevent.sleep(CHOOSE_PAUSE_S)
        # If this VM knows an endpoint that the owner lacks, it is not asked again.
        return None if self._is_known(waiting) else _choose_anew(reply.reason)

    def _is_known(self, waiting: _Waiting) -> bool:
        """Return whether an endpoint that the owner lacks still accepts the request."""
        target = waiting.request.target
        return any(self.selection.accepts(item, target) for item in waiting.endpoints)

    def _admission(self, waiting: _Waiting, endpoint: registry.Endpoint) -> Admission:
        request = waiting.request
        tokens = request.unshared_tokens
        if endpoint is not waiting.endpoints[0]:
            tokens += _shared_tokens(request)
        admission = Admission(
            self, waiting.ticket, request, endpoint, tokens, waiting.owner
        )
        self.admission_by_ticket[waiting.ticket] = admission
        labels = {"service": request.target.service}
        waited_s = time.monotonic() - waiting.began_at
        self.granted_total.inc(labels)
        self.wait_seconds.observe(labels, waited_s)
        if waiting.is_queued:
            # That others were granted at once shows in the log line of their attempt.
            self._log(waiting, "granted", queue_messages.QueueReply(True), endpoint.id)
        return admission

    def _update_endpoints(
        self, waiting: _Waiting, progress: request_progress.RequestProgress | None
    ) -> bool:
        """Choose the endpoints of a waiting request again; returns if there are any."""
        request = waiting.request
        if progress is None:
            endpoints = [
                item
                for item in waiting.endpoints
                if self.selection.accepts(item, request.target)
            ]
        else:
            ready = self.selection.candidates(request).ready
            endpoints = endpoint_selection.eligible(request, progress, ready)
        if {item.id for item in endpoints} != {item.id for item in waiting.endpoints}:
            # Otherwise the order is kept, so that the owner has nothing to update.
            waiting.endpoints = endpoints[:MAX_ENDPOINTS]
        return bool(endpoints)

    def _ask(self, waiting: _Waiting) -> queue_messages.QueueReply | None:
        """Ask the owner for a place; None if no owner replies."""
        key = queue_messages.owner_key(waiting.request.target.service)
        for owner in self.budgets.responsive_owners(key):
            message = self._message(waiting)
            self._introduce(message.service, owner)
            reply = self._ask_owner(owner, message, waiting)
            if isinstance(reply, queue_messages.QueueReply) and reply.is_owner:
                if waiting.owner not in ("", owner):
                    self._withdraw(waiting, waiting.owner)
                waiting.owner = owner
                self._record_owner(message.service, owner)
                return reply
        return None

    def _ask_owner(
        self, owner: str, message: queue_messages.QueueRequest, waiting: _Waiting
    ) -> queue_messages.QueueReply | None:
        if owner == self.name:
            return self.owner.request(self.name, message)
        if owner in waiting.withdrawn_from:
            # Otherwise the withdrawal would arrive after the request.
            self._flush(owner)
        waiting.asked = owner
        is_live = time.monotonic() - self.replied_at_by_owner.get(owner, 0.0) < LIVE_S
        has_reply = False
        try:
            if is_live and self.peers.is_connected(owner):
                called = self.peers.call(owner, message, LIVE_TIMEOUT_S)
                reply = called.ok_value if called.is_ok() else None
            else:
                thing = f"the queue of {message.service}"
                reply = self.budgets.call_owner(owner, message, thing)
            has_reply = reply is not None
            if has_reply:
                self.replied_at_by_owner[owner] = time.monotonic()
            return reply
        finally:
            waiting.asked = ""
            if not has_reply and self.peers.is_connected(owner):
                # It may have granted a place, or queued the request, all the same.
                self._withdraw(waiting, owner)
                if waiting.owner not in ("", owner):
                    # It waits there under the ticket that is given up.
                    self._withdraw(waiting, waiting.owner)
                waiting.owner = ""
                self._renew_ticket(waiting)

    def _message(self, waiting: _Waiting) -> queue_messages.QueueRequest:
        request = waiting.request
        now = time.monotonic()
        target, route, account = request.target, request.route, request.account
        declaration = self.declarations.current
        name = account.name if account else ""
        weight = 1.0
        if name and declaration.accounts is not None:
            weight = declaration.accounts.weight_by_name.get(name, 1.0)
        return queue_messages.QueueRequest(
            ticket=waiting.ticket,
            service=target.service,
            endpoint_ids=tuple(item.id for item in waiting.endpoints),
            prompt_tokens=request.unshared_tokens,
            shared_tokens=_shared_tokens(request),
            memory_tokens=memory_tokens(request),
            urgency=waiting.urgency,
            account=name,
            weight=weight,
            waited_s=now - waiting.arrived_at,
            objective_in_s=waiting.objective_at - now,
            send_in_s=max(MIN_SEND_IN_S, waiting.wait_until - now),
            is_patient=declaration.is_patient(target.service, route.objective_s),
            model=target.model,
        )

    def _record_owner(self, service: str, owner: str) -> None:
        """Report what this VM runs to a new owner of a service's queue."""
        if self.owner_by_service.get(service) != owner:
            self.owner_by_service[service] = owner
            self._send_holds(service, owner)

    def _introduce(self, service: str, owner: str) -> None:
        """Report what this VM runs to a VM that may be the new owner.

        It must know of the runs before it decides about the first request.
        """
        now = time.monotonic()
        if self.owner_by_service.get(service) == owner:
            return
        if now >= self.introduced_at.get((service, owner), 0.0) + INTRODUCE_INTERVAL_S:
            self.introduced_at[service, owner] = now
            self._send_holds(service, owner)

    def _send_holds(self, service: str, owner: str) -> None:
        """Report what this VM runs, at once."""
        admissions = [
            item
            for item in self.admission_by_ticket.values()
            if item.service == service
        ]
        rows = tuple(admission.holds_row() for admission in admissions)
        for admission in admissions:
            if owner not in admission.owners:
                admission.owners.append(owner)
        if owner == self.name:
            self.owner.apply_events(owner, rows)
        elif rows and self.peers.is_connected(owner):
            self.peers.send_nowait(owner, queue_messages.RunEvents(rows))

    def _report_held(self) -> None:
        """Report all that this VM runs."""
        owner_by_service: dict[str, str] = {}
        for admission in list(self.admission_by_ticket.values()):
            service = admission.service
            if service not in owner_by_service:
                owner_by_service[service] = self._likely_owner(service)
            if owner_by_service[service]:
                self._report_holds(admission, owner_by_service[service])

    def _likely_owner(self, service: str) -> str:
        """Return the VM that owns a service's queue; empty if none is responsive."""
        owners = self.budgets.responsive_owners(queue_messages.owner_key(service))
        known_owner = self.owner_by_service.get(service, "")
        return known_owner if known_owner in owners else next(iter(owners), "")

    def _report_holds(self, admission: Admission, owner: str) -> None:
        if owner not in admission.owners:
            admission.owners.append(owner)
        self.report(owner, admission.holds_row())

    def _withdraw(self, waiting: _Waiting, owner: str) -> None:
        """Withdraw a request from a VM that may have queued or granted it."""
        waiting.withdrawn_from.add(owner)
        kind = int(queue_messages.EventKind.WITHDRAWN)
        service = waiting.request.target.service
        self.report(owner, (waiting.ticket, service, kind, "", 0, 0.0))

    def _renew_ticket(self, waiting: _Waiting) -> None:
        """Give a withdrawn request another ticket.

        A late grant of the withdrawn one would otherwise be used, though its owner
        counts the place as free.
        """
        del self.waiting_by_ticket[waiting.ticket]
        waiting.ticket = next(self.tickets)
        waiting.pushed = None
        self.waiting_by_ticket[waiting.ticket] = waiting

    def _on_pushed(self, vm: str, reply: queue_messages.QueueReply) -> None:
        waiting = self.waiting_by_ticket.get(reply.ticket)
        # A decision may arrive together with the reply that the request is queued.
        if waiting is not None and vm in (waiting.owner, waiting.asked):
            waiting.pushed = reply
            waiting.changed.set()

    def _repeat(self) -> None:
        """Repeat the waiting requests at their owners while there are any."""
        while True:
            self.has_waiting.wait()
            gevent.sleep(REPEAT_INTERVAL_S)
            self._wake_changed()
            tickets_by_owner: dict[str, dict[str, list[int]]] = {}
            for waiting in self.waiting_by_ticket.values():
                if waiting.owner:
                    tickets = tickets_by_owner.setdefault(waiting.owner, {})
                    service = waiting.request.target.service
                    tickets.setdefault(service, []).append(waiting.ticket)
            for owner, tickets_by_service in tickets_by_owner.items():
                if owner == self.name:
                    self._repeat_at(owner, tickets_by_service)
                else:
                    self.tasks.spawn(self._repeat_at, owner, tickets_by_service)
            if not self.waiting_by_ticket:
                self.has_waiting.clear()

    def _repeat_at(self, owner: str, tickets_by_service: dict[str, list[int]]) -> None:
        message = queue_messages.QueueRepeat(tickets_by_service)
        reply = None
        if owner == self.name:
            reply = self.owner.repeat(self.name, message)
        elif self.peers.is_connected(owner):
            called = self.peers.call(owner, message, REPEAT_TIMEOUT_S)
            reply = called.ok_value if called.is_ok() else None
        if reply is None:
            self.missed_repeats[owner] += 1
            is_gone = self.missed_repeats[owner] >= MAX_MISSED_REPEATS
            if self.peers.is_connected(owner) and not is_gone:
                return
            lost = sum(tickets_by_service.values(), [])
        else:
            lost = reply.unknown
            self._confirm(tickets_by_service, lost)
        del self.missed_repeats[owner]
        if lost and reply is not None:
            # The owner may also have forgotten what this VM runs.
            for service in tickets_by_service:
                self._send_holds(service, owner)
        for ticket in lost:
            waiting = self.waiting_by_ticket.get(ticket)
            if waiting is not None and waiting.owner == owner and not waiting.pushed:
                self._withdraw(waiting, owner)
                waiting.owner = ""
                self._renew_ticket(waiting)
                waiting.changed.set()

    def _confirm(
        self, tickets_by_service: dict[str, list[int]], lost: tuple[int, ...]
    ) -> None:
        """Record which requests an owner still knows."""
        now = time.monotonic()
        unknown = set(lost)
        for ticket in itertools.chain(*tickets_by_service.values()):
            waiting = self.waiting_by_ticket.get(ticket)
            if waiting is not None and ticket not in unknown:
                waiting.confirmed_at = now

    def _wake_changed(self) -> None:
        """Wake the requests whose endpoints have changed since they were chosen."""
        waiting_by_target: dict[caller_request.Target, list[_Waiting]] = {}
        for waiting in self.waiting_by_ticket.values():
            target = waiting.request.target
            waiting_by_target.setdefault(target, []).append(waiting)
        for all_waiting in waiting_by_target.values():
            ready = self.selection.candidates(all_waiting[0].request).ready
            ready_ids = {item.id for item in ready}
            for waiting in all_waiting:
                if waiting.differs_from(ready_ids):
                    waiting.changed.set()

    def _send_rows(self) -> None:
        while True:
            self.has_rows.wait()
            gevent.sleep(EVENT_BATCH_S)
            self.has_rows.clear()
            for owner in list(self.rows_by_owner):
                self._flush(owner)

    def _flush(self, owner: str) -> None:
        """Send the events for an owner."""
        rows = self.rows_by_owner.pop(owner, None)
        if rows:
            self.peers.send_nowait(owner, queue_messages.RunEvents(tuple(rows)))

    def _wake_all(self) -> None:
        """Wake all waiting requests: this VM stops, or one of them was blocked."""
        for waiting in self.waiting_by_ticket.values():
            waiting.changed.set()

    def _log(
        self,
        waiting: _Waiting,
        outcome: str,
        reply: queue_messages.QueueReply,
        endpoint_id: str = "",
    ) -> None:
        logs.event(
            log,
            "queue",
            request=waiting.request.id,
            service=waiting.request.target.service,
            owner=waiting.owner,
            endpoint=endpoint_id,
            waited_ms=round((time.monotonic() - waiting.began_at) * 1000),
            expected_ms=round(reply.wait_s * 1000),
            ahead=reply.ahead,
            retry_after_s=reply.retry_after_s,
            reason=reply.reason,
            outcome=outcome,
        )


def memory_tokens(request: caller_request.CallerRequest) -> int:
    """Return the most tokens of an endpoint's memory that a request may use.

    :param request: the request.
    """
    return max(0, request.input_tokens) + max(0, request.output_tokens)


def _shared_tokens(request: caller_request.CallerRequest) -> int:
    return max(0, request.input_tokens - request.unshared_tokens)


def _is_decision(reply: queue_messages.QueueReply) -> bool:
    return bool(reply.endpoint_id) or reply.retry_after_s is not None


def _choose_anew(reason: str) -> result.Err[QueueRefusal]:
    return result.Err(QueueRefusal(0.0, reason))
