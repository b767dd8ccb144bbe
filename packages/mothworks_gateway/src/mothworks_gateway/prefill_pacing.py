"""Prefill pacing: each endpoint processes one prompt after another.

An endpoint runs prefill between the decoding steps of its streams. Several prompts that
arrive together stall all of its streams until the last prompt is processed, and every
stream is late. Therefore one VM owns the endpoint's prefill schedule: it records when
the endpoint will have finished the prompts sent so far, and replies to each request
with the time to wait for its prefill slot. The owner is chosen by rendezvous hashing,
in large deployments among the collectors, since every VM has to be connected to it. The
owner replies at once and stores nothing else: one that is silent or gone costs one
short timeout, and its successor starts with an empty schedule.
"""

import time

import attrs
import gevent
import logbook

from mothworks import kernel, logs, messages, peers
from mothworks_gateway import (
    caller_request,
    declaration_types,
    owners,
    prefill_speed,
    registry,
)

log = logbook.Logger("turns")

#: Pace at which prompts are sent to an endpoint whose prefill speed is unknown, prompt
#: tokens per second.
DEFAULT_PACE_TOKENS_PER_S = 28_000.0
#: Share of an endpoint's prefill speed that is scheduled; the rest is left for decoding
#: the running streams.
PREFILL_SHARE = 0.75
#: Prefill speed that is assumed for an endpoint before it has been measured.
DEFAULT_SPEED_TOKENS_PER_S = DEFAULT_PACE_TOKENS_PER_S / PREFILL_SHARE
#: Longest time for which an owner schedules ahead, seconds: beyond it, the endpoint is
#: overloaded, and waiting would not help its streams.
MAX_AHEAD_S = 0.5
#: Upper bound of the prompt length that is scheduled: callers declare the length, and a
#: schedule reaches no further ahead.
MAX_TOKENS = int(DEFAULT_PACE_TOKENS_PER_S * MAX_AHEAD_S)
#: Lower bound of the pace that a peer may request, prompt tokens per second.
MIN_TOKENS_PER_S = 1_000.0
#: Longest wait for a prefill slot, as a share of the request's objective: the prompt
#: must still be processed in time.
MAX_WAIT_SHARE = 0.35
#: Timeout for an owner's reply, seconds: several times the longest network delay
#: between data centres of a region.
REPLY_TIMEOUT_S = 0.02
#: Interval at which missing connections to owners are opened, seconds.
CONNECT_INTERVAL_S = 1.0
#: Waits below this are skipped, seconds: they are not worth a timer.
MIN_WAIT_S = 0.001


@messages.message(117)
@attrs.frozen
class PrefillSlotRequest:
    """Requests a prefill slot from the owner of an endpoint's schedule.

    :param endpoint: the endpoint's id.
    :param tokens: the prompt's length.
    :param urgency: rank of the request.
    :param tokens_per_s: pace at which the sender wants prompts of the endpoint's
        service to be scheduled, by the prefill speed that it measured.
    """

    endpoint: str
    tokens: int
    urgency: int
    tokens_per_s: float = DEFAULT_PACE_TOKENS_PER_S


@messages.message(118)
@attrs.frozen
class PrefillSlot:
    """The owner's reply: when the prompt may be sent.

    :param wait_s: seconds to wait from now on.
    """

    wait_s: float


class PrefillSchedule:
    """When an endpoint will have processed the prompts that were sent to it.

    >>> schedule = PrefillSchedule()
    >>> schedule.reserve(tokens=2800, urgency=1, now=5.0)
    0.0
    >>> round(schedule.reserve(tokens=2800, urgency=1, now=5.0), 3)
    0.1
    """

    def __init__(self):
        #: Monotonic time at which the prompts of each rank and of all more urgent ranks
        #: are processed.
        self.free_at_by_urgency = [0.0] * (declaration_types.LOWEST_URGENCY + 1)

    def reserve(
        self,
        tokens: int,
        urgency: int,
        now: float,
        tokens_per_s: float = DEFAULT_PACE_TOKENS_PER_S,
    ) -> float:
        """Reserve a prefill slot, and return the seconds until it starts.

        It delays later slots of equally and less urgent prompts.

        :param tokens: the prompt's length.
        :param urgency: its rank.
        :param now: monotonic time.
        :param tokens_per_s: the pace at which prompts are sent.
        """
        start_at = min(max(now, self.free_at_by_urgency[urgency]), now + MAX_AHEAD_S)
        prefill_s = tokens / tokens_per_s
        for rank in range(urgency, len(self.free_at_by_urgency)):
            free_at = max(now, self.free_at_by_urgency[rank])
            self.free_at_by_urgency[rank] = min(free_at + prefill_s, now + MAX_AHEAD_S)
        return start_at - now


class PrefillPacing(kernel.Part):
    """Grants prefill slots at endpoints that this VM owns, and requests all others.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.peers = node_kernel.get(peers.Peers)
        self.owners = node_kernel.get(owners.Owners)
        self.prefill_speed = node_kernel.get(prefill_speed.PrefillSpeed)
        self.schedule_by_endpoint: dict[str, PrefillSchedule] = {}
        self.owners.on_change.append(self.schedule_by_endpoint.clear)
        self.peers.handle(PrefillSlotRequest, self._serve)
        self.wait_seconds = node_kernel.metrics.duration_histogram(
            "turn_seconds", "Time that requests waited for their turn."
        )

    def start(self) -> None:
        """Start to open missing connections to owners periodically."""
        self.tasks.every(CONNECT_INTERVAL_S, self._connect_to_owners)

    def wait(
        self, request: caller_request.CallerRequest, endpoint: registry.Endpoint
    ) -> None:
        """Wait for a request's prefill slot at an endpoint.

        :param request: the request; one without a prompt does not wait.
        :param endpoint: the endpoint that it will be sent to.
        """
        if not request.input_tokens:
            return
        tokens = min(request.unshared_tokens, MAX_TOKENS)
        speed = self.prefill_speed.tokens_per_s(
            request.target.service, DEFAULT_SPEED_TOKENS_PER_S
        )
        pace = PREFILL_SHARE * speed
        slot_request = PrefillSlotRequest(endpoint.id, tokens, request.urgency, pace)
        owner = self.owners.ranked(endpoint.id)[0]
        slot_in_s = (
            self._reserve(slot_request)
            if owner == self.name
            else self._request_slot(owner, slot_request)
        )
        wait_s = min(slot_in_s, MAX_WAIT_SHARE * request.route.objective_s)
        self.wait_seconds.observe({"service": request.target.service}, wait_s)
        if wait_s < MIN_WAIT_S:
            return
        logs.event(
            log,
            "turn",
            request=request.id,
            endpoint=endpoint.id,
            owner=owner,
            tokens=slot_request.tokens,
            pace=round(slot_request.tokens_per_s),
            turn_ms=round(slot_in_s * 1000),
            outcome=f"waits {wait_s * 1000:.0f} ms",
        )
        gevent.sleep(wait_s)

    def _request_slot(self, owner: str, slot_request: PrefillSlotRequest) -> float:
        """Return the seconds until a prefill slot; 0 if the owner does not reply."""
        match self.owners.call(
            owner,
            slot_request,
            REPLY_TIMEOUT_S,
            f"prefill slots at {slot_request.endpoint}",
        ):
            case PrefillSlot(wait_s):
                return wait_s
        return 0.0

    def _serve(
        self, _: str, slot_request: PrefillSlotRequest, reply: peers.Reply
    ) -> None:
        reply(PrefillSlot(self._reserve(slot_request)))

    def _reserve(self, slot_request: PrefillSlotRequest) -> float:
        schedule = self.schedule_by_endpoint.setdefault(
            slot_request.endpoint, PrefillSchedule()
        )
        urgency = min(max(slot_request.urgency, 0), declaration_types.LOWEST_URGENCY)
        pace = max(slot_request.tokens_per_s, MIN_TOKENS_PER_S)
        return schedule.reserve(slot_request.tokens, urgency, time.monotonic(), pace)

    def _connect_to_owners(self) -> None:
        """Connect to all VMs that may own an endpoint before a request needs them."""
        for owner in self.owners.candidates():
            if owner != self.name and not self.peers.is_connected(owner):
                self.peers.open(owner)
