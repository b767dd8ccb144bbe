"""Send slots: when a request may be sent to an endpoint that names a limit.

A limit (:mod:`endpoint_limits`) is a budget that all VMs share
(:mod:`shared_budgets`): the VM that owns it grants each sending its slot, at once or a
little ahead, and the request waits for it. A VM that finds nobody to ask sends nothing
there: hundreds of VMs that each try a single request would be hundreds of requests.
"""

import collections
import math
import random
import time

import attrs
import logbook
import result

from mothworks import kernel, logs, messages, peers
from mothworks_gateway import (
    asked,
    bucket,
    client_accounts,
    declared,
    endpoint_limits,
    heartbeat,
    registry,
    shared_budgets,
    windows,
)

log = logbook.Logger("send_slots")

#: Sendings that may gather while nobody asks for a slot: one more than the next, so
#: that the pauses between requests cost nothing of the limit.
BURST = 2.0
#: Least requests a second that an endpoint gets whose limit is lower, so that it is
#: noticed when that is lifted.
LEAST_PER_S = 0.25
#: Longest time by which an owner grants slots ahead, seconds, for the most urgent
#: requests; the others leave the end of the line to them.
MOST_AHEAD_S = 2.0
#: The same while requests are refused for longer than :data:`OVERLOADED_S`: what is
#: served then would otherwise all be late.
OVERLOADED_AHEAD_S = 0.1
#: Time of refusals after which an endpoint counts as overloaded, and time without any
#: after which it no longer does, seconds.
OVERLOADED_S = 2.0
#: Limited endpoints that are asked about for one request.
MOST_TRIED = 3
#: Hint to a caller where no owner of a limit answers, seconds: it comes to another VM.
UNLENT_RETRY_S = 0.3
#: Time for which an owner that has no slot is not asked for one at once, at least,
#: seconds.
LEAST_FULL_S = 0.02
#: Begins the names of the shared budgets that limits are; see
#: :meth:`shared_budgets.SharedBudgets.spend`.
BUDGET_PREFIX = "endpoint limit\n"
#: Time over which sendings are counted for the metrics, seconds.
REPORTED_S = 4.0
#: Seconds between updates of the metrics.
REPORT_S = 1.0
#: Most endpoints in the metrics.
MOST_REPORTED = 50


@messages.message(134)
@attrs.frozen
class AskSlot:
    """Asks the owner of an endpoint's limit when a request may be sent there.

    :param row: what the asker knows of the limit.
    :param ahead_s: time for which the request can wait, seconds.
    :param urgency: its rank.
    """

    row: heartbeat.LimitRow
    ahead_s: float
    urgency: int

    @property
    def endpoint_id(self) -> str:
        """Return the endpoint that is asked about."""
        return self.row[0]


@messages.message(135)
@attrs.frozen
class SlotReply:
    """Answers.

    :param lends: whether the sender may decide at all now.
    :param granted: whether the request has a slot.
    :param wait_s: seconds until its slot; where it has none, until the endpoint has
        room again for one that does not wait.
    :param return_s: where it has none, seconds until its caller should return.
    """

    lends: bool
    granted: bool = False
    wait_s: float = 0.0
    return_s: float = 0.0


@attrs.frozen
class Slot:
    """Leave to send one request.

    :param endpoint: where to.
    :param per_s: the endpoint's limit; None where it names none.
    :param at: monotonic time from which on it may be sent.
    """

    endpoint: registry.Endpoint
    per_s: float | None = None
    at: float = 0.0


@attrs.define
class Refusals:
    """The refusals of one endpoint's slots that follow each other closely.

    :param since: monotonic time of the first one.
    :param last_at: of the last one.
    """

    since: float = -math.inf
    last_at: float = -math.inf

    def add(self, now: float) -> None:
        """Note one.

        :param now: monotonic time.
        """
        if now - self.last_at > OVERLOADED_S:
            self.since = now
        self.last_at = now

    def last(self, now: float) -> bool:
        """Return whether they have gone on for long.

        :param now: monotonic time.
        """
        goes_on = now - self.last_at <= OVERLOADED_S
        return goes_on and now - self.since > OVERLOADED_S


@attrs.frozen
class Full:
    """All endpoints that could run a request are at their limits.

    :param endpoint: the one that has room first.
    :param per_s: its limit.
    :param age_s: age of that limit, seconds.
    :param return_s: seconds until the caller should return.
    :param reason: why there is no slot.
    """

    endpoint: registry.Endpoint
    per_s: float
    age_s: float
    return_s: float
    reason: str


class SendSlots(kernel.Part):
    """Grants slots for the endpoints whose limits this VM owns, and asks for others.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.peers = node_kernel.get(peers.Peers)
        self.limits = node_kernel.get(endpoint_limits.EndpointLimits)
        self.limits.on_change.append(self._follow_limit)
        self.budgets = node_kernel.get(shared_budgets.SharedBudgets)
        self.budgets.on_spent.append(self._note_spent)
        self.bucket_by_id: dict[str, bucket.Bucket] = {}
        self.budgets.on_begin.append(self.bucket_by_id.clear)
        self.refusals_by_id = collections.defaultdict(Refusals)
        #: Endpoints at which a lot was drawn that was not used yet.
        self.drawn_ids: set[str] = set()
        #: Monotonic time until which an endpoint has no room, by its owner's reply.
        self.full_until_by_id: dict[str, float] = {}
        self.sent_by_id = collections.defaultdict(lambda: windows.Window(REPORTED_S))
        self.peers.handle(AskSlot, self._serve)
        metrics = node_kernel.metrics
        self.limit_gauge = metrics.gauge(
            "endpoint_limit_per_second",
            "Requests a second that an endpoint says it takes from all VMs.",
        )
        self.sent_gauge = metrics.gauge(
            "endpoint_limit_sent_per_second",
            "Requests a second that this VM sent to an endpoint with a limit.",
        )

    def start(self) -> None:
        """Start to report limits."""
        self.tasks.every(REPORT_S, self._report)

    def find(
        self,
        request: asked.Asked,
        ranked: list[registry.Endpoint],
        most_wait_s: float,
    ) -> result.Result[Slot, Full]:
        """Get a slot at one of some endpoints.

        Those without a limit, or with room under theirs, go first; then the one that
        has room first.

        :param request: the request.
        :param ranked: the endpoints that could run it, the best first; one at least.
        :param most_wait_s: time for which it can wait, seconds.
        """
        tried = 0
        for endpoint in ranked:
            if self.limits.per_s(endpoint.id) is None:
                return result.Ok(Slot(endpoint))
            if self._is_full(endpoint) or tried >= MOST_TRIED:
                continue
            tried += 1
            taken = self._take(request, endpoint, 0.0)
            if taken.is_ok():
                return taken
        limited = [item for item in ranked if self.limits.per_s(item.id) is not None]
        if not limited:
            # A limit was lifted while its owner was asked.
            return result.Ok(Slot(ranked[0]))
        first = min(limited, key=lambda item: self.full_until_by_id.get(item.id, 0.0))
        return self._take(request, first, max(0.0, most_wait_s))

    def wait(self, slot: Slot) -> bool:
        """Wait for a slot; returns whether the request may be sent then.

        It may not where the endpoint lowered its limit meanwhile: the slot was
        granted by the higher one.

        :param slot: the slot.
        """
        if slot.per_s is None:
            return True
        while (left_s := slot.at - time.monotonic()) > 0:
            per_s = self.limits.per_s(slot.endpoint.id)
            if per_s is None or per_s < slot.per_s:
                break
            self.limits.changed.wait(left_s)
        per_s = self.limits.per_s(slot.endpoint.id)
        return per_s is None or per_s >= slot.per_s

    def _is_full(self, endpoint: registry.Endpoint) -> bool:
        return time.monotonic() < self.full_until_by_id.get(endpoint.id, 0.0)

    def _take(
        self, request: asked.Asked, endpoint: registry.Endpoint, ahead_s: float
    ) -> result.Result[Slot, Full]:
        """Ask for a slot at one endpoint."""
        known = self.limits.limit_by_id.get(endpoint.id)
        if known is None or known.per_s is None:
            return result.Ok(Slot(endpoint))
        now = time.monotonic()
        row = endpoint_limits.row_of(endpoint.id, known, now)
        ask = AskSlot(row, ahead_s, request.urgency)
        age_s = now - known.sent_at
        for owner in self.budgets.lenders(key_of(endpoint.id)):
            reply = self._ask(owner, ask)
            if reply is None or not reply.lends:
                continue
            at = time.monotonic() + reply.wait_s
            if reply.granted:
                self.budgets.spend(BUDGET_PREFIX + endpoint.id, owner, 1)
                self.sent_by_id[endpoint.id].add()
                self._say(request, endpoint, known.per_s, owner, reply.wait_s)
                return result.Ok(Slot(endpoint, known.per_s, at))
            self.full_until_by_id[endpoint.id] = max(at, now + LEAST_FULL_S)
            reason = f"room in {reply.wait_s:.2f} s"
            return result.Err(
                Full(endpoint, known.per_s, age_s, reply.return_s, reason)
            )
        self.full_until_by_id[endpoint.id] = now + UNLENT_RETRY_S
        reason = "no VM answers that keeps its limit"
        return result.Err(Full(endpoint, known.per_s, age_s, UNLENT_RETRY_S, reason))

    def _say(
        self,
        request: asked.Asked,
        endpoint: registry.Endpoint,
        per_s: float,
        owner: str,
        wait_s: float,
    ) -> None:
        logs.event(
            log,
            "slot",
            request=request.id,
            endpoint=endpoint.id,
            per_s=per_s,
            owner=owner,
            outcome=f"waits {wait_s * 1000:.0f} ms",
        )

    def _ask(self, owner: str, ask: AskSlot) -> SlotReply | None:
        if owner == self.name:
            return self._lend(ask)
        match self.budgets.ask(owner, ask, f"the limit of {ask.endpoint_id}"):
            case SlotReply() as reply:
                return reply
        return None

    def _serve(self, vm: str, ask: AskSlot, answer: peers.Answer) -> None:
        self.limits.receive([ask.row], vm)
        answer(self._lend(ask))

    def _lend(self, ask: AskSlot) -> SlotReply:
        endpoint_id = ask.endpoint_id
        if self.limits.per_s(endpoint_id) is None:
            # It was lifted, which the asker does not know yet.
            return SlotReply(True, True)
        if not self.budgets.may_lend():
            return SlotReply(False)
        now = time.monotonic()
        kept = self._bucket(endpoint_id)
        if kept.cap.burst < BURST:
            self._draw_lot(endpoint_id, kept)
        rank = min(max(ask.urgency, 0), declared.LEAST_URGENT)
        refusals = self.refusals_by_id[endpoint_id]
        most_s = OVERLOADED_AHEAD_S if refusals.last(now) else MOST_AHEAD_S
        ahead_s = min(ask.ahead_s, most_s / (1 + rank))
        room_s = kept.wait_s(1, now)
        return_s = kept.take(1, now, ahead_s)
        if return_s:
            if ask.ahead_s:
                refusals.add(now)
            return SlotReply(True, False, room_s, return_s)
        self.drawn_ids.discard(endpoint_id)
        return SlotReply(True, True, room_s)

    def _draw_lot(self, endpoint_id: str, kept: bucket.Bucket) -> None:
        """Let a small part of a partition begin at a time drawn by lot.

        Hundreds of VMs that are all cut from each other would otherwise send their
        first requests at the same moment.
        """
        now = time.monotonic()
        full = not kept.wait_s(1, now)
        if full and endpoint_id not in self.drawn_ids:
            self.drawn_ids.add(endpoint_id)
            kept.note(random.random(), now)

    def _bucket(self, endpoint_id: str) -> bucket.Bucket:
        """Return the credit of an endpoint that names a limit."""
        now = time.monotonic()
        per_s = max(LEAST_PER_S, self.limits.per_s(endpoint_id))
        cap = client_accounts.UsageCap(per_s, BURST).part(self.budgets.part())
        kept = self.bucket_by_id.get(endpoint_id)
        if kept is None:
            since = max(now - cap.burst / cap.per_s, self.budgets.synced_since)
            kept = self.bucket_by_id[endpoint_id] = bucket.Bucket(cap, since)
        elif kept.cap != cap:
            kept.change(cap, now)
        return kept

    def _follow_limit(self, endpoint_id: str) -> None:
        """Let a changed limit count at once."""
        self.full_until_by_id.pop(endpoint_id, None)
        per_s = self.limits.per_s(endpoint_id)
        if per_s is None:
            self.bucket_by_id.pop(endpoint_id, None)
            return
        kept = self.bucket_by_id.get(endpoint_id)
        if kept is not None and per_s < kept.cap.per_s:
            # Requests that wait for slots under the higher limit ask again.
            kept.note(min(0.0, kept.level), time.monotonic())

    def _note_spent(self, budget: str, _: str, units: float) -> None:
        """Count what other owners granted, for the case that this VM follows them."""
        endpoint_id = budget.removeprefix(BUDGET_PREFIX)
        if endpoint_id != budget and self.limits.per_s(endpoint_id) is not None:
            self._bucket(endpoint_id).note(units, time.monotonic())

    def _report(self) -> None:
        """Update the metrics, and forget endpoints that name no limit any more."""
        named = self.limits.named()
        by_id = (self.sent_by_id, self.full_until_by_id, self.bucket_by_id)
        for kept in (*by_id, self.refusals_by_id):
            for endpoint_id in kept.keys() - named.keys():
                del kept[endpoint_id]
        self.drawn_ids &= named.keys()
        self.limit_gauge.values.clear()
        self.sent_gauge.values.clear()
        for endpoint_id in sorted(named)[:MOST_REPORTED]:
            labels = {"endpoint": endpoint_id}
            self.limit_gauge.set(labels, named[endpoint_id])
            sent = self.sent_by_id[endpoint_id].count()
            self.sent_gauge.set(labels, sent / REPORTED_S)


def key_of(endpoint_id: str) -> str:
    """Return the key by which an endpoint's limit has its owner.

    :param endpoint_id: the endpoint.
    """
    return f"limit {endpoint_id}"
