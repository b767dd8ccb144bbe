"""Slots: an endpoint's owner grants each request its place in the batch.

The owner has the exact count in flight and one priority queue for each
endpoint (:mod:`mothworks.batches`). An entry asks for a slot before it sends,
and reports the end. Where the first owner would let the request wait, the
entry asks a second endpoint's owner too and takes whichever slot comes first.
"""

import enum
import itertools
import math
import time

import attrs
import gevent
import gevent.event
import gevent.queue
import logbook
import result

from mothworks import (
    alone,
    batches,
    catalogue,
    configuration,
    health,
    kernel,
    membership,
    outcomes,
    peers,
    placement,
    plugins,
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
#: Time for which a former owner sends asks on, seconds.
FORMER_S = 10.0
#: Bytes of the bodies that wait for slots on one VM.
WAITING_BYTES = 16 << 20
#: Seconds between sweeps of the queues.
SWEEP_S = 0.1
#: Seconds between checks with entries of the slots in use.
CHECK_S = 5.0
#: Hint to a caller where this VM or its owners have no room, seconds.
RETRY_S = 1.0


class Outcome(enum.IntEnum):
    """How a request that had a slot ended."""

    #: The endpoint's answer is complete.
    OK = 0
    #: The endpoint refused, or answered with an error of its own.
    FAILED = 1
    #: The connection to the endpoint broke off.
    CRASHED = 2
    #: The caller went away.
    CANCELLED = 3


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


@plugins.register(plugins.PART, "slots")
class Slots(kernel.Part):
    """Grants slots of owned endpoints and asks other owners for theirs.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.membership = node_kernel.get(membership.Membership)
        self.placement = node_kernel.get(placement.Placement)
        self.health = node_kernel.get(health.Health)
        self.peers = node_kernel.get(peers.Peers)
        self.batch_by_endpoint: dict[str, batches.Batch] = {}
        #: Batches by which this entry bounds what it sends without an owner.
        self.guard_by_endpoint: dict[str, batches.Batch] = {}
        self.endpoint_by_key: dict[queues.Key, str] = {}
        #: Until when this VM is the former owner of endpoints, monotonic time.
        self.former_until_by_endpoint: dict[str, float] = {}
        self.place_by_number: dict[int, Place] = {}
        self.numbers = itertools.count(1)
        self.has_queue = gevent.event.Event()
        self.waiting_bytes = 0
        self.peers.handle(slot_messages.AskSlot, self._serve_ask)
        self.peers.handle(slot_messages.SlotAnswer, self._serve_answer)
        self.peers.handle(slot_messages.SlotDone, self._serve_done)
        self.peers.handle(slot_messages.CheckSlots, self._serve_check)
        self.peers.handle(slot_messages.LostSlots, self._serve_lost)
        self.peers.on_lost.append(self._lose_owner)
        self.health.on_owned.append(self._hand_over)
        self.membership.on_change.append(self._follow_members)
        self.configuration.on_change.append(self._follow_owners)

    def start(self) -> None:
        """Start to look after the queues."""
        self.tasks.spawn(self._sweep_on)
        self.tasks.every(CHECK_S, self.check)

    # -- entry ----------------------------------------------------------

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
        search = _Search(self, request, list(endpoints[:MOST_ASKED]), lone)
        try:
            return search.run()
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

    def ask(self, place: Place) -> None:
        """Send a place's ask to its owner, or count it here without one.

        :param place: the place; answers come to its inbox.
        """
        self.place_by_number[place.ask.number] = place
        if not place.owner:
            guard = self._guard(place.endpoint)
            guard.ask(place.ask, self.name, self._take_answer)
            self._note_queue(guard)
        elif place.owner == self.name:
            self._ask_here(self.name, place.ask, self._take_answer)
        elif not self.peers.send(place.owner, place.ask):
            place.inbox.put(News(place, Lost()))

    def give_up(self, place: Place) -> None:
        """Take back an ask, or give back its slot.

        :param place: the place.
        """
        if self.place_by_number.pop(place.ask.number, None) is not None:
            cancelled = int(Outcome.CANCELLED)
            self._finish(place, slot_messages.SlotDone(place.ask.number, cancelled))

    def _finish(self, place: Place, done: slot_messages.SlotDone) -> None:
        if not place.owner:
            guard = self._guard(place.endpoint)
            guard.done((self.name, done.number))
        elif place.owner == self.name:
            self._done_here(self.name, done)
        else:
            self.peers.send(place.owner, done)

    def _take_answer(self, answer: slot_messages.SlotAnswer) -> None:
        place = self.place_by_number.get(answer.number)
        if place is not None and not place.held:
            place.inbox.put(News(place, answer))

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
                place.inbox.put(News(place, answer))

    def _lose_owner(self, vm: str) -> None:
        """Ask again, or report running requests again, after a broken link.

        What was on its way is lost, and the owner may have restarted: waiting
        requests would wait for nothing, and running ones be uncounted.
        """
        for place in list(self.place_by_number.values()):
            if place.owner != vm:
                continue
            if place.held:
                self.tasks.spawn(self.peers.send, vm, place.ask)
            else:
                place.inbox.put(News(place, Lost()))

    # -- owner ----------------------------------------------------------

    def running(self, endpoint: str, target: str) -> frozenset[str]:
        """Return the requests in flight for a target at an owned endpoint.

        :param endpoint: the endpoint's name.
        :param target: a model or adapter.
        """
        held = self._batch(endpoint).held_by_key.values()
        return frozenset(
            item.ask.request_id for item in held if item.ask.target == target
        )

    def withhold(self, endpoint: str, models: frozenset[str]) -> None:
        """Give no further slots for some residents of an owned endpoint.

        An entry may not have heard yet that the models are not offered any
        more; the owner's own check keeps its requests from running into the
        unload. Requests that wait are turned away and go elsewhere.

        :param endpoint: the endpoint's name.
        :param models: models and adapters that are about to be unloaded.
        """
        self.health.withhold(endpoint, models)
        self._batch(endpoint).sweep(time.monotonic())

    def sweep(self) -> bool:
        """Refuse what waited too long or may not run any more.

        :returns: whether anything still waits.
        """
        now = time.monotonic()
        held = (*self.batch_by_endpoint.values(), *self.guard_by_endpoint.values())
        queued = [batch for batch in held if len(batch.queue)]
        for batch in queued:
            batch.sweep(now)
        return any(len(batch.queue) for batch in queued)

    def _sweep_on(self) -> None:
        while True:
            self.has_queue.wait()
            gevent.sleep(SWEEP_S)
            self.has_queue.clear()
            if self.sweep():
                self.has_queue.set()

    def check(self) -> None:
        """Ask entries for slots that they do not know any more.

        The report of an end is lost with its connection; without the check
        its slot would stay taken for good.
        """
        numbers_by_entry: dict[str, list[int]] = {}
        old = time.monotonic() - CHECK_S
        for batch in self.batch_by_endpoint.values():
            for (entry, number), held in batch.held_by_key.items():
                if held.since < old and entry != self.name:
                    numbers_by_entry.setdefault(entry, []).append(number)
        for entry, numbers in numbers_by_entry.items():
            self.peers.send(entry, slot_messages.CheckSlots(numbers))

    @property
    def name(self) -> str:
        """Return this VM's name."""
        return self.kernel.settings.name

    def _ask_here(self, entry: str, ask: slot_messages.AskSlot, answer) -> None:
        # An entry that has not heard of the new owner yet asks the former
        # one, which has forgotten what runs and would fill the batch again.
        until = self.former_until_by_endpoint.get(ask.endpoint, 0.0)
        if time.monotonic() < until:
            moved = int(slot_messages.Verdict.MOVED)
            answer(slot_messages.SlotAnswer(ask.number, moved))
            return
        self.endpoint_by_key[(entry, ask.number)] = ask.endpoint

        def keep_known(reply: slot_messages.SlotAnswer) -> None:
            if reply.verdict >= slot_messages.Verdict.REFUSED:
                self.endpoint_by_key.pop((entry, ask.number), None)
            answer(reply)

        batch = self._batch(ask.endpoint)
        batch.ask(ask, entry, keep_known)
        self._note_queue(batch)

    def _note_queue(self, batch: batches.Batch) -> None:
        if len(batch.queue):
            self.has_queue.set()

    def _done_here(self, entry: str, done: slot_messages.SlotDone) -> None:
        key = (entry, done.number)
        endpoint = self.endpoint_by_key.pop(key, None)
        if endpoint is None:
            return
        batch = self._batch(endpoint)
        held = batch.held_by_key.get(key)
        if held is not None and done.between_tokens_us:
            target_ms = self._between_target_ms(held.ask.caller)
            batch.observe(held, done.between_tokens_us / 1000, target_ms)
        if done.outcome == Outcome.FAILED:
            batch.pause()
        batch.done(key, done.first_token_ms)

    def _batch(self, name: str) -> batches.Batch:
        batch = self.batch_by_endpoint.get(name)
        if batch is None:
            endpoint = self.configuration.index.endpoint_by_name.get(name)
            slots = endpoint.slots if endpoint else 1
            kind = self.health.adapters.get(endpoint.kind) if endpoint else None
            batch = batches.Batch(
                slots,
                self._why_closed,
                self._share,
                lambda: self._reported(name),
                kind is not None and kind.preempts,
            )
            self.batch_by_endpoint[name] = batch
        return batch

    def _reported(self, name: str) -> int | None:
        report = self.health.report_by_endpoint.get(name)
        return report.running if report else None

    def _guard(self, endpoint: catalogue.Endpoint) -> batches.Batch:
        guard = self.guard_by_endpoint.get(endpoint.name)
        if guard is None:
            # Every entry may be without the owner at the same time; together
            # they then send about what the endpoint's batch holds.
            vms = len(self.membership.near()) + 1
            slots = max(1, math.ceil(endpoint.slots / vms))
            guard = batches.Batch(slots, self._why_closed, self._share)
            self.guard_by_endpoint[endpoint.name] = guard
        return guard

    def _why_closed(self, ask: slot_messages.AskSlot) -> str:
        withheld = self.health.withheld_by_endpoint.get(ask.endpoint, frozenset())
        if ask.target in withheld:
            return "not_offered"
        return self.placement.why_closed(ask.endpoint, ask.target)

    def _share(self, name: str) -> float:
        caller = self.configuration.index.caller_by_name.get(name)
        return caller.share if caller else 1.0

    def _between_target_ms(self, name: str) -> float:
        caller = self.configuration.index.caller_by_name.get(name)
        default = attrs.fields(catalogue.Caller).between_tokens_ms.default
        return caller.between_tokens_ms if caller else default

    def _hand_over(self) -> None:
        """Send what waits for endpoints that are no longer owned to new owners."""
        owned = self.health.owned()
        now = time.monotonic()
        self.former_until_by_endpoint = {
            name: until
            for name, until in self.former_until_by_endpoint.items()
            if until > now and name not in owned
        }
        for name in self.batch_by_endpoint.keys() - owned:
            self.former_until_by_endpoint[name] = now + FORMER_S
            batch = self.batch_by_endpoint.pop(name)
            batch.hand_over()
            for key in batch.held_by_key:
                self.endpoint_by_key.pop(key, None)

    def _follow_members(self) -> None:
        """Free the slots of entries that died, and ask new owners."""
        for batch in list(self.batch_by_endpoint.values()):
            for key in batch.asks():
                if not self._lives(key[0]):
                    self.endpoint_by_key.pop(key, None)
                    batch.done(key)
        self._follow_owners()

    def _lives(self, entry: str) -> bool:
        record = self.membership.table.find(entry)
        return entry == self.name or (record is not None and record.live)

    # -- messages -------------------------------------------------------

    def _serve_ask(self, sender: str, ask: slot_messages.AskSlot, _) -> None:
        self._ask_here(sender, ask, lambda reply: self.peers.send(sender, reply))

    def _serve_answer(self, sender: str, answer: slot_messages.SlotAnswer, _) -> None:
        place = self.place_by_number.get(answer.number)
        if place is None or place.owner != sender:
            # A grant that crossed with its cancellation: the cancellation
            # frees it. From a former owner: it was told already.
            return
        self._take_answer(answer)

    def _serve_done(self, sender: str, done: slot_messages.SlotDone, _) -> None:
        self._done_here(sender, done)

    def _serve_check(self, sender: str, check: slot_messages.CheckSlots, _) -> None:
        lost = [
            number
            for number in check.numbers
            if number not in self.place_by_number
            or self.place_by_number[number].owner != sender
        ]
        if lost:
            self.peers.send(sender, slot_messages.LostSlots(lost))

    def _serve_lost(self, sender: str, lost: slot_messages.LostSlots, _) -> None:
        for number in lost.numbers:
            self._done_here(sender, slot_messages.SlotDone(number))


class _Search:
    """The search of one request for a slot.

    :param slots: the part that sends its asks.
    :param request: the request.
    :param endpoints: where it may run, the best first.
    :param lone: whether it must not share the endpoint.
    """

    def __init__(
        self,
        slots: Slots,
        request: requests.Request,
        endpoints: list[catalogue.Endpoint],
        lone: bool,
    ):
        self.slots = slots
        self.request = request
        self.endpoints = endpoints
        self.lone = lone
        self.inbox: gevent.queue.SimpleQueue = gevent.queue.SimpleQueue()
        self.open: list[Place] = []
        self.unreachable: list[catalogue.Endpoint] = []
        self.refusals: list[slot_messages.SlotAnswer] = []
        self.moves = 0
        self.until = self._deadline()

    def run(self) -> result.Result[Grant, outcomes.Refusal]:
        """Ask owners until one grants or all have refused."""
        self._ask_next()
        while self.open:
            match self._next_news():
                case None:
                    if time.monotonic() >= self.until:
                        return result.Err(self._refusal())
                    self._lose_silent()
                case News(place) if place not in self.open:
                    continue
                case News(place, Lost()):
                    self._lose(place)
                case News(place, answer):
                    match slot_messages.Verdict(answer.verdict):
                        case slot_messages.Verdict.GRANTED:
                            return result.Ok(self._take(place))
                        case slot_messages.Verdict.QUEUED:
                            self._wait(place)
                        case slot_messages.Verdict.REFUSED:
                            self.refusals.append(answer)
                            self._drop(place)
                        case slot_messages.Verdict.MOVED:
                            self._follow(place)
            if not self.open:
                self._ask_next()
        return result.Err(self._refusal())

    def close(self) -> None:
        """Take back every ask that was not granted."""
        for place in self.open:
            self.slots.give_up(place)
        self.open = []

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
            owner = self.slots.health.owner(endpoint)
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
            next(self.slots.numbers),
            alone=self.lone,
        )
        place = Place(ask, endpoint, owner, self.inbox)
        self.open.append(place)
        self.slots.ask(place)

    def _take(self, place: Place) -> Grant:
        self.open.remove(place)
        place.held = True
        # From here on a repeated ask only tells an owner what runs.
        place.ask = attrs.evolve(place.ask, held=True)
        ask = place.ask
        return Grant(ask.request_id, place.endpoint, place.owner, ask.number)

    def _wait(self, place: Place) -> None:
        place.queued = True
        # A request that waits to run alone keeps all others waiting, which is
        # enough at one endpoint.
        if len(self.open) < MOST_WAITING and not self.lone:
            self._ask_next()

    def _drop(self, place: Place) -> None:
        self.open.remove(place)
        self.slots.give_up(place)

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
        owner = self.slots.health.owner(place.endpoint)
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
