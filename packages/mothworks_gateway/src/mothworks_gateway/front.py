"""Front: serves callers' connections, and the load balancer's readiness checks.

Requests are read whole, matched to a route and passed to the dispatch. The load
balancer checks on a separate port whether the VM is ready; metrics are served there and
on a port of their own.
"""

import collections
import time
import typing

import attrs
import gevent
import gevent.pywsgi
import logbook
import result

from mothworks import (
    calls,
    connections,
    kernel,
    logs,
    outcomes,
    plugins,
    serving,
    settings as node_settings,
)
from mothworks_gateway import (
    adapters,
    admission,
    caller_request,
    declaration_types,
    declarations,
    discovery,
    dispatch,
    settings,
)

log = logbook.Logger("front")

#: End of the path of readiness checks.
READY_PATH_SUFFIX = "readyz"
METRICS_PATH = "/metrics"
#: Time after the stop signal during which new connections are still accepted, seconds:
#: the load balancer needs two checks, one per second, to notice it.
ACCEPT_AFTER_STOP_S = 2.6
#: The most of the time for a drain that this may take; requests that are accepted last
#: must have time to finish.
MAX_ACCEPT_SHARE = 0.4
#: Retry-After while this VM stops, seconds: the retry reaches another VM.
STOPPING_RETRY_S = 0.02
#: Factor on the declared idle timeout of connections: a caller that reuses a connection
#: late must not find it closed.
IDLE_TIMEOUT_FACTOR = 1.15
#: Retry-After while no declaration is known, seconds.
NO_DECLARATION_RETRY_S = 0.5
#: Share of the file descriptors that callers' connections may use; the rest is left for
#: endpoints and peers.
CALLER_DESCRIPTOR_SHARE = 0.6
#: Longest body that is read and discarded if its request is refused, bytes.
MAX_DISCARDED_BODY_BYTES = 64 << 10

Environ = dict[str, typing.Any]


class Front(serving.Serving):
    """Serves callers over HTTP.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        config = node_kernel.settings
        self.declarations = node_kernel.get(declarations.Declarations)
        self.discovery = node_kernel.get(discovery.Discovery)
        self.dispatch = node_kernel.get(dispatch.Dispatch)
        self.admission = node_kernel.get(admission.Admission)
        self.callers: adapters.CallerProtocol = plugins.find(
            adapters.CALLERS, config.adapter
        )()
        max_connections = int(
            (config.descriptors - settings.SPARE_DESCRIPTORS) * CALLER_DESCRIPTOR_SHARE
        )
        limits = attrs.evolve(
            config.limits,
            connections=max(16, min(max_connections, config.limits.connections)),
        )
        address = settings.split_address(config.front)
        self.listener = connections.Listener(address, self.application, limits)
        self.listener.init_socket()
        self.status_listeners = [
            gevent.pywsgi.WSGIServer(
                status_address,
                self._status,
                log=None,
                error_log=None,
                environ={connections.SERVER_NAME: status_address[0]},
            )
            for status_address in self._status_addresses(config)
        ]
        #: Whether new requests are refused, since this VM is stopping.
        self.is_stopping = False
        self.declarations.on_change.append(self._apply_limits)
        self.cut_total = node_kernel.metrics.counter(
            "connections_cut_total",
            "Callers' connections that this VM ended before a whole reply, by stage.",
        )
        node_kernel.metrics.on_render.append(self._update_metrics)

    def start(self) -> None:
        """Start to accept connections."""
        self.listener.start()
        for listener in self.status_listeners:
            listener.start()

    def drain(self, deadline: float) -> None:
        """Finish every request in flight; see :meth:`kernel.Part.drain`.

        The load balancer sends connections until it notices that the VM is not ready.
        They are served, and each answer signals the caller to reconnect. Then requests
        are refused and idle connections are closed: a later request might not finish in
        the remaining time, and would be cut off.
        """
        stopped_at = time.monotonic()
        # A VM that shuts down because of a failure takes no new work.
        self.is_stopping = self.kernel.failure is not None
        left_s = max(0.0, deadline - stopped_at)
        accept_s = min(ACCEPT_AFTER_STOP_S, MAX_ACCEPT_SHARE * left_s)
        gevent.sleep(accept_s)
        late_s = time.monotonic() - stopped_at - accept_s
        self._log_drain("refuses requests", stopped_at, late_s)
        self.is_stopping = True
        self.listener.drain(deadline)
        self._log_drain("drained", stopped_at, time.monotonic() - deadline)

    def _log_drain(self, outcome: str, stopped_at: float, late_s: float) -> None:
        """Log a step of the drain, and which connections are open."""
        open_by_stage = collections.Counter(
            connection.stage.value for connection in self.listener.connections
        )
        logs.event(
            log,
            "drain",
            stopped_ms=round((time.monotonic() - stopped_at) * 1000),
            late_ms=max(0, round(late_s * 1000)),
            calls=self.open_calls,
            connections=dict(open_by_stage),
            outcome=outcome,
        )

    def stop(self) -> None:
        """Close the listeners and all open connections."""
        self.listener.stop(timeout=0)
        for listener in self.status_listeners:
            listener.stop(timeout=0)
        super().stop()

    def _update_metrics(self) -> None:
        for stage, count in self.listener.cut_by_stage.items():
            self.cut_total.set({"stage": stage.value}, count)

    def on_call(self, call: calls.Call) -> None:
        """Record the id of the connection's request, for its log lines."""
        call.environ[calls.CONNECTION].request_id = self.callers.request_id(call)

    @property
    def ready(self) -> bool:
        """Return whether the load balancer may send connections."""
        return (
            not self.kernel.draining
            and self.declarations.current is not None
            and self.discovery.loaded
            and self.admission.is_ready
        )

    def _status_addresses(self, config: settings.Settings) -> list[tuple[str, int]]:
        addresses = [settings.split_address(config.ready)]
        if config.metrics_port:
            addresses.append((config.address, config.metrics_port))
        return addresses

    def _apply_limits(self, declaration: declaration_types.Declaration) -> None:
        """Apply the declared limits to new requests."""
        limits = declaration.limits
        self.listener.limits = attrs.evolve(
            self.listener.limits,
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            head_s=limits.header_timeout_s,
            idle_s=limits.idle_timeout_s * IDLE_TIMEOUT_FACTOR,
        )

    def _status(self, environ: Environ, start_response) -> list[bytes]:
        if environ["PATH_INFO"].endswith(READY_PATH_SUFFIX):
            status = "200 OK" if self.ready else "503 Service Unavailable"
            start_response(status, [("Content-Type", "text/plain")])
            return [b"ready\n" if self.ready else b"not ready\n"]
        if environ["PATH_INFO"] == METRICS_PATH:
            body, headers = self.kernel.metrics.render()
            start_response("200 OK", list(headers.items()))
            return [body]
        start_response("404 Not Found", [("Content-Type", "text/plain")])
        return [b"nothing is here\n"]

    @property
    def limits(self) -> node_settings.Limits:
        """Return the limits in force, from the settings and the declaration."""
        return self.listener.limits

    def refuse(self, refusal: outcomes.Refusal) -> calls.Reply:
        """Return the reply for a refusal, with a fractional Retry-After."""
        return calls.refuse(refusal, fractions=True)

    def reply(self, call: calls.Call) -> calls.Reply:
        """Run the request of one call, and return the reply."""
        try:
            parsed = self._parse(call)
        except connections.DrainTimeout:
            parsed = result.Err(_stopping())
        match parsed:
            case result.Ok(request):
                return self._run(call, request)
            case result.Err(refusal):
                return self._log_and_refuse(call, refusal)

    def _parse(
        self, call: calls.Call
    ) -> result.Result[caller_request.CallerRequest, outcomes.Refusal]:
        """Parse the request of a call after authenticating its caller."""
        version = self.declarations.version
        match self._route(call):
            case result.Ok(route):
                pass
            case refused:
                return refused
        match self.admission.identify(route, self.callers.key(call)):
            case result.Ok(account):
                pass
            case refused:
                self._discard_body(call)
                return refused
        match call.body():
            case result.Ok(_) if self.is_stopping:
                return result.Err(_stopping())
            case result.Ok(body):
                pass
            case refused:
                return refused
        service = self.dispatch.endpoint_selection.service(route)
        parsed = self.callers.decode_request(
            call, route, service, body, version, account
        )
        return parsed.map_err(outcomes.invalid)

    def _route(
        self, call: calls.Call
    ) -> result.Result[declaration_types.Route, outcomes.Refusal]:
        """Return the route that matches a call."""
        if self.is_stopping:
            return result.Err(_stopping())
        declaration = self.declarations.current
        if declaration is None:
            message = "no declaration is known yet"
            return result.Err(
                outcomes.overloaded(message, NO_DECLARATION_RETRY_S, "undeclared")
            )
        path = call.raw_path
        if not (path.startswith("/") and path.isascii() and path.isprintable()):
            return result.Err(outcomes.invalid("the path is not plain ASCII"))
        host = call.environ.get("HTTP_HOST", "").partition(":")[0].lower()
        route = declaration.find(host, path)
        if route is None:
            return result.Err(outcomes.invalid("no route matches", "no_route", 404))
        return result.Ok(route)

    def _discard_body(self, call: calls.Call) -> None:
        """Read and discard a short body, so that the connection stays usable."""
        if int(call.environ.get("CONTENT_LENGTH") or 0) <= MAX_DISCARDED_BODY_BYTES:
            call.body()

    def _run(
        self, call: calls.Call, request: caller_request.CallerRequest
    ) -> calls.Reply:
        match self.admission.admit(request):
            case result.Ok(grant):
                pass
            case result.Err(refusal):
                return self.refuse(refusal)
        # From here on, this task is cancelled if the caller disconnects.
        call.start_watch()
        match self.dispatch.run(request):
            case result.Ok(reply):
                return reply
            case result.Err(refusal):
                if grant is not None and refusal.ran is outcomes.Ran.NO:
                    self.admission.credits.refund(grant)
                return self.refuse(refusal)

    def _log_and_refuse(
        self, call: calls.Call, refusal: outcomes.Refusal
    ) -> calls.Reply:
        logs.event(
            log,
            "refused",
            request=self.callers.request_id(call),
            path=call.raw_path[:80],
            host=call.environ.get("HTTP_HOST", "")[:80],
            version=self.declarations.version,
            reason=refusal.message[:120],
            outcome=refusal.status,
        )
        return self.refuse(refusal)


def _stopping() -> outcomes.Refusal:
    return outcomes.overloaded("this VM is stopping", STOPPING_RETRY_S, "stopping")
