"""Fragile endpoints: endpoints that announce that they fail if they refuse too much.

Such an endpoint states how many requests it may refuse in a second for lack of room,
over all VMs. The VM that learns of it publishes it, so that all VMs use
:mod:`endpoint_rooms`.
"""

import collections.abc
import time

import attrs
import logbook
import result

from mothworks import kernel, logs, messages, peers, transport
from mothworks_gateway import broadcast, discovery, endpoints_client, registry

log = logbook.Logger("fragile_endpoints")


@messages.message(142)
@attrs.frozen
class FragilityUpdate:
    """Publishes what an endpoint announced.

    :param endpoint_id: the endpoint.
    :param max_refusals_per_s: refusals per second that it bears; None if it announced
        nothing any more.
    :param sent_age_s: age of the request whose answer announced it, seconds.
    :param received_age_s: age of that answer, seconds.
    """

    endpoint_id: str
    max_refusals_per_s: float | None
    sent_age_s: float
    received_age_s: float


@attrs.frozen
class Fragility:
    """What an endpoint last announced.

    :param max_refusals_per_s: refusals per second that it bears; None for no bound.
    :param sent_at: monotonic time at which the request was sent.
    :param received_at: monotonic time at which its answer arrived.
    """

    max_refusals_per_s: float | None
    sent_at: float
    received_at: float


class FragileEndpoints(kernel.Part):
    """Tracks which endpoints are fragile.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.protocol = node_kernel.get(endpoints_client.EndpointsClient).protocol
        self.registry = node_kernel.get(discovery.Discovery).registry
        self.registry.on_change.append(self._remove_gone)
        self.broadcast = node_kernel.get(broadcast.Broadcast)
        node_kernel.get(peers.Peers).handle(FragilityUpdate, self._on_update)
        self.fragility_by_id: dict[str, Fragility] = {}
        #: Functions to call with an endpoint's id after it announced something else.
        self.on_change: list[collections.abc.Callable[[str], None]] = []
        self.fragile_gauge = node_kernel.metrics.gauge(
            "fragile_endpoints", "Endpoints that announce that refusals make them fail."
        )

    def max_refusals_per_s(self, endpoint_id: str) -> float | None:
        """Return how many refusals per second an endpoint bears; None for no bound.

        :param endpoint_id: the endpoint.
        """
        current = self.fragility_by_id.get(endpoint_id)
        return current.max_refusals_per_s if current else None

    def observe(
        self,
        endpoint: registry.Endpoint,
        answer: transport.HttpAnswer,
        sent_at: float,
        request_id: str,
    ) -> None:
        """Record what an endpoint announces in its answer.

        :param endpoint: the endpoint.
        :param answer: its answer, the body not read.
        :param sent_at: monotonic time at which the request was sent.
        :param request_id: the request's id, for the log.
        """
        match self.protocol.max_refusals_per_s(answer):
            case result.Ok(value):
                pass
            case result.Err(problem):
                logs.event(
                    log,
                    "fragile endpoint",
                    endpoint=endpoint.id,
                    request=request_id,
                    reason=problem,
                    outcome="unreadable, left out",
                )
                return
        now = time.monotonic()
        fragility = Fragility(value, sent_at, now)
        if self._update(endpoint.id, fragility, request=request_id):
            self.broadcast.publish_now(
                FragilityUpdate(endpoint.id, value, now - sent_at, 0.0)
            )

    def _on_update(self, vm: str, update: FragilityUpdate, _: peers.Reply) -> None:
        now = time.monotonic()
        fragility = Fragility(
            update.max_refusals_per_s,
            now - update.sent_age_s,
            now - update.received_age_s,
        )
        self._update(update.endpoint_id, fragility, vm=vm)

    def _update(self, endpoint_id: str, fragility: Fragility, **source: str) -> bool:
        """Store what was announced if it is newer; returns whether it changed."""
        current = self.fragility_by_id.get(endpoint_id)
        if not _is_newer(fragility, current):
            return False
        self.fragility_by_id[endpoint_id] = fragility
        before = current.max_refusals_per_s if current else None
        if before == fragility.max_refusals_per_s:
            return False
        logs.event(
            log,
            "fragile endpoint",
            endpoint=endpoint_id,
            before=before,
            max_refusals_per_s=fragility.max_refusals_per_s,
            **source,
            outcome="ended" if fragility.max_refusals_per_s is None else "announced",
        )
        self._update_gauge()
        for notify in self.on_change:
            notify(endpoint_id)
        return True

    def _update_gauge(self) -> None:
        count = sum(
            item.max_refusals_per_s is not None
            for item in self.fragility_by_id.values()
        )
        self.fragile_gauge.set({}, count)

    def _remove_gone(self) -> None:
        """Remove the endpoints that are gone."""
        for endpoint_id in self.fragility_by_id.keys() - self.registry.by_id.keys():
            del self.fragility_by_id[endpoint_id]


def _is_newer(fragility: Fragility, current: Fragility | None) -> bool:
    """Return whether an answer supersedes the one before.

    Answers may overtake each other. One without an announcement ends it only if its
    request was sent after the announcement arrived.
    """
    if current is None:
        return fragility.max_refusals_per_s is not None
    if fragility.max_refusals_per_s is None:
        return fragility.sent_at >= current.received_at
    return fragility.sent_at > current.sent_at
