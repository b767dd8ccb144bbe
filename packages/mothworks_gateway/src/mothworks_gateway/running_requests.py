"""Running requests: how many run on each endpoint, as far as this VM knows.

This VM's own requests are counted exactly. Those of its peers are as of their last
heartbeat or, with many peers, of the last totals from a collector.
"""

import collections
import collections.abc
import contextlib
import time

import attrs

from mothworks import kernel
from mothworks_gateway import caller_request, heartbeat, registry

#: Seconds between checks for peers whose last heartbeat is too old (2 s).
EXPIRY_INTERVAL_S = 0.5
#: Usual time to reload a model from an endpoint's memory or disk, seconds.
USUAL_RELOAD_S = 0.8

#: Maximum number of tokens counted for a prompt: its length is stated by the caller.
MAX_PROMPT_TOKENS = 200_000


class _RunningCounts:
    """Running requests, counted by endpoint, by model and by adapter."""

    def __init__(self):
        self.by_endpoint: collections.Counter[str] = collections.Counter()
        self.by_model: collections.Counter[tuple[str, str]] = collections.Counter()
        self.by_adapter: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )

    def add(self, endpoint_id: str, model: str, adapter: str, count: int) -> None:
        """Add to the counts; a negative count subtracts."""
        for counter, key in (
            (self.by_endpoint, endpoint_id),
            (self.by_model, (endpoint_id, model)),
            (self.by_adapter, (endpoint_id, model, adapter)),
        ):
            counter[key] += count
            if counter[key] <= 0:
                del counter[key]


@attrs.frozen
class _Totals:
    """The totals last received from a collector.

    :param running_by_endpoint: requests of all VMs, by endpoint id.
    :param own_by_endpoint: this VM's own requests at that time.
    :param at: monotonic time of receipt.
    """

    running_by_endpoint: dict[str, int]
    own_by_endpoint: collections.Counter[str]
    at: float


class RunningRequests(kernel.Part):
    """Counts requests that run, arrive and are late, for the heartbeats.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.heartbeats = node_kernel.get(heartbeat.Heartbeats)
        self.heartbeats.field_providers.append(self._heartbeat_fields)
        self.heartbeats.on_received.append(self._on_heartbeat)
        self.running = _RunningCounts()
        self.arrived: collections.defaultdict[caller_request.Target, float] = (
            collections.defaultdict(float)
        )
        self.tokens: collections.Counter[caller_request.Target] = collections.Counter()
        #: Late answers since the last heartbeat, by target.
        self.late: collections.Counter[caller_request.Target] = collections.Counter()
        #: Running requests of the peers in `heartbeat_by_vm`.
        self.peer_counts = _RunningCounts()
        self.heartbeat_by_vm: dict[str, heartbeat.Heartbeat] = {}
        self.totals: _Totals | None = None

    def start(self) -> None:
        """Start to remove peers whose heartbeats have stopped."""
        self.tasks.every(EXPIRY_INTERVAL_S, self._expire)

    def count_arrival(self, request: caller_request.CallerRequest) -> None:
        """Count a request that arrived.

        A request that may wait for longer than it takes to reload its model counts
        less: it is hardly affected if its model is not loaded.

        :param request: the request.
        """
        self.arrived[request.target] += min(
            1.0, USUAL_RELOAD_S / request.route.objective_s
        )
        self.tokens[request.target] += min(MAX_PROMPT_TOKENS, request.unshared_tokens)

    def record_late(self, target: caller_request.Target) -> None:
        """Count an answer whose endpoint was too slow for the latency objective.

        :param target: the request's target.
        """
        self.late[target.base] += 1

    def request_started(
        self, endpoint: registry.Endpoint, target: caller_request.Target
    ) -> None:
        """Count a request as running.

        :param endpoint: the endpoint that it is sent to.
        :param target: its target.
        """
        self.running.add(endpoint.id, target.model, target.adapter, 1)

    def request_ended(
        self, endpoint: registry.Endpoint, target: caller_request.Target
    ) -> None:
        """Count a request as ended.

        :param endpoint: the endpoint that it ran on.
        :param target: its target.
        """
        self.running.add(endpoint.id, target.model, target.adapter, -1)

    @contextlib.contextmanager
    def count_as_running(
        self, endpoint: registry.Endpoint, target: caller_request.Target
    ) -> collections.abc.Iterator[None]:
        """Count a request as running while it waits to be sent.

        When such requests were not counted, their adapter appeared unused, was evicted
        for another one and had to be reloaded: up to 172 times in 1.5 s for one
        adapter.

        :param endpoint: the endpoint that it will be sent to.
        :param target: its target.
        """
        self.request_started(endpoint, target)
        try:
            yield
        finally:
            self.request_ended(endpoint, target)

    def of_endpoint(self, endpoint_id: str) -> int:
        """Return the number of requests of all VMs that run on an endpoint.

        :param endpoint_id: the endpoint's id.
        """
        own = self.running.by_endpoint[endpoint_id]
        if self.totals is None:
            return own + self.peer_counts.by_endpoint[endpoint_id]
        since_then = own - self.totals.own_by_endpoint[endpoint_id]
        total = self.totals.running_by_endpoint.get(endpoint_id, 0)
        return max(own, total + since_then)

    def running_by_endpoint(self) -> dict[str, int]:
        """Return the number of running requests of all VMs, by endpoint id."""
        endpoint_ids = (
            self.running.by_endpoint.keys() | self.peer_counts.by_endpoint.keys()
        )
        return {
            endpoint_id: self.of_endpoint(endpoint_id) for endpoint_id in endpoint_ids
        }

    def running_without(self, vms: set[str]) -> dict[str, int]:
        """Return the running requests of all VMs but some, by endpoint id.

        In a fleet whose heartbeats are aggregated, only this VM's own are known.

        :param vms: the VMs that are left out.
        """
        counts: collections.Counter[str] = collections.Counter()
        if self.kernel.settings.name not in vms:
            counts.update(self.running.by_endpoint)
        for vm, message in self.heartbeat_by_vm.items():
            if vm not in vms:
                for endpoint_id, _, _, count in message.running:
                    counts[endpoint_id] += count
        return dict(counts)

    def set_totals(self, running_by_endpoint: dict[str, int]) -> None:
        """Set the totals of all VMs, this one included.

        :param running_by_endpoint: running requests by endpoint id.
        """
        own = collections.Counter(self.running.by_endpoint)
        self.totals = _Totals(running_by_endpoint, own, time.monotonic())

    def of_model(self, endpoint_id: str, model: str) -> int:
        """Return the number of requests for a model that run on an endpoint.

        :param endpoint_id: the endpoint's id.
        :param model: the model, with any adapter.
        """
        own, peers = self.running.by_model, self.peer_counts.by_model
        return own[endpoint_id, model] + peers[endpoint_id, model]

    def of_adapter(self, endpoint_id: str, model: str, adapter: str) -> int:
        """Return the number of requests for an adapter that run on an endpoint.

        :param endpoint_id: the endpoint's id.
        :param model: the adapter's model.
        :param adapter: the adapter.
        """
        key = (endpoint_id, model, adapter)
        return self.running.by_adapter[key] + self.peer_counts.by_adapter[key]

    def _on_heartbeat(self, vm: str, message: heartbeat.Heartbeat) -> None:
        if vm != self.kernel.settings.name:
            self._remove_peer(vm)
            self.heartbeat_by_vm[vm] = message
            for endpoint_id, model, adapter, count in message.running:
                self.peer_counts.add(endpoint_id, model, adapter, count)

    def _remove_peer(self, vm: str) -> None:
        """Remove the counts of a peer's last heartbeat."""
        message = self.heartbeat_by_vm.pop(vm, None)
        for endpoint_id, model, adapter, count in message.running if message else ():
            self.peer_counts.add(endpoint_id, model, adapter, -count)

    def _expire(self) -> None:
        if self.totals and time.monotonic() - self.totals.at > heartbeat.STALE_S:
            self.totals = None
        for vm in self.heartbeat_by_vm.keys() - self.heartbeats.fresh().keys():
            self._remove_peer(vm)

    def _heartbeat_fields(self) -> dict:
        running = tuple((*key, count) for key, count in self.running.by_adapter.items())
        arrived = tuple(
            (
                target.service,
                target.model,
                target.adapter,
                count,
                self.tokens[target],
            )
            for target, count in self.arrived.items()
            if target.model
        )
        late = tuple(
            (target.service, target.model, count)
            for target, count in self.late.items()
            if target.model
        )
        self.arrived.clear()
        self.tokens.clear()
        self.late.clear()
        return {"running": running, "arrived": arrived, "late": late}
