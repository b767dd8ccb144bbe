"""Residency: which endpoints hold which models, and requests that wait for a model.

On each VM, requests whose model or adapter no available endpoint holds wait here. The
VM reports them to the lease holder, which loads the model. The lease holder publishes
to all VMs what each endpoint holds as soon as that changes.
"""

import collections.abc
import contextlib
import math
import time

import attrs
import gevent
import gevent.event
import logbook

from mothworks import kernel, logs, messages, peers
from mothworks_gateway import (
    broadcast,
    caller_request,
    discovery,
    heartbeat,
    lease,
    registry,
)

log = logbook.Logger("residency")

#: Seconds between repeated reports of this VM's waiting callers; the first report for a
#: model is sent at once.
REPORT_INTERVAL_S = 0.15
#: Time past the expected end of a load for which callers still count on it, seconds.
READY_MARGIN_S = 0.3
#: Change of that expected time that wakes the waiting callers, seconds.
READY_CHANGE_S = 0.1


@messages.message(114)
@attrs.frozen
class WaitingCallers:
    """Callers that wait for a model or adapter; sent to the lease holder.

    :param service: the service.
    :param model: the model.
    :param adapter: its adapter, or empty.
    :param count: number of callers that wait at the sender.
    :param urgency: rank of the most urgent of them.
    :param left_s: seconds until the first of them misses its latency objective.
    :param software_version: the only software version that may run them; None for any.
    """

    service: str
    model: str
    adapter: str
    count: int
    urgency: int
    left_s: float
    software_version: str | None = None

    @property
    def target(self) -> caller_request.Target:
        """Return the model or adapter that they wait for."""
        return caller_request.Target(
            self.service, self.model, self.adapter, self.software_version
        )


@messages.message(115)
@attrs.frozen
class EndpointHoldings:
    """What an endpoint holds after an order; sent to all VMs.

    :param fence: the sender's fencing token.
    :param number: grows with each message under that token.
    :param endpoint: the endpoint's id.
    :param adapters_by_model: the models that it holds, with their adapters.
    :param ready_s_by_model: models that it is to load, with the seconds until each is
        ready.
    """

    fence: int
    number: int
    endpoint: str
    adapters_by_model: dict[str, list[str]]
    ready_s_by_model: dict[str, float] = attrs.field(factory=dict)


@messages.message(116)
@attrs.frozen
class NotHeld:
    """Reports to the lease holder that an endpoint lacks what it was believed to hold.

    :param endpoint: the endpoint's id.
    """

    endpoint: str


@attrs.define
class _Waiters:
    """Callers of this VM that wait for one target.

    :param count: how many.
    :param urgency: rank of the most urgent of them.
    :param objective_at: monotonic time at which the first of them misses its objective.
    :param changed: set for a moment to wake them.
    """

    count: int = 0
    urgency: int = 9
    objective_at: float = float("inf")
    changed: gevent.event.Event = attrs.field(factory=gevent.event.Event)

    def wake(self) -> None:
        """Wake all of them, so that they check again."""
        self.changed.set()
        self.changed.clear()


class Residency(kernel.Part):
    """Blocks requests until their model is held, and tracks what endpoints hold.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.peers = node_kernel.get(peers.Peers)
        self.broadcast = node_kernel.get(broadcast.Broadcast)
        self.registry = node_kernel.get(discovery.Discovery).registry
        self.lease = node_kernel.get(lease.Lease)
        self.heartbeats = node_kernel.get(heartbeat.Heartbeats)
        self.waiters_by_target: dict[caller_request.Target, _Waiters] = {}
        #: Set while callers of this VM wait.
        self.has_waiters = gevent.event.Event()
        self.version_by_endpoint: dict[str, tuple[int, int]] = {}
        #: Set for a moment when endpoints are added or removed.
        self.endpoints_changed = gevent.event.Event()
        #: Monotonic time at which a load is expected to end, by (endpoint id, model).
        self.ready_at_by_model: dict[tuple[str, str], float] = {}
        #: Functions to call on the lease holder, with a VM's name and its message.
        self.on_waiting: list[
            collections.abc.Callable[[str, WaitingCallers], None]
        ] = []
        #: Functions to call on the lease holder, with an endpoint's id.
        self.on_not_held: list[collections.abc.Callable[[str], None]] = []
        self.registry.on_change.append(self.wake_all)
        # Waiting requests must get a reply before the VM stops.
        node_kernel.on_draining.append(self.wake_all)
        self.peers.handle(
            WaitingCallers, lambda vm, message, _: self._on_waiting(vm, message)
        )
        self.peers.handle(
            NotHeld, lambda _, message, __: self._notify_not_held(message.endpoint)
        )
        self.peers.handle(EndpointHoldings, self._on_holdings)

    def start(self) -> None:
        """Start to report this VM's waiting callers periodically."""
        self.tasks.spawn(self._report_periodically)

    def wait(self, request: caller_request.CallerRequest, seconds: float) -> None:
        """Block until something changes that may let a request run.

        :param request: the request.
        :param seconds: maximum wait.
        """
        with self.count_as_waiting(request) as waiters:
            waiters.changed.wait(seconds)

    @contextlib.contextmanager
    def count_as_waiting(
        self, request: caller_request.CallerRequest
    ) -> collections.abc.Iterator[_Waiters]:
        """Report a request to the lease holder while it waits.

        :param request: the request.
        """
        waiters = self.waiters_by_target.setdefault(request.target, _Waiters())
        waiters.count += 1
        waiters.urgency = min(waiters.urgency, request.urgency)
        objective_at = request.received_at + request.route.objective_s
        waiters.objective_at = min(waiters.objective_at, objective_at)
        if waiters.count == 1:
            self._report(request.target, waiters)
            self.has_waiters.set()
        try:
            yield waiters
        finally:
            waiters.count -= 1
            if not waiters.count:
                self.waiters_by_target.pop(request.target, None)

    def ready_in_s(self, target: caller_request.Target) -> float | None:
        """Return the seconds until an endpoint has loaded a model; None if unknown.

        :param target: the model; its adapters then load at once.
        """
        now = time.monotonic()
        times = [
            ready_at + READY_MARGIN_S
            for (endpoint_id, model), ready_at in self.ready_at_by_model.items()
            if model == target.model
            and ready_at + READY_MARGIN_S > now
            and self._may_run(endpoint_id, target)
        ]
        return min(times) - now if times else None

    def _may_run(self, endpoint_id: str, target: caller_request.Target) -> bool:
        """Return whether an endpoint is one that may run requests for a target."""
        endpoint = self.registry.by_id.get(endpoint_id)
        return (
            endpoint is not None
            and endpoint.entry.service == target.service
            and target.allows(endpoint.entry.software_version)
        )

    def report_not_held(
        self, endpoint: registry.Endpoint, target: caller_request.Target
    ) -> None:
        """Record that an endpoint refused a request for a model that it does not hold.

        :param endpoint: the endpoint.
        :param target: the request's target.
        """
        held_adapters = endpoint.adapters_by_model.get(target.model)
        if held_adapters is not None and target.adapter in held_adapters:
            endpoint.adapters_by_model[target.model] = held_adapters - {target.adapter}
        else:
            endpoint.adapters_by_model.pop(target.model, None)
        logs.event(
            log,
            "not held",
            endpoint=endpoint.id,
            model=target.model,
            adapter=target.adapter,
            outcome="the holder is asked to look",
        )
        holder = self.lease.holder()
        if holder == self.name:
            self._notify_not_held(endpoint.id)
        elif holder:
            self.peers.send_nowait(holder, NotHeld(endpoint.id))

    def publish(self, message: EndpointHoldings, at_once: bool = False) -> None:
        """Send all VMs, including this one, what an endpoint holds.

        :param message: the message.
        :param at_once: whether to send it without waiting for others to batch it with.
        """
        if at_once:
            self.broadcast.publish_now(message)
        else:
            self.broadcast.publish(message)
        self._on_holdings(self.name, message, None)

    def _report_periodically(self) -> None:
        """Report waiting callers again and again for as long as there are any."""
        while True:
            self.has_waiters.wait()
            gevent.sleep(REPORT_INTERVAL_S)
            for target, waiters in list(self.waiters_by_target.items()):
                self._report(target, waiters)
            if not self.waiters_by_target:
                self.has_waiters.clear()

    def _report(self, target: caller_request.Target, waiters: _Waiters) -> None:
        left_s = waiters.objective_at - time.monotonic()
        message = WaitingCallers(
            target.service,
            target.model,
            target.adapter,
            waiters.count,
            waiters.urgency,
            left_s,
            target.software_version,
        )
        holder = self.lease.holder()
        if holder == self.name:
            self._on_waiting(self.name, message)
        elif holder:
            self.peers.send_nowait(holder, message)

    def _on_waiting(self, vm: str, message: WaitingCallers) -> None:
        for notify in self.on_waiting:
            notify(vm, message)

    def _notify_not_held(self, endpoint_id: str) -> None:
        for notify in self.on_not_held:
            notify(endpoint_id)

    def _on_holdings(self, _: str, message: EndpointHoldings, __) -> None:
        version = (message.fence, message.number)
        if version <= self.version_by_endpoint.get(message.endpoint, (0, 0)):
            return
        endpoint = self.registry.by_id.get(message.endpoint)
        if endpoint is None:
            return
        self.version_by_endpoint[message.endpoint] = version
        endpoint.adapters_by_model = {
            model: frozenset(adapters)
            for model, adapters in message.adapters_by_model.items()
        }
        changed_models = self._update_ready_times(message)
        for target, waiters in self.waiters_by_target.items():
            if target.model in changed_models or _can_run(endpoint, target):
                waiters.wake()

    def _update_ready_times(self, message: EndpointHoldings) -> set[str]:
        """Update when models will be ready; return the models for which that changed.

        Only their callers are woken. When each of some 70 messages a second woke every
        waiting caller to check all endpoints, waiting used most of a VM's processor
        time.
        """
        now = time.monotonic()
        before = {
            model: self.ready_at_by_model.pop((endpoint, model))
            for endpoint, model in list(self.ready_at_by_model)
            if endpoint == message.endpoint
        }
        after = {
            model: now + seconds for model, seconds in message.ready_s_by_model.items()
        }
        for model, ready_at in after.items():
            self.ready_at_by_model[message.endpoint, model] = ready_at
        infinity = math.inf
        return {
            model
            for model in before.keys() | after.keys()
            if abs(before.get(model, infinity) - after.get(model, -infinity))
            > READY_CHANGE_S
        }

    def wake_all(self) -> None:
        """Wake all waiting callers."""
        self.endpoints_changed.set()
        self.endpoints_changed.clear()
        for waiters in self.waiters_by_target.values():
            waiters.wake()


def _can_run(endpoint: registry.Endpoint, target: caller_request.Target) -> bool:
    same = endpoint.entry.service == target.service
    return same and endpoint.can_run(target)
