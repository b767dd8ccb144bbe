"""The copy of a rejection that arrives late is taken as the answer to the next send."""

import collections
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import harness  # noqa: E402

import gevent  # noqa: E402  isort: skip
import gevent.event  # noqa: E402
import gevent.server  # noqa: E402
import deployments  # noqa: E402
import fakes  # noqa: E402

#: Whether the disruption is played; without it the case must hold.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
#: The dose of the site file: garble, how = "extra late", share = 0.6, x = 0.03,
#: for_s = 5.0. It comes several times, at other servers each time.
SHARE = 0.6
EXTRA_SHARE = 0.03
FOR_S = 5.0
TIMES = 13
PAUSE_S = 1.0
SLOTS = 1
QUEUE = 0
WORK_S = 0.05
IDLE_S = 0.05
NODES = 6
SERVERS = 8
CLIENTS = 12


class Server:
    """A plain server with few places, which may send a second answer late.

    It registers itself like the project's own stand-in. A faulty one sends a copy of a
    few of its answers again, on the same channel, where the next answer is expected.
    """

    def __init__(self, store, rng, record):
        self.rng = rng
        self.record = record
        self.is_faulty = False
        self.running = self.waiting = 0
        self.changed = gevent.event.Event()
        self.ran = collections.Counter()
        self.answers = self.extras = self.rejected = self.same = 0
        self.fake = fakes.Server(store, "plain", slots=SLOTS)
        self.fake.server.stop(timeout=0.1)
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.fake.register(address=f"127.0.0.1:{self.server.server_port}")
        self.id = self.fake.id

    def _serve(self, sock, _):
        file = sock.makefile("rb")
        extra = b""
        try:
            last_id = ""
            while (request := fakes._read_request(file)) is not None:
                if extra and request.id == last_id:
                    self.same += 1
                last_id = request.id
                if extra:
                    # Bytes after a complete answer; they belong to no request.
                    sock.sendall(extra)
                    self.extras += 1
                    self.record.write(
                        f"{self.id}: the last answer came again before the answer to "
                        f"{request.id}"
                    )
                data = self._answer(request)
                self.answers += 1
                sock.sendall(data)
                is_chosen = self.is_faulty and self.rng.random() < EXTRA_SHARE
                extra = data if is_chosen else b""
        except OSError:
            pass
        finally:
            sock.close()

    def _answer(self, request):
        headers = [("Mothworks-Request-Id", request.id)]
        if self.running >= SLOTS and self.waiting >= QUEUE:
            self.rejected += 1
            self.record.write(f"{self.id}: rejected {request.id}")
            headers.append(("Mothworks-Not-Run", "1"))
            return fakes._complete_answer(503, headers, b"full")
        self.waiting += 1
        while self.running >= SLOTS:
            self.changed.wait()
        self.waiting -= 1
        self.running += 1
        self.ran[request.id] += 1
        self.record.write(f"{self.id}: ran {request.id}")
        try:
            gevent.sleep(WORK_S * self.rng.uniform(0.5, 1.5))
        finally:
            self.running -= 1
            self.changed.set()
            self.changed.clear()
        headers.append(("Mothworks-Server-Seal", "s.1"))
        return fakes._complete_answer(200, headers, f"{self.id} {request.id}".encode())


def case(record):
    rng = random.Random(17)
    store = fakes.Store()
    document = deployments.config()
    for route in document["routes"]:
        if route["name"] == "r-2":
            route.update(maxAttempts=1, timeoutMs=600, goalMs=100)
    store.put("config", "main", document)
    servers = [Server(store, rng, record) for _ in range(SERVERS)]
    world = harness.World(NODES, store)
    status_by_id = {}
    state = {"stop": False, "number": 0}

    def client(node):
        channel = None
        while not state["stop"]:
            state["number"] += 1
            request_id = f"q-{state['number']}"
            headers = {
                "Host": deployments.HOST,
                "Mothworks-Request-Id": request_id,
                "Mothworks-Deadline-Ms": "600",
            }
            try:
                channel = channel or harness.Client(node.front_address, 2.0)
                answer = channel.request("POST", "/once/x", headers, b"x" * 600)
            except OSError:
                channel = None
                continue
            status_by_id[request_id] = answer.status
            record.write(f"client: {request_id} answered {answer.status}")
            if not answer.status or answer.headers.get("connection") == "close":
                channel.close()
                channel = None
            gevent.sleep(rng.uniform(0.0, IDLE_S))

    try:
        if not world.start():
            record.note("the nodes did not become ready")
            return harness.NOT_RUN
        record.note("all nodes are ready")
        gevent.sleep(2)
        for number in range(CLIENTS):
            gevent.spawn(client, world.nodes[number % len(world.nodes)])
        gevent.sleep(3)
        for number in range(TIMES):
            if TROUBLE:
                count = int(SHARE * SERVERS)
                first = number * count % SERVERS
                for server in servers[first : first + count]:
                    server.is_faulty = True
                record.write(f"{count} of {SERVERS} servers send answers again")
            gevent.sleep(FOR_S)
            for server in servers:
                server.is_faulty = False
            gevent.sleep(PAUSE_S)
        state["stop"] = True
        gevent.sleep(2)
        ran = sum((server.ran for server in servers), collections.Counter())
        twice = sorted(key for key, count in ran.items() if count > 1)
        promised = (408, 421, 429, 503)
        refused = sorted(
            key
            for key, status in status_by_id.items()
            if status in promised and ran[key]
        )
        answers = sum(server.answers for server in servers)
        extras = sum(server.extras for server in servers)
        rejected = sum(server.rejected for server in servers)
        same = sum(server.same for server in servers)
        statuses = dict(collections.Counter(status_by_id.values()))
        record.note(
            f"{len(status_by_id)} requests, answers {statuses}; servers: {answers} "
            f"answers, {rejected} rejected, {extras} came again, {same} of them before "
            f"the answer to a further send of the same request"
        )
        record.note(
            f"REFUSED: {len(refused)} ran and were answered as not run: {refused[:10]}"
        )
        record.note(
            f"for information, TWICE: {len(twice)} ran more than once: {twice[:10]}"
        )
        return harness.BROKEN if refused else harness.HELD
    finally:
        world.stop()
        for server in servers:
            server.server.stop(timeout=0.1)
        store.stop()


harness.main(case, HERE)
