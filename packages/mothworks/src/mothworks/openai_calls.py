"""Caller protocol ``/v1/``: OpenAI's chat, completions and model list."""

import collections.abc

import attrs
import orjson
import result

from mothworks import (
    caller_protocol,
    calls,
    catalogue,
    outcomes,
    plugins,
    recorded,
    requests,
)

#: Paths that generate, the same towards callers and engines.
GENERATING_PATHS = frozenset(("/v1/chat/completions", "/v1/completions"))
#: What comes before a model's name in the path of its own page.
MODEL_PATH = "/v1/models/"
#: Tokens assumed where the caller names no maximum.
DEFAULT_TOKENS = 256


@attrs.frozen
class Fields:
    """The fields of a request's body that decide its way.

    :param model: the model or adapter that is asked for.
    :param stream: whether the answer is streamed.
    :param tokens: most tokens to generate.
    :param resumable: whether each run generates the same tokens.
    """

    model: str
    stream: bool
    tokens: int
    resumable: bool


@plugins.register(plugins.CALLER_PROTOCOL, "/v1/")
class OpenAi(caller_protocol.CallerProtocol):
    """Serves the paths below ``/v1/``."""

    def answer(self, call: calls.Call, caller: catalogue.Caller) -> calls.Reply:
        """Answer one call; see :meth:`caller_protocol.CallerProtocol.answer`."""
        match (call.method, call.path):
            case ("GET", "/v1/models"):
                return self._models(caller)
            case ("GET", path) if path.startswith(MODEL_PATH):
                return self._model(caller, path.removeprefix(MODEL_PATH))
            case ("POST", path) if path in GENERATING_PATHS:
                return self.run(call, caller)
            case (_, path) if path in GENERATING_PATHS or path == "/v1/models":
                return calls.refuse(
                    outcomes.invalid("method not allowed", "method_not_allowed", 405)
                )
            case (_, path):
                return calls.refuse(
                    outcomes.invalid(f"nothing is at {path}", "not_found", 404)
                )

    def _models(self, caller: catalogue.Caller) -> calls.Reply:
        index = self.configuration.index
        names = [*index.model_by_name, *index.adapter_by_name]
        data = [_listed(name) for name in names if _allowed(caller, name)]
        return calls.json_reply({"object": "list", "data": data})

    def _model(self, caller: catalogue.Caller, name: str) -> calls.Reply:
        index = self.configuration.index
        known = name in index.model_by_name or name in index.adapter_by_name
        if not known or not _allowed(caller, name):
            return calls.refuse(_no_model(name))
        return calls.json_reply(_listed(name))

    def body_of(
        self, running: recorded.Running
    ) -> collections.abc.Iterable[bytes] | recorded.Running:
        """Return an answer; a stream that breaks off ends with an error event."""
        return _EndedStream(running) if running.stream else running

    def read(
        self, call: calls.Call, caller: catalogue.Caller, body: bytes
    ) -> result.Result[requests.Request, outcomes.Refusal]:
        """Return a call's request, checked as far as its way depends on it."""
        match _fields(body):
            case result.Ok(fields):
                pass
            case error:
                return error
        index = self.configuration.index
        adapter = index.adapter_by_name.get(fields.model)
        model = adapter.model if adapter else fields.model
        if model not in index.model_by_name or not _allowed(caller, fields.model):
            return result.Err(_no_model(fields.model))
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
                arrived=call.arrived,
                first_token_deadline=call.arrived + caller.first_token_ms / 1000,
                tokens=fields.tokens,
                idempotency_key=call.header("idempotency-key"),
                deadline=deadline,
                resumable=fields.resumable,
            )
        )


def _fields(body: bytes) -> result.Result[Fields, outcomes.Refusal]:
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
    tokens = value.get("max_completion_tokens", value.get("max_tokens"))
    if tokens is None:
        tokens = DEFAULT_TOKENS
    if type(tokens) is not int or tokens < 1:
        return result.Err(
            outcomes.invalid("'max_tokens' must be a whole number above 0")
        )
    # Sampling is repeated exactly only from a seed or without temperature.
    resumable = type(value.get("seed")) is int or value.get("temperature") == 0
    return result.Ok(Fields(model, bool(stream), tokens, resumable))


def _listed(name: str) -> dict:
    return {"id": name, "object": "model", "created": 0, "owned_by": "mothworks"}


def _no_model(name: str) -> outcomes.Refusal:
    message = f"no model is named {name!r:.80}"
    return outcomes.invalid(message, "model_not_found", 404)


def _allowed(caller: catalogue.Caller, name: str) -> bool:
    return not caller.models or name in caller.models


class _EndedStream:
    """A stream that ends with an error event where the answer breaks off.

    An answer that ends without ``[DONE]`` and without an error would look
    complete to a caller that does not check.

    :param running: the running request.
    """

    def __init__(self, running: recorded.Running):
        self.running = running
        self.close = running.close

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        try:
            yield from self.running
        except OSError as error:
            message = f"the answer broke off: {error}"
            refusal = outcomes.unknown(message, "broken_stream")
            yield b"data: " + refusal.body() + b"\n\n"
