"""A channel whose request still runs is kept, and the request goes on elsewhere."""

import collections
import itertools
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import harness  # noqa: E402

import gevent  # noqa: E402  isort: skip
import deployments  # noqa: E402
import fakes  # noqa: E402

#: Whether the disruption is played; without it the case must hold.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
#: The dose of the site file: garble, how = "extra late", share = 0.6, x = 0.03,
#: for_s = 5.0. It comes several times, at other servers each time.
SHARE = 0.6
EXTRA_SHARE = 0.03
FOR_S = 5.0
TIMES = 14
PAUSE_S = 1.0
SERVERS = 10
NODES = 3
PER_S = 25.0
EVENTS = 40
EVENT_GAP_S = 0.04
#: Time that a server needs to read a prompt, before the head of its answer.
PREFILL_S = 0.03
#: TWICE: so long after a request went on at another engine, the one before may still
#: work on it.
MAX_OVERLAP_S = 0.4


class Server(fakes.Server):
    """The project's stand-in of an engine, which may send a second answer late.

    A faulty one sends a copy of a few of its answers again, on the same channel, where
    the next answer is expected. It drops a request when its channel closes.
    """

    def __init__(self, store, rng, record):
        self.rng = rng
        self.record = record
        self.is_faulty = False
        self.extras = 0
        self.extra_by_socket = {}
        #: Times at which it began and stopped to work on each request.
        self.spans = collections.defaultdict(list)
        super().__init__(store, "llm", ["m-a"], slots=48)
        self.events = [b"id: %d\ndata: x\n\n" % n for n in range(1, EVENTS + 1)]

    def _stream(self, sock, request, headers, fault):
        extra = self.extra_by_socket.pop(sock, b"")
        if extra:
            # Bytes after a complete answer; they belong to no request.
            sock.sendall(extra)
            self.extras += 1
            self.record.write(f"{self.id}: an answer came again before {request.id}'s")
        began_at = time.monotonic()
        self.record.write(f"{self.id}: runs {request.id}")
        sent = bytearray()

        def send(data):
            sent.extend(data)
            sock.sendall(data)

        try:
            stream = [
                ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked"),
            ]
            gevent.sleep(PREFILL_S)
            send(fakes._head(200, [*headers, *stream]))
            after = int(request.headers.get("last-event-id") or 0)
            for event in self.events[after:]:
                gevent.sleep(EVENT_GAP_S)
                send(b"%x\r\n%b\r\n" % (len(event), event))
            send(b"0\r\n\r\n")
        finally:
            self.spans[request.id].append((began_at, time.monotonic()))
            self.record.write(f"{self.id}: stops working on {request.id}")
        if self.is_faulty and self.rng.random() < EXTRA_SHARE:
            self.extra_by_socket[sock] = bytes(sent)
        return True


def case(record):
    rng = random.Random(13)
    store = fakes.Store()
    document = deployments.config()
    for route in document["routes"]:
        if route["name"] == "r-4":
            route.update(maxAttempts=2, timeoutMs=6000, goalMs=1200)
    store.put("config", "main", document)
    servers = [Server(store, rng, record) for _ in range(SERVERS)]
    world = harness.World(NODES, store, harness.KUOPIO_BOUNDS)
    statuses = collections.Counter()
    stopped = []

    def client(node, request_id):
        headers = {
            "Host": deployments.HOST,
            "Mothworks-Request-Id": request_id,
            "Mothworks-Model": "m-a",
            "Mothworks-Token-Count": "100,60",
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
            if TROUBLE:
                for server in rng.sample(servers, int(SHARE * SERVERS)):
                    server.is_faulty = True
            gevent.sleep(FOR_S)
            for server in servers:
                server.is_faulty = False
            gevent.sleep(PAUSE_S)
        stopped.append(True)
        gevent.sleep(4)
        runs = collections.defaultdict(list)
        for server in servers:
            for request_id, spans in server.spans.items():
                runs[request_id] += [(*span, server.id) for span in spans]
        twice = {}
        for request_id, spans in runs.items():
            spans.sort()
            for before, after in itertools.pairwise(spans):
                overlap_s = before[1] - after[0]
                if before[2] != after[2] and overlap_s > MAX_OVERLAP_S:
                    twice[request_id] = round(overlap_s, 2)
        extras = sum(server.extras for server in servers)
        record.note(
            f"{len(runs)} requests, {extras} answers came again, {dict(statuses)}"
        )
        record.note(
            f"{len(twice)} requests went on at another server while the one before "
            f"worked on them for over {MAX_OVERLAP_S} s more: {list(twice.items())[:6]}"
        )
        return harness.BROKEN if twice else harness.HELD
    finally:
        world.stop()
        for fake in (*servers, store):
            fake.stop()


harness.main(case, HERE)
