"""Endpoint paths: whether this VM reaches any endpoint.

An endpoint that does not respond may have failed. If no endpoint responds, it is more
likely that this VM lost its network paths to all of them, while callers, the platform
and other VMs still reach it. Then its failures say nothing about endpoints.

The paths count as lost when connections to several endpoints failed and nothing was
received from any endpoint since those attempts began. Requests on open connections
can hang without a failed connection, so a VM that receives nothing for a while opens
connections to check its paths.
"""

import collections.abc
import random
import time

import gevent
import logbook

from mothworks import kernel, logs
from mothworks_gateway import (
    discovery,
    endpoints_client,
    registry,
    running_requests,
)

log = logbook.Logger("endpoint_paths")

#: Number of unreachable endpoints, without one that was reached since, from which on
#: the paths count as lost.
MIN_UNREACHABLE = 2
#: Time without a byte from any endpoint, while requests run on several, or without a
#: new connection, where this VM needs any, after which paths are checked, seconds.
MAX_SILENCE_S = 0.6
#: Time that a probe may take before another endpoint is probed, too, where no request
#: runs that shows whether endpoints respond, seconds.
SECOND_PROBE_DELAY_S = 0.1
#: Longest time that probes are waited for, seconds.
VERIFY_TIMEOUT_S = 1.0
#: Number of further endpoints that are probed when the paths count as lost.
MAX_PROBED_AT_LOSS = 3
#: Interval between checks, seconds.
CHECK_INTERVAL_S = 0.25


class EndpointPaths(kernel.Part):
    """Tracks whether this VM reaches endpoints.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.registry = node_kernel.get(discovery.Discovery).registry
        self.running_requests = node_kernel.get(running_requests.RunningRequests)
        self.connections = node_kernel.get(endpoints_client.EndpointsClient).connections
        #: Monotonic time at which an endpoint last responded.
        self.reached_at = time.monotonic()
        #: Endpoints that were unreachable since then.
        self.unreachable_ids: set[str] = set()
        #: Endpoints to which no connection was opened since the last one to any
        #: endpoint, and monotonic time of the first of these attempts.
        self.unopened_ids: set[str] = set()
        self.unopened_since = self.reached_at
        #: Monotonic time at which an endpoint last responded before the last loss.
        self.silent_since = self.reached_at
        #: Monotonic time since which the paths count as lost; None if they don't.
        self.lost_since: float | None = None
        #: Callbacks without arguments to call after the paths were lost or regained.
        self.on_change: list = []
        #: Callbacks without arguments to call once no connection can be opened.
        self.on_cannot_open: list = []
        #: Callbacks that return whether this VM needs to open connections though none
        #: of its requests does.
        self.needed_by: list[collections.abc.Callable[[], bool]] = []
        metrics = node_kernel.metrics
        self.lost_gauge = metrics.gauge(
            "endpoint_paths_lost", "1 while this VM reaches no endpoint."
        )
        self.unreachable_total = metrics.counter(
            "endpoints_unreachable_total", "Connections to endpoints that failed."
        )

    def start(self) -> None:
        """Start to check the paths."""
        self.lost_gauge.set({}, 0)
        self.tasks.spawn(self._check)

    @property
    def lost(self) -> bool:
        """Return whether this VM has lost its paths to all endpoints."""
        return self.lost_since is not None

    @property
    def lost_s(self) -> float:
        """Return for how long the paths have been lost, seconds; 0 if they are not."""
        return 0.0 if self.lost_since is None else time.monotonic() - self.lost_since

    @property
    def cannot_open(self) -> bool:
        """Return whether no new connections open, though open ones may still work."""
        is_current = self.connections.opened_at <= self.unopened_since
        return is_current and len(self.unopened_ids) >= self._needed()

    @property
    def cannot_open_s(self) -> float:
        """Return for how long no connection could be opened, seconds; 0 if one can."""
        since = [self.unopened_since] if self.cannot_open else []
        if self.lost_since is not None:
            since.append(self.lost_since)
        return time.monotonic() - min(since) if since else 0.0

    def verify(self) -> None:
        """Probe endpoints unless one was connected to lately; waits for the outcome."""
        if self._may_be_cut() and not self.lost:
            gevent.joinall(self._probe_some(MIN_UNREACHABLE), timeout=VERIFY_TIMEOUT_S)

    def record_reached(self, now: float) -> None:
        """Record that an endpoint responded.

        :param now: monotonic time.
        """
        self.reached_at = now
        if self.unreachable_ids:
            self.unreachable_ids.clear()
        if self.lost:
            self._record_regained()

    def record_unreachable(
        self, endpoint: registry.Endpoint, started_at: float, reason: str
    ) -> None:
        """Record that no connection to an endpoint could be opened.

        :param endpoint: the endpoint.
        :param started_at: monotonic time at which the attempt began.
        :param reason: what failed, for the log.
        """
        self.unreachable_total.inc({})
        self._record_unopened(endpoint, started_at)
        if started_at < self.reached_at:
            return
        self.unreachable_ids.add(endpoint.id)
        if not self.lost and len(self.unreachable_ids) >= self._needed():
            self._record_lost(reason)

    def _record_unopened(self, endpoint: registry.Endpoint, started_at: float) -> None:
        if self.connections.opened_at > self.unopened_since:
            self.unopened_ids.clear()
        if not self.unopened_ids:
            self.unopened_since = started_at
        could_open = not self.cannot_open
        self.unopened_ids.add(endpoint.id)
        if could_open and self.cannot_open:
            for notify in self.on_cannot_open:
                notify()

    def _needed(self) -> int:
        """Return how many unreachable endpoints show that the cause is not theirs."""
        return max(1, min(MIN_UNREACHABLE, len(self.registry.by_id)))

    def _record_lost(self, reason: str) -> None:
        now = time.monotonic()
        self.lost_since = now
        self.silent_since = self.reached_at
        self.lost_gauge.set({}, 1)
        logs.event(
            log,
            "endpoint paths",
            unreachable=sorted(self.unreachable_ids),
            silent_s=round(now - self.reached_at, 3),
            reason=reason[:80],
            outcome="lost",
        )
        for notify in self.on_change:
            notify()
        # If only these endpoints failed, another one responds at once.
        self._probe_some(MAX_PROBED_AT_LOSS)

    def _record_regained(self) -> None:
        lost_s = round(self.lost_s, 3)
        self.lost_since = None
        self.lost_gauge.set({}, 0)
        logs.event(log, "endpoint paths", lost_s=lost_s, outcome="regained")
        for notify in self.on_change:
            notify()

    def _check(self) -> None:
        """Check the paths while they are lost or may be lost."""
        while True:
            if self.lost or self.cannot_open:
                # Jitter keeps VMs that lost their paths together from returning
                # together.
                gevent.sleep(CHECK_INTERVAL_S * random.uniform(0.7, 1.3))
            else:
                self.tasks.rhythm.sleep(CHECK_INTERVAL_S)
            if self.lost or self.cannot_open:
                self._probe_some(1)
            elif self._is_silent():
                self._probe_some(MIN_UNREACHABLE)
            elif self._may_be_cut() and any(needs() for needs in self.needed_by):
                self._probe_without_requests()

    def _probe_some(self, count: int) -> list[gevent.Greenlet]:
        """Probe random endpoints, at first those that were not unreachable yet.

        :returns: the tasks that probe them.
        """
        available = [item for item in self.registry.by_id.values() if item.available]
        untried = [item for item in available if item.id not in self.unreachable_ids]
        probed = untried or available
        return [
            self.tasks.spawn(self._probe, endpoint)
            for endpoint in random.sample(probed, min(count, len(probed)))
        ]

    def _is_silent(self) -> bool:
        """Return whether several endpoints run requests and none responds."""
        used = self.running_requests.running.by_endpoint
        is_waiting = len(used) >= self._needed()
        return is_waiting and time.monotonic() - self.reached_at > MAX_SILENCE_S

    def _may_be_cut(self) -> bool:
        """Return whether no connection has shown lately that endpoints accept any.

        Requests on open connections do not show it.
        """
        return time.monotonic() - self.connections.opened_at > MAX_SILENCE_S

    def _probe_without_requests(self) -> None:
        """Probe one endpoint, and another one unless the first responds at once."""
        started_at = time.monotonic()
        self._probe_some(1)
        gevent.sleep(SECOND_PROBE_DELAY_S)
        if self.connections.opened_at < started_at:
            self._probe_some(1)

    def _probe(self, endpoint: registry.Endpoint) -> None:
        """Open a connection to an endpoint, which later requests use."""
        started_at = time.monotonic()
        problem = self.connections.open(endpoint.entry.address)
        if problem is None:
            self.record_reached(time.monotonic())
        else:
            self.record_unreachable(endpoint, started_at, problem)
