"""The HTTP server for callers and operators, on gevent's WSGI server."""

import time

import gevent
import logbook

from mothworks import (
    calls,
    configuration,
    connections,
    kernel,
    logs,
    outcomes,
    path_metrics,
    plugins,
    serving,
)

log = logbook.Logger("server")


@plugins.register(plugins.PART, "server")
class Server(serving.Serving):
    """Accepts callers' connections and routes each call to its protocol.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.protocol_by_prefix = {
            prefix: plugins.find(plugins.CALLER_PROTOCOL, prefix)(node_kernel)
            for prefix in plugins.keys(plugins.CALLER_PROTOCOL)
        }
        node_settings = node_kernel.settings
        self.listener = connections.Listener(
            (node_settings.address, node_settings.port),
            self.application,
            node_settings.limits,
        )
        self.listener.init_socket()
        #: The bound port; the operating system selects one if the setting is 0.
        self.port = self.listener.socket.getsockname()[1]
        self.metrics = path_metrics.PathMetrics(node_kernel.metrics)

    def start(self) -> None:
        """Accept connections."""
        self.listener.start()

    def drain(self, deadline: float) -> None:
        """Finish every call in flight; see :meth:`kernel.Part.drain`.

        The load balancer sends calls until its next readiness check finds that
        this VM is not ready. The port stays open for ``unready_s`` so that
        these calls are served instead of refused.
        """
        unready_s = self.kernel.settings.limits.unready_s
        gevent.sleep(max(0.0, min(unready_s, deadline - time.monotonic())))
        self.listener.drain(deadline)

    def stop(self) -> None:
        """Close the listener and the connections that are still open."""
        self.listener.stop(timeout=0)
        super().stop()

    def on_call(self, call: calls.Call) -> None:
        """Add the call's request ID to the log lines of its task and connection."""
        logs.set_request_id(call.id)
        call.environ[calls.CONNECTION].request_id = call.id

    def headers(self, call: calls.Call, reply: calls.Reply) -> list[tuple[str, str]]:
        """Return a reply's headers, with the call's request ID set by this node."""
        other_headers = [
            item
            for item in super().headers(call, reply)
            if item[0].lower() != calls.REQUEST_ID.lower()
        ]
        return [*other_headers, (calls.REQUEST_ID, call.id)]

    def on_reply(self, call: calls.Call, reply: calls.Reply) -> None:
        """Count and log the reply."""
        self.metrics.count_reply(reply.status, reply.refusal)
        if reply.refusal is not None and reply.status >= 500:
            refusal = reply.refusal
            log.info("{} {}: {}", reply.status, refusal.code, refusal.message)
        else:
            log.debug("{} {}: {}", call.method, call.path, reply.status)

    def reply(self, call: calls.Call) -> calls.Reply:
        """Answer one call, by the protocol of its path prefix."""
        match call.path:
            case "/healthz":
                return calls.json_reply({"alive": True})
            case "/readyz":
                return self._readiness()
            case "/metrics":
                self.metrics.set_connections(self.listener.connections)
                body, headers = self.kernel.metrics.render()
                return calls.Reply(200, list(headers.items()), [body])
        for prefix, protocol in self.protocol_by_prefix.items():
            if call.path.startswith(prefix):
                return protocol.serve(call)
        return calls.refuse(
            outcomes.invalid(f"no resource at {call.path!r:.80}", "not_found", 404)
        )

    def _readiness(self) -> calls.Reply:
        if self.kernel.draining:
            return calls.json_reply({"ready": False, "why": "shutting down"}, 503)
        if not self.configuration.loaded.is_set():
            return calls.json_reply({"ready": False, "why": "no configuration"}, 503)
        return calls.json_reply({"ready": True})
