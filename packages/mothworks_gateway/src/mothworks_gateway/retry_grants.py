"""Retry grants: whether a running attempt may be given up for another one.

An endpoint may go on with a request that its VM has given up, so under overload, each
attempt that is given up wastes capacity. So an attempt that is slow, or has failed, is
given up only once the next one is granted:

- the retry budget has a retry left, which is charged here, once;
- another endpoint that holds the request's model was not tried yet, runs fewer requests
  than it has batch slots, as far as heartbeats show, and grants the permit and the send
  slot that it may require;
- by the mean time of its answers, it answers before the deadline, and not later than
  the slow attempt has run so far: otherwise that one is as likely to answer first.

Where a queue grants the runs at endpoints, it decides instead of the heartbeats which
endpoint has room; see :attr:`RetryGrants.admit`.
"""

import collections.abc
import time
import typing

import attrs
import logbook
import result

from mothworks import kernel, logs
from mothworks_gateway import (
    caller_request,
    endpoint_paths,
    endpoint_rooms,
    endpoint_selection,
    forwarding_peers,
    registry,
    request_progress,
    retry_budget,
    room_estimates,
    send_slots,
)

log = logbook.Logger("retry_grants")

#: Time before the caller's deadline by which a retry has to be answered, seconds.
RESPONSE_MARGIN_S = 0.02


@attrs.frozen
class RetryGrant:
    """Permission to send a request once more, its retry charged.

    :param slot: the slot at the endpoint that it has to be sent to; None if a peer has
        to run it.
    :param admission: the queue's admission to that endpoint; None without a queue.
    """

    slot: send_slots.SendSlot | None = None
    admission: typing.Any = None


class RetryGrants(kernel.Part):
    """Grants retries in place of attempts that are running or have failed.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.endpoint_selection = node_kernel.get(endpoint_selection.EndpointSelection)
        self.estimates = node_kernel.get(room_estimates.RoomEstimates)
        self.retry_budget = node_kernel.get(retry_budget.RetryBudget)
        self.rooms = node_kernel.get(endpoint_rooms.EndpointRooms)
        self.slots = node_kernel.get(send_slots.SendSlots)
        self.paths = node_kernel.get(endpoint_paths.EndpointPaths)
        self.peers = node_kernel.get(forwarding_peers.ForwardingPeers)
        #: Admits a request to one of several endpoints: called with the request, the
        #: endpoints, its progress and the monotonic time until which it may wait.
        #: Returns Ok with an admission that has `endpoint` and `withdraw()`, Err if
        #: none has room, or None if the queue is not active.
        self.admit: collections.abc.Callable | None = None
        self.grants_total = node_kernel.metrics.counter(
            "retry_grants_total",
            "Attempts that were slow or failed, by whether another was granted.",
        )

    def may_ask(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
    ) -> bool:
        """Return whether a request's running attempt may ever be given up.

        :param request: the request.
        :param progress: its progress, the running attempt included.
        """
        route = request.route
        is_whole = route.repeatable and not route.streaming
        return is_whole and len(progress.tried) < route.max_endpoints

    def try_grant(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        running_s: float | None,
    ) -> bool:
        """Grant another attempt, kept in `progress.grant`, if there is one.

        :param request: the request.
        :param progress: its progress, which is updated.
        :param running_s: time for which the attempt has run, seconds; None if it has
            failed.
        :returns: whether the attempt is to be given up.
        """
        grant, reason = None, "no retry left"
        if self.retry_budget.may_spend(request.target.service):
            grant, reason = self._find(request, progress, running_s)
        if grant and not self._charge(request, grant):
            grant, reason = None, "no retry left"
        self._record(request, running_s, grant, reason)
        progress.grant = grant
        return grant is not None

    def try_grant_peer(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        vm: str,
        running_s: float,
    ) -> bool:
        """Grant the run on another peer if the one that runs a request falls silent.

        A peer that goes on to offer runs also goes on with this one.

        :param request: the request.
        :param progress: its progress, which is updated.
        :param vm: the peer that runs it.
        :param running_s: time for which it has, seconds.
        """
        offering = {peer.vm for peer in self.peers.offers()}
        others = offering - progress.broken_peers - {vm}
        grant, reason = None, "the peer is responsive"
        if vm not in offering:
            reason = "no other peer or no retry left"
            service = request.target.service
            if others and self.retry_budget.try_spend(service, request.id):
                grant = RetryGrant()
        self._record(request, running_s, grant, reason)
        progress.grant = grant
        return grant is not None

    def release(self, progress: request_progress.RequestProgress) -> None:
        """Release a grant that was not used, if there is one.

        Its retry remains charged; that is rare, and errs on the safe side.

        :param progress: the request's progress, which is updated.
        """
        grant, progress.grant = progress.grant, None
        if grant is not None:
            self._release(grant)

    def _find(
        self,
        request: caller_request.CallerRequest,
        progress: request_progress.RequestProgress,
        running_s: float | None,
    ) -> tuple[RetryGrant | None, str]:
        """Return a grant that is not charged yet, or why there is none."""
        if self.paths.lost:
            others = {peer.vm for peer in self.peers.offers()} - progress.broken_peers
            if progress.forwarded or not others:
                return None, "no peer offers to run it"
            return RetryGrant(), ""
        ready = self.endpoint_selection.candidates(request).ready
        untried = [item for item in ready if item.id not in progress.tried]
        if not untried:
            return None, "no other endpoint"
        now = time.monotonic()
        left_s = request.deadline - RESPONSE_MARGIN_S - now
        max_s = left_s if running_s is None else min(left_s, running_s)
        in_time = [item for item in untried if self.estimates.answer_s(item) <= max_s]
        if not in_time or left_s <= 0:
            return None, "no other endpoint would answer in time"
        if self.admit is not None:
            match self.admit(request, in_time, progress, now):
                case result.Ok(admission):
                    return self._at(request, [admission.endpoint], admission)
                case result.Err(_):
                    return None, "the queue has no room"
        with_room = [item for item in in_time if self.estimates.has_room(item)]
        if not with_room:
            return None, "no other endpoint has room"
        return self._at(request, with_room, None)

    def _at(
        self,
        request: caller_request.CallerRequest,
        endpoints: list[registry.Endpoint],
        admission: typing.Any,
    ) -> tuple[RetryGrant | None, str]:
        """Return a grant for one of several endpoints, with its permit and slot."""
        grant = None
        permitted = []
        try:
            permitted = self.rooms.acquire(request, endpoints, 0.0)
            if permitted:
                match self.slots.acquire(request, permitted, 0.0):
                    case result.Ok(slot):
                        grant = RetryGrant(slot, admission)
        finally:
            # The caller may leave while owners are asked.
            if grant is None and permitted:
                self.rooms.begin(permitted[0])
            if grant is None and admission is not None:
                admission.withdraw()
        return grant, "" if grant else "no permit or send slot"

    def _charge(self, request: caller_request.CallerRequest, grant: RetryGrant) -> bool:
        """Charge the retry of a grant, or release the grant."""
        is_charged = False
        try:
            service = request.target.service
            is_charged = self.retry_budget.try_spend(service, request.id)
            return is_charged
        finally:
            # The caller may leave while the budget's owner is asked.
            if not is_charged:
                self._release(grant)

    def _release(self, grant: RetryGrant) -> None:
        if grant.slot is not None:
            self.rooms.begin(grant.slot.endpoint)
        if grant.admission is not None:
            grant.admission.withdraw()

    def _record(
        self,
        request: caller_request.CallerRequest,
        running_s: float | None,
        grant: RetryGrant | None,
        reason: str,
    ) -> None:
        outcome = "not granted" if grant is None else "granted"
        self.grants_total.inc({"outcome": outcome})
        slot = grant.slot if grant else None
        logs.event(
            log,
            "retry",
            request=request.id,
            running_ms=None if running_s is None else round(running_s * 1000),
            endpoint=slot.endpoint.id if slot else "",
            reason=reason,
            outcome=outcome,
        )
