"""Slots, at the entry: a request gets its place in an endpoint's batch.

An entry asks an endpoint's owner (:mod:`mothworks.slot_owner`) before it
sends a request, and reports the end. Where the first owner would let the
request wait, :mod:`mothworks.slot_search` asks a second one too. The entry
follows endpoints that get another owner and tells it what runs already.
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

#: Bytes of the bodies that wait for slots on one VM.
WAITING_BYTES = 16 << 20
#: Hint to a caller where this VM has no room, seconds.
RETRY_S = 1.0

#: How a request that had a slot ended, for users of this module.
Outcome = slot_messages.Outcome


@attrs.frozen
class End:
    """The end of a request that had a slot, as its entry saw it.

    :param outcome: how it ended.
    :param first_token_ms: from sending to the first token, milliseconds; 0
        where none came.
    :param between_tokens_ms: mean time between tokens, milliseconds; 0 where
        fewer than two came.
    :param tokens: tokens that the endpoint generated.
    """

    outcome: Outcome = Outcome.OK
    first_token_ms: float = 0.0
    between_tokens_ms: float = 0.0
    tokens: int = 0


@attrs.frozen
class Grant:
    """The right to send one request to one endpoint.

    :param request_id: the request's id.
    :param endpoint: the endpoint.
    :param owner: the VM that granted it; empty where none was asked.
    :param number: the ask's number; 0 where no slot was asked for.
    """

    request_id: str
    endpoint: catalogue.Endpoint
    owner: str
    number: int = 0


@plugins.register(plugins.PART, "slots")
class Slots(kernel.Part, slot_search.Entry):
    """Gets slots for this VM's requests.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.membership = node_kernel.get(membership.Membership)
        self.health = node_kernel.get(health.Health)
        self.peers = node_kernel.get(peers.Peers)
        #: The owner's side, for asks of this VM's own.
        self.owner = node_kernel.get(slot_owner.SlotOwner)
        self.place_by_number: dict[int, slot_search.Place] = {}
        self.numbers = itertools.count(1)
        self.waiting_bytes = 0
        self.peers.handle(slot_messages.SlotAnswer, self._serve_answer)
        self.peers.handle(slot_messages.CheckSlots, self._serve_check)
        self.peers.on_lost.append(self._lose_owner)
        self.membership.on_change.append(self._follow_owners)
        self.configuration.on_change.append(self._follow_owners)

    def acquire(
        self,
        request: requests.Request,
        *endpoints: catalogue.Endpoint,
        lone: bool = False,
    ) -> result.Result[Grant, outcomes.Refusal]:
        """Get a slot for a request at one of some endpoints.

        :param request: the request.
        :param endpoints: where it may run, the best first.
        :param lone: whether it must not share the endpoint.
        :returns: the slot, to be given back by :meth:`release`; or the final
            refusal, as soon as it is known.
        """
        if self.waiting_bytes + len(request.body) > WAITING_BYTES:
            message = "too many bytes wait for slots on this VM"
            return result.Err(outcomes.overloaded(message, RETRY_S))
        self.waiting_bytes += len(request.body)
        search = slot_search.Search(self, request, list(endpoints), lone)
        try:
            return search.run().map(_grant)
        finally:
            self.waiting_bytes -= len(request.body)
            search.close()

    def release(self, grant: Grant, end: End) -> None:
        """Report the end of a request.

        :param grant: what :meth:`acquire` returned.
        :param end: how the request ended.
        """
        place = self.place_by_number.pop(grant.number, None)
        if place is not None:
            done = slot_messages.SlotDone(
                grant.number,
                int(end.outcome),
                round(end.first_token_ms),
                round(end.between_tokens_ms * 1000),
                end.tokens,
            )
            self._finish(place, done)

    def running(self, endpoint: str, target: str) -> frozenset[str]:
        """Return the requests in flight; see :meth:`slot_owner.SlotOwner.running`."""
        return self.owner.running(endpoint, target)

    def withhold(self, endpoint: str, models: frozenset[str]) -> None:
        """Offer residents no more; see :meth:`slot_owner.SlotOwner.withhold`."""
        self.owner.withhold(endpoint, models)

    def owner_of(self, endpoint: catalogue.Endpoint) -> members.Member | None:
        """Return an endpoint's owner; see :meth:`slot_search.Entry.owner_of`."""
        return self.health.owner(endpoint)

    def ask(self, place: slot_search.Place) -> None:
        """Send an ask; see :meth:`slot_search.Entry.ask`."""
        self.place_by_number[place.ask.number] = place
        if not place.owner:
            self.owner.ask_guard(place.endpoint, place.ask, self._take_answer)
        elif place.owner == self.owner.name:
            self.owner.ask(self.owner.name, place.ask, self._take_answer)
        elif not self.peers.send(place.owner, place.ask):
            place.inbox.put(slot_search.News(place, slot_search.Lost()))

    def give_up(self, place: slot_search.Place) -> None:
        """Take back an ask; see :meth:`slot_search.Entry.give_up`."""
        if self.place_by_number.pop(place.ask.number, None) is not None:
            cancelled = int(Outcome.CANCELLED)
            self._finish(place, slot_messages.SlotDone(place.ask.number, cancelled))

    def _finish(self, place: slot_search.Place, done: slot_messages.SlotDone) -> None:
        if not place.owner:
            self.owner.guard(place.endpoint).done((self.owner.name, done.number))
        elif place.owner == self.owner.name:
            self.owner.done(self.owner.name, done)
        else:
            self.peers.send(place.owner, done)

    def _take_answer(self, answer: slot_messages.SlotAnswer) -> None:
        place = self.place_by_number.get(answer.number)
        if place is not None and not place.held:
            place.inbox.put(slot_search.News(place, answer))

    def _follow_owners(self) -> None:
        """Ask, or report running requests to, owners that are new."""
        for place in list(self.place_by_number.values()):
            owner = self.health.owner(place.endpoint)
            if not place.owner or owner is None or owner.name == place.owner:
                continue
            former = attrs.evolve(place)
            self._finish(former, slot_messages.SlotDone(place.ask.number))
            if place.held:
                place.owner = owner.name
                self.ask(place)
            else:
                moved = int(slot_messages.Verdict.MOVED)
                answer = slot_messages.SlotAnswer(place.ask.number, moved)
                place.inbox.put(slot_search.News(place, answer))

    def _lose_owner(self, vm: str) -> None:
        """Ask again, or report running requests again, after a broken link.

        What was on its way is lost, and the owner may have restarted: waiting
        requests would wait for nothing, and running ones be uncounted.
        """
        for place in list(self.place_by_number.values()):
            if place.owner != vm:
                continue
            if place.held:
                self.peers.post(vm, place.ask)
            else:
                place.inbox.put(slot_search.News(place, slot_search.Lost()))

    def _serve_answer(self, sender: str, answer: slot_messages.SlotAnswer, _) -> None:
        place = self.place_by_number.get(answer.number)
        if place is None or place.owner != sender:
            # A grant that crossed with its cancellation: the cancellation
            # frees it. From a former owner: it was told already.
            return
        self._take_answer(answer)

    def _serve_check(self, sender: str, check: slot_messages.CheckSlots, _) -> None:
        lost = [
            number
            for number in check.numbers
            if number not in self.place_by_number
            or self.place_by_number[number].owner != sender
        ]
        if lost:
            self.peers.send(sender, slot_messages.LostSlots(lost))


def _grant(place: slot_search.Place) -> Grant:
    ask = place.ask
    return Grant(ask.request_id, place.endpoint, place.owner, ask.number)
