"""A model is added to the config, and taken out again while it is being loaded."""

import collections
import itertools
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

import harness  # noqa: E402

import deployments  # noqa: E402
import fakes  # noqa: E402
import gevent  # noqa: E402

#: Number of models that are added and taken out again, and the time between two,
#: seconds.
CHANGES = 14
INTERVAL_S = 7.0
#: Time after a model was added until clients ask for it, and until it is taken out
#: again, seconds.
ASKED_AFTER_S = 0.2
TAKEN_OUT_AFTER_S = 0.3
#: Time that an engine takes to answer an order, seconds.
ORDER_ANSWER_S = 0.4
#: Time after which the platform starts a process again that has ended, seconds.
RESTART_S = 0.5
#: Own ends of one machine, and number of such machines, that break the rule.
MAX_ENDS, MACHINES = 3, 2


class Engine(fakes.Server):
    """An engine that takes a while to answer an order."""

    def __init__(self, store, record, model):
        self.record = record
        super().__init__(store, "llm", [model])
        self.load_s = 2.0

    def _handle_order(self, sock, order):
        self.record.write(f"{self.id} gets an order: {order}")
        gevent.sleep(ORDER_ANSWER_S)
        return super()._handle_order(sock, order)


class Operator:
    """Writes the configs."""

    def __init__(self, record):
        self.record = record
        self.versions = itertools.count(1)
        self.models = ["m-a", "m-b"]

    def document(self):
        route = deployments.route(
            "r-1", "/stream/", "streaming", "llm", timeoutMs=15000, goalMs=1500,
            maxAttempts=1, gapAimMs=250,
        )
        return deployments.config(
            next(self.versions), [route], self.models, slots=48, kvCapacity=150000,
            weightsMb=200.0, loadsPerS=2.2,
        )

    def add(self, deployment, model):
        self.models.append(model)
        deployment.store.put("config", "main", self.document())
        self.record.write(f"the operator adds {model} to the config")

    def take_out(self, deployment, model):
        self.models.remove(model)
        deployment.store.put("config", "main", self.document())
        self.record.write(f"the operator takes {model} out of the config")


def main(record):
    operator = Operator(record)
    with harness.Deployment(
        operator.document(), nodes=2, plain=0, engines=()
    ) as deployment:
        engines = [
            Engine(deployment.store, record, name) for name in ("m-a", "m-b") * 4
        ]
        ends = collections.Counter()
        watch = gevent.spawn(restart_ended, deployment, ends, record)
        gevent.sleep(5)
        for number in range(CHANGES):
            began_at = time.monotonic()
            model = f"m-{number}"
            operator.add(deployment, model)
            gevent.sleep(ASKED_AFTER_S)
            asking = [
                gevent.spawn(send, node, model, f"q{number}-{node.name}", record)
                for node in deployment.nodes
            ]
            gevent.sleep(TAKEN_OUT_AFTER_S - ASKED_AFTER_S)
            if harness.TROUBLE:
                operator.take_out(deployment, model)
            gevent.joinall(asking, timeout=INTERVAL_S - 1)
            gevent.sleep(max(0.0, began_at + INTERVAL_S - time.monotonic()))
        watch.kill()
        record.write(f"orders: {[len(engine.orders) for engine in engines]}")
        record.write(f"own ends: {dict(ends)}")
        print(f"own ends: {dict(ends)}")
        return sum(count >= MAX_ENDS for count in ends.values()) >= MACHINES


def restart_ended(deployment, ends, record):
    """Start processes again that ended by themselves, as the platform does."""
    while True:
        for node in deployment.nodes:
            if node.process.poll() is not None:
                ends[node.name] += 1
                status = node.process.returncode
                record.write(f"{node.name} has ended by itself, with status {status}")
                gevent.sleep(RESTART_S)
                node.start()
        gevent.sleep(0.05)


def send(node, model, request_id, record):
    try:
        caller = deployments.Caller(node.front)
        try:
            answer = caller.request(
                "/stream/x", model=model, request_id=request_id,
                headers={
                    "Mothworks-Deadline-Ms": "8000",
                    "Mothworks-Token-Count": "600,60",
                    "Mothworks-Prompt-Prefix": f"aa01:200,{model[2:]}:400",
                },
            )
            record.write(f"client {request_id} for {model}: {answer.status}")
        finally:
            caller.close()
    except (OSError, ValueError, IndexError) as error:
        record.write(f"client {request_id} for {model}: {error!r}")


if __name__ == "__main__":
    harness.run(main, FOLDER)
