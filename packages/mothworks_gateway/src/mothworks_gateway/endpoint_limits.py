"""Endpoint limits: rate limits that overloaded endpoints report in their answers.

A limit applies to the requests of all VMs together, for as long as the endpoint reports
it. A VM whose answer changes a limit publishes the change at once. Limits are repeated
in the heartbeats for VMs that started later.
"""

import collections.abc
import time

import attrs
import gevent.event
import logbook
import result

from mothworks import kernel, logs, messages, peers, transport
from mothworks_gateway import (
    broadcast,
    discovery,
    endpoints_client,
    heartbeat,
    registry,
)

log = logbook.Logger("endpoint_limits")

#: Time for which a lifted limit is remembered, seconds: an older answer that still
#: reports it may arrive late.
LIFTED_RETENTION_S = 5.0


@attrs.frozen
class Limit:
    """The rate limit that an endpoint last reported.

    :param per_s: requests per second of all VMs; None if it was lifted.
    :param sent_at: monotonic time at which the request was sent whose answer reported
        the limit.
    :param received_at: monotonic time at which that answer arrived.
    """

    per_s: float | None
    sent_at: float
    received_at: float


@messages.message(133)
@attrs.frozen
class LimitUpdate:
    """Publishes a changed limit.

    :param row: the endpoint's id, the limit, and the ages of the request and the
        answer.
    """

    row: heartbeat.LimitRow


class NewestLimits:
    """Collects the newest limit of each endpoint to be published."""

    def __init__(self):
        self.limit_by_id: dict[str, Limit] = {}

    def add(
        self, rows: collections.abc.Iterable[heartbeat.LimitRow], now: float
    ) -> None:
        """Add the rows of a heartbeat.

        :param rows: its rows.
        :param now: monotonic time.
        """
        for row in rows:
            self.update(row[0], limit_from_row(row, now))

    def update(self, endpoint_id: str, limit: Limit) -> None:
        """Add a limit, unless a newer one is known.

        :param endpoint_id: the endpoint.
        :param limit: its limit.
        """
        current = self.limit_by_id.get(endpoint_id)
        if current is None or limit.sent_at > current.sent_at:
            self.limit_by_id[endpoint_id] = limit

    def drain(self, now: float) -> tuple[heartbeat.LimitRow, ...]:
        """Return the limits as rows of a message, and remove them.

        :param now: monotonic time.
        """
        newest, self.limit_by_id = self.limit_by_id, {}
        return tuple(row_from_limit(key, limit, now) for key, limit in newest.items())


class EndpointLimits(kernel.Part):
    """Tracks the rate limits of endpoints.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.protocol = node_kernel.get(endpoints_client.EndpointsClient).protocol
        self.registry = node_kernel.get(discovery.Discovery).registry
        self.registry.on_change.append(self._remove_gone)
        self.broadcast = node_kernel.get(broadcast.Broadcast)
        self.limit_by_id: dict[str, Limit] = {}
        #: Limits in the answers to this VM since its last heartbeat.
        self.newest = NewestLimits()
        #: Set and cleared after each change of a limit.
        self.changed = gevent.event.Event()
        #: Functions to call with an endpoint's id after its limit changed.
        self.on_change: list[collections.abc.Callable[[str], None]] = []
        heartbeats = node_kernel.get(heartbeat.Heartbeats)
        heartbeats.field_providers.append(self._heartbeat_fields)
        heartbeats.on_received.append(self._on_heartbeat)
        node_kernel.get(peers.Peers).handle(LimitUpdate, self._on_update)

    def per_s(self, endpoint_id: str) -> float | None:
        """Return an endpoint's limit in requests per second; None if it has none.

        :param endpoint_id: the endpoint.
        """
        current = self.limit_by_id.get(endpoint_id)
        return current.per_s if current else None

    def all_per_s(self) -> dict[str, float]:
        """Return the limits in force in requests per second, by endpoint's id."""
        return {
            endpoint_id: current.per_s
            for endpoint_id, current in self.limit_by_id.items()
            if current.per_s is not None
        }

    def observe(
        self,
        endpoint: registry.Endpoint,
        answer: transport.HttpAnswer,
        sent_at: float,
        request_id: str,
        ran: bool = True,
    ) -> None:
        """Update an endpoint's limit from its answer to a request.

        :param endpoint: the endpoint.
        :param answer: its answer, the body not read.
        :param sent_at: monotonic time at which the request was sent.
        :param request_id: the request's id, for the log.
        :param ran: whether the request ran; a refusal or failure that reports no limit
            does not lift one.
        """
        match self.protocol.rate_limit(answer):
            case result.Ok(None) if not ran:
                pass
            case result.Ok(per_s):
                limit = Limit(per_s, sent_at, time.monotonic())
                self._observe(endpoint.id, limit, request_id)
            case result.Err(problem):
                logs.event(
                    log,
                    "endpoint limit",
                    endpoint=endpoint.id,
                    request=request_id,
                    reason=problem,
                    outcome="unreadable, left out",
                )

    def merge(
        self, rows: collections.abc.Iterable[heartbeat.LimitRow], vm: str
    ) -> None:
        """Merge limits that another VM knows.

        :param rows: the limits.
        :param vm: the VM.
        """
        now = time.monotonic()
        for row in rows:
            self._update(row[0], limit_from_row(row, now), vm=vm)

    def _observe(self, endpoint_id: str, limit: Limit, request_id: str) -> None:
        """Apply the limit of an answer to this VM, and publish a change."""
        if limit.per_s is not None or endpoint_id in self.limit_by_id:
            self.newest.update(endpoint_id, limit)
        if self._update(endpoint_id, limit, request=request_id):
            row = row_from_limit(endpoint_id, limit, time.monotonic())
            self.broadcast.publish_now(LimitUpdate(row))

    def _update(self, endpoint_id: str, limit: Limit, **source: str) -> bool:
        """Store a limit if it is newer; returns whether the limit's value changed."""
        current = self.limit_by_id.get(endpoint_id)
        if not _is_newer(limit, current):
            return False
        self.limit_by_id[endpoint_id] = limit
        before = current.per_s if current else None
        if before == limit.per_s:
            return False
        logs.event(
            log,
            "endpoint limit",
            endpoint=endpoint_id,
            before=before,
            per_s=limit.per_s,
            age_ms=round((time.monotonic() - limit.sent_at) * 1000),
            **source,
            outcome=_change_outcome(before, limit.per_s),
        )
        self.changed.set()
        self.changed.clear()
        for notify in self.on_change:
            notify(endpoint_id)
        return True

    def _heartbeat_fields(self) -> dict:
        return {"limits": self.newest.drain(time.monotonic())}

    def _on_heartbeat(self, vm: str, received: heartbeat.Heartbeat) -> None:
        # Heartbeats of this VM are passed in, too; their limits are applied already.
        if vm != self.kernel.settings.name:
            self.merge(received.limits, vm)

    def _on_update(self, vm: str, update: LimitUpdate, _: peers.Reply) -> None:
        self.merge([update.row], vm)

    def _remove_gone(self) -> None:
        """Remove the limits of endpoints that are gone."""
        for endpoint_id in self.limit_by_id.keys() - self.registry.by_id.keys():
            del self.limit_by_id[endpoint_id]


def row_from_limit(endpoint_id: str, limit: Limit, now: float) -> heartbeat.LimitRow:
    """Return an endpoint's limit as a row of a message.

    :param endpoint_id: the endpoint.
    :param limit: its limit.
    :param now: monotonic time.
    """
    return endpoint_id, limit.per_s, now - limit.sent_at, now - limit.received_at


def limit_from_row(row: heartbeat.LimitRow, now: float) -> Limit:
    """Return the limit in a row of a message; the reverse of :func:`row_from_limit`.

    :param row: the row.
    :param now: monotonic time.
    """
    _, per_s, sent_age_s, received_age_s = row
    return Limit(per_s, now - sent_age_s, now - received_age_s)


def _is_newer(limit: Limit, current: Limit | None) -> bool:
    """Return whether a reported limit supersedes the current one.

    Answers may overtake each other, so they are ordered by the times at which their
    requests were sent. An answer without a limit lifts the current limit only if its
    request was sent after that limit was received.
    """
    if current is None:
        return limit.per_s is not None
    if limit.per_s is None and current.per_s is not None:
        return limit.sent_at >= current.received_at
    lifted_long_ago = (
        current.per_s is None and limit.sent_at - current.sent_at > LIFTED_RETENTION_S
    )
    return lifted_long_ago or limit.sent_at > current.sent_at


def _change_outcome(before: float | None, after: float | None) -> str:
    if before is None:
        return "learnt"
    return "lifted" if after is None else "changed"
