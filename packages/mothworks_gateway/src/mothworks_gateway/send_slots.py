"""Send slots: permits to send a request to an endpoint that reports a rate limit.

A rate limit (:mod:`endpoint_limits`) is a budget that all VMs share
(:mod:`shared_budgets`). The VM that owns it grants a send slot to each request, for now
or for a moment shortly ahead, until which the request waits. A VM that reaches no owner
sends nothing to that endpoint: if each of several hundred VMs sent a single request,
the endpoint would receive several hundred.
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
    caller_request,
    client_accounts,
    declaration_types,
    endpoint_limits,
    heartbeat,
    registry,
    shared_budgets,
    sliding_windows,
    token_bucket,
)

log = logbook.Logger("send_slots")

#: Slots that accrue while none is requested: one more than the next request needs, so
#: that gaps between requests do not waste a part of the limit.
BURST = 2.0
#: Requests per second that an endpoint receives even if its limit is lower: without
#: requests, VMs would not learn that the limit was lifted.
MIN_RATE_PER_S = 0.25
#: Longest time for which an owner grants slots ahead, seconds. It holds for the most
#: urgent requests; others get less, so that the last slots are left to urgent ones.
MAX_AHEAD_S = 2.0
#: The same once requests have been refused for longer than :data:`OVERLOAD_AFTER_S`: in
#: a lasting overload, long waits would make all served requests late.
OVERLOAD_MAX_AHEAD_S = 0.1
#: Duration of refusals after which an endpoint counts as overloaded, and time without a
#: refusal after which it no longer does, seconds.
OVERLOAD_AFTER_S = 2.0
#: Limited endpoints at which a free slot is requested for one request, before it waits
#: for a slot at one of them.
MAX_LIMITED_TRIED = 3
#: Retry-After for callers if no owner of a limit replies, seconds: the retry reaches
#: another VM.
NO_OWNER_RETRY_S = 0.3
#: Shortest time for which an endpoint counts as full after its owner refused a slot,
#: seconds.
MIN_FULL_S = 0.02
#: Prefix of the names of the shared budgets that stand for limits; see
#: :meth:`shared_budgets.SharedBudgets.spend`.
BUDGET_PREFIX = "endpoint limit\n"
#: Window over which the metrics count sent requests, seconds.
RATE_WINDOW_S = 4.0
#: Interval between updates of the metrics, seconds.
REPORT_INTERVAL_S = 1.0
#: Upper bound of the number of endpoints in the metrics.
MAX_REPORTED_ENDPOINTS = 50


@messages.message(134)
@attrs.frozen
class SendSlotRequest:
    """Requests a send slot from the owner of an endpoint's limit.

    :param row: the limit as the sender knows it.
    :param ahead_s: time for which the request can wait, seconds.
    :param urgency: rank of the request.
    """

    row: heartbeat.LimitRow
    ahead_s: float
    urgency: int

    @property
    def endpoint_id(self) -> str:
        """Return the id of the endpoint."""
        return self.row[0]


@messages.message(135)
@attrs.frozen
class SendSlotReply:
    """The owner's reply.

    :param is_owner: whether the replying VM may act as the owner now.
    :param granted: whether the request got a slot.
    :param wait_s: seconds until its slot; if it was refused, until a slot is free
        without a wait.
    :param retry_after_s: if it was refused, seconds after which the caller should
        retry.
    """

    is_owner: bool
    granted: bool = False
    wait_s: float = 0.0
    retry_after_s: float = 0.0


@attrs.frozen
class SendSlot:
    """Permit to send one request.

    :param endpoint: the endpoint.
    :param per_s: its limit, requests per second; None if it reports none.
    :param at: monotonic time from which on the request may be sent.
    """

    endpoint: registry.Endpoint
    per_s: float | None = None
    at: float = 0.0


@attrs.define
class RefusalStreak:
    """Refusals of slots of one endpoint, with gaps of at most :data:`OVERLOAD_AFTER_S`.

    :param started_at: monotonic time of the first one.
    :param last_at: monotonic time of the last one.
    """

    started_at: float = -math.inf
    last_at: float = -math.inf

    def add(self, now: float) -> None:
        """Record a refusal.

        :param now: monotonic time.
        """
        if now - self.last_at > OVERLOAD_AFTER_S:
            self.started_at = now
        self.last_at = now

    def is_sustained(self, now: float) -> bool:
        """Return whether refusals have lasted long enough to count as an overload.

        :param now: monotonic time.
        """
        is_ongoing = now - self.last_at <= OVERLOAD_AFTER_S
        return is_ongoing and now - self.started_at > OVERLOAD_AFTER_S


@attrs.frozen
class AtLimit:
    """All endpoints that could run a request are at their limits.

    :param endpoint: the one that has a free slot first.
    :param per_s: its limit, requests per second.
    :param age_s: age of that limit, seconds.
    :param retry_after_s: seconds after which the caller should retry.
    :param reason: why there is no slot.
    """

    endpoint: registry.Endpoint
    per_s: float
    age_s: float
    retry_after_s: float
    reason: str


class SendSlots(kernel.Part):
    """Grants slots under limits that this VM owns, and requests all others.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.peers = node_kernel.get(peers.Peers)
        self.limits = node_kernel.get(endpoint_limits.EndpointLimits)
        self.limits.on_change.append(self._on_limit_change)
        self.budgets = node_kernel.get(shared_budgets.SharedBudgets)
        self.budgets.on_spent.append(self._on_spent)
        self.bucket_by_id: dict[str, token_bucket.TokenBucket] = {}
        self.budgets.on_reset.append(self.bucket_by_id.clear)
        self.refusals_by_id = collections.defaultdict(RefusalStreak)
        #: Endpoints whose bucket was set to a random level and granted no slot since.
        self.randomised_ids: set[str] = set()
        #: Monotonic time until which, by its owner's reply, an endpoint is full.
        self.full_until_by_id: dict[str, float] = {}
        self.sent_by_id = collections.defaultdict(
            lambda: sliding_windows.WindowedCount(RATE_WINDOW_S)
        )
        self.peers.handle(SendSlotRequest, self._serve)
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
        """Start to update the metrics."""
        self.tasks.every(REPORT_INTERVAL_S, self._report)

    def acquire(
        self,
        request: caller_request.CallerRequest,
        ranked: list[registry.Endpoint],
        max_wait_s: float,
    ) -> result.Result[SendSlot, AtLimit]:
        """Acquire a slot at one of several endpoints.

        Endpoints without a limit or with a free slot are preferred; otherwise the
        request waits for the endpoint that has a free slot first.

        :param request: the request.
        :param ranked: the endpoints that could run it, the best first; at least one.
        :param max_wait_s: longest wait for a slot, seconds.
        """
        tried = 0
        for endpoint in ranked:
            if self.limits.per_s(endpoint.id) is None:
                return result.Ok(SendSlot(endpoint))
            if self._is_full(endpoint) or tried >= MAX_LIMITED_TRIED:
                continue
            tried += 1
            granted_slot = self._request_slot(request, endpoint, 0.0)
            if granted_slot.is_ok():
                return granted_slot
        limited = [item for item in ranked if self.limits.per_s(item.id) is not None]
        if not limited:
            # A limit was lifted while the owner's reply was pending.
            return result.Ok(SendSlot(ranked[0]))
        soonest = min(limited, key=lambda item: self.full_until_by_id.get(item.id, 0.0))
        return self._request_slot(request, soonest, max(0.0, max_wait_s))

    def wait(self, slot: SendSlot) -> bool:
        """Wait until a slot starts; returns whether it is still valid then.

        A slot is void if the endpoint lowered its limit in the meantime, since it was
        granted under the higher one.

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

    def _request_slot(
        self,
        request: caller_request.CallerRequest,
        endpoint: registry.Endpoint,
        ahead_s: float,
    ) -> result.Result[SendSlot, AtLimit]:
        """Request a slot at one endpoint from the owner of its limit."""
        limit = self.limits.limit_by_id.get(endpoint.id)
        if limit is None or limit.per_s is None:
            return result.Ok(SendSlot(endpoint))
        now = time.monotonic()
        row = endpoint_limits.row_from_limit(endpoint.id, limit, now)
        slot_request = SendSlotRequest(row, ahead_s, request.urgency)
        age_s = now - limit.sent_at
        for owner in self.budgets.responsive_owners(owner_key(endpoint.id)):
            reply = self._request_from(owner, slot_request)
            if reply is None or not reply.is_owner:
                continue
            at = time.monotonic() + reply.wait_s
            if reply.granted:
                self.budgets.spend(BUDGET_PREFIX + endpoint.id, owner, 1)
                self.sent_by_id[endpoint.id].add()
                self._log_granted(request, endpoint, limit.per_s, owner, reply.wait_s)
                return result.Ok(SendSlot(endpoint, limit.per_s, at))
            self.full_until_by_id[endpoint.id] = max(at, now + MIN_FULL_S)
            reason = f"next free slot in {reply.wait_s:.2f} s"
            return result.Err(
                AtLimit(endpoint, limit.per_s, age_s, reply.retry_after_s, reason)
            )
        self.full_until_by_id[endpoint.id] = now + NO_OWNER_RETRY_S
        reason = "no owner of its limit replies"
        return result.Err(
            AtLimit(endpoint, limit.per_s, age_s, NO_OWNER_RETRY_S, reason)
        )

    def _log_granted(
        self,
        request: caller_request.CallerRequest,
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

    def _request_from(
        self, owner: str, slot_request: SendSlotRequest
    ) -> SendSlotReply | None:
        if owner == self.name:
            return self._grant(slot_request)
        match self.budgets.call_owner(
            owner, slot_request, f"the limit of {slot_request.endpoint_id}"
        ):
            case SendSlotReply() as reply:
                return reply
        return None

    def _serve(
        self, vm: str, slot_request: SendSlotRequest, reply: peers.Reply
    ) -> None:
        self.limits.merge([slot_request.row], vm)
        reply(self._grant(slot_request))

    def _grant(self, slot_request: SendSlotRequest) -> SendSlotReply:
        endpoint_id = slot_request.endpoint_id
        if self.limits.per_s(endpoint_id) is None:
            # The limit was lifted, which the requesting VM does not know yet.
            return SendSlotReply(True, True)
        if not self.budgets.may_grant():
            return SendSlotReply(False)
        now = time.monotonic()
        bucket = self._bucket_of(endpoint_id)
        if bucket.cap.burst < BURST:
            self._randomise_level(endpoint_id, bucket)
        rank = min(max(slot_request.urgency, 0), declaration_types.LOWEST_URGENCY)
        refusal_streak = self.refusals_by_id[endpoint_id]
        max_ahead_s = (
            OVERLOAD_MAX_AHEAD_S if refusal_streak.is_sustained(now) else MAX_AHEAD_S
        )
        ahead_s = min(slot_request.ahead_s, max_ahead_s / (1 + rank))
        wait_s = bucket.wait_s(1, now)
        retry_after_s = bucket.acquire(1, now, ahead_s)
        if retry_after_s:
            if slot_request.ahead_s:
                refusal_streak.add(now)
            return SendSlotReply(True, False, wait_s, retry_after_s)
        self.randomised_ids.discard(endpoint_id)
        return SendSlotReply(True, True, wait_s)

    def _randomise_level(
        self, endpoint_id: str, bucket: token_bucket.TokenBucket
    ) -> None:
        """Randomise the level of a full bucket on a small side of a network partition.

        Several hundred VMs that are all cut off from each other would otherwise send
        their first requests at the same moment.
        """
        now = time.monotonic()
        full = not bucket.wait_s(1, now)
        if full and endpoint_id not in self.randomised_ids:
            self.randomised_ids.add(endpoint_id)
            bucket.debit(random.random(), now)

    def _bucket_of(self, endpoint_id: str) -> token_bucket.TokenBucket:
        """Return the token bucket of an endpoint that reports a limit."""
        now = time.monotonic()
        per_s = max(MIN_RATE_PER_S, self.limits.per_s(endpoint_id))
        cap = client_accounts.UsageCap(per_s, BURST).scaled(self.budgets.share())
        bucket = self.bucket_by_id.get(endpoint_id)
        if bucket is None:
            empty_since = max(now - cap.burst / cap.per_s, self.budgets.synced_since)
            bucket = self.bucket_by_id[endpoint_id] = token_bucket.TokenBucket(
                cap, empty_since
            )
        elif bucket.cap != cap:
            bucket.set_cap(cap, now)
        return bucket

    def _on_limit_change(self, endpoint_id: str) -> None:
        """Apply a changed limit at once."""
        self.full_until_by_id.pop(endpoint_id, None)
        per_s = self.limits.per_s(endpoint_id)
        if per_s is None:
            self.bucket_by_id.pop(endpoint_id, None)
            return
        bucket = self.bucket_by_id.get(endpoint_id)
        if bucket is not None and per_s < bucket.cap.per_s:
            # Slots granted ahead under the higher limit are void and are requested
            # again, so the credit that they used is returned.
            bucket.debit(min(0.0, bucket.level), time.monotonic())

    def _on_spent(self, budget: str, _: str, units: float) -> None:
        """Debit what other owners granted, in case this VM becomes the owner."""
        endpoint_id = budget.removeprefix(BUDGET_PREFIX)
        if endpoint_id != budget and self.limits.per_s(endpoint_id) is not None:
            self._bucket_of(endpoint_id).debit(units, time.monotonic())

    def _report(self) -> None:
        """Update the metrics, and drop the state of endpoints without a limit."""
        per_s_by_id = self.limits.all_per_s()
        by_id = (self.sent_by_id, self.full_until_by_id, self.bucket_by_id)
        for state_by_id in (*by_id, self.refusals_by_id):
            for endpoint_id in state_by_id.keys() - per_s_by_id.keys():
                del state_by_id[endpoint_id]
        self.randomised_ids &= per_s_by_id.keys()
        self.limit_gauge.values.clear()
        self.sent_gauge.values.clear()
        for endpoint_id in sorted(per_s_by_id)[:MAX_REPORTED_ENDPOINTS]:
            labels = {"endpoint": endpoint_id}
            self.limit_gauge.set(labels, per_s_by_id[endpoint_id])
            sent = self.sent_by_id[endpoint_id].count()
            self.sent_gauge.set(labels, sent / RATE_WINDOW_S)


def owner_key(endpoint_id: str) -> str:
    """Return the key that decides which VM owns an endpoint's limit.

    :param endpoint_id: the endpoint's id.
    """
    return f"limit {endpoint_id}"
