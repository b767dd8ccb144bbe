"""Stand-in for a vLLM-style engine with continuous batching.

The time of a step grows with the batch, prompts are prefilled one at a time,
and accelerator memory is counted, so that overcommitment shows. Every run
is recorded for history checks.
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

#: Bytes of a prompt that count as one token.
BYTES_A_TOKEN = 4
#: A prompt with this text crashes the engine that runs it.
POISON = b"poison"
#: The priority that a node adds to a caller's body.
PRIORITY = re.compile(rb',"priority":\d+}$')


@attrs.define
class Speed:
    """How fast an engine is.

    :param prefill_tokens_per_s: prompt tokens a second, one prompt at a time.
    :param step_s: time of one decoding step of a batch of one, seconds.
    :param step_s_per_request: what each further request adds, seconds.
    :param batch: most requests in the batch; others wait in the engine.
    :param load_mb_per_s: rate of loading weights.
    """

    prefill_tokens_per_s: float = 50_000.0
    step_s: float = 0.01
    step_s_per_request: float = 0.0003
    batch: int = 16
    load_mb_per_s: float = 100_000.0


@attrs.frozen
class Run:
    """A request that the engine began to run.

    :param request_id: the id that the node sent.
    :param body_hash: hash of the request's body.
    """

    request_id: str
    body_hash: str


class Engine(web.Fake):
    """One engine.

    :param memory_mb: accelerator memory.
    :param fencing: whether orders with an old fencing number are refused.
    :param speed: how fast it is.
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
        #: Holds one place of the weight store during a load; None for no limit.
        self.store_places: gevent.lock.BoundedSemaphore | None = None
        self.order_ids: list[str] = []
        self.batch = engine_batch.Batch(self.speed.batch)
        self.prefill = gevent.lock.BoundedSemaphore(1)
        self.draining = False
        self.runs: list[Run] = []
        self.crashes = 0
        #: Time that a crashed engine takes to come back, seconds.
        self.restart_s = 0.0
        self.down_until = 0.0

    def immune(self, path: str) -> bool:
        """Return whether faults spare a path; see :meth:`web.Fake.immune`."""
        return path == "/faults"

    def serve(self, method: str, path: str, environ: dict) -> web.Reply:
        """Answer one call; see :meth:`web.Fake.serve`."""
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
        """Make a model resident at once, as if loaded long ago.

        :param name: the model.
        :param memory_mb: its memory.
        :param version: its version.
        """
        self.memory.place(engine_memory.Item(name, version, memory_mb))

    @property
    def peak_memory_mb(self) -> int:
        """Return the most memory ever taken, MB."""
        return self.memory.peak_mb

    @property
    def running(self) -> int:
        """Return the requests in the batch."""
        return len(self.batch.running)

    def restart(self) -> None:
        """Break every connection and lose all memory, as a new process does."""
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
        loads_already = item.key in self.memory.loading_by_key
        reply = self.memory.take(order)
        if reply is engine_memory.Reply.LOADING and not loads_already:
            gevent.spawn(self._finish_load, item)
        answer = {"outcome": reply, "highest_fence": self.memory.highest_fence}
        return web.json_reply(answer)

    def _finish_load(self, item: engine_memory.Item) -> None:
        duration_s = item.memory_mb / self.speed.load_mb_per_s
        if self.store_places is None:
            gevent.sleep(duration_s)
        else:
            with self.store_places:
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
        # The caller's own body, without what the node added to it.
        body = PRIORITY.sub(b"}", body)
        digest = hashlib.sha256(body).hexdigest()[:12]
        self.gates.pass_by(gates.Step.SENT)
        self.runs.append(Run(request_id, digest))
        if POISON in body:
            self.crash()
        wanted = request.get("max_tokens") or 16
        offset = int(environ.get("HTTP_X_RESUME_OFFSET", 0))
        prompt_tokens = len(body) // BYTES_A_TOKEN
        priority = request.get("priority") or 0
        tokens = self._tokens(prompt_tokens, digest, wanted, offset, priority)
        chat = path.endswith("chat/completions")
        if request.get("stream"):
            pieces = self._stream(tokens, request_id, model, chat, _usage(request))
            headers = [("Content-Type", "text/event-stream")]
            headers += [("X-Resume-Offset", str(offset))] if offset else []
            return web.Reply("200 OK", headers, pieces)
        text = "".join(tokens)
        return web.json_reply(_whole(text, wanted, request_id, model, chat))

    def crash(self) -> None:
        """Break every connection, as when the engine's process dies."""
        self.crashes += 1
        self.down_until = time.monotonic() + self.restart_s
        self.break_connections()
        gevent.sleep(0)

    def _tokens(
        self,
        prompt_tokens: int,
        digest: str,
        wanted: int,
        offset: int,
        priority: int,
    ) -> collections.abc.Iterator[str]:
        """Yield tokens that depend on the request, as the batch allows."""
        seat = self.batch.enter(priority)
        try:
            seat.runs.wait()
            self._prefill(prompt_tokens)
            for number in range(offset, wanted):
                if number == wanted // 2:
                    self.gates.pass_by(gates.Step.MID_ANSWER)
                self._step(seat, prompt_tokens + number)
                yield f"{digest}-{number} "
        finally:
            self.batch.leave(seat)

    def _prefill(self, tokens: int) -> None:
        with self.prefill:
            gevent.sleep(tokens / self.speed.prefill_tokens_per_s)

    def _step(self, seat: engine_batch.Seat, context_tokens: int) -> None:
        seat.runs.wait()
        if seat.preempted:
            seat.preempted = False
            self._prefill(context_tokens)
        others = max(0, self.running - 1)
        gevent.sleep(self.speed.step_s + self.speed.step_s_per_request * others)

    def _stream(
        self,
        tokens: collections.abc.Iterator[str],
        request_id: str,
        model: str,
        chat: bool,
        usage: bool,
    ) -> collections.abc.Iterator[bytes]:
        count = 0
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
            count += 1
            yield b"data: " + orjson.dumps(event) + b"\n\n"
        if usage:
            event = {**event, "choices": [], "usage": _counts(count)}
            yield b"data: " + orjson.dumps(event) + b"\n\n"
        self.gates.pass_by(gates.Step.BEFORE_END)
        yield b"data: [DONE]\n\n"


def _whole(text: str, tokens: int, request_id: str, model: str, chat: bool) -> dict:
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
        "usage": _counts(tokens),
    }


def _usage(request: dict) -> bool:
    options = request.get("stream_options")
    return isinstance(options, dict) and bool(options.get("include_usage"))


def _counts(tokens: int) -> dict:
    return {
        "prompt_tokens": 1,
        "completion_tokens": tokens,
        "total_tokens": tokens + 1,
    }
