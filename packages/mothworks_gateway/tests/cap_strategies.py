"""Alternative strategies to enforce a usage cap over all VMs, for comparison.

Run as a program it prints the table of ``docs/design/client-accounts.md``.
"""

import collections

import pytest
import result

import test_credit
from mothworks_gateway import client_accounts, credit, token_bucket

#: Share of a cap that is split equally where the rest follows demand.
EQUAL_SHARE = 0.2


class EqualShares(test_credit.Fleet):
    """Each VM grants an equal share of each cap by itself, without an owner."""

    def __init__(self, *args, **fields):
        self.bucket_by_key = {}
        super().__init__(*args, **fields)

    def share_of(self, vm, name):
        return 1.0 / len(self.names)

    def admit(self, vm, name, units):
        cap = self.accounts.by_name[name].cap
        share = self.share_of(vm, name)
        vm_cap = client_accounts.UsageCap(
            cap.per_s * share, cap.burst * share, cap.unit
        )
        now = self.clock.monotonic()
        bucket = self.bucket_by_key.get((vm, name))
        if bucket is None:
            bucket = self.bucket_by_key[vm, name] = token_bucket.TokenBucket(
                vm_cap, 0.0
            )
        bucket.set_cap(vm_cap, now)
        wait_s = bucket.acquire(units, now)
        if wait_s:
            return result.Err(credit.OverCap(wait_s))
        self.granted[name].append((self.clock.now, units))
        return result.Ok(None)


class SharesByDemand(EqualShares):
    """Shares follow the demand at each VM, by sums up to a quarter of a second old."""

    def __init__(self, *args, **fields):
        self.demand = collections.Counter()
        self.share_by_key = {}
        super().__init__(*args, **fields)

    def share_of(self, vm, name):
        return self.share_by_key.get((vm, name), 1.0 / len(self.names))

    def admit(self, vm, name, units):
        self.demand[vm, name] += units
        return super().admit(vm, name, units)

    def send_heartbeats(self):
        total = collections.Counter()
        for (_, name), units in self.demand.items():
            total[name] += units
        equal = EQUAL_SHARE / len(self.names)
        self.share_by_key = {
            (vm, name): equal
            + (1 - EQUAL_SHARE) * self.demand[vm, name] / max(1.0, total[name])
            for vm in self.names
            for name in self.accounts.by_name
        }
        for key in self.demand:
            # Decays demand with a time constant of about one second.
            self.demand[key] *= 0.75


STRATEGIES = {
    "equal parts": EqualShares,
    "parts by demand": SharesByDemand,
    "an owner grants": test_credit.Fleet,
}


def refused_share(fleet, name):
    return fleet.refused[name] / max(1, fleet.requested[name])


def print_table():
    """Print refusals below the cap, and the worst window above it."""
    print("strategy | VMs | cap | refused at 0.55 of it | worst window at 4.4 times it")
    for count in (60, 300):
        for strategy, kind in STRATEGIES.items():
            for name, per_s in (
                ("small", test_credit.SMALL),
                ("large", test_credit.LARGE),
            ):
                with pytest.MonkeyPatch.context() as patch:
                    under = kind(patch, count, {name: per_s}, seed=7)
                    under.run(20.0, {name: 0.55 * per_s})
                with pytest.MonkeyPatch.context() as patch:
                    over = kind(patch, count, {name: per_s}, seed=7)
                    over.run(12.0, {name: 4.4 * per_s}, over.names[:1])
                print(
                    f"{strategy} | {count} | {per_s:.0f} | "
                    f"{refused_share(under, name):.3f}"
                    f" | {over.worst_window(name):.2f}, "
                    f"{sum(u for _, u in over.granted[name]) / per_s / 12.0:.2f}"
                    " of the cap used at one VM"
                )


if __name__ == "__main__":
    print_table()
