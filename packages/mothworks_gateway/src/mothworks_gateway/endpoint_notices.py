"""Endpoint notices: what endpoints announce about themselves in their answers.

An endpoint announces that it is leaving, which a VM that learns it publishes to all
VMs, or asks this VM to back off: to send it nothing for a time. Rate limits are in
:mod:`endpoint_limits`.
"""

import time

import attrs
import logbook
import result

from mothworks import kernel, logs, messages, peers, transport
from mothworks_gateway import broadcast, discovery, endpoints_client, registry

log = logbook.Logger("endpoint_notices")


@messages.message(136)
@attrs.frozen
class EndpointLeaving:
    """Publishes that an endpoint announced that it is leaving.

    :param endpoint_id: the endpoint.
    """

    endpoint_id: str


@attrs.frozen
class Backoff:
    """A time for which an endpoint wants no requests from this VM.

    :param seconds: its length.
    :param until: monotonic time of its end.
    """

    seconds: float
    until: float


class EndpointNotices(kernel.Part):
    """Tracks which endpoints are leaving, and which asked this VM to back off.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.protocol = node_kernel.get(endpoints_client.EndpointsClient).protocol
        self.registry = node_kernel.get(discovery.Discovery).registry
        self.registry.on_change.append(self._remove_expired)
        self.broadcast = node_kernel.get(broadcast.Broadcast)
        node_kernel.get(peers.Peers).handle(EndpointLeaving, self._on_leaving)
        self.backoff_by_id: dict[str, Backoff] = {}
        self.notices_total = node_kernel.metrics.counter(
            "endpoint_notices_total",
            "Answers in which endpoints announced leaving or asked for a backoff.",
        )

    def observe(
        self,
        endpoint: registry.Endpoint,
        answer: transport.HttpAnswer,
        request_id: str,
    ) -> None:
        """Record what an endpoint announces in its answer to a request.

        :param endpoint: the endpoint.
        :param answer: its answer, the body not read.
        :param request_id: the request's id, for the log.
        """
        if self.protocol.is_leaving(answer):
            self.record_leaving(endpoint, request=request_id)
        match self.protocol.backoff_s(answer):
            case result.Ok(None):
                pass
            case result.Ok(seconds):
                self._record_backoff(endpoint, seconds, request_id)
            case result.Err(problem):
                logs.event(
                    log,
                    "endpoint backoff",
                    endpoint=endpoint.id,
                    request=request_id,
                    reason=problem,
                    outcome="unreadable, left out",
                )

    def backoff(self, endpoint: registry.Endpoint) -> Backoff | None:
        """Return an endpoint's backoff; None if it accepts requests from this VM now.

        :param endpoint: the endpoint.
        """
        current = self.backoff_by_id.get(endpoint.id)
        return current if current and time.monotonic() < current.until else None

    def record_leaving(self, endpoint: registry.Endpoint, **source: str) -> None:
        """Record that an endpoint announced that it is leaving, and publish it once.

        :param endpoint: the endpoint.
        :param source: where it was announced, for the log.
        """
        self.notices_total.inc({"kind": "leaving"})
        if self.registry.record_leaving(endpoint.id):
            _log_leaving(endpoint.id, **source)
            self.broadcast.publish_now(EndpointLeaving(endpoint.id))

    def _on_leaving(self, vm: str, message: EndpointLeaving, _: peers.Reply) -> None:
        if self.registry.record_leaving(message.endpoint_id):
            _log_leaving(message.endpoint_id, vm=vm)

    def _record_backoff(
        self, endpoint: registry.Endpoint, seconds: float, request_id: str
    ) -> None:
        self.notices_total.inc({"kind": "backoff"})
        previous = self.backoff(endpoint)
        backoff = Backoff(seconds, time.monotonic() + seconds)
        if previous is None or previous.until < backoff.until:
            self.backoff_by_id[endpoint.id] = backoff
        if previous is None:
            logs.event(
                log,
                "endpoint backoff",
                endpoint=endpoint.id,
                request=request_id,
                seconds=seconds,
                outcome="begins",
            )

    def _remove_expired(self) -> None:
        """Remove the backoffs that have ended."""
        now = time.monotonic()
        self.backoff_by_id = {
            endpoint_id: backoff
            for endpoint_id, backoff in self.backoff_by_id.items()
            if backoff.until > now
        }


def _log_leaving(endpoint_id: str, **source: str) -> None:
    logs.event(
        log, "endpoint leaving", endpoint=endpoint_id, **source, outcome="announced"
    )
