"""Measures the processor time of one request at the owner of its queue and at its VM.

``python packages/mothworks_gateway/tests/measure_endpoint_queue.py`` runs requests
through an owner and a client, once with free places and once while others wait.
"""

import itertools
import sys
import time

import defopt
import tabulate

import queue_builders
from mothworks import messages
from mothworks_gateway import queue_messages

#: Requests of one measurement.
REQUESTS = 4000
ENDPOINTS = 8
SLOTS = 16


def _message(ticket, vm_endpoint_ids):
    return queue_messages.QueueRequest(
        ticket, "s", vm_endpoint_ids, 200, 800, 1500, 1, "a", 1.0, 0.0, 0.4, 2.0, False
    )


def _measure_owner(waiting):
    """Return microseconds per request, its events and messages included."""
    fleet = queue_builders.Fleet(1, ENDPOINTS, SLOTS)
    [vm] = fleet.vms
    ids = tuple(fleet.endpoint_ids)
    tickets = itertools.count(1)
    granted = []
    vm.owner._push = lambda name, reply: (
        granted.append(reply) if reply.endpoint_id else None
    )

    def ask():
        frame = messages.pack(_message(next(tickets), ids))
        message = messages.unpack(messages.msgpack.unpackb(frame))[0]
        reply = vm.owner.request("vm-9", message)
        messages.pack(reply)
        if reply.endpoint_id:
            granted.append(reply)

    for _ in range(ENDPOINTS * SLOTS // 2 if not waiting else waiting + 200):
        ask()
    began_at = time.process_time()
    for _ in range(REQUESTS):
        ask()
        if not granted:
            continue
        ticket = granted.pop(0).ticket
        rows = tuple(
            (ticket, "s", int(kind), "", 200, 0.05)
            for kind in (queue_messages.EventKind.BEGAN, queue_messages.EventKind.ENDED)
        )
        frame = messages.pack(queue_messages.RunEvents(rows))
        vm.owner.apply_events(
            "vm-9", messages.unpack(messages.msgpack.unpackb(frame))[0].rows
        )
    used_s = time.process_time() - began_at
    still_waiting = vm.served().waiting_count
    fleet.stop()
    return still_waiting, 1e6 * used_s / REQUESTS


def _measure_client():
    """Return microseconds per request at the VM, without those at the owner."""
    fleet = queue_builders.Fleet(2, ENDPOINTS, SLOTS)
    owner, vm = fleet.vms
    endpoints = list(vm.registry.by_id.values())
    reply = queue_messages.QueueReply(True, 1, endpoints[0].id)
    packed = messages.pack(reply)

    def call(name, message, timeout_s):
        messages.pack(message)
        return queue_builders.fleet_builders.result.Ok(
            messages.unpack(messages.msgpack.unpackb(packed))[0]
        )

    vm.peers.call = call
    vm.peers.send_nowait = lambda name, message: messages.pack(message)
    now = time.monotonic()
    request = queue_builders.make_request("q-1", now)
    began_at = time.process_time()
    for _ in range(REQUESTS):
        admitted = vm.client.admit(request, endpoints, None, now + 5.0).ok_value
        admitted.began(0.05)
        admitted.ended(20)
    used_s = time.process_time() - began_at
    fleet.stop()
    return 1e6 * used_s / REQUESTS


def main() -> int:
    """Print a table."""
    rows = []
    for waiting in (0, 100, 1000):
        still_waiting, used_us = _measure_owner(waiting)
        rows.append(("owner", still_waiting, round(used_us)))
    rows.append(("client", 0, round(_measure_client())))
    print(tabulate.tabulate(rows, ("part", "requests that wait", "us per request")))
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
