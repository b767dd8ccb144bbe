"""The front: callers' connections, and the balancer's question.

Requests are read whole, matched to a route and handed to the dispatch. The
balancer asks on a port of its own whether the VM takes connections; metrics
are served there and on a port of their own.
"""

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
    asked,
    declarations,
    declared,
    discovery,
    dispatch,
    settings,
)

log = logbook.Logger("front")

#: Path at which the balancer asks; it takes any path that ends so.
READY = "readyz"
METRICS = "/metrics"
#: Time after the signal to stop during which new connections are still taken,
#: seconds: the balancer needs two questions, one a second, to notice.
UNREADY_S = 2.6
#: Time before the process would be killed at which it ends by itself, seconds.
END_S = 0.9
#: Hint to a caller whose request met a VM that stops, seconds: it comes to
#: another one.
STOPPING_RETRY_S = 0.02
#: Part of the longest idle time, in force for callers, that is added to it:
#: callers that reuse a connection late must not meet its close.
IDLE_FACTOR = 1.15
#: Hint to a caller while no declaration is known, seconds.
UNDECLARED_RETRY_S = 0.5
#: Share of the descriptors that callers may take; the rest is for endpoints and
#: peers.
CALLER_SHARE = 0.6
#: Longest body that is read away when its request is refused, bytes.
SHORT_BODY_BYTES = 64 << 10

Environ = dict[str, typing.Any]


class Front(serving.Serving):
    """Serves callers.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        chosen = node_kernel.settings
        self.declarations = node_kernel.get(declarations.Declarations)
        self.discovery = node_kernel.get(discovery.Discovery)
        self.dispatch = node_kernel.get(dispatch.Dispatch)
        self.admission = node_kernel.get(admission.Admission)
        self.callers: adapters.Callers = plugins.find(
            adapters.CALLERS, chosen.adapter
        )()
        most = int((chosen.descriptors - settings.SPARE_DESCRIPTORS) * CALLER_SHARE)
        limits = attrs.evolve(
            chosen.limits, connections=max(16, min(most, chosen.limits.connections))
        )
        address = settings.split_address(chosen.front)
        self.listener = connections.Listener(address, self.application, limits)
        self.listener.init_socket()
        self.status_listeners = [
            gevent.pywsgi.WSGIServer(place, self._status, log=None, error_log=None)
            for place in self._status_addresses(chosen)
        ]
        #: Whether requests that still come are refused.
        self.closing = False
        self.declarations.on_change.append(self._take_limits)

    def start(self) -> None:
        """Accept connections."""
        self.listener.start()
        for listener in self.status_listeners:
            listener.start()

    def drain(self, deadline: float) -> None:
        """Finish every request in flight; see :meth:`kernel.Part.drain`.

        The balancer sends connections until it has noticed that the VM is not
        ready. They are served, and each answer asks its caller to connect
        anew. Then idle connections are closed: a request that came on one
        later could run out of the time that is left, and be cut off.
        """
        gevent.sleep(max(0.0, min(UNREADY_S, deadline - time.monotonic())))
        self.listener.stop_accepting()
        self.listener.close()
        self.closing = True
        while self.open_calls and time.monotonic() < deadline:
            self.listener.close_idle()
            gevent.sleep(0.05)
        self.listener.close_idle()

    def stop(self) -> None:
        """Close the listeners and what is still open."""
        self.listener.stop(timeout=0)
        for listener in self.status_listeners:
            listener.stop(timeout=0)
        super().stop()

    @property
    def ready(self) -> bool:
        """Return whether the balancer may send connections."""
        return (
            not self.kernel.draining
            and self.declarations.current is not None
            and self.discovery.loaded
            and self.admission.open
        )

    def _status_addresses(self, chosen: settings.Settings) -> list[tuple[str, int]]:
        addresses = [settings.split_address(chosen.ready)]
        if chosen.metrics_port:
            addresses.append((chosen.address, chosen.metrics_port))
        return addresses

    def _take_limits(self, declaration: declared.Declaration) -> None:
        """Put the declared limits in force for the requests to come."""
        limits = declaration.limits
        self.listener.limits = attrs.evolve(
            self.listener.limits,
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            head_s=limits.header_timeout_s,
            idle_s=limits.idle_timeout_s * IDLE_FACTOR,
        )

    def _status(self, environ: Environ, start_response) -> list[bytes]:
        if environ["PATH_INFO"].endswith(READY):
            status = "200 OK" if self.ready else "503 Service Unavailable"
            start_response(status, [("Content-Type", "text/plain")])
            return [b"ready\n" if self.ready else b"not ready\n"]
        if environ["PATH_INFO"] == METRICS:
            body, headers = self.kernel.metrics.render()
            start_response("200 OK", list(headers.items()))
            return [body]
        start_response("404 Not Found", [("Content-Type", "text/plain")])
        return [b"nothing is here\n"]

    @property
    def limits(self) -> node_settings.Limits:
        """Return the bounds in force, of the settings and the declaration."""
        return self.listener.limits

    def refuse(self, refusal: outcomes.Refusal) -> calls.Reply:
        """Return the reply that carries a refusal, with an exact hint."""
        return calls.refuse(refusal, fractions=True)

    def reply(self, call: calls.Call) -> calls.Reply:
        """Answer one call by its route."""
        match self._read(call):
            case result.Ok(request):
                return self._run(call, request)
            case result.Err(refusal):
                return self._refused(call, refusal)

    def _read(self, call: calls.Call) -> result.Result[asked.Asked, outcomes.Refusal]:
        """Return the request that a call makes, once its caller is known."""
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
                self._drop_body(call)
                return refused
        match call.body():
            case result.Ok(body):
                pass
            case refused:
                return refused
        service = self.dispatch.choice.service(route)
        read = self.callers.read(call, route, service, body, version, account)
        return read.map_err(outcomes.invalid)

    def _route(
        self, call: calls.Call
    ) -> result.Result[declared.Route, outcomes.Refusal]:
        """Return the route that a call asks for."""
        if self.closing:
            return result.Err(
                outcomes.overloaded("this VM stops", STOPPING_RETRY_S, "stopping")
            )
        declaration = self.declarations.current
        if declaration is None:
            message = "no declaration is known yet"
            return result.Err(
                outcomes.overloaded(message, UNDECLARED_RETRY_S, "undeclared")
            )
        path = call.raw_path
        if not (path.startswith("/") and path.isascii() and path.isprintable()):
            return result.Err(outcomes.invalid("the path is not plain ASCII"))
        host = call.environ.get("HTTP_HOST", "").partition(":")[0].lower()
        route = declaration.find(host, path)
        if route is None:
            return result.Err(outcomes.invalid("no route matches", "no_route", 404))
        return result.Ok(route)

    def _drop_body(self, call: calls.Call) -> None:
        """Read a short body away, so that the caller's connection stays usable."""
        if int(call.environ.get("CONTENT_LENGTH") or 0) <= SHORT_BODY_BYTES:
            call.body()

    def _run(self, call: calls.Call, request: asked.Asked) -> calls.Reply:
        match self.admission.admit(request):
            case result.Ok(grant):
                pass
            case result.Err(refusal):
                return self.refuse(refusal)
        # From here on a caller that leaves ends this task.
        call.start_watch()
        match self.dispatch.run(request):
            case result.Ok(reply):
                return reply
            case result.Err(refusal):
                if grant is not None and refusal.ran is outcomes.Ran.NO:
                    self.admission.credits.give_back(grant)
                return self.refuse(refusal)

    def _refused(self, call: calls.Call, refusal: outcomes.Refusal) -> calls.Reply:
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
