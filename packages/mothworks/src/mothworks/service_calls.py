"""Caller protocol ``/services/``: HTTP calls to declared services."""

import result

from mothworks import (
    caller_protocol,
    calls,
    catalogue,
    outcomes,
    plugins,
    requests,
)

#: Headers, as WSGI variables, that are not forwarded to a service.
UNFORWARDED_HEADERS = frozenset(
    (
        "HTTP_AUTHORIZATION",
        "HTTP_CONNECTION",
        "HTTP_EXPECT",
        "HTTP_HOST",
        "HTTP_KEEP_ALIVE",
        "HTTP_TE",
        "HTTP_TRAILER",
        "HTTP_TRANSFER_ENCODING",
        "HTTP_UPGRADE",
        "HTTP_X_REQUEST_ID",
    )
)


@plugins.register(plugins.CALLER_PROTOCOL, "/services/")
class Services(caller_protocol.CallerProtocol):
    """Handles calls to ``/services/<name>/<path>``."""

    def handle(self, call: calls.Call, caller: catalogue.Caller) -> calls.Reply:
        """Handle one call; see :meth:`caller_protocol.CallerProtocol.handle`."""
        return self.run(call, caller)

    def decode_request(
        self, call: calls.Call, caller: catalogue.Caller, body: bytes
    ) -> result.Result[requests.Request, outcomes.Refusal]:
        """Return the request to forward to the service."""
        # The path is forwarded undecoded. A decoded line break in it would
        # inject a second request into the connection to the service.
        raw_path = call.raw_path
        if not (raw_path.isascii() and raw_path.isprintable()):
            return result.Err(outcomes.invalid("the path is not plain ASCII"))
        name, _, subpath = raw_path.removeprefix("/services/").partition("/")
        service = self.configuration.index.service_by_name.get(name)
        if service is None or (caller.models and name not in caller.models):
            message = f"no service is named {name!r:.80}"
            return result.Err(outcomes.invalid(message, "service_not_found", 404))
        query = call.environ.get("QUERY_STRING")
        path = f"/{subpath}?{query}" if query else f"/{subpath}"
        return call.deadline().map(
            lambda deadline: requests.Request(
                id=call.id,
                caller=caller,
                target=name,
                model="",
                method=call.method,
                path=path,
                headers=_forwarded_headers(call),
                body=body,
                stream=False,
                repeatable=service.repeatable,
                received_at=call.received_at,
                first_token_deadline=call.received_at + caller.first_token_ms / 1000,
                idempotency_key=call.header("idempotency-key"),
                deadline=deadline,
            )
        )


def _forwarded_headers(call: calls.Call) -> tuple[tuple[str, str], ...]:
    forwarded = [
        (name.removeprefix("HTTP_").replace("_", "-").title(), value)
        for name, value in call.environ.items()
        if name.startswith("HTTP_") and name not in UNFORWARDED_HEADERS
    ]
    content_type = call.environ.get("CONTENT_TYPE")
    if content_type:
        forwarded.append(("Content-Type", content_type))
    return tuple(forwarded)
