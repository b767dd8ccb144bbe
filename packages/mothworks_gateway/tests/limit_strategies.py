"""Alternative strategies for enforcing an endpoint's limit over all VMs.

Run as a program, it prints the table in ``docs/design/endpoint-limits.md``.
"""

import statistics

import pytest
import result

import limit_simulation
from mothworks_gateway import client_accounts, send_slots, token_bucket

#: Requested rate as a multiple of the limit.
OVERLOAD_FACTOR = 6.0
WARM_UP_S, RUN_S = 4.0, 12.0


class PerVmLimit(limit_simulation.Fleet):
    """Each VM enforces the whole limit on its own, without an owner."""

    def __init__(self, *args, **fields):
        self.bucket_by_key = {}
        super().__init__(*args, **fields)

    def share_per_vm(self):
        return 1.0

    def acquire(self, name, request, ranked, max_wait_s):
        (endpoint,) = ranked
        per_s = self.vm_by_name[name].limits.per_s(endpoint.id)
        if per_s is None:
            return result.Ok(send_slots.SendSlot(endpoint))
        cap = client_accounts.UsageCap(per_s, send_slots.BURST).scaled(
            self.share_per_vm()
        )
        now = self.clock.monotonic()
        bucket = self.bucket_by_key.setdefault(
            (name, cap), token_bucket.TokenBucket(cap, now)
        )
        wait_s = bucket.wait_s(1, now)
        retry_after_s = bucket.acquire(1, now, max_wait_s)
        if retry_after_s:
            return result.Err(
                send_slots.AtLimit(endpoint, per_s, 0.0, retry_after_s, "")
            )
        return result.Ok(send_slots.SendSlot(endpoint, per_s, now + wait_s))


class EqualShares(PerVmLimit):
    """Each VM enforces an equal share of the limit."""

    def share_per_vm(self):
        return 1.0 / len(self.names)


class NoQueue(limit_simulation.Fleet):
    """The owner grants slots at once or refuses them, so that no request waits."""

    def acquire(self, name, request, ranked, max_wait_s):
        return super().acquire(name, request, ranked, 0.0)


class LongQueue(limit_simulation.Fleet):
    """The owner's queue is as long in a lasting overload as in a burst."""

    def __init__(self, monkeypatch, *args, **fields):
        monkeypatch.setattr(send_slots, "OVERLOAD_MAX_AHEAD_S", send_slots.MAX_AHEAD_S)
        super().__init__(monkeypatch, *args, **fields)


STRATEGIES = {
    "each VM on its own": PerVmLimit,
    "equal shares": EqualShares,
    "an owner, no queue": NoQueue,
    "an owner, a queue": LongQueue,
    "an owner, a queue that overload shortens": limit_simulation.Fleet,
}


class Trial:
    """Measures one strategy at one endpoint.

    :param strategy: the strategy's name.
    :param count: number of VMs.
    :param per_s: the limit, requests per second.
    :param vms: number of VMs that receive requests; None for all.
    """

    def __init__(self, monkeypatch, strategy, count, per_s, vms=None):
        fleet = STRATEGIES[strategy](monkeypatch, count)
        (endpoint,) = fleet.endpoints
        endpoint.per_s = per_s
        fleet.run(WARM_UP_S, OVERLOAD_FACTOR * per_s)
        since = fleet.now
        fleet.waits.clear()
        fleet.run(RUN_S, OVERLOAD_FACTOR * per_s, fleet.names[:vms])
        sent = endpoint.arrivals_between(since, fleet.now)
        self.worst_ratio = endpoint.worst_ratio()
        self.utilisation = len(sent) / (per_s * RUN_S)
        self.wait_s = statistics.median(fleet.waits) if fleet.waits else 0.0


def main():
    print("| strategy | VMs | limit | worst | used | one VM: used | wait, s |")
    print("|---|---|---|---|---|---|---|")
    for per_s in (1.5, 12.0):
        for count in (8, 60, 300):
            for strategy in STRATEGIES:
                trials = []
                for vms in (None, 1):
                    with pytest.MonkeyPatch.context() as monkeypatch:
                        trials.append(Trial(monkeypatch, strategy, count, per_s, vms))
                all_vms, single_vm = trials
                print(
                    f"| {strategy} | {count} | {per_s:g} | {all_vms.worst_ratio:.2f} "
                    f"| {all_vms.utilisation:.2f} | {single_vm.utilisation:.2f} "
                    f"| {all_vms.wait_s:.2f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
