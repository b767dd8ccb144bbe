"""Prints the processor time of the endpoint queue's decisions.

python packages/mothworks_gateway/tests/measure_endpoint_queue.py
"""

import random
import time

import queue_builders
from mothworks_gateway import endpoint_queue

ENDPOINTS = 60
REQUESTS = 20_000


def measure(candidates, backlog):
    """Return the microseconds of an arrival and of an end, each with its decision."""
    rng = random.Random(1)
    ids = [f"e-{number}" for number in range(ENDPOINTS)]
    capacity = queue_builders.capacity(16, 69_076, 20_000.0)
    queue = queue_builders.make_queue(**dict.fromkeys(ids, capacity))
    running = []
    arrival_s = end_s = 0.0
    ends = 0
    for ticket in range(REQUESTS):
        now = ticket / 1_000.0
        request = queue_builders.request(
            ticket,
            f"vm-{ticket % 75}",
            now,
            objective_s=rng.choice((0.4, 6.0)),
            send_s=20.0,
            endpoint_ids=tuple(rng.sample(ids, candidates)),
            prompt_tokens=500,
            shared_tokens=300,
            memory_tokens=900,
            account=f"a-{ticket % 16}",
            urgency=ticket % 2,
        )
        started_at = time.process_time()
        queue.add(request, now)
        decisions = queue.decide(now)
        arrival_s += time.process_time() - started_at
        while True:
            for decision in decisions:
                if isinstance(decision, endpoint_queue.Granted):
                    running.append(decision.key)
            is_busy = (
                len(queue.entry_by_key) > backlog if backlog else len(running) > 120
            )
            if not is_busy:
                break
            key = running.pop(0)
            started_at = time.process_time()
            queue.ended(key, now)
            decisions = queue.decide(now)
            queue.next_at()
            end_s += time.process_time() - started_at
            ends += 1
    return arrival_s / REQUESTS * 1e6, end_s / ends * 1e6


def main():
    print("| candidates | waiting | arrival, us | end, us |")
    print("|---|---|---|---|")
    for candidates, backlog in ((3, 0), (16, 0), (3, 200), (16, 200)):
        arrival_us, end_us = measure(candidates, backlog)
        print(f"| {candidates} | {backlog} | {arrival_us:.0f} | {end_us:.0f} |")


if __name__ == "__main__":
    main()
