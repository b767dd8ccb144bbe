"""Endpoint plug-in ``vllm``: engines with vLLM's HTTP interface.

Requests use ``/v1/chat/completions`` and ``/v1/completions``. Reports of
residents and load, and orders, use ``/state`` and ``/orders`` of the engine's
agent, at the same address and port.
"""

import attrs
import orjson
import result

from mothworks import (
    catalogue,
    endpoints,
    header_values,
    plugins,
    requests,
    transport,
)

#: Header that requests a stream from an event offset; the engine confirms the
#: offset in the same response header.
RESUME_OFFSET_HEADER = "X-Resume-Offset"
#: Statuses by which an engine refuses a request before running it: overloaded,
#: draining, or the model was unloaded since the placement map was read.
REFUSED_STATUSES = frozenset((404, 429, 503))
#: Lowest status that reports a failure of the engine.
MIN_ERROR_STATUS = 500


@plugins.register(plugins.ENDPOINT, "vllm")
class Vllm(endpoints.Adapter):
    """Implements the protocol of vLLM-style engines."""

    can_resume = True
    can_preempt = True

    def __init__(self):
        self.transport = transport.Transport()

    def send(
        self, endpoint: catalogue.Endpoint, request: requests.Request, offset: int = 0
    ) -> result.Result[endpoints.Answer, endpoints.SendFailure]:
        """Send a request; see :meth:`endpoints.Adapter.send`."""
        headers = [*request.headers, ("X-Request-Id", request.id)]
        if offset:
            headers.append((RESUME_OFFSET_HEADER, str(offset)))
        response = self.transport.exchange(
            (endpoint.address, endpoint.port),
            request.method,
            request.path,
            headers,
            _with_priority(request) if endpoint.priorities else request.body,
            transport.SendOptions(new_connection=not request.repeatable),
        )
        return response.and_then(_check_refusal).and_then(
            lambda answer: _check_resumption(answer, offset)
        )

    def report(
        self, endpoint: catalogue.Endpoint
    ) -> result.Result[endpoints.Report, str]:
        """Request residents and load; see :meth:`endpoints.Adapter.report`."""
        response = self.transport.exchange(
            (endpoint.address, endpoint.port), "GET", "/state", (), b""
        )
        return response.map_err(lambda failure: failure.reason).and_then(_parse_report)

    def order(
        self, endpoint: catalogue.Endpoint, order: endpoints.Order
    ) -> result.Result[None, endpoints.OrderFailure]:
        """Send one copy of an order; see :meth:`endpoints.Adapter.order`."""
        response = self.transport.exchange(
            (endpoint.address, endpoint.port),
            "POST",
            "/orders",
            (("Content-Type", "application/json"),),
            orjson.dumps(attrs.asdict(order)),
        )
        return response.map_err(
            lambda failure: endpoints.OrderUnknown(failure.reason)
        ).and_then(_parse_order_outcome)


def _with_priority(request: requests.Request) -> bytes:
    """Return the body with the caller's urgency as the engine's priority.

    The field is appended last, so that it overrides one set by the caller.
    """
    rank = request.caller.urgency.rank
    body = request.body.rstrip()
    return body.removesuffix(b"}") + b',"priority":%d}' % rank


def _check_refusal(answer: transport.HttpAnswer):
    if answer.status < MIN_ERROR_STATUS and answer.status not in REFUSED_STATUSES:
        return result.Ok(answer)
    answer.release()
    refused = answer.status in REFUSED_STATUSES
    verb = "refused" if refused else "failed"
    reason = f"the endpoint {verb} with status {answer.status}"
    retry_after_s = 0.0
    if refused:
        match header_values.decode_decimal(answer.header("retry-after")):
            case result.Ok(seconds):
                retry_after_s = seconds or 0.0
            case result.Err(problem):
                reason += f"; its Retry-After is {problem}"
    return result.Err(
        endpoints.SendFailure(
            reason, True, refused, answered=True, retry_after_s=retry_after_s
        )
    )


def _check_resumption(answer: transport.HttpAnswer, offset: int):
    """Check that the engine confirms a requested resumption.

    An engine that ignores the header restarts the stream, and the caller would
    receive the start of the answer twice.
    """
    if not offset:
        return result.Ok(answer)
    confirmed_offset = dict(answer.headers).get(RESUME_OFFSET_HEADER)
    if answer.status == 200 and confirmed_offset == str(offset):
        return result.Ok(answer)
    answer.close()
    reason = "the endpoint did not resume the stream"
    return result.Err(
        endpoints.SendFailure(reason, may_have_arrived=True, refused=True)
    )


def _parse_report(answer: transport.HttpAnswer) -> result.Result[endpoints.Report, str]:
    match transport.read_body(answer):
        case result.Ok(body):
            pass
        case error:
            return error
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
        return result.Err(f"the endpoint's state cannot be parsed: {error!r}")


def _residents(items: list[dict]) -> tuple[endpoints.Resident, ...]:
    return tuple(
        endpoints.Resident(item["name"], item["version"], item["memory_mb"])
        for item in items
    )


def _parse_order_outcome(
    answer: transport.HttpAnswer,
) -> result.Result[None, endpoints.OrderFailure]:
    match transport.read_body(answer):
        case result.Ok(body):
            pass
        case result.Err(reason):
            return result.Err(endpoints.OrderUnknown(reason))
    if answer.status != 200:
        return result.Err(endpoints.OrderUnknown(f"status {answer.status}"))
    try:
        reply = orjson.loads(body)
        outcome = reply["outcome"]
        highest_fence = int(reply["highest_fence"])
    except (ValueError, KeyError, TypeError) as error:
        return result.Err(
            endpoints.OrderUnknown(f"the reply cannot be parsed: {error!r}")
        )
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
