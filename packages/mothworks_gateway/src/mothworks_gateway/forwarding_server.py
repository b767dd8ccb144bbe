"""Forwarding server: runs requests that peers without a path to endpoints forward.

The forwarding VM has authenticated the caller, acquired the request's credit and
counted it; this VM chooses the endpoint, waits and retries as for its own requests.
"""

import collections.abc
import time

import attrs
import result

from mothworks import calls, connections, kernel, outcomes, serving, settings
from mothworks_gateway import (
    caller_request,
    client_accounts,
    declaration_types,
    declarations,
    dispatch,
    endpoint_paths,
    forwarding_messages,
    forwarding_peers,
    request_progress,
)

#: Maximum number of connections of peers.
MAX_CONNECTIONS = 512
#: Bytes by which a forwarded request may exceed its body.
ENVELOPE_BYTES = 128 << 10
#: Status of a refusal because this VM can't run requests of peers.
UNABLE_STATUS = 503


class ForwardingServer(serving.Serving):
    """Serves forwarded requests over HTTP.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        config = node_kernel.settings
        self.declarations = node_kernel.get(declarations.Declarations)
        self.dispatch = node_kernel.get(dispatch.Dispatch)
        self.paths = node_kernel.get(endpoint_paths.EndpointPaths)
        self.peers = node_kernel.get(forwarding_peers.ForwardingPeers)
        self.listener = connections.Listener(
            (config.address, config.forwarding_port_or_default),
            self.application,
            self.limits,
        )
        self.listener.init_socket()

    def start(self) -> None:
        """Start to accept requests."""
        self.listener.start()
        self.peers.port = self.listener.server_port

    def drain(self, deadline: float) -> None:
        """Finish the requests in flight; new ones are refused meanwhile."""
        self.listener.drain(deadline)

    def stop(self) -> None:
        """Close the listener and all connections."""
        self.listener.stop(timeout=0)
        super().stop()

    @property
    def limits(self) -> settings.Limits:
        """Return the limits on forwarded requests."""
        limits = self.kernel.settings.limits
        return attrs.evolve(
            limits,
            body_bytes=limits.body_bytes + ENVELOPE_BYTES,
            connections=MAX_CONNECTIONS,
        )

    def reply(self, call: calls.Call) -> calls.Reply:
        """Run the request of one call, and return the reply."""
        received = call.body().and_then(_decode)
        if received.is_err():
            return self.refuse(received.err_value)
        message = received.ok_value
        if message.deployment != self.kernel.settings.deployment:
            return self.refuse(outcomes.invalid("another deployment's request"))
        call.start_watch()
        return _reply(*self._run(message))

    def _run(
        self, message: forwarding_messages.ForwardedRequest
    ) -> tuple[forwarding_messages.ForwardedHead, collections.abc.Iterable[bytes]]:
        """Run a request; returns the head and the body of the answer."""
        match self._parse(message):
            case result.Ok(request):
                pass
            case result.Err(reason):
                return _refuse_unable(reason), ()
        progress = request_progress.RequestProgress(
            tried=set(message.tried),
            may_have_run=message.may_have_run,
            forwarded=True,
            wait_until=time.monotonic() + message.may_wait_s,
        )
        match self.dispatch.run_forwarded(request, progress):
            case result.Ok(reply):
                head = forwarding_messages.ForwardedHead(
                    reply.status,
                    tuple(reply.headers),
                    may_have_run=progress.may_have_run,
                    tried=tuple(progress.tried),
                )
                return head, reply.body
            case result.Err(refusal):
                return self._refusal_head(refusal, progress), ()

    def _refusal_head(
        self,
        refusal: outcomes.Refusal,
        progress: request_progress.RequestProgress,
    ) -> forwarding_messages.ForwardedHead:
        return forwarding_messages.ForwardedHead(
            refusal.status,
            refused=True,
            unable=self.paths.lost or self.kernel.draining,
            reason=refusal.message,
            retry_after=refusal.retry_after,
            may_have_run=refusal.ran is not outcomes.Ran.NO,
            tried=tuple(progress.tried),
        )

    def _parse(
        self, message: forwarding_messages.ForwardedRequest
    ) -> result.Result[caller_request.CallerRequest, str]:
        """Return the request; or why this VM can't run it."""
        if self.kernel.draining:
            return result.Err("stopping")
        if self.paths.lost:
            return result.Err("no path to endpoints")
        declaration = self.declarations.current
        if self.declarations.version < message.declaration_version:
            return result.Err("the declaration is older")
        host = message.host.partition(":")[0].lower()
        route = declaration.find(host, message.path.partition("?")[0])
        if route is None:
            return result.Err("no route matches")
        now = time.monotonic()
        return result.Ok(
            caller_request.CallerRequest(
                id=message.id,
                route=route,
                target=caller_request.Target(
                    self._service(route, message.service),
                    message.model,
                    message.adapter,
                    message.software_version,
                ),
                method=message.method,
                path=message.path,
                host=message.host,
                headers=forwarding_messages.pairs(message.headers),
                body=message.body,
                received_at=now - message.waited_s,
                deadline=now + message.left_s,
                declaration_version=declaration.version,
                prompt=tuple(
                    caller_request.PromptPart(*part) for part in message.prompt
                ),
                input_tokens=message.input_tokens,
                output_tokens=message.output_tokens,
                account=_account(message),
                after_event=message.after_event,
                resumes=message.resumes,
            )
        )

    def _service(self, route: declaration_types.Route, chosen: str) -> str:
        """Return the service that was chosen, if the route still has it."""
        if any(share.service == chosen for share in route.shares):
            return chosen
        return self.dispatch.endpoint_selection.service(route)


class _HeadAndBody:
    """A response's body: the head, then the bytes of the answer."""

    def __init__(
        self,
        head: forwarding_messages.ForwardedHead,
        body: collections.abc.Iterable[bytes],
    ):
        self.head = head
        self.body = body

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        yield forwarding_messages.encode_head(self.head)
        yield from self.body

    def close(self) -> None:
        """Close the answer, which cancels it if it is not complete."""
        close = getattr(self.body, "close", None)
        if close is not None:
            close()


def _reply(
    head: forwarding_messages.ForwardedHead, body: collections.abc.Iterable[bytes]
) -> calls.Reply:
    return calls.Reply(200, [], _HeadAndBody(head, body))


def _refuse_unable(reason: str) -> forwarding_messages.ForwardedHead:
    return forwarding_messages.ForwardedHead(
        UNABLE_STATUS, refused=True, unable=True, reason=reason
    )


def _decode(
    body: bytes,
) -> result.Result[forwarding_messages.ForwardedRequest, outcomes.Refusal]:
    return forwarding_messages.decode(
        body, forwarding_messages.ForwardedRequest
    ).map_err(outcomes.invalid)


def _account(
    message: forwarding_messages.ForwardedRequest,
) -> client_accounts.ClientAccount | None:
    """Return the account that the forwarding VM has authenticated."""
    if not message.account:
        return None
    return client_accounts.ClientAccount(message.account, frozenset(), message.urgency)
