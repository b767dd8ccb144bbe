"""An entry of another writer, with a field of another type, ends all nodes."""

import os
import pathlib
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
#: Fault: processes end by themselves so often on so many machines.
MAX_ENDS = 3
MIN_MACHINES = 2


def nested(depth):
    value = []
    for _ in range(depth):
        value = [value]
    return value


def case(record):
    store = fakes.Store()
    store.put("config", "main", deployments.config())
    born = int(time.time() * 1000)
    servers = [fakes.Server(store, "plain", born=born) for _ in range(2)]
    world = harness.World(3, store, harness.BARAZDA_BOUNDS)
    counts = {"sent": 0, "served": 0}
    try:
        if not world.start():
            record.note("the nodes did not become ready")
            return harness.NOT_RUN
        world.restart_ended(record)
        record.note("all nodes are ready")

        def clients():
            number = 0
            while True:
                node = world.nodes[number % len(world.nodes)]
                number += 1
                headers = {
                    "Host": deployments.HOST,
                    "Mothworks-Request-Id": f"q-{number}",
                    "Mothworks-Deadline-Ms": "1000",
                }
                answer = harness.request(
                    node.front_address, "GET", "/plain/x", headers, timeout_s=1.5
                )
                counts["sent"] += 1
                counts["served"] += answer.status == 200
                record.write(f"q-{number} at {node.name}: {answer.status}")
                gevent.sleep(0.05)

        gevent.spawn(clients)
        gevent.sleep(4)
        record.note(f"before: {counts}")
        counts.update(sent=0, served=0)
        if TROUBLE:
            # A list in lists where the list of models is due.
            entry = {"service": "plain", "models": nested(300)}
            store.put("servers", "written-by-another", entry)
            record.note("another writer has written an entry")
        gevent.sleep(25)
        ends = {node.name: len(node.own_ends) for node in world.nodes}
        record.note(f"after: {counts}; processes that ended by themselves: {ends}")
        for node in world.nodes:
            for line in node.log_lines("Recursion limit")[:1]:
                record.note(f"{node.name}: {line[:160]}")
        often = [name for name, count in ends.items() if count >= MAX_ENDS]
        return harness.BROKEN if len(often) >= MIN_MACHINES else harness.HELD
    finally:
        world.stop()
        for fake in (*servers, store):
            fake.stop()


harness.main(case, HERE)
