"""Measures the processor time of one request at the owner of its queue and at its VM.

``python packages/mothworks_gateway/tests/measure_queue_owner.py`` sends requests
through an owner in real time, below and above what its endpoints can run, and through a
client. Messages are packed and unpacked; the network is left out.
"""

import itertools
import sys
import time

import defopt
import gevent
import result
import tabulate

import queue_fleet_builders
from mothworks import messages
from mothworks_gateway import queue_messages

SECONDS = 4.0
#: Endpoints, slots of each and time of one run, seconds: 1,024 requests a second.
ENDPOINTS = 16
SLOTS = 8
RUN_S = 0.125
#: Time between two batches of requests, seconds.
STEP_S = 0.01
REQUESTS = 4000


def _coded(message):
    return messages.unpack(messages.msgpack.unpackb(messages.pack(message)))[0]


def _event(ticket, kind):
    return (ticket, queue_fleet_builders.SERVICE, int(kind), "", 200, 0.05)


class _Run:
    """Requests of ten VMs at a constant rate.

    :param per_s: requests per second.
    """

    def __init__(self, per_s):
        self.fleet = queue_fleet_builders.Fleet(1, ENDPOINTS, SLOTS)
        self.owner = self.fleet.vms[0].owner
        self.owner._push = lambda vm, reply: self._on_reply(vm, _coded(reply))
        self.per_s = per_s
        self.tickets = itertools.count(1)
        self.running = []
        self.refused = 0

    def measure(self):
        """Return microseconds per request, and the most requests that waited."""
        asked = most_waiting = 0
        began_at, used_s = time.monotonic(), time.process_time()
        while (now := time.monotonic()) < began_at + SECONDS:
            self._end_runs(now)
            while asked < self.per_s * (now - began_at):
                asked += 1
                self._ask(f"vm-{asked % 10}")
            waiting = self.fleet.vms[0].served().waiting_count if asked else 0
            most_waiting = max(most_waiting, waiting)
            gevent.sleep(STEP_S)
        used_s = time.process_time() - used_s
        self.fleet.stop()
        return 1e6 * used_s / asked, most_waiting

    def _ask(self, vm):
        message = queue_messages.QueueRequest(
            next(self.tickets),
            queue_fleet_builders.SERVICE,
            tuple(self.fleet.endpoint_ids),
            0,
            0,
            0,
            1,
            "a",
            1.0,
            0.0,
            0.4,
            2.0,
            False,
        )
        self._on_reply(vm, _coded(self.owner.request(vm, _coded(message))))

    def _on_reply(self, vm, reply):
        if reply.endpoint_id:
            self.running.append((time.monotonic() + RUN_S, vm, reply.ticket))

    def _end_runs(self, now):
        """Report the runs that have ended, in one message of each VM."""
        rows_by_vm = {}
        while self.running and self.running[0][0] <= now:
            _, vm, ticket = self.running.pop(0)
            rows_by_vm.setdefault(vm, []).extend(
                (
                    _event(ticket, queue_messages.EventKind.BEGAN),
                    _event(ticket, queue_messages.EventKind.ENDED),
                )
            )
        for vm, rows in rows_by_vm.items():
            message = _coded(queue_messages.RunEvents(tuple(rows)))
            self.owner.apply_events(vm, message.rows)


def _measure_client():
    """Return microseconds per request at the VM, without those at the owner."""
    fleet = queue_fleet_builders.Fleet(2, ENDPOINTS, SLOTS)
    vm = fleet.vms[1]
    endpoints = list(vm.registry.by_id.values())
    packed = messages.pack(queue_messages.QueueReply(True, 1, endpoints[0].id))

    def call(name, message, timeout_s):
        messages.pack(message)
        return result.Ok(messages.unpack(messages.msgpack.unpackb(packed))[0])

    vm.peers.call = call
    vm.peers.send_nowait = lambda name, message: messages.pack(message)
    now = time.monotonic()
    request = queue_fleet_builders.make_request("q-1", now)
    began_at = time.process_time()
    for _ in range(REQUESTS):
        admitted = vm.client.admit(request, endpoints, None, now + 60.0).ok_value
        admitted.began(0.05)
        admitted.ended(20)
    used_s = time.process_time() - began_at
    fleet.stop()
    return 1e6 * used_s / REQUESTS


def main() -> int:
    """Print a table."""
    rows = []
    for per_s in (300, 900, 1000, 1300):
        used_us, waiting = _Run(per_s).measure()
        rows.append(("owner", per_s, waiting, round(used_us)))
    rows.append(("client", "", "", round(_measure_client())))
    header = ("part", "requests a second", "waiting at most", "us per request")
    print(tabulate.tabulate(rows, header))
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
