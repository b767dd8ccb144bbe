"""One node in this process before stand-ins, and raw callers of it."""

import gevent.socket
import orjson

import builders
from mothworks import configuration, dispatch, node, placement, settings, slots
from mothworks_fakes import application, engine, object_api, platform, processes, web

SHUT_WR = gevent.socket.SHUT_WR
CHAT = "/v1/chat/completions"
#: Longest wait of a caller for bytes that a test expects, seconds.
READ_TIMEOUT_S = 20.0


class ScriptedEngine(engine.Engine):
    """An engine whose answers a test writes.

    :param script: takes the request's body, returns the reply.
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


class Served:
    """A node that serves one model and one plain service.

    :param engines: the model's engines; one plain engine where none is given.
    :param slots: of each engine.
    :param repeatable: whether the service's calls are.
    :param limits: bounds of the node.
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
        checked = builders.settings(
            object_api_url=self.objects.url,
            vm_list=settings.VmList(self.vms.url + "/vms"),
            limits=settings.Limits(**limits),
        )
        self.node = node.Node(checked)
        self.node.start()
        self.port = self.node.server.port
        services = (builders.service(repeatable=repeatable),)
        declared = builders.declared(endpoints=tuple(endpoints), services=services)
        self.part(configuration.Configuration).apply(declared, 0, "test", "").unwrap()
        map_ = self.part(placement.Placement)
        processes.wait_until(
            lambda: len(map_.open_endpoints("menu")) == len(self.engines)
        )
        processes.wait_until(lambda: map_.open_endpoints("orders"))

    def part(self, part_class):
        return self.node.kernel.get(part_class)

    def stop(self):
        for part in reversed(self.node.kernel.part_by_class.values()):
            part.stop()
        for fake in (*self.engines, self.orders, self.objects, self.vms):
            fake.stop()

    def idle(self):
        """Return whether the node holds no slot and no call."""
        counts = self.part(dispatch.Dispatch).policy.running_by_endpoint
        return (
            not self.part(slots.Slots).reservation_by_number
            and not any(counts.values())
            and not self.node.server.open_calls
        )

    def connect(self):
        sock = gevent.socket.create_connection(("127.0.0.1", self.port))
        sock.settimeout(READ_TIMEOUT_S)
        return sock

    def send(self, data: bytes) -> "Answered":
        """Send bytes on a connection of their own and read the reply."""
        sock = self.connect()
        sock.sendall(data)
        try:
            return read_answer(sock)
        finally:
            sock.close()

    def chat(self, **fields) -> "Answered":
        return self.send(chat(**fields))


class Answered:
    """A reply as a caller sees it.

    :param wire: every byte of it.
    """

    def __init__(self, wire: bytes):
        head, _, self.wire_body = wire.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split()[1]) if lines[0] else 0
        pairs = [line.split(": ", 1) for line in lines[1:]]
        self.headers = {name.lower(): value for name, value in pairs}
        self.complete = False
        self.body = self.wire_body
        if self.headers.get("transfer-encoding") == "chunked":
            self.body, self.complete = dechunk(self.wire_body)
        elif "content-length" in self.headers:
            length = int(self.headers["content-length"])
            self.complete = len(self.wire_body) == length

    @property
    def error(self) -> dict:
        return orjson.loads(self.body)["error"]

    @property
    def events(self) -> list[bytes]:
        return [event for event in self.body.split(b"\n\n") if event]


def dechunk(wire: bytes) -> tuple[bytes, bool]:
    body = b""
    while wire:
        size, _, rest = wire.partition(b"\r\n")
        length = int(size, 16)
        if length == 0:
            return body, True
        body += rest[:length]
        wire = rest[length + 2 :]
    return body, False


def read_answer(sock) -> Answered:
    """Read one reply, until it is complete or the connection closes."""
    wire = b""
    while True:
        data = sock.recv(65536)
        wire += data
        if not data:
            return Answered(wire)
        if b"\r\n\r\n" in wire and Answered(wire).complete:
            return Answered(wire)


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
    """Return a streamed reply; an exception among the pieces breaks it off."""
    return web.Reply("200 OK", [("Content-Type", "text/event-stream")], each(pieces))


def each(pieces):
    for piece in pieces:
        if isinstance(piece, Exception):
            raise piece
        yield piece
