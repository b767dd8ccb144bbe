"""Runs a node in this process against fakes, with raw HTTP callers."""

import gevent.socket
import orjson

import builders
from mothworks import configuration, dispatch, node, placement, settings, slots
from mothworks_fakes import application, engine, object_api, platform, processes, web

SHUT_WR = gevent.socket.SHUT_WR
CHAT = "/v1/chat/completions"
#: Read timeout of a caller, seconds.
READ_TIMEOUT_S = 20.0


class ScriptedEngine(engine.Engine):
    """A fake engine whose responses a test scripts.

    :param script: takes a request body and returns the reply; None for the
        responses of the fake itself.
    """

    def __init__(self, script, **speed):
        super().__init__(80_000, speed=engine.Speed(step_s=0.001, **speed))
        self.script = script
        self.bodies: list[bytes] = []

    def serve(self, method, path, environ):
        if method == "POST" and path.startswith("/v1/") and self.script:
            self.bodies.append(environ["wsgi.input"].read())
            return self.script(self.bodies[-1])
        return super().serve(method, path, environ)


class ServedNode:
    """A node that serves one model and one service.

    :param engines: the model's engines; by default one without a script.
    :param slots: batch slots of each engine.
    :param repeatable: whether calls to the service may be repeated.
    :param limits: fields of the node's :class:`settings.Limits`.
    """

    def __init__(self, engines=(), slots=16, repeatable=False, **limits):
        self.objects = object_api.ObjectApi().start()
        self.vms = platform.VmList().start()
        self.engines = list(engines) or [ScriptedEngine(None)]
        self.orders = application.Application().start()
        endpoints = [builders.service_endpoint(port=self.orders.port)]
        for number, fake in enumerate(self.engines, start=1):
            fake.place("menu", 16_000)
            fake.start()
            endpoints.append(
                builders.endpoint(f"engine-{number}", port=fake.port, slots=slots)
            )
        node_settings = builders.settings(
            object_api_url=self.objects.url,
            vm_list=settings.VmList(self.vms.url + "/vms"),
            limits=settings.Limits(**limits),
        )
        self.node = node.Node(node_settings)
        self.node.start()
        self.port = self.node.server.port
        services = (builders.service(repeatable=repeatable),)
        declared = builders.make_catalogue(
            endpoints=tuple(endpoints), services=services
        )
        self.get_part(configuration.Configuration).apply(
            declared, 0, "test", ""
        ).unwrap()
        placement_map = self.get_part(placement.Placement)
        processes.wait_until(
            lambda: len(placement_map.open_endpoints("menu")) == len(self.engines)
        )
        processes.wait_until(lambda: placement_map.open_endpoints("orders"))

    def get_part(self, part_class):
        return self.node.kernel.get(part_class)

    def stop(self):
        for part in reversed(self.node.kernel.part_by_class.values()):
            part.stop()
        for fake in (*self.engines, self.orders, self.objects, self.vms):
            fake.stop()

    def idle(self):
        """Return whether the node has no reservation, running request or open call."""
        counts = self.get_part(dispatch.Dispatch).policy.running_by_endpoint
        return (
            not self.get_part(slots.Slots).reservation_by_number
            and not any(counts.values())
            and not self.node.server.open_calls
        )

    def connect(self):
        sock = gevent.socket.create_connection(("127.0.0.1", self.port))
        sock.settimeout(READ_TIMEOUT_S)
        return sock

    def send(self, data: bytes) -> "Answered":
        """Send bytes on a new connection and read the reply."""
        sock = self.connect()
        sock.sendall(data)
        try:
            return read_answer(sock)
        finally:
            sock.close()

    def chat(self, **fields) -> "Answered":
        return self.send(chat(**fields))


class Answered:
    """A reply as its caller receives it.

    :param raw_bytes: all bytes of the reply.
    """

    def __init__(self, raw_bytes: bytes):
        head, _, self.raw_body = raw_bytes.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split()[1]) if lines[0] else 0
        pairs = [line.split(": ", 1) for line in lines[1:]]
        self.headers = {name.lower(): value for name, value in pairs}
        self.complete = False
        self.body = self.raw_body
        if self.headers.get("transfer-encoding") == "chunked":
            self.body, self.complete = dechunk(self.raw_body)
        elif "content-length" in self.headers:
            length = int(self.headers["content-length"])
            self.complete = len(self.raw_body) == length

    @property
    def error(self) -> dict:
        return orjson.loads(self.body)["error"]

    @property
    def events(self) -> list[bytes]:
        return [event for event in self.body.split(b"\n\n") if event]


def dechunk(raw_bytes: bytes) -> tuple[bytes, bool]:
    body = b""
    while raw_bytes:
        size, _, rest = raw_bytes.partition(b"\r\n")
        length = int(size, 16)
        if length == 0:
            return body, True
        body += rest[:length]
        raw_bytes = rest[length + 2 :]
    return body, False


def read_answer(sock) -> Answered:
    """Read one reply, until it is complete or the connection closes."""
    raw_bytes = b""
    while True:
        data = sock.recv(65536)
        raw_bytes += data
        if not data:
            return Answered(raw_bytes)
        if b"\r\n\r\n" in raw_bytes and Answered(raw_bytes).complete:
            return Answered(raw_bytes)


def head(method: str, path: str, key: str = builders.CALLER_KEY, **headers) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: test", f"Authorization: Bearer {key}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode()


def post(path: str, body: bytes, **headers) -> bytes:
    return head("POST", path, Content_Length=len(body), **headers) + body


def chat(**fields) -> bytes:
    messages = [{"role": "user", "content": "What is on the menu?"}]
    return post(CHAT, orjson.dumps({"model": "menu", "messages": messages, **fields}))


def stream_reply(*pieces: bytes | Exception) -> web.Reply:
    """Return a streamed reply, interrupted by an exception among the pieces."""
    return web.Reply(
        "200 OK", [("Content-Type", "text/event-stream")], yield_pieces(pieces)
    )


def yield_pieces(pieces):
    for piece in pieces:
        if isinstance(piece, Exception):
            raise piece
        yield piece
