"""Caller protocol ``/services/``: calls to the plain services."""

import result

from mothworks import (
    caller_protocol,
    calls,
    catalogue,
    outcomes,
    plugins,
    requests,
)

#: Headers that are not passed on to a service.
WITHHELD = frozenset(
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
    """Serves ``/services/<name>/<path>``."""

    def answer(self, call: calls.Call, caller: catalogue.Caller) -> calls.Reply:
        """Answer one call; see :meth:`caller_protocol.CallerProtocol.answer`."""
        return self.run(call, caller)

    def read(
        self, call: calls.Call, caller: catalogue.Caller, body: bytes
    ) -> result.Result[requests.Request, outcomes.Refusal]:
        """Return a call's request to its service."""
        # The path goes on as it came: decoded, a line break inside it would
        # start a request of its own at the service.
        raw = call.raw_path
        if not (raw.isascii() and raw.isprintable()):
            return result.Err(outcomes.invalid("the path is not plain ASCII"))
        name, _, rest = raw.removeprefix("/services/").partition("/")
        service = self.configuration.index.service_by_name.get(name)
        if service is None or (caller.models and name not in caller.models):
            message = f"no service is named {name!r:.80}"
            return result.Err(outcomes.invalid(message, "service_not_found", 404))
        query = call.environ.get("QUERY_STRING")
        path = f"/{rest}?{query}" if query else f"/{rest}"
        return call.deadline().map(
            lambda deadline: requests.Request(
                id=call.id,
                caller=caller,
                target=name,
                model="",
                method=call.method,
                path=path,
                headers=_headers(call),
                body=body,
                stream=False,
                repeatable=service.repeatable,
                arrived=call.arrived,
                first_token_deadline=call.arrived + caller.first_token_ms / 1000,
                idempotency_key=call.header("idempotency-key"),
                deadline=deadline,
            )
        )


def _headers(call: calls.Call) -> tuple[tuple[str, str], ...]:
    passed = [
        (name.removeprefix("HTTP_").replace("_", "-").title(), value)
        for name, value in call.environ.items()
        if name.startswith("HTTP_") and name not in WITHHELD
    ]
    content_type = call.environ.get("CONTENT_TYPE")
    if content_type:
        passed.append(("Content-Type", content_type))
    return tuple(passed)
