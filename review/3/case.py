"""An entry of another writer, with text that can't be read, hides all later entries."""

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
#: The time for which the leaving server goes on after its report, seconds.
SERVES_ON_S = 10.0


def case(record):
    store = fakes.Store()
    store.put("config", "main", deployments.config())
    born = int(time.time() * 1000)
    servers = [fakes.Server(store, "plain", born=born) for _ in range(3)]
    world = harness.World(3, store, harness.BARAZDA_BOUNDS)
    counts = {"sent": 0, "served": 0}
    drain_s = world.bounds["drainMs"] / 1000
    try:
        if not world.start():
            record.note("the nodes did not become ready")
            return harness.NOT_RUN
        record.note("all nodes are ready")
        gevent.sleep(3)

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
                gevent.sleep(0.02)

        gevent.spawn(clients)
        gevent.sleep(2)
        if TROUBLE:
            # A text that was cut in the middle of a character. The store's list and
            # its events bring it as JSON, with an escape for the half that is left.
            entry = {"service": "plain", "note": "out of order \ud83d"}
            store.put("servers", "written-by-another", entry)
            record.note("another writer has written an entry")
            gevent.sleep(4)
        leaving = servers[0]
        leaving.register(state="draining")
        acked_at = time.monotonic()
        record.note(f"the store has accepted that {leaving.id} is draining")
        gevent.sleep(SERVES_ON_S)
        late = [item for item in leaving.executed if item.at > acked_at + drain_s]
        for request in leaving.executed:
            if request.at > acked_at:
                after_s = request.at - acked_at
                record.write(f"{leaving.id} ran {request.id} {after_s:.3f} s after it")
        record.note(
            f"{counts}; {len(late)} requests reached the leaving server later than "
            f"{drain_s:g} s after the ack"
        )
        # For information: a node that starts now.
        node = world.nodes[0]
        node.signal(9)
        node.process.wait()
        node.start()
        ready = world.wait(node.is_ready, 8)
        record.note(f"for information: a node that starts now is ready: {ready}")
        return harness.BROKEN if late else harness.HELD
    finally:
        world.stop()
        for fake in (*servers, store):
            fake.stop()


harness.main(case, HERE)
