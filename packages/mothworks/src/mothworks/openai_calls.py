"""Caller protocol ``/v1/``: OpenAI's chat, completions and model list APIs."""

import collections.abc

import attrs
import orjson
import result

from mothworks import (
    answer_recording,
    caller_protocol,
    calls,
    catalogue,
    outcomes,
    plugins,
    requests,
)

#: Paths that generate tokens; callers and engines use the same ones.
COMPLETION_PATHS = frozenset(("/v1/chat/completions", "/v1/completions"))
#: Path prefix of the resource that describes one model.
MODEL_PATH_PREFIX = "/v1/models/"
#: Tokens that a request is assumed to generate if it sets no maximum.
DEFAULT_MAX_TOKENS = 256


@attrs.frozen
class RequestFields:
    """The fields of a request's body that the node itself uses.

    :param model: name of the requested model or adapter.
    :param stream: whether the response is streamed.
    :param max_tokens: maximum number of tokens to generate.
    :param resumable: whether every run generates the same tokens.
    """

    model: str
    stream: bool
    max_tokens: int
    resumable: bool


@plugins.register(plugins.CALLER_PROTOCOL, "/v1/")
class OpenAi(caller_protocol.CallerProtocol):
    """Handles calls to the paths under ``/v1/``."""

    def handle(self, call: calls.Call, caller: catalogue.Caller) -> calls.Reply:
        """Handle one call; see :meth:`caller_protocol.CallerProtocol.handle`."""
        match (call.method, call.path):
            case ("GET", "/v1/models"):
                return self._list_models(caller)
            case ("GET", path) if path.startswith(MODEL_PATH_PREFIX):
                return self._describe_model(
                    caller, path.removeprefix(MODEL_PATH_PREFIX)
                )
            case ("POST", path) if path in COMPLETION_PATHS:
                return self.run(call, caller)
            case (_, path) if path in COMPLETION_PATHS or path == "/v1/models":
                return calls.refuse(
                    outcomes.invalid("method not allowed", "method_not_allowed", 405)
                )
            case (_, path):
                return calls.refuse(
                    outcomes.invalid(f"no resource at {path}", "not_found", 404)
                )

    def _list_models(self, caller: catalogue.Caller) -> calls.Reply:
        index = self.configuration.index
        names = [*index.model_by_name, *index.adapter_by_name]
        data = [_model_entry(name) for name in names if _may_call(caller, name)]
        return calls.json_reply({"object": "list", "data": data})

    def _describe_model(self, caller: catalogue.Caller, name: str) -> calls.Reply:
        index = self.configuration.index
        declared = name in index.model_by_name or name in index.adapter_by_name
        if not declared or not _may_call(caller, name):
            return calls.refuse(_model_not_found(name))
        return calls.json_reply(_model_entry(name))

    def response_body(
        self, running: answer_recording.AnsweredRequest
    ) -> collections.abc.Iterable[bytes] | answer_recording.AnsweredRequest:
        """Return the body; an interrupted stream ends with an error event."""
        return _ErrorTerminatedStream(running) if running.stream else running

    def decode_request(
        self, call: calls.Call, caller: catalogue.Caller, body: bytes
    ) -> result.Result[requests.Request, outcomes.Refusal]:
        """Decode a call's request; checks only the fields that the node uses."""
        match _parse_fields(body):
            case result.Ok(fields):
                pass
            case error:
                return error
        index = self.configuration.index
        adapter = index.adapter_by_name.get(fields.model)
        model = adapter.model if adapter else fields.model
        if model not in index.model_by_name or not _may_call(caller, fields.model):
            return result.Err(_model_not_found(fields.model))
        return call.deadline().map(
            lambda deadline: requests.Request(
                id=call.id,
                caller=caller,
                target=fields.model,
                model=model,
                method="POST",
                path=call.path,
                headers=(calls.JSON,),
                body=body,
                stream=fields.stream,
                repeatable=True,
                received_at=call.received_at,
                first_token_deadline=call.received_at + caller.first_token_ms / 1000,
                tokens=fields.max_tokens,
                idempotency_key=call.header("idempotency-key"),
                deadline=deadline,
                resumable=fields.resumable,
            )
        )


def _parse_fields(body: bytes) -> result.Result[RequestFields, outcomes.Refusal]:
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        message = f"the body is not valid JSON: {error}"
        return result.Err(outcomes.invalid(message, "invalid_json"))
    if not isinstance(value, dict):
        return result.Err(outcomes.invalid("the body is not a JSON object"))
    model = value.get("model")
    if not isinstance(model, str):
        return result.Err(outcomes.invalid("'model' must be a string"))
    stream = value.get("stream")
    if stream not in (None, True, False):
        return result.Err(outcomes.invalid("'stream' must be true or false"))
    max_tokens = value.get("max_completion_tokens", value.get("max_tokens"))
    if max_tokens is None:
        max_tokens = DEFAULT_MAX_TOKENS
    if type(max_tokens) is not int or max_tokens < 1:
        return result.Err(
            outcomes.invalid("'max_tokens' must be a whole number above 0")
        )
    # Sampling is reproducible only with a seed or at temperature 0.
    resumable = type(value.get("seed")) is int or value.get("temperature") == 0
    return result.Ok(RequestFields(model, bool(stream), max_tokens, resumable))


def _model_entry(name: str) -> dict:
    return {"id": name, "object": "model", "created": 0, "owned_by": "mothworks"}


def _model_not_found(name: str) -> outcomes.Refusal:
    message = f"no model is named {name!r:.80}"
    return outcomes.invalid(message, "model_not_found", 404)


def _may_call(caller: catalogue.Caller, name: str) -> bool:
    return not caller.models or name in caller.models


class _ErrorTerminatedStream:
    """A stream that ends with an error event if the response is interrupted.

    A stream that ends without ``[DONE]`` and without an error looks complete
    to a caller that does not check for ``[DONE]``.

    :param running: the running request.
    """

    def __init__(self, running: answer_recording.AnsweredRequest):
        self.running = running
        self.close = running.close

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        try:
            yield from self.running
        except OSError as error:
            message = f"the response was interrupted: {error}"
            refusal = outcomes.unknown(message, "broken_stream")
            yield b"data: " + refusal.body() + b"\n\n"
