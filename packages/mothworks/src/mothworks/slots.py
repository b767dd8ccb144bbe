"""Slots: an endpoint's owner grants each request its place in the batch.

The owner has the exact count in flight and one priority queue for each
endpoint. An entry asks for a slot before it sends, and reports the end.
"""

import enum
import heapq
import itertools
import time
import typing

import attrs
import gevent
import gevent.event
import result

from mothworks import (
    catalogue,
    configuration,
    health,
    kernel,
    messages,
    outcomes,
    peers,
    plugins,
    requests,
    row_classes,
)

#: Most requests that wait for one endpoint.
QUEUE_LENGTH = 1024
#: Longest wait for a slot, seconds, by rank of urgency.
WAIT_S_BY_RANK = (10.0, 60.0, 600.0)
#: Time a reply may take beyond the wait, seconds.
REPLY_GRACE_S = 2.0


@messages.message(10)
@attrs.frozen
class AskSlot:
    """An entry asks an endpoint's owner for a slot.

    :param request_id: the request's id.
    :param endpoint: the endpoint's name.
    :param rank: rank of the request's urgency, 0 first.
    :param wait_ms: longest wait, milliseconds.
    :param target_ms: time left to the first token's target, milliseconds.
    :param target: the model, adapter or service that was asked for.
    :param caller: the caller's name.
    :param tokens: most tokens the request may generate.
    """

    request_id: str
    endpoint: str
    rank: int
    wait_ms: int
    target_ms: int
    target: str = ""
    caller: str = ""
    tokens: int = 0


@messages.message(11)
@attrs.frozen
class SlotAnswer:
    """The owner's answer to :class:`AskSlot`.

    :param granted: whether the request may be sent now.
    :param reason: why not.
    """

    granted: bool
    reason: str = ""


@messages.message(12)
@attrs.frozen
class SlotDone:
    """An entry reports the end of a request that had a slot.

    :param request_id: the request's id.
    :param endpoint: the endpoint's name.
    :param outcome: an :class:`Outcome`.
    :param first_token_ms: see :class:`End`, whole milliseconds.
    :param between_tokens_us: see :class:`End`, whole microseconds.
    :param tokens: see :class:`End`.
    """

    request_id: str
    endpoint: str
    outcome: int = 0
    first_token_ms: int = 0
    between_tokens_us: int = 0
    tokens: int = 0


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
    """

    request_id: str
    endpoint: catalogue.Endpoint
    owner: str


class Waiting(typing.NamedTuple):
    """A request in an owner's queue, in the order of service."""

    rank: int
    target: float
    number: int
    ask: AskSlot
    event: gevent.event.AsyncResult
    since: float


class Batch:
    """What the owner knows of one endpoint's requests.

    :param limit: most requests in flight.
    """

    def __init__(self, limit: int):
        self.limit = limit
        #: Targets of the requests in flight, by request.
        self.running: dict[str, str] = {}
        self.queue: list[Waiting] = []
        self.numbers = itertools.count()

    def ask(self, ask: AskSlot) -> SlotAnswer:
        """Wait for a slot, blocking the current task.

        :param ask: the entry's message.
        """
        if len(self.running) < self.limit and not self.queue:
            self.running[ask.request_id] = ask.target
            return SlotAnswer(True)
        if len(self.queue) >= QUEUE_LENGTH:
            return SlotAnswer(False, "queue_full")
        now = time.monotonic()
        target = now + ask.target_ms / 1000
        event = gevent.event.AsyncResult()
        waiting = Waiting(ask.rank, target, next(self.numbers), ask, event, now)
        heapq.heappush(self.queue, waiting)
        try:
            return event.get(timeout=ask.wait_ms / 1000)
        except gevent.Timeout:
            self.queue.remove(waiting)
            heapq.heapify(self.queue)
            return SlotAnswer(False, "waited_too_long")

    def done(self, request_id: str) -> None:
        """Free a slot and give it to the next request.

        :param request_id: the request that ended.
        """
        self.running.pop(request_id, None)
        while self.queue and len(self.running) < self.limit:
            waiting = heapq.heappop(self.queue)
            self.running[waiting.ask.request_id] = waiting.ask.target
            waiting.event.set(SlotAnswer(True))

    def turn_away(self, targets: frozenset[str]) -> None:
        """Refuse the waiting requests for some targets.

        :param targets: models or adapters.
        """
        staying = []
        for waiting in self.queue:
            if waiting.ask.target in targets:
                waiting.event.set(SlotAnswer(False, "not_offered"))
            else:
                staying.append(waiting)
        heapq.heapify(staying)
        self.queue = staying


@plugins.register(plugins.PART, "slots")
class Slots(kernel.Part):
    """Grants slots of owned endpoints and asks other owners for theirs.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.health = node_kernel.get(health.Health)
        self.peers = node_kernel.get(peers.Peers)
        self.batch_by_endpoint: dict[str, Batch] = {}
        self.peers.handle(AskSlot, self._serve_ask)
        self.peers.handle(SlotDone, self._serve_done)

    def acquire(
        self, request: requests.Request, endpoint: catalogue.Endpoint
    ) -> result.Result[Grant, outcomes.Refusal]:
        """Get a slot for a request, waiting in the owner's queue.

        :param request: the request.
        :param endpoint: where it is to run.
        """
        owner = self.health.owner(endpoint)
        if owner is None:
            return result.Ok(Grant(request.id, endpoint, ""))
        rank = request.caller.urgency.rank
        target_ms = int((request.first_token_deadline - time.monotonic()) * 1000)
        wait_s = WAIT_S_BY_RANK[rank]
        ask = AskSlot(
            request.id,
            endpoint.name,
            rank,
            int(wait_s * 1000),
            target_ms,
            request.target,
            request.caller.name,
            request.tokens,
        )
        if owner.name == self.kernel.settings.name:
            answer = self._ask(ask)
        else:
            match self.peers.call(owner.name, ask, wait_s + REPLY_GRACE_S):
                case result.Ok(reply):
                    answer = reply
                case result.Err(_):
                    # The owner is unreachable: serving goes on without it,
                    # at worst overfilling the endpoint's batch for a while.
                    return result.Ok(Grant(request.id, endpoint, ""))
        if not answer.granted:
            message = f"no capacity for {request.target!r} in time: {answer.reason}"
            return result.Err(outcomes.overloaded(message, 1.0))
        return result.Ok(Grant(request.id, endpoint, owner.name))

    def release(self, grant: Grant, end: End) -> None:
        """Report the end of a request.

        :param grant: what :meth:`acquire` returned.
        :param end: how the request ended.
        """
        if not grant.owner:
            return
        if grant.owner == self.kernel.settings.name:
            self._batch(grant.endpoint.name).done(grant.request_id)
        else:
            done = SlotDone(
                grant.request_id,
                grant.endpoint.name,
                int(end.outcome),
                round(end.first_token_ms),
                round(end.between_tokens_ms * 1000),
                end.tokens,
            )
            self.peers.send(grant.owner, done)

    def waiting(self) -> list[row_classes.WaitingRow]:
        """Return the requests in this VM's queues, in their order of service."""
        owner = self.kernel.settings.name
        return [
            _waiting_row(owner, endpoint, batch, place, waiting)
            for endpoint, batch in sorted(self.batch_by_endpoint.items())
            for place, waiting in enumerate(sorted(batch.queue), start=1)
        ]

    def running(self, endpoint: str, target: str) -> frozenset[str]:
        """Return the requests in flight for a target at an owned endpoint.

        :param endpoint: the endpoint's name.
        :param target: a model or adapter.
        """
        running = self._batch(endpoint).running
        return frozenset(key for key, value in running.items() if value == target)

    def withhold(self, endpoint: str, models: frozenset[str]) -> None:
        """Give no further slots for some residents of an owned endpoint.

        An entry may not have heard yet that the models are not offered any
        more; the owner's own check keeps its requests from running into the
        unload. Requests that wait are turned away and go elsewhere.

        :param endpoint: the endpoint's name.
        :param models: models and adapters that are about to be unloaded.
        """
        self.health.withhold(endpoint, models)
        self._batch(endpoint).turn_away(models)

    def _ask(self, ask: AskSlot) -> SlotAnswer:
        withheld = self.health.withheld_by_endpoint.get(ask.endpoint, frozenset())
        if ask.target in withheld:
            return SlotAnswer(False, "not_offered")
        return self._batch(ask.endpoint).ask(ask)

    def _batch(self, name: str) -> Batch:
        batch = self.batch_by_endpoint.get(name)
        if batch is None:
            endpoint = self.configuration.index.endpoint_by_name.get(name)
            batch = Batch(endpoint.slots if endpoint else 1)
            self.batch_by_endpoint[name] = batch
        return batch

    def _serve_ask(self, _: str, ask: AskSlot, answer: peers.Answer) -> None:
        self.tasks.spawn(lambda: answer(self._ask(ask)))

    def _serve_done(self, _: str, done: SlotDone, __: peers.Answer) -> None:
        self._batch(done.endpoint).done(done.request_id)


def _waiting_row(
    owner: str, endpoint: str, batch: Batch, place: int, waiting: Waiting
) -> row_classes.WaitingRow:
    now = time.monotonic()
    ask = waiting.ask
    return row_classes.WaitingRow(
        request=ask.request_id,
        endpoint=endpoint,
        owner=owner,
        position=place,
        queued=len(batch.queue),
        running=len(batch.running),
        slots=batch.limit,
        urgency=list(catalogue.Urgency)[ask.rank],
        caller=ask.caller,
        model=ask.target,
        waited_ms=round((now - waiting.since) * 1000),
        deadline_ms=round((waiting.target - now) * 1000),
    )
