"""Ways to keep an endpoint's limit over all VMs, beside the one that ships.

Run as a program it prints the table of ``docs/design/endpoint-limits.md``.
"""

import statistics

import pytest
import result

import limited_fleet
from mothworks_gateway import bucket, client_accounts, send_slots

#: Multiple of the limits that callers ask for.
DEMAND = 6.0
WARM_UP_S, RUN_S = 4.0, 12.0


class EachByItself(limited_fleet.Fleet):
    """Each VM keeps the whole limit by itself, and nobody asks."""

    def __init__(self, *args, **fields):
        self.bucket_by_key = {}
        super().__init__(*args, **fields)

    def part(self):
        return 1.0

    def find(self, name, request, ranked, left_s):
        (endpoint,) = ranked
        per_s = self.vm_by_name[name].limits.per_s(endpoint.id)
        if per_s is None:
            return result.Ok(send_slots.Slot(endpoint))
        cap = client_accounts.UsageCap(per_s, send_slots.BURST).part(self.part())
        now = self.clock.monotonic()
        kept = self.bucket_by_key.setdefault((name, cap), bucket.Bucket(cap, now))
        room_s = kept.wait_s(1, now)
        return_s = kept.take(1, now, left_s)
        if return_s:
            return result.Err(send_slots.Full(endpoint, per_s, 0.0, return_s, ""))
        return result.Ok(send_slots.Slot(endpoint, per_s, now + room_s))


class EqualParts(EachByItself):
    """Each VM has an equal part of the limit."""

    def part(self):
        return 1.0 / len(self.names)


class NoLine(limited_fleet.Fleet):
    """An owner grants slots at once or not at all, so that no request waits."""

    def find(self, name, request, ranked, left_s):
        return super().find(name, request, ranked, 0.0)


class LongLine(limited_fleet.Fleet):
    """An owner whose line is as long under lasting overload as in a burst."""

    def __init__(self, monkeypatch, *args, **fields):
        monkeypatch.setattr(send_slots, "OVERLOADED_AHEAD_S", send_slots.MOST_AHEAD_S)
        super().__init__(monkeypatch, *args, **fields)


WAYS = {
    "each VM by itself": EachByItself,
    "equal parts": EqualParts,
    "an owner, no line": NoLine,
    "an owner, a line": LongLine,
    "an owner, a line that overload shortens": limited_fleet.Fleet,
}


class Outcome:
    """What one way does to one endpoint.

    :param way: the way's name.
    :param count: VMs.
    :param per_s: the limit.
    :param vms: how many VMs callers reach; all where it is None.
    """

    def __init__(self, monkeypatch, way, count, per_s, vms=None):
        fleet = WAYS[way](monkeypatch, count)
        (endpoint,) = fleet.endpoints
        endpoint.per_s = per_s
        fleet.run(WARM_UP_S, DEMAND * per_s)
        since = fleet.now
        fleet.waits.clear()
        fleet.run(RUN_S, DEMAND * per_s, fleet.names[:vms])
        sent = endpoint.between(since, fleet.now)
        self.worst = endpoint.worst()
        self.used = len(sent) / (per_s * RUN_S)
        self.wait_s = statistics.median(fleet.waits) if fleet.waits else 0.0


def main():
    print("| way | VMs | limit | worst | used | one VM: used | wait, s |")
    print("|---|---|---|---|---|---|---|")
    for per_s in (1.5, 12.0):
        for count in (8, 60, 300):
            for way in WAYS:
                row = []
                for vms in (None, 1):
                    with pytest.MonkeyPatch.context() as monkeypatch:
                        row.append(Outcome(monkeypatch, way, count, per_s, vms))
                all_vms, one = row
                print(
                    f"| {way} | {count} | {per_s:g} | {all_vms.worst:.2f} "
                    f"| {all_vms.used:.2f} | {one.used:.2f} | {all_vms.wait_s:.2f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
