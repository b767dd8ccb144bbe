"""The search of one request for a slot, at the entry.

The search asks one owner after another, waits at two of them at most, takes
the first slot that is granted and gives the others back. It ends as soon as
no owner is left that could still grant one.
"""

import collections.abc
import time

import attrs
import gevent
import gevent.queue
import logbook
import result

from mothworks import (
    alone,
    catalogue,
    members,
    outcomes,
    queues,
    requests,
    slot_messages,
)

log = logbook.Logger("slots")

#: Longest wait for a slot of bulk work, seconds.
PATIENCE_S = 600.0
#: Time for an owner's first answer before it counts as unreachable, seconds.
ANSWER_S = 0.3
#: Endpoints at which one request waits at the same time.
MOST_WAITING = 2
#: Endpoints that are asked for one request.
MOST_ASKED = 4
#: Times that one request follows moving owners.
MOST_MOVES = 40
#: Pause before an owner that has moved is asked again, while this VM has not
#: heard of its successor, seconds.
MOVE_S = 0.05
#: Hint to a caller whose request got no answer from an owner, seconds.
RETRY_S = 1.0


@attrs.define(eq=False)
class Place:
    """One ask of this entry, from the ask until the request's end.

    :param ask: the message to the owner.
    :param endpoint: the endpoint.
    :param owner: the VM that was asked; empty for this VM's own guard.
    :param inbox: where answers go while the request waits.
    :param queued: whether the owner has answered that it waits.
    :param held: whether the slot was granted.
    """

    ask: slot_messages.AskSlot
    endpoint: catalogue.Endpoint
    owner: str
    inbox: gevent.queue.SimpleQueue
    queued: bool = False
    held: bool = False


@attrs.frozen
class Lost:
    """The owner of a place cannot be reached."""


@attrs.frozen
class News:
    """Something happened to a place.

    :param place: the place.
    :param what: the owner's answer, or that the owner was lost.
    """

    place: Place
    what: slot_messages.SlotAnswer | Lost


class Entry:
    """What a search needs of the VM that it runs on."""

    #: Numbers of the entry's asks.
    numbers: collections.abc.Iterator[int]

    def owner_of(self, endpoint: catalogue.Endpoint) -> members.Member | None:
        """Return the VM that owns an endpoint now.

        :param endpoint: the endpoint.
        """
        raise NotImplementedError

    def ask(self, place: Place) -> None:
        """Send a place's ask to its owner, or count it here without one.

        :param place: the place; answers come to its inbox.
        """
        raise NotImplementedError

    def give_up(self, place: Place) -> None:
        """Take back an ask, or give back its slot.

        :param place: the place.
        """
        raise NotImplementedError


class Search:
    """The search of one request for a slot.

    :param entry: what sends its asks.
    :param request: the request.
    :param endpoints: where it may run, the best first.
    :param lone: whether it must not share the endpoint.
    """

    def __init__(
        self,
        entry: Entry,
        request: requests.Request,
        endpoints: list[catalogue.Endpoint],
        lone: bool,
    ):
        self.entry = entry
        self.request = request
        self.endpoints = endpoints[:MOST_ASKED]
        self.lone = lone
        self.inbox: gevent.queue.SimpleQueue = gevent.queue.SimpleQueue()
        self.open: list[Place] = []
        self.unreachable: list[catalogue.Endpoint] = []
        self.refusals: list[slot_messages.SlotAnswer] = []
        self.moves = 0
        self.until = self._deadline()

    def run(self) -> result.Result[Place, outcomes.Refusal]:
        """Ask owners until one grants or all have refused."""
        self._ask_next()
        while self.open:
            match self._next_news():
                case None if time.monotonic() >= self.until:
                    break
                case None:
                    self._lose_silent()
                case News(place) if place not in self.open:
                    continue
                case News(place, slot_messages.SlotAnswer(verdict=verdict)) if (
                    verdict == slot_messages.Verdict.GRANTED
                ):
                    return result.Ok(self._take(place))
                case News(place, what):
                    self._hear(place, what)
            if not self.open:
                self._ask_next()
        return result.Err(self._refusal())

    def close(self) -> None:
        """Take back every ask that was not granted."""
        for place in self.open:
            self.entry.give_up(place)
        self.open = []

    def _hear(self, place: Place, what: slot_messages.SlotAnswer | Lost) -> None:
        match what:
            case Lost():
                self._lose(place)
            case slot_messages.SlotAnswer(verdict=slot_messages.Verdict.QUEUED):
                self._wait(place)
            case slot_messages.SlotAnswer(verdict=slot_messages.Verdict.MOVED):
                self._follow(place)
            case slot_messages.SlotAnswer():
                self.refusals.append(what)
                self._drop(place)

    def _deadline(self) -> float:
        if self.request.caller.urgency.rank == queues.BULK:
            patience = time.monotonic() + PATIENCE_S
            return min(patience, self.request.deadline)
        if self.lone:
            return time.monotonic() + alone.PATIENCE_S + ANSWER_S
        # The owner refuses by its own clock; this is for the case that it
        # falls silent.
        return max(self.request.first_token_deadline, time.monotonic()) + ANSWER_S

    def _next_news(self) -> News | None:
        timeout = self.until - time.monotonic()
        if not all(place.queued for place in self.open):
            timeout = min(timeout, ANSWER_S)
        try:
            return self.inbox.get(timeout=max(0.0, timeout))
        except gevent.queue.Empty:
            return None

    def _ask_next(self) -> None:
        """Ask for the next endpoint; without owners, where one was silent."""
        if self.endpoints:
            endpoint = self.endpoints.pop(0)
            owner = self.entry.owner_of(endpoint)
            if owner is None:
                self.unreachable.append(endpoint)
                self._ask_next()
            else:
                self._ask(endpoint, owner.name)
        elif self.unreachable and not self.open:
            self._ask(self.unreachable.pop(0), "")

    def _ask(self, endpoint: catalogue.Endpoint, owner: str) -> None:
        now = time.monotonic()
        ask = slot_messages.AskSlot(
            self.request.id,
            endpoint.name,
            self.request.caller.urgency.rank,
            round((self.until - now) * 1000),
            round((self.request.first_token_deadline - now) * 1000),
            self.request.target,
            self.request.caller.name,
            self.request.tokens,
            next(self.entry.numbers),
            alone=self.lone,
        )
        place = Place(ask, endpoint, owner, self.inbox)
        self.open.append(place)
        self.entry.ask(place)

    def _take(self, place: Place) -> Place:
        self.open.remove(place)
        place.held = True
        # From here on a repeated ask only tells an owner what runs.
        place.ask = attrs.evolve(place.ask, held=True)
        return place

    def _wait(self, place: Place) -> None:
        place.queued = True
        # A request that waits to run alone keeps all others waiting, which is
        # enough at one endpoint.
        if len(self.open) < MOST_WAITING and not self.lone:
            self._ask_next()

    def _drop(self, place: Place) -> None:
        self.open.remove(place)
        self.entry.give_up(place)

    def _lose(self, place: Place) -> None:
        self._drop(place)
        self.unreachable.append(place.endpoint)

    def _lose_silent(self) -> None:
        for place in [item for item in self.open if not item.queued]:
            log.info("{} does not answer for {}", place.owner, place.endpoint.name)
            self._lose(place)

    def _follow(self, place: Place) -> None:
        self._drop(place)
        self.moves += 1
        owner = self.entry.owner_of(place.endpoint)
        if owner is None or self.moves > MOST_MOVES:
            self.unreachable.append(place.endpoint)
        else:
            if owner.name == place.owner:
                gevent.sleep(MOVE_S)
            self._ask(place.endpoint, owner.name)

    def _refusal(self) -> outcomes.Refusal:
        target = self.request.target
        if not self.refusals:
            message = f"no capacity for {target!r} in time: waited_too_long"
            return outcomes.overloaded(message, RETRY_S)
        best = min(self.refusals, key=lambda answer: answer.wait_ms)
        message = f"no capacity for {target!r} in time: {best.reason}"
        return outcomes.overloaded(message, best.wait_ms / 1000)
