"""Turns: prompts are read one after another at each endpoint.

An endpoint reads prompts between the tokens of the streams that it runs. Where
several prompts reach it at once, all its streams pause until they are read, and
each of them is late. So one VM, the endpoint's owner by rendezvous hashing (among the
collectors, where VMs are many: each other VM must be connected to it), keeps
the moment at which the endpoint will have read what it was given, and tells each
request how long to wait. It answers at once and keeps nothing else: an owner
that is silent or gone costs one short timeout, and its successor begins anew.
"""

import time

import attrs
import gevent
import logbook

from mothworks import kernel, logs, messages, peers
from mothworks_gateway import asked, declared, owners, reading, registry

log = logbook.Logger("turns")

#: Prompt tokens a second that an endpoint is given, where its speed is not known.
READ_TOKENS_PER_S = 28_000.0
#: Part of an endpoint's reading speed that is planned; the rest is left for the
#: tokens of the streams that run.
PACE = 0.75
USUAL_SPEED = READ_TOKENS_PER_S / PACE
#: Longest time by which an owner plans ahead, seconds: past that an endpoint is
#: overloaded, and waiting would not help its streams.
MOST_AHEAD_S = 0.5
#: Tokens that a prompt counts at most: its length is the caller's word, and a plan
#: reaches no further.
MOST_TOKENS = int(READ_TOKENS_PER_S * MOST_AHEAD_S)
#: Slowest pace that a peer may ask for.
LEAST_TOKENS_PER_S = 1_000.0
#: Part of a request's objective that it waits at most for its turn: its prompt
#: must still be read in time.
WAIT_SHARE = 0.35
#: Time for an owner to answer, seconds: several times the longest way between
#: data centres of a region.
REPLY_S = 0.02
#: Seconds between looks for owners that this VM is not connected to.
LINK_S = 1.0
#: Waits that are not worth a timer, seconds.
LEAST_S = 0.001


@messages.message(117)
@attrs.frozen
class AskTurn:
    """Asks the owner of an endpoint when a prompt may be sent there.

    :param endpoint: the endpoint's id.
    :param tokens: the prompt's length.
    :param urgency: rank of the request's route.
    :param tokens_per_s: how fast the asker has seen the endpoint's service read.
    """

    endpoint: str
    tokens: int
    urgency: int
    tokens_per_s: float = READ_TOKENS_PER_S


@messages.message(118)
@attrs.frozen
class Turn:
    """Tells when.

    :param wait_s: seconds from now on.
    """

    wait_s: float


class Plan:
    """When an endpoint will have read the prompts that it was given.

    >>> plan = Plan()
    >>> plan.reserve(tokens=2800, urgency=1, now=5.0)
    0.0
    >>> round(plan.reserve(tokens=2800, urgency=1, now=5.0), 3)
    0.1
    """

    def __init__(self):
        #: Monotonic time at which the prompts of each rank, and all more urgent
        #: ones, are read.
        self.free_at_by_urgency = [0.0] * (declared.LEAST_URGENT + 1)

    def reserve(
        self,
        tokens: int,
        urgency: int,
        now: float,
        tokens_per_s: float = READ_TOKENS_PER_S,
    ) -> float:
        """Return the seconds until a prompt's turn, and keep it free.

        Less urgent prompts make way.

        :param tokens: the prompt's length.
        :param urgency: its rank.
        :param now: monotonic time.
        :param tokens_per_s: the pace at which prompts are sent.
        """
        starts = min(max(now, self.free_at_by_urgency[urgency]), now + MOST_AHEAD_S)
        reading_s = tokens / tokens_per_s
        for rank in range(urgency, len(self.free_at_by_urgency)):
            free_at = max(now, self.free_at_by_urgency[rank])
            self.free_at_by_urgency[rank] = min(free_at + reading_s, now + MOST_AHEAD_S)
        return starts - now


class Turns(kernel.Part):
    """Hands out turns for the endpoints that this VM owns, and asks for others.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.peers = node_kernel.get(peers.Peers)
        self.owners = node_kernel.get(owners.Owners)
        self.reading = node_kernel.get(reading.Reading)
        self.plan_by_endpoint: dict[str, Plan] = {}
        self.owners.on_change.append(self.plan_by_endpoint.clear)
        self.peers.handle(AskTurn, self._serve)
        self.waits = node_kernel.metrics.seconds(
            "turn_seconds", "Time that requests waited for their turn."
        )

    def start(self) -> None:
        """Start to keep connections to owners open."""
        self.tasks.every(LINK_S, self._open_links)

    def wait(self, request: asked.Asked, endpoint: registry.Endpoint) -> None:
        """Wait until it is a request's turn at an endpoint.

        :param request: the request; one without a prompt need not wait.
        :param endpoint: where it is to be sent.
        """
        if not request.input_tokens:
            return
        tokens = min(request.own_tokens, MOST_TOKENS)
        speed = self.reading.tokens_per_s(request.target.service, USUAL_SPEED)
        pace = PACE * speed
        ask = AskTurn(endpoint.id, tokens, request.urgency, pace)
        owner = self.owners.ranked(endpoint.id)[0]
        turn_s = self._reserve(ask) if owner == self.name else self._ask(owner, ask)
        wait_s = min(turn_s, WAIT_SHARE * request.route.objective_s)
        self.waits.observe({"service": request.target.service}, wait_s)
        if wait_s < LEAST_S:
            return
        logs.event(
            log,
            "turn",
            request=request.id,
            endpoint=endpoint.id,
            owner=owner,
            tokens=ask.tokens,
            pace=round(ask.tokens_per_s),
            turn_ms=round(turn_s * 1000),
            outcome=f"waits {wait_s * 1000:.0f} ms",
        )
        gevent.sleep(wait_s)

    def _ask(self, owner: str, ask: AskTurn) -> float:
        """Return the seconds until a turn; none where the owner does not tell."""
        match self.owners.ask(owner, ask, REPLY_S, f"turns at {ask.endpoint}"):
            case Turn(wait_s):
                return wait_s
        return 0.0

    def _serve(self, _: str, ask: AskTurn, answer: peers.Answer) -> None:
        answer(Turn(self._reserve(ask)))

    def _reserve(self, ask: AskTurn) -> float:
        plan = self.plan_by_endpoint.setdefault(ask.endpoint, Plan())
        urgency = min(max(ask.urgency, 0), declared.LEAST_URGENT)
        pace = max(ask.tokens_per_s, LEAST_TOKENS_PER_S)
        return plan.reserve(ask.tokens, urgency, time.monotonic(), pace)

    def _open_links(self) -> None:
        """Be connected to all that may own an endpoint before a request needs it."""
        for owner in self.owners.candidates():
            if owner != self.name and not self.peers.linked(owner):
                self.peers.open(owner)
