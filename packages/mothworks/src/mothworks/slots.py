"""Acquires and releases batch slots for the requests of this VM.

The VM that received a request, its entry, acquires a slot from the endpoint's
owner (:mod:`mothworks.slot_owner`) before it sends the request, and releases
the slot afterwards. If the first owner queues the request,
:mod:`mothworks.slot_search` queues it at a second endpoint too. When an
endpoint changes its owner, the entry reports its running requests to the new
owner.
"""

import itertools

import attrs
import result

from mothworks import (
    catalogue,
    configuration,
    health,
    kernel,
    members,
    membership,
    outcomes,
    peers,
    plugins,
    requests,
    slot_messages,
    slot_owner,
    slot_search,
)

#: Maximum total size of the request bodies that wait for slots on one VM, bytes.
MAX_WAITING_BYTES = 16 << 20
#: Retry-After sent when the bodies waiting on this VM are too large, seconds.
RETRY_AFTER_S = 1.0

#: Alias for users of this module.
Outcome = slot_messages.Outcome


@attrs.frozen
class RequestEnd:
    """How a request that had a slot ended, as measured by its entry.

    :param outcome: how the request ended.
    :param first_token_ms: time from sending to the first token, milliseconds; 0 if
        no token arrived.
    :param between_tokens_ms: mean time between tokens, milliseconds; 0 if fewer
        than two tokens arrived.
    :param tokens: number of tokens that the endpoint generated.
    :param pause_s: time for which an endpoint that refused the request wants no other,
        seconds.
    """

    outcome: Outcome = Outcome.OK
    first_token_ms: float = 0.0
    between_tokens_ms: float = 0.0
    tokens: int = 0
    pause_s: float = 0.0


@attrs.frozen
class Grant:
    """The right to send one request to one endpoint.

    :param request_id: the request's id.
    :param endpoint: the endpoint.
    :param owner: the VM that granted the slot; empty if no owner was involved.
    :param number: the slot request's number; 0 if no slot was requested.
    """

    request_id: str
    endpoint: catalogue.Endpoint
    owner: str
    number: int = 0


@plugins.register(plugins.PART, "slots")
class Slots(kernel.Part, slot_search.Entry):
    """Acquires slots for this VM's requests.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.membership = node_kernel.get(membership.Membership)
        self.health = node_kernel.get(health.Health)
        self.peers = node_kernel.get(peers.Peers)
        #: Grants the slots of the endpoints that this VM owns itself.
        self.owner = node_kernel.get(slot_owner.SlotOwner)
        self.reservation_by_number: dict[int, slot_search.Reservation] = {}
        self.numbers = itertools.count(1)
        self.waiting_bytes = 0
        self.peers.handle(slot_messages.SlotReply, self._serve_reply)
        self.peers.handle(slot_messages.CheckSlots, self._serve_check)
        self.peers.on_disconnect.append(self._recover_after_loss)
        self.membership.on_change.append(self._update_owners)
        self.configuration.change_callbacks.append(self._update_owners)

    def acquire(
        self,
        request: requests.Request,
        *endpoints: catalogue.Endpoint,
        exclusive: bool = False,
    ) -> result.Result[Grant, outcomes.Refusal]:
        """Acquire a slot for a request at one of several endpoints.

        :param request: the request.
        :param endpoints: where the request may run, the best first.
        :param exclusive: whether nothing else may run at the endpoint meanwhile.
        :returns: the slot, to be released with :meth:`release`; or the refusal, as
            soon as no owner can grant a slot any more.
        """
        if self.waiting_bytes + len(request.body) > MAX_WAITING_BYTES:
            message = "too many request bytes wait for slots on this VM"
            return result.Err(outcomes.overloaded(message, RETRY_AFTER_S))
        self.waiting_bytes += len(request.body)
        search = slot_search.Search(self, request, list(endpoints), exclusive)
        try:
            return search.run().map(_make_grant)
        finally:
            self.waiting_bytes -= len(request.body)
            search.close()

    def release(self, grant: Grant, end: RequestEnd) -> None:
        """Release the slot of a request that ended.

        :param grant: the grant that :meth:`acquire` returned.
        :param end: how the request ended.
        """
        reservation = self.reservation_by_number.pop(grant.number, None)
        if reservation is not None:
            message = slot_messages.SlotRelease(
                grant.number,
                int(end.outcome),
                round(end.first_token_ms),
                round(end.between_tokens_ms * 1000),
                end.tokens,
                round(end.pause_s * 1000),
            )
            self._send_release(reservation, message)

    def running_requests(self, endpoint: str, target: str) -> frozenset[str]:
        """Return the requests in flight.

        See :meth:`slot_owner.SlotOwner.running_requests`.
        """
        return self.owner.running_requests(endpoint, target)

    def withhold(self, endpoint: str, models: frozenset[str]) -> None:
        """Grant no slots for some models; see :meth:`slot_owner.SlotOwner.withhold`."""
        self.owner.withhold(endpoint, models)

    def owner_of(self, endpoint: catalogue.Endpoint) -> members.Member | None:
        """Return an endpoint's owner; see :meth:`slot_search.Entry.owner_of`."""
        return self.health.owner(endpoint)

    def send_request(self, reservation: slot_search.Reservation) -> None:
        """Send a slot request; see :meth:`slot_search.Entry.send_request`."""
        self.reservation_by_number[reservation.slot_request.number] = reservation
        if not reservation.owner:
            self.owner.request_fallback(
                reservation.endpoint, reservation.slot_request, self._deliver_reply
            )
        elif reservation.owner == self.owner.name:
            self.owner.request(
                self.owner.name, reservation.slot_request, self._deliver_reply
            )
        elif not self.peers.send(reservation.owner, reservation.slot_request):
            reservation.inbox.put(
                slot_search.SearchEvent(reservation, slot_search.OwnerUnreachable())
            )

    def cancel(self, reservation: slot_search.Reservation) -> None:
        """Cancel a slot request; see :meth:`slot_search.Entry.cancel`."""
        if (
            self.reservation_by_number.pop(reservation.slot_request.number, None)
            is not None
        ):
            cancelled = int(Outcome.CANCELLED)
            self._send_release(
                reservation,
                slot_messages.SlotRelease(reservation.slot_request.number, cancelled),
            )

    def _send_release(
        self, reservation: slot_search.Reservation, message: slot_messages.SlotRelease
    ) -> None:
        if not reservation.owner:
            self.owner.fallback_batch(reservation.endpoint).release(
                (self.owner.name, message.number)
            )
        elif reservation.owner == self.owner.name:
            self.owner.release(self.owner.name, message)
        else:
            self.peers.send(reservation.owner, message)

    def _deliver_reply(self, reply: slot_messages.SlotReply) -> None:
        reservation = self.reservation_by_number.get(reply.number)
        if reservation is not None and not reservation.granted:
            reservation.inbox.put(slot_search.SearchEvent(reservation, reply))

    def _update_owners(self) -> None:
        """Move queued and running requests to the new owners of their endpoints."""
        for reservation in list(self.reservation_by_number.values()):
            owner = self.health.owner(reservation.endpoint)
            if (
                not reservation.owner
                or owner is None
                or owner.name == reservation.owner
            ):
                continue
            old_reservation = attrs.evolve(reservation)
            self._send_release(
                old_reservation,
                slot_messages.SlotRelease(reservation.slot_request.number),
            )
            if reservation.granted:
                reservation.owner = owner.name
                self.send_request(reservation)
            else:
                moved = int(slot_messages.SlotStatus.MOVED)
                reply = slot_messages.SlotReply(reservation.slot_request.number, moved)
                reservation.inbox.put(slot_search.SearchEvent(reservation, reply))

    def _recover_after_loss(self, vm: str) -> None:
        """Report running requests again, and move queued ones, after a lost link.

        Messages in flight are lost, and the owner may have restarted: queued
        requests would wait forever, and running ones would not be counted.
        """
        for reservation in list(self.reservation_by_number.values()):
            if reservation.owner != vm:
                continue
            if reservation.granted:
                self.peers.send_nowait(vm, reservation.slot_request)
            else:
                reservation.inbox.put(
                    slot_search.SearchEvent(reservation, slot_search.OwnerUnreachable())
                )

    def _serve_reply(self, sender: str, reply: slot_messages.SlotReply, _) -> None:
        reservation = self.reservation_by_number.get(reply.number)
        if reservation is None or reservation.owner != sender:
            # Either the slot request was cancelled while the reply was in transit,
            # and the cancellation releases a slot granted meanwhile; or the reply
            # is from a former owner, to which a release was already sent.
            return
        self._deliver_reply(reply)

    def _serve_check(self, sender: str, check: slot_messages.CheckSlots, _) -> None:
        unknown = [
            number
            for number in check.numbers
            if number not in self.reservation_by_number
            or self.reservation_by_number[number].owner != sender
        ]
        if unknown:
            self.peers.send(sender, slot_messages.UnknownSlots(unknown))


def _make_grant(reservation: slot_search.Reservation) -> Grant:
    slot_request = reservation.slot_request
    return Grant(
        slot_request.request_id,
        reservation.endpoint,
        reservation.owner,
        slot_request.number,
    )
