"""Endpoint plug-in ``vllm``: engines with vLLM's HTTP interface.

Requests go to ``/v1/chat/completions`` and ``/v1/completions``. Residents,
load and orders use the agent's pages ``/state`` and ``/orders`` beside them.
"""

import attrs
import orjson
import result

from mothworks import catalogue, endpoints, plugins, requests, transport

#: Header that asks an engine to leave out events that the caller has, and by
#: which the engine confirms it.
RESUME_OFFSET = "X-Resume-Offset"
#: Statuses by which an engine refuses a request before running it: too busy,
#: leaving, or the model was unloaded since the placement map was read.
REFUSED_STATUSES = frozenset((404, 429, 503))
#: Lowest status by which an engine says that it failed on a request.
LOWEST_ERROR = 500


@plugins.register(plugins.ENDPOINT, "vllm")
class Vllm(endpoints.Adapter):
    """Speaks to vLLM-style engines."""

    resumes = True
    preempts = True

    def __init__(self):
        self.transport = transport.Transport()

    def send(
        self, endpoint: catalogue.Endpoint, request: requests.Request, offset: int = 0
    ) -> result.Result[endpoints.Answer, endpoints.SendFailure]:
        """Send a request; see :meth:`endpoints.Adapter.send`."""
        headers = [*request.headers, ("X-Request-Id", request.id)]
        if offset:
            headers.append((RESUME_OFFSET, str(offset)))
        sent = self.transport.exchange(
            (endpoint.address, endpoint.port),
            request.method,
            request.path,
            headers,
            _with_priority(request) if endpoint.priorities else request.body,
            transport.Sending(fresh=not request.repeatable),
        )
        return sent.and_then(_unless_refused).and_then(
            lambda answer: _resumed(answer, offset)
        )

    def report(
        self, endpoint: catalogue.Endpoint
    ) -> result.Result[endpoints.Report, str]:
        """Ask for residents and load; see :meth:`endpoints.Adapter.report`."""
        asked = self.transport.exchange(
            (endpoint.address, endpoint.port), "GET", "/state", (), b""
        )
        return asked.map_err(lambda failure: failure.reason).and_then(_report)

    def order(
        self, endpoint: catalogue.Endpoint, order: endpoints.Order
    ) -> result.Result[None, endpoints.OrderFailure]:
        """Send one copy of an order; see :meth:`endpoints.Adapter.order`."""
        sent = self.transport.exchange(
            (endpoint.address, endpoint.port),
            "POST",
            "/orders",
            (("Content-Type", "application/json"),),
            orjson.dumps(attrs.asdict(order)),
        )
        return sent.map_err(
            lambda failure: endpoints.OrderUnknown(failure.reason)
        ).and_then(_order_outcome)


def _with_priority(request: requests.Request) -> bytes:
    """Return the body with the class of the work as the engine's priority.

    It goes last, where it also overrides one that the caller has written.
    """
    rank = request.caller.urgency.rank
    body = request.body.rstrip()
    return body.removesuffix(b"}") + b',"priority":%d}' % rank


def _unless_refused(answer: transport.HttpAnswer):
    if answer.status < LOWEST_ERROR and answer.status not in REFUSED_STATUSES:
        return result.Ok(answer)
    answer.close()
    refused = answer.status in REFUSED_STATUSES
    verb = "refused" if refused else "failed"
    reason = f"the endpoint {verb} with status {answer.status}"
    return result.Err(endpoints.SendFailure(reason, True, refused, answered=True))


def _resumed(answer: transport.HttpAnswer, offset: int):
    """Check that an engine that was asked to resume says that it does.

    One that ignores the header begins anew, and the caller would read the
    start of the answer twice.
    """
    if not offset:
        return result.Ok(answer)
    confirmed = dict(answer.headers).get(RESUME_OFFSET)
    if answer.status == 200 and confirmed == str(offset):
        return result.Ok(answer)
    answer.close()
    reason = "the endpoint cannot continue the stream"
    return result.Err(endpoints.SendFailure(reason, sent=True, refused=True))


def _report(answer: transport.HttpAnswer) -> result.Result[endpoints.Report, str]:
    try:
        body = b"".join(answer.chunks())
    except transport.FAILURES as error:
        return result.Err(str(error))
    if answer.status != 200:
        return result.Err(f"status {answer.status}")
    try:
        state = orjson.loads(body)
        return result.Ok(
            endpoints.Report(
                _residents(state["residents"]),
                state["running"],
                state["waiting"],
                state["draining"],
                _residents(state.get("loading", [])),
            )
        )
    except (ValueError, KeyError, TypeError) as error:
        return result.Err(f"the endpoint's state is not understood: {error!r}")


def _residents(items: list[dict]) -> tuple[endpoints.Resident, ...]:
    return tuple(
        endpoints.Resident(item["name"], item["version"], item["memory_mb"])
        for item in items
    )


def _order_outcome(
    answer: transport.HttpAnswer,
) -> result.Result[None, endpoints.OrderFailure]:
    try:
        body = b"".join(answer.chunks())
    except transport.FAILURES as error:
        return result.Err(endpoints.OrderUnknown(str(error)))
    if answer.status != 200:
        return result.Err(endpoints.OrderUnknown(f"status {answer.status}"))
    try:
        reply = orjson.loads(body)
        outcome = reply["outcome"]
        highest_fence = int(reply["highest_fence"])
    except (ValueError, KeyError, TypeError) as error:
        return result.Err(endpoints.OrderUnknown(f"not understood: {error!r}"))
    match outcome:
        case "done":
            return result.Ok(None)
        case "fenced":
            reason = "the fencing number is old"
            return result.Err(endpoints.OrderRefused(reason, highest_fence))
        case "failed":
            return result.Err(endpoints.OrderRefused("the endpoint failed"))
        case _:
            return result.Err(endpoints.OrderUnknown(f"outcome {outcome}"))
