"""Fake vLLM-style engine with continuous batching.

The duration of a step grows with the batch, prompts are prefilled one at a
time, and accelerator memory is accounted for, so that tests detect
overcommitment. Every run is recorded for history checks.
"""

import collections.abc
import hashlib
import re
import time

import attrs
import gevent
import gevent.lock
import orjson

from mothworks_fakes import engine_batch, engine_memory, gates, web

#: Bytes of the request body that count as one prompt token.
BYTES_PER_TOKEN = 4
#: A request whose body contains this text crashes the engine that runs it.
POISON = b"poison"
#: Matches the priority field that a node appends to a caller's body.
PRIORITY_SUFFIX = re.compile(rb',"priority":\d+}$')


@attrs.define
class Speed:
    """Simulated performance of an engine.

    :param prefill_tokens_per_s: prefill throughput; prompts are prefilled one at a
        time.
    :param step_s: duration of a decoding step with one request, seconds.
    :param step_s_per_request: time that each further request adds, seconds.
    :param batch: maximum batch size; further requests wait in the engine.
    :param load_mb_per_s: rate of loading weights, MB/s.
    """

    prefill_tokens_per_s: float = 50_000.0
    step_s: float = 0.01
    step_s_per_request: float = 0.0003
    batch: int = 16
    load_mb_per_s: float = 100_000.0


@attrs.frozen
class Run:
    """A request that the engine started to run.

    :param request_id: the request id that the node sent.
    :param digest: hash of the caller's body, without the node's priority.
    """

    request_id: str
    digest: str


class Engine(web.Fake):
    """One engine.

    :param memory_mb: accelerator memory, MB.
    :param fencing: whether orders with a stale fencing token are rejected.
    :param speed: its simulated performance.
    :param port: TCP port; 0 lets the kernel choose.
    """

    def __init__(
        self,
        memory_mb: int,
        fencing: bool = True,
        speed: Speed | None = None,
        port: int = 0,
    ):
        super().__init__(port)
        self.memory_mb = memory_mb
        self.memory = engine_memory.EngineMemory(memory_mb, fencing)
        self.speed = speed or Speed()
        #: Limits concurrent loads from the weight store; None for no limit.
        self.load_slots: gevent.lock.BoundedSemaphore | None = None
        self.order_ids: list[str] = []
        self.batch = engine_batch.Batch(self.speed.batch)
        self.prefill = gevent.lock.BoundedSemaphore(1)
        self.draining = False
        self.runs: list[Run] = []
        self.crashes = 0
        #: Time that a crashed engine takes to restart, seconds.
        self.restart_s = 0.0
        self.down_until = 0.0

    def is_exempt(self, path: str) -> bool:
        """Return whether faults skip a path; see :meth:`web.Fake.is_exempt`."""
        return path == "/faults"

    def serve(self, method: str, path: str, environ: dict) -> web.Reply:
        """Handle one call; see :meth:`web.Fake.serve`."""
        if time.monotonic() < self.down_until:
            raise web.BreakConnection
        match (method, path):
            case ("GET", "/health"):
                return web.json_reply({})
            case ("GET", "/state"):
                return web.json_reply(self._state())
            case ("GET", "/metrics"):
                return web.Reply("200 OK", [], [self._metrics()])
            case ("POST", "/orders"):
                return self._order(orjson.loads(environ["wsgi.input"].read()))
            case ("POST", "/v1/completions" | "/v1/chat/completions"):
                return self._generate(path, environ)
        return web.json_reply({}, "404 Not Found")

    def place(self, name: str, memory_mb: int, version: str = "1") -> None:
        """Make a model resident immediately, without the duration of a load.

        :param name: the model.
        :param memory_mb: its memory, MB.
        :param version: its version.
        """
        self.memory.place(engine_memory.Item(name, version, memory_mb))

    @property
    def peak_memory_mb(self) -> int:
        """Return the peak of allocated memory, MB."""
        return self.memory.peak_mb

    @property
    def running(self) -> int:
        """Return the number of requests in the batch."""
        return len(self.batch.running)

    def restart(self) -> None:
        """Drop every connection and all memory, as when the process restarts."""
        self.memory.restart()
        self.crash()

    def _state(self) -> dict:
        return {
            "residents": [
                attrs.asdict(item) for item in self.memory.resident_by_key.values()
            ],
            "loading": [
                attrs.asdict(item) for item in self.memory.loading_by_key.values()
            ],
            "running": self.running,
            "waiting": len(self.batch.waiting),
            "draining": self.draining,
            "memory_mb": self.memory_mb,
            "highest_fence": self.memory.highest_fence,
            "role": self.memory.role,
        }

    def _metrics(self) -> bytes:
        return (
            f"vllm:num_requests_running {self.running}\n"
            f"vllm:num_requests_waiting {len(self.batch.waiting)}\n"
        ).encode()

    def _order(self, fields: dict) -> web.Reply:
        item = engine_memory.Item(
            fields["name"], fields["version"], fields["memory_mb"]
        )
        order = engine_memory.Order(fields["id"], fields["kind"], item, fields["fence"])
        self.order_ids.append(order.id)
        already_loading = item.key in self.memory.loading_by_key
        reply = self.memory.take(order)
        if reply is engine_memory.Reply.LOADING and not already_loading:
            gevent.spawn(self._finish_load, item)
        answer = {"outcome": reply, "highest_fence": self.memory.highest_fence}
        return web.json_reply(answer)

    def _finish_load(self, item: engine_memory.Item) -> None:
        duration_s = item.memory_mb / self.speed.load_mb_per_s
        if self.load_slots is None:
            gevent.sleep(duration_s)
        else:
            with self.load_slots:
                gevent.sleep(duration_s)
        self.memory.finish(item.key)

    def _generate(self, path: str, environ: dict) -> web.Reply:
        body = environ["wsgi.input"].read()
        request = orjson.loads(body)
        model = request["model"]
        if self.draining:
            return web.json_reply({"error": "draining"}, "503 Service Unavailable")
        if not self.memory.versions(model):
            message = f"{model} is not loaded"
            return web.json_reply({"error": message}, "404 Not Found")
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        # Strip the priority that the node appended, to get the caller's own body.
        body = PRIORITY_SUFFIX.sub(b"}", body)
        digest = hashlib.sha256(body).hexdigest()[:12]
        self.gates.reach(gates.Step.SENT)
        self.runs.append(Run(request_id, digest))
        if POISON in body:
            self.crash()
        token_limit = request.get("max_tokens") or 16
        offset = int(environ.get("HTTP_X_RESUME_OFFSET", 0))
        prompt_tokens = len(body) // BYTES_PER_TOKEN
        priority = request.get("priority") or 0
        tokens = self._tokens(prompt_tokens, digest, token_limit, offset, priority)
        chat = path.endswith("chat/completions")
        if request.get("stream"):
            events = self._stream(
                tokens, request_id, model, chat, _includes_usage(request)
            )
            headers = [("Content-Type", "text/event-stream")]
            headers += [("X-Resume-Offset", str(offset))] if offset else []
            return web.Reply("200 OK", headers, events)
        text = "".join(tokens)
        return web.json_reply(_completion(text, token_limit, request_id, model, chat))

    def crash(self) -> None:
        """Drop every connection, as when the engine's process dies."""
        self.crashes += 1
        self.down_until = time.monotonic() + self.restart_s
        self.break_connections()
        gevent.sleep(0)

    def _tokens(
        self,
        prompt_tokens: int,
        digest: str,
        token_limit: int,
        offset: int,
        priority: int,
    ) -> collections.abc.Iterator[str]:
        """Yield tokens derived from the request, paced by the batch."""
        request = self.batch.add(priority)
        try:
            request.scheduled.wait()
            self._prefill(prompt_tokens)
            for number in range(offset, token_limit):
                if number == token_limit // 2:
                    self.gates.reach(gates.Step.MID_ANSWER)
                self._step(request, prompt_tokens + number)
                yield f"{digest}-{number} "
        finally:
            self.batch.remove(request)

    def _prefill(self, tokens: int) -> None:
        with self.prefill:
            gevent.sleep(tokens / self.speed.prefill_tokens_per_s)

    def _step(self, request: engine_batch.EngineRequest, context_tokens: int) -> None:
        request.scheduled.wait()
        if request.preempted:
            request.preempted = False
            self._prefill(context_tokens)
        other_requests = max(0, self.running - 1)
        gevent.sleep(self.speed.step_s + self.speed.step_s_per_request * other_requests)

    def _stream(
        self,
        tokens: collections.abc.Iterator[str],
        request_id: str,
        model: str,
        chat: bool,
        include_usage: bool,
    ) -> collections.abc.Iterator[bytes]:
        token_count = 0
        event = {"id": request_id, "created": 0, "model": model}
        for token in tokens:
            choice = {"index": 0, "finish_reason": None}
            choice.update({"delta": {"content": token}} if chat else {"text": token})
            event = {
                "id": request_id,
                "object": "chat.completion.chunk" if chat else "text_completion",
                "created": 0,
                "model": model,
                "choices": [choice],
            }
            token_count += 1
            yield b"data: " + orjson.dumps(event) + b"\n\n"
        if include_usage:
            event = {**event, "choices": [], "usage": _usage(token_count)}
            yield b"data: " + orjson.dumps(event) + b"\n\n"
        self.gates.reach(gates.Step.BEFORE_END)
        yield b"data: [DONE]\n\n"


def _completion(
    text: str, token_count: int, request_id: str, model: str, chat: bool
) -> dict:
    choice = {"index": 0, "finish_reason": "length"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": request_id,
        "object": "chat.completion" if chat else "text_completion",
        "created": 0,
        "model": model,
        "choices": [choice],
        "usage": _usage(token_count),
    }


def _includes_usage(request: dict) -> bool:
    options = request.get("stream_options")
    return isinstance(options, dict) and bool(options.get("include_usage"))


def _usage(token_count: int) -> dict:
    return {
        "prompt_tokens": 1,
        "completion_tokens": token_count,
        "total_tokens": token_count + 1,
    }
