"""Compares ways to decide on the same loads, in virtual time; prints a table.

python packages/mothworks_gateway/tests/queue_strategies.py
"""

import contextlib
import statistics
from unittest import mock

import queue_builders
from mothworks_gateway import (
    endpoint_load,
    endpoint_queue,
    queue_estimates,
    queue_order,
)
from queue_builders import Callers, patient

SEEDS = (1, 2, 3)


class SentAtOnce:
    """No queue: each request is sent to the endpoint with the fewest requests."""

    def __init__(self):
        self.running_by_id = {}
        self.id_by_key = {}
        self.decided = []

    def set_capacities(self, capacity_by_id, now):
        self.running_by_id = dict.fromkeys(capacity_by_id, 0)

    def add(self, request, now):
        chosen_id = min(request.endpoint_ids, key=self.running_by_id.get)
        self.running_by_id[chosen_id] += 1
        self.id_by_key[request.key] = chosen_id
        self.decided.append(endpoint_queue.Granted(request.key, chosen_id))

    def ended(self, key, now):
        self.running_by_id[self.id_by_key.pop(key)] -= 1

    was_full = ended

    def decide(self, now):
        decided, self.decided = self.decided, []
        return decided

    def next_at(self):
        return None


def changed(module, name, value):
    return lambda: mock.patch.object(module, name, value)


FIRST_COME = "first come, first served within a rank"
NO_RESERVE = "no places kept for urgent requests"
PLAIN = "late requests wait by the plain estimate"

#: Class of the queue, and what is changed in its modules.
STRATEGIES = {
    "chosen": (endpoint_queue.EndpointQueue, contextlib.nullcontext),
    "sent at once": (SentAtOnce, contextlib.nullcontext),
    FIRST_COME: (
        endpoint_queue.EndpointQueue,
        changed(queue_order, "due_at", lambda entry: entry.request.arrived_at),
    ),
    NO_RESERVE: (
        endpoint_queue.EndpointQueue,
        changed(endpoint_load, "PATIENT_SHARE", 1.0),
    ),
    PLAIN: (
        endpoint_queue.EndpointQueue,
        changed(queue_estimates, "LATE_MARGIN", 1.0),
    ),
}

#: Callers by load, and the strategies compared with the chosen one.
LOADS = {
    "urgent beside a patient burst": (
        [Callers("urgent", 60.0), patient("patient", 300.0, 4.0, 10.0)],
        [NO_RESERVE],
    ),
    "the same, patient runs of 1 s": (
        [Callers("urgent", 60.0), patient("patient", 40.0, 2.0, 14.0, run_s=1.0)],
        [NO_RESERVE],
    ),
    "urgent bursts beside patient runs of 1 s": (
        [
            *(Callers("urgent", 300.0, at, at + 0.2) for at in range(3, 15)),
            patient("patient", 12.0, run_s=1.0),
        ],
        [NO_RESERVE],
    ),
    "an account at 7 times its usual": (
        [
            Callers("others", 90.0, account="a"),
            Callers("large", 30.0, account="b"),
            Callers("large", 180.0, 4.0, 12.0, account="b"),
        ],
        [PLAIN],
    ),
    "objectives of 0.4 and 2 s, load 1.05": (
        [Callers("0.4 s", 70.0), Callers("2 s", 140.0, objective_s=2.0)],
        [FIRST_COME],
    ),
    "objectives of 0.4 and 2 s, a burst": (
        [
            Callers("0.4 s", 80.0),
            Callers("2 s", 40.0, objective_s=2.0),
            Callers("2 s", 400.0, 4.0, 5.0, objective_s=2.0),
        ],
        [FIRST_COME],
    ),
    "1.5 times the capacity": ([Callers("all", 300.0)], [PLAIN]),
    "2.5 times the capacity": ([Callers("all", 500.0)], [PLAIN]),
}


def measure(queue_class, all_callers):
    """Return, by callers, the shares in time and answered, and the late refusals."""
    shares = {}
    for seed in SEEDS:
        simulation = queue_builders.Simulation(seed=seed, queue_class=queue_class)
        for name, outcome in simulation.run(*all_callers, seconds=120.0).items():
            held = sum(held_s > 1.0 for held_s in outcome.held_s) / outcome.sent
            row = outcome.in_time_share, outcome.answered_share, held
            shares.setdefault(name, []).append(row)
    return {
        name: [statistics.fmean(column) for column in zip(*rows, strict=True)]
        for name, rows in shares.items()
    }


def main():
    print("| load | strategy | callers | in time | answered | refused after 1 s |")
    print("|---|---|---|---|---|---|")
    for load, (all_callers, compared) in LOADS.items():
        for strategy in ("chosen", "sent at once", *compared):
            queue_class, change = STRATEGIES[strategy]
            with change():
                measured = measure(queue_class, all_callers)
            for name, row in sorted(measured.items()):
                cells = " | ".join(f"{value:.3f}" for value in row)
                print(f"| {load} | {strategy} | {name} | {cells} |", flush=True)


if __name__ == "__main__":
    main()
