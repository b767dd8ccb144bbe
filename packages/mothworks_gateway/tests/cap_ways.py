"""Ways to keep a usage cap over all VMs, beside the one that ships.

Run as a program it prints the table of ``docs/design/client-accounts.md``.
"""

import collections

import pytest
import result

import test_credit
from mothworks_gateway import bucket, client_accounts, credit

#: Part of a cap that is dealt equally where the rest follows demand.
EQUAL_SHARE = 0.2


class EqualParts(test_credit.Fleet):
    """Each VM grants an equal part of each cap, and nobody asks."""

    def __init__(self, *args, **fields):
        self.bucket_by_key = {}
        super().__init__(*args, **fields)

    def part(self, vm, name):
        return 1.0 / len(self.names)

    def admit(self, vm, name, units):
        whole = self.accounts.by_name[name].cap
        share = self.part(vm, name)
        dealt = client_accounts.UsageCap(
            whole.per_s * share, whole.burst * share, whole.unit
        )
        now = self.clock.monotonic()
        known = self.bucket_by_key.get((vm, name))
        if known is None:
            known = self.bucket_by_key[vm, name] = bucket.Bucket(dealt, 0.0)
        known.change(dealt, now)
        wait_s = known.take(units, now)
        if wait_s:
            return result.Err(credit.Over(wait_s))
        self.ran[name].append((self.clock.now, units))
        return result.Ok(None)


class PartsByDemand(EqualParts):
    """Parts follow what each VM was asked for, as sums a quarter of a second old."""

    def __init__(self, *args, **fields):
        self.asked_units = collections.Counter()
        self.parts = {}
        super().__init__(*args, **fields)

    def part(self, vm, name):
        return self.parts.get((vm, name), 1.0 / len(self.names))

    def admit(self, vm, name, units):
        self.asked_units[vm, name] += units
        return super().admit(vm, name, units)

    def beat(self):
        total = collections.Counter()
        for (_, name), units in self.asked_units.items():
            total[name] += units
        equal = EQUAL_SHARE / len(self.names)
        self.parts = {
            (vm, name): equal
            + (1 - EQUAL_SHARE) * self.asked_units[vm, name] / max(1.0, total[name])
            for vm in self.names
            for name in self.accounts.by_name
        }
        for key in self.asked_units:
            # A second's memory.
            self.asked_units[key] *= 0.75


WAYS = {
    "equal parts": EqualParts,
    "parts by demand": PartsByDemand,
    "an owner lends": test_credit.Fleet,
}


def refused_share(fleet, name):
    return fleet.refused[name] / max(1, fleet.asked[name])


def print_table():
    """Print refusals below the cap, and the worst window beyond it."""
    print("way | VMs | cap | refused at 0.55 of it | worst window at 4.4 times it")
    for count in (60, 300):
        for way, kind in WAYS.items():
            for name, per_s in (
                ("small", test_credit.SMALL),
                ("large", test_credit.LARGE),
            ):
                with pytest.MonkeyPatch.context() as patch:
                    calm = kind(patch, count, {name: per_s}, seed=7)
                    calm.run(20.0, {name: 0.55 * per_s})
                with pytest.MonkeyPatch.context() as patch:
                    hot = kind(patch, count, {name: per_s}, seed=7)
                    hot.run(12.0, {name: 4.4 * per_s}, hot.names[:1])
                print(
                    f"{way} | {count} | {per_s:.0f} | {refused_share(calm, name):.3f}"
                    f" | {hot.worst(name):.2f}, "
                    f"{sum(u for _, u in hot.ran[name]) / per_s / 12.0:.2f} of the cap"
                    " used at one VM"
                )


if __name__ == "__main__":
    print_table()
