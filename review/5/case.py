"""A request whose first answer is lost, and whose stream then breaks, runs a third time."""

import collections
import itertools
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import harness  # noqa: E402

import gevent  # noqa: E402  isort: skip
import deployments  # noqa: E402
import fakes  # noqa: E402
import path_faults  # noqa: E402

#: The dose of the site file: answer_lost, how = "reset", share = 0.6, x = 0.4,
#: for_s = 4.0.
SHARE = 0.6
LOST_SHARE = 0.4
FOR_S = 4.0
TIMES = 10
PAUSE_S = 2.0
SERVERS = 5
NODES = 3
PER_S = 25.0
EVENTS = 20
EVENT_GAP_S = 0.02
MAX_ATTEMPTS = 2
#: BUDGET: so many requests may run on more engines than their route allows.
MAX_REQUESTS = 3


class Server(fakes.Server):
    """The project's stand-in of an engine, which may run requests and lose the answer.

    The channel is reset, before the first byte of the answer or in the middle of it.
    """

    def __init__(self, store, rng, record):
        self.rng = rng
        self.record = record
        self.loses = False
        self.lost = 0
        super().__init__(store, "llm", ["m-a"], slots=48)
        self.events = [b"id: %d\ndata: x\n\n" % n for n in range(1, EVENTS + 1)]
        self.event_gap_s = EVENT_GAP_S

    def _stream(self, sock, request, headers, fault):
        after = request.headers.get("last-event-id", "")
        self.record.write(f"{self.id} runs {request.id}, after event {after or '-'}")
        if not (self.loses and self.rng.random() < LOST_SHARE):
            return super()._stream(sock, request, headers, fault)
        self.lost += 1
        first = int(after or 0)
        sent = self.rng.choice((0, self.rng.randrange(first, EVENTS) - first))
        gevent.sleep(EVENT_GAP_S)
        if sent:
            stream = [
                ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked"),
            ]
            sock.sendall(fakes._head(200, [*headers, *stream]))
            for event in self.events[first : first + sent]:
                gevent.sleep(EVENT_GAP_S)
                sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))
        self.record.write(f"{self.id} loses the answer to {request.id} after {sent}")
        path_faults.reset_on_close(sock.sock)
        return False


def case(record):
    rng = random.Random(11)
    store = fakes.Store()
    document = deployments.config()
    for route in document["routes"]:
        if route["name"] == "r-4":
            route.update(maxAttempts=MAX_ATTEMPTS, timeoutMs=6000, goalMs=1200)
    store.put("config", "main", document)
    servers = [Server(store, rng, record) for _ in range(SERVERS)]
    world = harness.World(NODES, store)
    statuses = collections.Counter()
    stopped = []

    def client(node, request_id):
        headers = {
            "Host": deployments.HOST,
            "Mothworks-Request-Id": request_id,
            "Mothworks-Model": "m-a",
            "Mothworks-Token-Count": "100,40",
            "Mothworks-Deadline-Ms": "6000",
        }
        answer = harness.request(
            node.front_address, "POST", "/resumable/x", headers, request_id.encode()
        )
        outcome = "whole" if answer.complete else "broken off"
        statuses[f"{answer.status} {outcome}"] += 1
        record.write(f"client: {request_id} answered {answer.status}, {outcome}")

    def clients():
        for number in itertools.count(1):
            if stopped:
                return
            gevent.spawn(client, world.nodes[number % NODES], f"q-{number}")
            gevent.sleep(rng.expovariate(PER_S))

    try:
        if not world.start():
            record.note("the nodes did not become ready")
            return harness.NOT_RUN
        record.note("all nodes are ready")
        gevent.sleep(2)
        gevent.spawn(clients)
        gevent.sleep(3)
        for _ in range(TIMES):
            if harness.has_trouble():
                for server in rng.sample(servers, int(SHARE * SERVERS)):
                    server.loses = True
            gevent.sleep(FOR_S)
            for server in servers:
                server.loses = False
            gevent.sleep(PAUSE_S)
        stopped.append(True)
        gevent.sleep(3)
        servers_by_id = collections.defaultdict(set)
        for server in servers:
            for request in server.executed:
                servers_by_id[request.id].add(server.id)
        above = {
            key: sorted(ids)
            for key, ids in servers_by_id.items()
            if len(ids) > MAX_ATTEMPTS
        }
        lost = sum(server.lost for server in servers)
        record.note(f"{len(servers_by_id)} requests, {lost} answers lost, {dict(statuses)}")
        record.note(
            f"{len(above)} requests ran on more than {MAX_ATTEMPTS} servers: "
            f"{list(above.items())[:4]}"
        )
        return harness.BROKEN if len(above) > MAX_REQUESTS else harness.HELD
    finally:
        world.stop()
        for fake in (*servers, store):
            fake.stop()


harness.main(case, HERE)
