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

#: Time without a call after which a draining VM may stop, seconds; a call that
#: is being read off a connection that stood open is served this way.
QUIET_S = 0.3


@plugins.register(plugins.PART, "server")
class Server(serving.Serving):
    """Accepts callers' connections and hands each call to its protocol.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.protocol_by_prefix = {
            prefix: plugins.find(plugins.CALLER_PROTOCOL, prefix)(node_kernel)
            for prefix in plugins.keys(plugins.CALLER_PROTOCOL)
        }
        chosen = node_kernel.settings
        self.listener = connections.Listener(
            (chosen.address, chosen.port), self.application, chosen.limits
        )
        self.listener.init_socket()
        #: The port that the kernel chose where the setting is 0.
        self.port = self.listener.socket.getsockname()[1]
        self.metrics = path_metrics.PathMetrics(node_kernel.metrics)

    def start(self) -> None:
        """Accept connections."""
        self.listener.start()

    def drain(self, deadline: float) -> None:
        """Finish every call in flight; see :meth:`kernel.Part.drain`.

        The balancer sends calls until it has seen that this VM is not ready.
        Refusing them at once would break calls for no reason, so they are
        served, and only then the port is closed.
        """
        unready_s = self.kernel.settings.limits.unready_s
        gevent.sleep(max(0.0, min(unready_s, deadline - time.monotonic())))
        self.listener.stop_accepting()
        self.listener.close()
        quiet_since = time.monotonic()
        while time.monotonic() < min(deadline, quiet_since + QUIET_S):
            gevent.sleep(0.02)
            if self.open_calls:
                quiet_since = time.monotonic()

    def stop(self) -> None:
        """Close the listener and what is still open."""
        self.listener.stop(timeout=0)
        super().stop()

    def begun(self, call: calls.Call) -> None:
        """Name the call in the logs of its task."""
        logs.set_request_id(call.id)

    def headers(self, call: calls.Call, reply: calls.Reply) -> list[tuple[str, str]]:
        """Return a reply's headers with this node's id of the call."""
        kept = [
            item
            for item in super().headers(call, reply)
            if item[0].lower() != calls.REQUEST_ID.lower()
        ]
        return [*kept, (calls.REQUEST_ID, call.id)]

    def replied(self, call: calls.Call, reply: calls.Reply) -> None:
        """Count and log a reply."""
        self.metrics.replied(reply.status, reply.refusal)
        if reply.refusal is not None and reply.status >= 500:
            refusal = reply.refusal
            log.info("{} {}: {}", reply.status, refusal.code, refusal.message)
        else:
            log.debug("{} {}: {}", call.method, call.path, reply.status)

    def reply(self, call: calls.Call) -> calls.Reply:
        """Answer one call by its protocol."""
        match call.path:
            case "/healthz":
                return calls.json_reply({"alive": True})
            case "/readyz":
                return self._ready()
            case "/metrics":
                self.metrics.note_connections(self.listener.connections)
                body, headers = self.kernel.metrics.render()
                return calls.Reply(200, list(headers.items()), [body])
        for prefix, protocol in self.protocol_by_prefix.items():
            if call.path.startswith(prefix):
                return protocol.serve(call)
        return calls.refuse(
            outcomes.invalid(f"nothing is at {call.path!r:.80}", "not_found", 404)
        )

    def _ready(self) -> calls.Reply:
        if self.kernel.draining:
            return calls.json_reply({"ready": False, "why": "shutting down"}, 503)
        if not self.configuration.loaded.is_set():
            return calls.json_reply({"ready": False, "why": "no configuration"}, 503)
        return calls.json_reply({"ready": True})
