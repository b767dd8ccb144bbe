"""Dispatch: sends a request to an endpoint, retries it, and returns the answer.

The dispatch finds an endpoint, waiting for the request's model if needed, and sends the
request. If that fails, a request that has not run may be refused or retried. One that
may have run is retried only if it is repeatable, and its caller is never told that it
has not run.
"""

import time

import logbook
import result

from mothworks import calls, connections, kernel, logs, outcomes
from mothworks_gateway import (
    attempts,
    caller_request,
    declarations,
    endpoint_notices,
    endpoint_paths,
    endpoint_rooms,
    endpoint_selection,
    forwarding,
    part_trials,
    poison_requests,
    prefill_pacing,
    queue_client,
    registry,
    request_progress,
    residency,
    retry_budget,
    retry_grants,
    room_estimates,
    running_requests,
    send_slots,
    stream_origins,
)

log = logbook.Logger("dispatch")

#: Time left until the deadline below which a request is not sent, seconds.
MIN_TIME_LEFT_S = 0.015
#: Bounds of the wait for a model or a send slot. A request waits for MIN_WAIT_SHARE of
#: its available time or MIN_WAIT_OBJECTIVES times its objective, whichever is longer,
#: but for no more than MAX_WAIT_SHARE of its available time. After that it is refused,
#: so that the caller can retry in time.
MIN_WAIT_SHARE = 0.5
MAX_WAIT_SHARE = 0.7
MIN_WAIT_OBJECTIVES = 1.5
#: Share of a caller's timeout after which an answer that begins no longer reaches it.
CALLER_TIMEOUT_SHARE = 0.9
#: Upper bound of the wait in a queue, as a share of the available time. A request that
#: is granted last must still begin before its caller disconnects.
MAX_QUEUE_SHARE = 0.9
#: Time before a draining VM stops at which all waits end, seconds, and the most of the
#: time for its drain that this may take.
DRAIN_MARGIN_S = 2.5
MAX_DRAIN_MARGIN_SHARE = 0.36
#: Longest wait for a service without endpoints to get one, as a share of the objective.
ENDPOINT_WAIT_SHARE = 0.12
#: Retry-After if the service has no endpoint, seconds.
NO_ENDPOINT_RETRY_S = 0.5
#: Retry-After if the model was not loaded in time, seconds.
NOT_LOADED_RETRY_S = 1.0
#: Retry-After if the endpoints are busy, seconds.
BUSY_RETRY_S = 0.3


class Dispatch(kernel.Part):
    """Runs requests on endpoints.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.attempts = node_kernel.get(attempts.Attempts)
        self.endpoint_selection = node_kernel.get(endpoint_selection.EndpointSelection)
        self.running_requests = node_kernel.get(running_requests.RunningRequests)
        self.retry_budget = node_kernel.get(retry_budget.RetryBudget)
        self.retry_grants = node_kernel.get(retry_grants.RetryGrants)
        self.estimates = node_kernel.get(room_estimates.RoomEstimates)
        self.part_trials = node_kernel.get(part_trials.PartTrials)
        self.poison_requests = node_kernel.get(poison_requests.PoisonRequests)
        self.residency = node_kernel.get(residency.Residency)
        self.slots = node_kernel.get(send_slots.SendSlots)
        self.rooms = node_kernel.get(endpoint_rooms.EndpointRooms)
        self.prefill_pacing = node_kernel.get(prefill_pacing.PrefillPacing)
        # Requests that wait for a model are refused at once if they are blocked.
        self.poison_requests.on_block.append(self.residency.wake_all)
        self.paths = node_kernel.get(endpoint_paths.EndpointPaths)
        self.forwarding = node_kernel.get(forwarding.Forwarding)
        self.declarations = node_kernel.get(declarations.Declarations)
        self.queue = node_kernel.get(queue_client.QueueClient)
        self.retry_grants.admit = self.queue.admit
        self.origins = node_kernel.get(stream_origins.StreamOrigins)
        self.requests_total = node_kernel.metrics.counter(
            "requests_total", "Requests by service and outcome."
        )

    def run(
        self, request: caller_request.CallerRequest
    ) -> result.Result[calls.Reply, outcomes.Refusal]:
        """Run a request, and return its answer as soon as it begins.

        :param request: the request.
        """
        self.retry_budget.add_request(request.target.service)
        progress = request_progress.RequestProgress()
        if self.poison_requests.is_blocked(request):
            match self.part_trials.admit(request):
                case result.Ok(trial):
                    request = trial
                case result.Err(_):
                    # A refused request is no demand for its model.
                    return self._refuse_blocked(request, progress)
        self.running_requests.count_arrival(request)
        if request.takes_up:
            match self.origins.pin(request):
                case result.Ok(pinned):
                    request = pinned
                case result.Err(reason):
                    progress.reason = reason
                    return self._refuse(request, progress, 503, None)
        return self._run(request, progress)

    def run_forwarded(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
    ) -> result.Result[calls.Reply, outcomes.Refusal]:
        """Run a request that another VM forwarded, which has counted it.

        :param request: the request.
        :param progress: its progress at the other VM, which is updated.
        """
        return self._run(request, progress)

    def _run(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
    ) -> result.Result[calls.Reply, outcomes.Refusal]:
        try:
            return self._run_attempts(request, progress)
        except connections.DrainTimeout:
            progress.reason = "this VM is stopping"
            return self._give_up(request, progress)
        finally:
            self.retry_grants.release(progress)

    def _run_attempts(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
    ) -> result.Result[calls.Reply, outcomes.Refusal]:
        while True:
            if self.poison_requests.is_blocked(request):
                return self._refuse_blocked(request, progress)
            if self._reaches_no_endpoint(progress):
                finished = self._forward(request, progress)
                if finished is None:
                    continue
                return finished
            match self._find_endpoint(request, progress):
                case result.Ok(slot):
                    pass
                case result.Err() as refused:
                    return refused
            if not self._charge_in_slot(request, progress, slot):
                return self._give_up(request, progress)
            reply = self._send_in_slot(request, progress, slot)
            if reply is not None:
                self._count(request, "answered")
                return result.Ok(reply)
            # An attempt that no endpoint got is no retry for the deployment.
            is_free = progress.unreachable and self._reaches_no_endpoint(progress)
            if not (progress.withheld or is_free or self._may_retry(request, progress)):
                return self._give_up(request, progress)

    def _charge_in_slot(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        slot: send_slots.SendSlot,
    ) -> bool:
        """Charge a retry whose slot was granted, or release the slot."""
        is_charged = False
        try:
            is_charged = self._charge(request, progress)
            return is_charged
        finally:
            # The caller may leave while the budget's owner is asked.
            if not is_charged:
                self.rooms.begin(slot.endpoint)
                progress.withdraw()

    def _send_in_slot(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        slot: send_slots.SendSlot,
    ) -> calls.Reply | None:
        """Send a request once its slot and its turn have come; None if that failed."""
        reply = None
        try:
            reply = self._send_admitted(request, progress, slot)
            return reply
        finally:
            if reply is None:
                progress.release()

    def _send_admitted(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        slot: send_slots.SendSlot,
    ) -> calls.Reply | None:
        progress.withheld = True
        endpoint = slot.endpoint
        with self.running_requests.count_as_running(endpoint, request.target):
            self.rooms.begin(endpoint)
            may_send = self.slots.wait(slot)
            if may_send and not progress.is_granted:
                self.prefill_pacing.wait(request, endpoint)
        # During the wait, the endpoint may have left, unloaded the model, lowered its
        # limit or asked this VM to back off, copies of the request may have crashed
        # others, and this VM may have lost its paths.
        may_send = may_send and self.attempts.may_send(request, endpoint)
        if not may_send or self.paths.lost:
            return None
        return self.attempts.send_once(request, endpoint, progress)

    def _reaches_no_endpoint(self, progress: request_progress.RequestProgress) -> bool:
        """Return whether only other VMs can run a request."""
        return self.paths.lost or (progress.unreachable and self.paths.cannot_open)

    def _forward(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
    ) -> result.Result[calls.Reply, outcomes.Refusal] | None:
        """Run a request on another VM; returns None if it is to be tried again."""
        if progress.forwarded:
            progress.reason = "this VM lost its paths to endpoints"
            return self._refuse(request, progress, 503, BUSY_RETRY_S)
        if request.deadline - time.monotonic() < MIN_TIME_LEFT_S:
            return self._give_up(request, progress)
        # The peer chooses the endpoint, so a slot that was granted here is returned.
        self.retry_grants.release(progress)
        if not self._charge(request, progress):
            return self._give_up(request, progress)
        wait_until = self._wait_until(request, progress)
        try:
            outcome = self.forwarding.run(request, progress, wait_until)
        except connections.DrainTimeout:
            progress.may_have_run = True
            raise
        match outcome:
            case result.Ok(reply):
                self._count(request, "forwarded")
                return result.Ok(reply)
            case result.Err(refused):
                pass
        if refused.is_final or not self._may_retry(request, progress):
            return self._refuse(request, progress, refused.status, refused.retry_after)
        return None

    def _find_endpoint(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
    ) -> result.Result[send_slots.SendSlot, outcomes.Refusal]:
        """Find an endpoint and a send slot, waiting for the model if needed."""
        grant, progress.grant = progress.grant, None
        if grant is not None and grant.slot is not None:
            progress.admission = grant.admission
            return result.Ok(grant.slot)
        endpoint_wait_until = (
            time.monotonic() + ENDPOINT_WAIT_SHARE * request.route.objective_s
        )
        while True:
            now = time.monotonic()
            if request.deadline - now < MIN_TIME_LEFT_S:
                progress.reason = f"{progress.reason}; out of time"
                return self._give_up(request, progress)
            if self.poison_requests.is_blocked(request):
                return self._refuse_blocked(request, progress)
            candidates = self.endpoint_selection.candidates(request)
            eligible = endpoint_selection.eligible(request, progress, candidates.ready)
            if eligible:
                acquired = self._admit(request, progress, eligible)
                if acquired is None:
                    continue
                return acquired
            if candidates.ready:
                # Its model is held only by endpoints that it must not be sent to; the
                # caller may retry.
                return self._refuse(request, progress, 503, BUSY_RETRY_S)
            if candidates.backoff is not None:
                return self._refuse_in_backoff(request, progress, candidates.backoff)
            if not candidates.all and request.target.software_version is not None:
                version = request.target.software_version
                progress.reason = f"no endpoint of software version {version} is left"
                return self._refuse(request, progress, 503, None)
            if candidates.all:
                refused = self._wait_for_model(request, progress, candidates, now)
            else:
                refused = self._wait_for_endpoints(
                    request, progress, endpoint_wait_until - now
                )
            if refused is not None:
                return refused

    def _admit(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        eligible: list[registry.Endpoint],
    ) -> result.Result[send_slots.SendSlot, outcomes.Refusal] | None:
        """Acquire a place at one of several endpoints, and then a slot there.

        :returns: the slot or a refusal; None if the endpoints have to be chosen anew.
        """
        while True:
            wait_until = self._queue_until(request, progress)
            match self.queue.admit(request, eligible, progress, wait_until):
                case None:
                    return self._acquire_without_queue(request, progress, eligible)
                case result.Err(refused) if refused.must_choose_anew:
                    return None
                case result.Err(refused):
                    progress.reason = f"no place in the queue: {refused.reason}"
                    return self._refuse(request, progress, 503, refused.retry_after_s)
                case result.Ok(admission):
                    pass
            is_acquired = False
            try:
                endpoint = admission.endpoint
                acquired = self._acquire_slot(request, progress, [endpoint])
                is_acquired = acquired.is_ok()
            finally:
                if not is_acquired:
                    admission.withdraw()
            if is_acquired:
                progress.admission = admission
                return acquired
            # Another endpoint may have room under its own limits.
            eligible = [item for item in eligible if item is not endpoint]
            if not eligible:
                return self._refuse(request, progress, 503, acquired.err_value)

    def _acquire_without_queue(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        eligible: list[registry.Endpoint],
    ) -> result.Result[send_slots.SendSlot, outcomes.Refusal]:
        """Acquire a slot where no queue decides, or refuse the request at once."""
        room_in_s = self._room_in_s(request, progress, eligible)
        if room_in_s is not None:
            progress.reason = "no endpoint would answer in time"
            retry_after_s = max(BUSY_RETRY_S, room_in_s)
            return self._refuse(request, progress, 503, retry_after_s)
        acquired = self._acquire_slot(request, progress, eligible)
        if acquired.is_err():
            return self._refuse(request, progress, 503, acquired.err_value)
        endpoint = acquired.ok_value.endpoint
        progress.admission = self.queue.track(request, endpoint)
        return acquired

    def _room_in_s(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        eligible: list[registry.Endpoint],
    ) -> float | None:
        """Return when there is room for a request that can't be answered in time.

        Returns None for others, and for those that may have run: a refusal would not
        state that they have not.
        """
        if request.target.model or request.route.streaming or progress.may_have_run:
            return None
        left_s = request.deadline - time.monotonic()
        return self.estimates.room_in_s(eligible, left_s)

    def _acquire_slot(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        eligible: list[registry.Endpoint],
    ) -> result.Result[send_slots.SendSlot, float]:
        """Acquire a slot at one of several endpoints.

        :returns: the slot; or the seconds after which the caller should retry, with the
            reason in `progress`.
        """
        wait_until = self._wait_until(request, progress)
        with_room = self.rooms.acquire(request, eligible, wait_until - time.monotonic())
        if not with_room:
            progress.reason = "its endpoints are fragile and have no room"
            return result.Err(endpoint_rooms.NO_ROOM_RETRY_S)
        max_wait_s = wait_until - time.monotonic()
        is_granted = False
        try:
            acquired = self.slots.acquire(request, with_room, max_wait_s)
            is_granted = acquired.is_ok()
        finally:
            # The caller may leave while its request waits.
            if not is_granted:
                self.rooms.begin(with_room[0])
        match acquired:
            case result.Err(at_limit):
                progress.reason = (
                    f"{at_limit.endpoint.id} accepts {at_limit.per_s:g} "
                    f"requests per second (reported {at_limit.age_s:.1f} s ago): "
                    f"{at_limit.reason}"
                )
                return result.Err(at_limit.retry_after_s)
            case granted:
                return granted

    def _wait_for_endpoints(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        seconds: float,
    ) -> result.Err[outcomes.Refusal] | None:
        """Wait for a change of the endpoints; returns a refusal when time is up."""
        if seconds <= 0:
            progress.reason = "the service has no endpoint"
            return self._refuse(request, progress, 503, NO_ENDPOINT_RETRY_S)
        self.residency.endpoints_changed.wait(seconds)
        return None

    def _wait_for_model(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        candidates: endpoint_selection.Candidates,
        now: float,
    ) -> result.Err[outcomes.Refusal] | None:
        """Wait for a model to be loaded; returns a refusal if that takes too long."""
        wait_until = self._wait_until(request, progress)
        ready_in_s = self._ready_in_s(request, candidates)
        if ready_in_s is not None:
            wait_until = now + ready_in_s
            if wait_until > self._caller_reachable_until(request):
                # The caller would disconnect before its answer begins. If it retries
                # after the given delay, its model is loaded.
                progress.reason = f"its model is ready in {ready_in_s:.1f} s"
                return self._refuse(request, progress, 503, ready_in_s)
        if now >= wait_until:
            progress.reason = f"{progress.reason}; not held in time"
            return self._refuse(request, progress, 503, self._load_retry_s(request))
        self.residency.wait(request, wait_until - now)
        return None

    def _load_retry_s(self, request: caller_request.CallerRequest) -> float:
        """Return the Retry-After for a request whose model nobody loads yet.

        All endpoints are loading other models then. Callers come back once, so where
        they are patient enough for a queue, they return when a load that begins now is
        done. After a second, they would wait in vain again.
        """
        declaration = self.declarations.current
        if not self.queue.is_active() or declaration is None:
            return NOT_LOADED_RETRY_S
        service = declaration.service_by_name.get(request.target.service)
        if service is None or service.accelerator is None:
            return NOT_LOADED_RETRY_S
        model = service.accelerator.model_by_name.get(request.target.model)
        load_s = model.store_load_s if model else 0.0
        return max(NOT_LOADED_RETRY_S, load_s)

    def _refuse_in_backoff(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        backoff: endpoint_notices.Backoff,
    ) -> result.Err[outcomes.Refusal]:
        """Refuse a request because all endpoints that hold its model are in a backoff.

        Callers return in the order in which they were refused, spread over a backoff's
        length: if all returned when it ends, the endpoint would refuse most of them
        again. If another endpoint is loading the model, they return once it is ready.
        """
        ready_in_s = self.residency.ready_in_s(request.target)
        retry_after_s = backoff.seconds
        if ready_in_s is not None:
            retry_after_s = min(retry_after_s, ready_in_s)
        left_s = max(0.0, backoff.until - time.monotonic())
        progress.reason = (
            f"its endpoints want no requests from this VM for {left_s:.1f} s"
        )
        return self._refuse(request, progress, 503, retry_after_s)

    def _ready_in_s(
        self,
        request: caller_request.CallerRequest,
        candidates: endpoint_selection.Candidates,
    ) -> float | None:
        """Return the seconds until a model that no endpoint holds is ready; or None."""
        target = request.target
        if any(item.holds(target.model, "") for item in candidates.all):
            # Only the adapter is missing, which loads in milliseconds.
            return None
        return self.residency.ready_in_s(target)

    def _caller_reachable_until(self, request: caller_request.CallerRequest) -> float:
        """Return the monotonic time by which an answer has to begin."""
        timeout_s = request.route.caller_timeout_s * CALLER_TIMEOUT_SHARE
        latest = min(request.deadline, request.received_at + timeout_s)
        return min(latest, self._drain_wait_until())

    def _wait_until(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
    ) -> float:
        """Return the monotonic time until which a request may wait to be sent."""
        available_s = self._caller_reachable_until(request) - request.received_at
        objective_wait_s = MIN_WAIT_OBJECTIVES * request.route.objective_s
        wait_s = min(
            MAX_WAIT_SHARE * available_s,
            max(MIN_WAIT_SHARE * available_s, objective_wait_s),
        )
        # A draining VM must reply before it stops.
        return min(
            request.received_at + wait_s,
            progress.wait_until,
            self._drain_wait_until(),
        )

    def _drain_wait_until(self) -> float:
        """Return the monotonic time at which all waits end as this VM stops."""
        drain_s = self.kernel.settings.drain_s
        margin_s = min(DRAIN_MARGIN_S, MAX_DRAIN_MARGIN_SHARE * drain_s)
        return self.kernel.drain_deadline - margin_s

    def _queue_until(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
    ) -> float:
        """Return the monotonic time until which a request may wait in a queue.

        The queue refuses at once what it cannot serve, so that a request need not be
        refused early for its caller to retry in time.
        """
        available_s = self._caller_reachable_until(request) - request.received_at
        return min(
            request.received_at + MAX_QUEUE_SHARE * available_s,
            progress.wait_until,
            self._drain_wait_until(),
        )

    def _may_retry(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
    ) -> bool:
        """Return whether a request may be sent again; it is charged once it is sent."""
        if progress.may_have_run and not request.route.repeatable:
            return False
        if time.monotonic() + MIN_TIME_LEFT_S > request.deadline:
            return False
        if progress.grant is not None:
            return True
        progress.owes_retry = self.retry_budget.may_spend(request.target.service)
        return progress.owes_retry

    def _charge(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
    ) -> bool:
        """Charge a retry that is about to be sent; returns whether one was left.

        A retry may wait for its model first, and may be refused then.
        """
        owes_retry, progress.owes_retry = progress.owes_retry, False
        service = request.target.service
        return not owes_retry or self.retry_budget.try_spend(service, request.id)

    def _give_up(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
    ) -> result.Err[outcomes.Refusal]:
        if not progress.may_have_run:
            return self._refuse(request, progress, 503, BUSY_RETRY_S)
        is_late = time.monotonic() + MIN_TIME_LEFT_S > request.deadline
        return self._refuse(request, progress, 504 if is_late else 502, None)

    def _refuse(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        status: int,
        retry_after: float | None,
    ) -> result.Err[outcomes.Refusal]:
        ran = outcomes.Ran.NO
        if progress.may_have_run:
            # Status 503 would state that the request has not run.
            ran, retry_after = outcomes.Ran.UNKNOWN, None
            status = status if status in (502, 504) else 502
        refusal = outcomes.Refusal(
            status, "not_served", progress.reason, ran, retry_after
        )
        self._count(request, f"refused {status}")
        logs.event(
            log,
            "refused",
            request=request.id,
            route=request.route.name,
            version=request.declaration_version,
            model=request.target.model,
            adapter=request.target.adapter,
            sends=progress.sends,
            may_have_run=progress.may_have_run,
            held_ms=round((time.monotonic() - request.received_at) * 1000),
            reason=progress.reason,
            outcome=status,
        )
        return result.Err(refusal)

    def _refuse_blocked(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
    ) -> result.Err[outcomes.Refusal]:
        progress.reason = "it, or a part of its prompt, crashed several endpoints"
        return self._refuse(request, progress, 503, None)

    def _count(self, request: caller_request.CallerRequest, outcome: str) -> None:
        labels = {"service": request.target.service, "outcome": outcome}
        self.requests_total.inc(labels)
