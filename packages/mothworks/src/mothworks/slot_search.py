"""Searches the candidate endpoints of one request for a free slot.

The search sends slot requests to one owner after another and queues at two of
them at most. It accepts the first grant and cancels the other slot requests.
It ends as soon as no owner is left that could still grant a slot.
"""

import collections.abc
import time

import attrs
import gevent
import gevent.queue
import logbook
import result

from mothworks import (
    catalogue,
    exclusive_queue,
    members,
    outcomes,
    request_queue,
    requests,
    slot_messages,
)

log = logbook.Logger("slots")

#: Maximum wait of bulk work for a slot, seconds.
BULK_TIMEOUT_S = 600.0
#: Time without a first reply after which an owner counts as unreachable, seconds.
FIRST_REPLY_TIMEOUT_S = 0.3
#: Endpoints at which one request may be queued at the same time.
MAX_QUEUES = 2
#: Endpoints whose owners one request may try.
MAX_ENDPOINTS = 4
#: Number of ownership changes that one request follows.
MAX_OWNER_CHANGES = 40
#: Delay before a slot request is repeated to an owner that replied MOVED, while
#: this VM does not know the new owner yet, seconds.
OWNER_CHANGE_RETRY_S = 0.05
#: Retry-After sent when no owner refused but none granted a slot, seconds.
RETRY_AFTER_S = 1.0


@attrs.define(eq=False)
class Reservation:
    """A slot request and the slot granted for it, until the request ends.

    :param slot_request: the message to the owner.
    :param endpoint: the endpoint.
    :param owner: the VM that received the slot request; empty for this VM's own
        fallback batch.
    :param inbox: receives the replies until a slot is granted.
    :param queued: whether the owner replied that the slot request is queued.
    :param granted: whether the slot was granted.
    """

    slot_request: slot_messages.SlotRequest
    endpoint: catalogue.Endpoint
    owner: str
    inbox: gevent.queue.SimpleQueue
    queued: bool = False
    granted: bool = False


@attrs.frozen
class OwnerUnreachable:
    """The owner of a reservation cannot be reached."""


@attrs.frozen
class SearchEvent:
    """A change of a reservation.

    :param reservation: the reservation.
    :param change: the owner's reply, or that the owner is unreachable.
    """

    reservation: Reservation
    change: slot_messages.SlotReply | OwnerUnreachable


class Entry:
    """Interface of the VM that a search runs on."""

    #: Numbers for the entry's slot requests.
    numbers: collections.abc.Iterator[int]

    def owner_of(self, endpoint: catalogue.Endpoint) -> members.Member | None:
        """Return the VM that owns an endpoint now.

        :param endpoint: the endpoint.
        """
        raise NotImplementedError

    def send_request(self, reservation: Reservation) -> None:
        """Send a slot request to its owner, or to the fallback batch without one.

        :param reservation: the reservation; its inbox receives the replies.
        """
        raise NotImplementedError

    def cancel(self, reservation: Reservation) -> None:
        """Cancel a slot request, or release its slot.

        :param reservation: the reservation.
        """
        raise NotImplementedError


class Search:
    """The search of one request for a slot.

    :param entry: sends the slot requests.
    :param request: the request.
    :param endpoints: where the request may run, the best first.
    :param exclusive: whether nothing else may run at the endpoint meanwhile.
    """

    def __init__(
        self,
        entry: Entry,
        request: requests.Request,
        endpoints: list[catalogue.Endpoint],
        exclusive: bool,
    ):
        self.entry = entry
        self.request = request
        self.endpoints = endpoints[:MAX_ENDPOINTS]
        self.exclusive = exclusive
        self.inbox: gevent.queue.SimpleQueue = gevent.queue.SimpleQueue()
        self.pending: list[Reservation] = []
        self.unreachable: list[catalogue.Endpoint] = []
        self.refusals: list[slot_messages.SlotReply] = []
        self.owner_changes = 0
        self.deadline = self._search_deadline()

    def run(self) -> result.Result[Reservation, outcomes.Refusal]:
        """Request slots until one is granted, all are refused or time is up."""
        self._request_next()
        while self.pending:
            match self._next_event():
                case None if time.monotonic() >= self.deadline:
                    break
                case None:
                    self._drop_unresponsive()
                case SearchEvent(reservation) if reservation not in self.pending:
                    continue
                case SearchEvent(
                    reservation, slot_messages.SlotReply(status=status)
                ) if status == slot_messages.SlotStatus.GRANTED:
                    return result.Ok(self._accept_grant(reservation))
                case SearchEvent(reservation, change):
                    self._handle(reservation, change)
            if not self.pending:
                self._request_next()
        return result.Err(self._refusal())

    def close(self) -> None:
        """Cancel every slot request that was not granted."""
        for reservation in self.pending:
            self.entry.cancel(reservation)
        self.pending = []

    def _handle(
        self,
        reservation: Reservation,
        change: slot_messages.SlotReply | OwnerUnreachable,
    ) -> None:
        match change:
            case OwnerUnreachable():
                self._mark_unreachable(reservation)
            case slot_messages.SlotReply(status=slot_messages.SlotStatus.QUEUED):
                self._mark_queued(reservation)
            case slot_messages.SlotReply(status=slot_messages.SlotStatus.MOVED):
                self._follow_owner(reservation)
            case slot_messages.SlotReply():
                self.refusals.append(change)
                self._cancel(reservation)

    def _search_deadline(self) -> float:
        if self.request.caller.urgency.rank == request_queue.BULK:
            timeout = time.monotonic() + BULK_TIMEOUT_S
            return min(timeout, self.request.deadline)
        if self.exclusive:
            return (
                time.monotonic()
                + exclusive_queue.IDLE_TIMEOUT_S
                + FIRST_REPLY_TIMEOUT_S
            )
        # The owner refuses requests that miss the deadline by its own clock; this
        # timeout covers an owner that stops responding.
        return (
            max(self.request.first_token_deadline, time.monotonic())
            + FIRST_REPLY_TIMEOUT_S
        )

    def _next_event(self) -> SearchEvent | None:
        timeout = self.deadline - time.monotonic()
        if not all(reservation.queued for reservation in self.pending):
            timeout = min(timeout, FIRST_REPLY_TIMEOUT_S)
        try:
            return self.inbox.get(timeout=max(0.0, timeout))
        except gevent.queue.Empty:
            return None

    def _request_next(self) -> None:
        """Request a slot at the next endpoint.

        Endpoints without a reachable owner come last; this VM's own fallback batch
        limits what it sends there.
        """
        if self.endpoints:
            endpoint = self.endpoints.pop(0)
            owner = self.entry.owner_of(endpoint)
            if owner is None:
                self.unreachable.append(endpoint)
                self._request_next()
            else:
                self._request_slot(endpoint, owner.name)
        elif self.unreachable and not self.pending:
            self._request_slot(self.unreachable.pop(0), "")

    def _request_slot(self, endpoint: catalogue.Endpoint, owner: str) -> None:
        now = time.monotonic()
        slot_request = slot_messages.SlotRequest(
            self.request.id,
            endpoint.name,
            self.request.caller.urgency.rank,
            round((self.deadline - now) * 1000),
            round((self.request.first_token_deadline - now) * 1000),
            self.request.target,
            self.request.caller.name,
            self.request.tokens,
            next(self.entry.numbers),
            exclusive=self.exclusive,
        )
        reservation = Reservation(slot_request, endpoint, owner, self.inbox)
        self.pending.append(reservation)
        self.entry.send_request(reservation)

    def _accept_grant(self, reservation: Reservation) -> Reservation:
        self.pending.remove(reservation)
        reservation.granted = True
        # Sent again, the slot request only informs an owner of a running request.
        reservation.slot_request = attrs.evolve(
            reservation.slot_request, already_running=True
        )
        return reservation

    def _mark_queued(self, reservation: Reservation) -> None:
        reservation.queued = True
        # An exclusive request blocks all others while it waits; one endpoint
        # blocked is enough.
        if len(self.pending) < MAX_QUEUES and not self.exclusive:
            self._request_next()

    def _cancel(self, reservation: Reservation) -> None:
        self.pending.remove(reservation)
        self.entry.cancel(reservation)

    def _mark_unreachable(self, reservation: Reservation) -> None:
        self._cancel(reservation)
        self.unreachable.append(reservation.endpoint)

    def _drop_unresponsive(self) -> None:
        for reservation in [item for item in self.pending if not item.queued]:
            log.info(
                "{} did not reply to a slot request for {}",
                reservation.owner,
                reservation.endpoint.name,
            )
            self._mark_unreachable(reservation)

    def _follow_owner(self, reservation: Reservation) -> None:
        self._cancel(reservation)
        self.owner_changes += 1
        owner = self.entry.owner_of(reservation.endpoint)
        if owner is None or self.owner_changes > MAX_OWNER_CHANGES:
            self.unreachable.append(reservation.endpoint)
        else:
            if owner.name == reservation.owner:
                gevent.sleep(OWNER_CHANGE_RETRY_S)
            self._request_slot(reservation.endpoint, owner.name)

    def _refusal(self) -> outcomes.Refusal:
        target = self.request.target
        if not self.refusals:
            message = f"no capacity for {target!r} in time: waited_too_long"
            return outcomes.overloaded(message, RETRY_AFTER_S)
        soonest = min(self.refusals, key=lambda reply: reply.wait_ms)
        message = f"no capacity for {target!r} in time: {soonest.reason}"
        return outcomes.overloaded(message, soonest.wait_ms / 1000)
