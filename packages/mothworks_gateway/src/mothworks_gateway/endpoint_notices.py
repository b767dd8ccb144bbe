"""Endpoint notices: what endpoints announce about themselves in their answers.

An endpoint announces that it is leaving, or asks this VM to back off: to send it
nothing for a time. Rate limits, which apply to all VMs together, are in
:mod:`endpoint_limits`.
"""

import time

import logbook
import result

from mothworks import kernel, logs, transport
from mothworks_gateway import discovery, endpoints_client, registry

log = logbook.Logger("endpoint_notices")


class EndpointNotices(kernel.Part):
    """Tracks which endpoints are leaving, and which asked this VM to back off.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.protocol = node_kernel.get(endpoints_client.EndpointsClient).protocol
        self.registry = node_kernel.get(discovery.Discovery).registry
        self.registry.on_change.append(self._remove_gone)
        self.leaving_ids: set[str] = set()
        #: Monotonic time until which an endpoint wants no requests from this VM.
        self.backoff_until_by_id: dict[str, float] = {}
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
            self._record_leaving(endpoint, request_id)
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

    def _record_leaving(self, endpoint: registry.Endpoint, request_id: str) -> None:
        self.notices_total.inc({"kind": "leaving"})
        if endpoint.id in self.leaving_ids:
            return
        self.leaving_ids.add(endpoint.id)
        logs.event(
            log,
            "endpoint leaving",
            endpoint=endpoint.id,
            request=request_id,
            outcome="announced",
        )

    def _record_backoff(
        self, endpoint: registry.Endpoint, seconds: float, request_id: str
    ) -> None:
        self.notices_total.inc({"kind": "backoff"})
        now = time.monotonic()
        previous = self.backoff_until_by_id.get(endpoint.id, 0.0)
        self.backoff_until_by_id[endpoint.id] = max(previous, now + seconds)
        if previous <= now:
            logs.event(
                log,
                "endpoint backoff",
                endpoint=endpoint.id,
                request=request_id,
                seconds=seconds,
                outcome="begins",
            )

    def _remove_gone(self) -> None:
        """Remove what endpoints announced that are gone."""
        self.leaving_ids &= self.registry.by_id.keys()
        for endpoint_id in self.backoff_until_by_id.keys() - self.registry.by_id.keys():
            del self.backoff_until_by_id[endpoint_id]
