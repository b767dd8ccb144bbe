"""Credit: the usage caps of accounts hold for all VMs together.

Modelled in virtual time on a deployment of 60 or 300 VMs: 16 accounts, caps of 4,200 to
165,000 tokens a second, requests of 800 to 9,000 tokens that reach any VM, accounts
that request several times their cap, and VMs that are killed, frozen or cut off from
the others. The usage in no window of 8 s may exceed what the deployment tolerates, and
an account below its cap is not refused.
"""

import collections
import random
import types

import pytest

import fleet_builders
import gateway_builders
import virtual_time
from mothworks import peers
from mothworks_gateway import (
    aggregation,
    client_accounts,
    credit,
    declarations,
    discovery,
    error_rates,
    feeding,
    fleet_size,
    freshness,
    health,
    heartbeat,
    lease,
    owners,
    registry,
    running_requests,
    settings,
    shared_budgets,
    shared_health,
    sliding_windows,
    token_bucket,
)

BOUNDS = settings.Bounds(cap_window_s=8.0, cap_over=0.1, cap_slack=17_000.0)
TOKENS = client_accounts.CapUnit.TOKENS


def cap(per_s):
    return client_accounts.UsageCap(per_s, per_s, TOKENS, 200)


def account(name, per_s):
    return client_accounts.ClientAccount(name, frozenset(), None, cap(per_s))


class Freshness:
    """Fake freshness whose declaration ages while the VM is cut off."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    def age_s(self):
        return self.fleet.age_s(self.name)

    def is_fleet_wide(self):
        return False


class Vm:
    """One VM with heartbeats, aggregation and credit, without network."""

    def __init__(self, name, fleet):
        view = registry.Registry()
        # As new as all heartbeats state, so that no VM fetches state from a peer.
        view.cursor = 1
        parts = {
            lease.Lease: types.SimpleNamespace(holder=lambda: ""),
            declarations.Declarations: types.SimpleNamespace(
                version=1, current=types.SimpleNamespace(accounts=fleet.accounts)
            ),
            discovery.Discovery: types.SimpleNamespace(registry=view, changed_at=1),
            feeding.FeedFollowers: None,
            freshness.Freshness: Freshness(fleet, name),
        }
        kernel = fleet_builders.make_kernel(name, fleet.names, fleet.network, parts)
        kernel.settings = gateway_builders.make_settings(name=name, bounds=BOUNDS)
        kernel.parts[peers.Peers] = fleet_builders.SplitPeers(
            name, fleet.network, fleet.names
        )
        kernel.parts[heartbeat.Heartbeats] = self.heartbeats = heartbeat.Heartbeats(
            kernel
        )
        kernel.parts[running_requests.RunningRequests] = (
            running_requests.RunningRequests(kernel)
        )
        kernel.parts[health.Health] = health.Health(kernel)
        kernel.parts[shared_health.SharedHealth] = shared_health.SharedHealth(kernel)
        kernel.parts[owners.Owners] = owners.Owners(kernel)
        kernel.parts[fleet_size.FleetSize] = fleet_size.FleetSize(kernel)
        kernel.parts[shared_budgets.SharedBudgets] = shared_budgets.SharedBudgets(
            kernel
        )
        fleet_builders.add_endpoint_limits(kernel)
        self.aggregation = aggregation.Aggregation(kernel)
        self.credits = credit.Credits(kernel)


class Fleet:
    """VMs that send heartbeats four times a second, and their callers.

    :param count: number of VMs.
    :param caps: units per second of each account's cap, by name.
    """

    def __init__(self, monkeypatch, count, caps, seed=1):
        modules = (
            credit,
            owners,
            aggregation,
            health,
            running_requests,
            heartbeat,
            error_rates,
            shared_budgets,
            sliding_windows,
        )
        self.clock = virtual_time.Clock(monkeypatch, *modules)
        self.random = random.Random(seed)
        # The reserve depends on a random draw.
        random.seed(seed)
        self.network = fleet_builders.SplitNetwork()
        self.cut_at_by_vm = {}
        self.accounts = client_accounts.Accounts(
            {name: account(name, per_s) for name, per_s in caps.items()}
        )
        self.names = fleet_builders.vm_names(count)
        self.vm_by_name = {name: Vm(name, self) for name in self.names}
        self.granted = collections.defaultdict(list)
        self.refused = collections.Counter()
        self.requested = collections.Counter()
        self.run(2.0, {})

    def age_s(self, name):
        """Return the age of a VM's declaration.

        It is 0.7 s, half of the usual maximum of 1.4 s, and grows while the VM is cut
        off.
        """
        return 0.7 + self.clock.now - self.cut_at_by_vm.get(name, self.clock.now)

    def cut(self, names):
        """Cut some VMs off from all others; they still reach each other."""
        for name in names:
            self.network.group_by_vm[name] = 1
            self.cut_at_by_vm[name] = self.clock.now

    def update_memberships(self):
        """Update every VM's membership to the VMs that it reaches."""
        for name, vm in self.vm_by_name.items():
            fleet_builders.update_membership(
                vm.credits.kernel, name, self.names, self.network
            )

    def owner(self, name):
        return self.vm_by_name[self.names[0]].credits.budgets.owners.ranked(
            f"cap {name}"
        )[0]

    def run(self, seconds, rate_by_account, vms=None):
        """Advance time while callers send requests.

        :param rate_by_account: tokens per second that each account requests.
        :param vms: the VMs that receive the requests; all by default.
        """
        steps = round(seconds / 0.01)
        for step in range(steps):
            self.clock.advance(0.01)
            for name, per_s in rate_by_account.items():
                mean_units = 3000
                if self.random.random() < per_s / mean_units * 0.01 % 1:
                    self.request(name, vms)
                for _ in range(int(per_s / mean_units * 0.01)):
                    self.request(name, vms)
            if step % 25 == 0:
                self.send_heartbeats()

    def send_heartbeats(self):
        for name in self.random.sample(self.names, len(self.names)):
            if name not in self.network.down:
                self.vm_by_name[name].heartbeats.send()

    def request(self, name, vms=None):
        vm = self.random.choice([vm for vm in vms or self.names if vm not in self.down])
        units = self.random.triangular(800, 9000, 1500) * 3000 / 3767
        self.requested[name] += 1
        # A VM that is cut off refuses all callers with keys once its declaration is 4 s
        # old.
        unproven = self.age_s(vm) > 4.0
        if unproven or self.admit(vm, name, units).is_err():
            self.refused[name] += 1

    def admit(self, vm, name, units):
        admitted = self.vm_by_name[vm].credits.acquire(
            self.accounts.by_name[name], units
        )
        if admitted.is_ok():
            self.granted[name].append((self.clock.now, units))
        return admitted

    @property
    def down(self):
        return self.network.down

    def worst_window(self, name):
        """Return the highest usage in a window, relative to what is tolerated."""
        allowed = self.accounts.by_name[name].cap.max_units(8.0) * 1.1 + 17_000.0
        granted = self.granted[name]
        first, used, worst_window = 0, 0.0, 0.0
        for at, units in granted:
            used += units
            while granted[first][0] < at - 8.0:
                used -= granted[first][1]
                first += 1
            worst_window = max(worst_window, used)
        return worst_window / allowed


SMALL, LARGE = 4_200.0, 165_148.0


@pytest.mark.parametrize("count", [1, 6, 60, 300])
def test_an_account_below_its_cap_is_not_refused(monkeypatch, count):
    # With equal shares, each of 60 VMs has 70 tokens a second of the smallest cap, and
    # one request costs 800 to 9,000: nearly all were refused.
    fleet = Fleet(monkeypatch, count, {"small": SMALL, "large": LARGE})
    fleet.run(10.0, {"small": SMALL / 1.8, "large": LARGE / 1.8})
    assert fleet.refused["large"] == 0
    # Concurrent requests together may briefly exceed the burst.
    assert fleet.refused["small"] <= 0.2 * fleet.requested["small"]


@pytest.mark.parametrize("vms", [None, 1])
@pytest.mark.parametrize("count", [1, 6, 60, 300])
def test_an_account_beyond_its_cap_gets_its_cap(monkeypatch, count, vms):
    # Each account sends eight times its usual rate, to all VMs or to one.
    fleet = Fleet(monkeypatch, count, {"small": SMALL, "large": LARGE})
    chosen = fleet.names[:vms] if vms else None
    rates = {"small": 4.4 * SMALL, "large": 4.4 * LARGE}
    fleet.run(12.0, rates, chosen)
    for name, per_s in (("small", SMALL), ("large", LARGE)):
        assert fleet.worst_window(name) <= 1.0
        assert sum(units for _, units in fleet.granted[name]) >= 0.95 * per_s * 12.0


@pytest.mark.parametrize("count", [6, 20, 60])
@pytest.mark.parametrize("seed", range(3))
def test_a_failed_owner_is_replaced_at_once(monkeypatch, count, seed):
    # The owner of an account over its cap fails. The next owner must neither start with
    # a full bucket nor refuse all requests until membership notices.
    fleet = Fleet(monkeypatch, count, {"small": SMALL, "large": LARGE}, seed)
    rates = {"small": 4.4 * SMALL, "large": 4.4 * LARGE}
    fleet.run(4.0, rates)
    fleet.down.add(fleet.owner("large"))
    before = sum(units for _, units in fleet.granted["large"])
    fleet.run(4.0, rates)
    for name in rates:
        assert fleet.worst_window(name) <= 1.0
    after = sum(units for _, units in fleet.granted["large"]) - before
    assert after >= 0.9 * LARGE * 4.0


@pytest.mark.parametrize("count", [6, 60])
@pytest.mark.parametrize("share", [0.35, 0.6])
@pytest.mark.parametrize("seed", range(3))
def test_both_sides_of_a_partition_do_not_grant_a_cap_twice(
    monkeypatch, count, share, seed
):
    # Part of the VMs is cut off from the rest, and accounts send eight times their
    # usual rate everywhere. Each side has an owner that receives nothing from the
    # other.
    fleet = Fleet(monkeypatch, count, {"small": SMALL, "large": LARGE}, seed)
    rates = {"small": 4.4 * SMALL, "large": 4.4 * LARGE}
    fleet.run(4.0, rates)
    fleet.cut(fleet.random.sample(fleet.names, int(share * count)))
    fleet.run(8.0, rates)
    for name in rates:
        assert fleet.worst_window(name) <= 1.0


@pytest.mark.parametrize("count", [6, 60])
@pytest.mark.parametrize("share", [0.35, 0.6])
@pytest.mark.parametrize("seed", range(3))
def test_an_account_whose_usage_rises_as_vms_are_cut_off_stays_within_its_cap(
    monkeypatch, count, share, seed
):
    # The VMs that are cut off keep granting briefly, since the account was far from its
    # cap, while it sends eight times its usual rate to all VMs.
    fleet = Fleet(monkeypatch, count, {"small": SMALL, "large": LARGE}, seed)
    fleet.run(8.0, {"small": 0.55 * SMALL, "large": 0.55 * LARGE})
    fleet.cut(fleet.random.sample(fleet.names, int(share * count)))
    fleet.run(8.0, {"small": 4.4 * SMALL, "large": 4.4 * LARGE})
    for name in ("small", "large"):
        assert fleet.worst_window(name) <= 1.0


def test_vms_that_are_cut_off_keep_serving_briefly(monkeypatch):
    # A third of the VMs is cut off, and no account is near its cap. Their callers are
    # served until the load balancer routes them to other VMs.
    fleet = Fleet(monkeypatch, 60, {"large": LARGE})
    fleet.run(8.0, {"large": 0.55 * LARGE})
    cut_vms = fleet.random.sample(fleet.names, 21)
    fleet.cut(cut_vms)
    fleet.refused.clear()
    fleet.requested.clear()
    fleet.run(0.5, {"large": 0.55 * LARGE}, cut_vms)
    assert fleet.refused["large"] <= 0.5 * fleet.requested["large"]


def test_unused_credit_is_refunded(monkeypatch):
    # A request is admitted but no endpoint has its model, so it does not run. Its
    # credit must be refunded, and the next owner must not count it as used.
    fleet = Fleet(monkeypatch, 60, {"small": SMALL})
    requester = fleet.names[5]
    grant = fleet.admit(requester, "small", 4000.0).unwrap()
    fleet.vm_by_name[requester].credits.refund(grant)
    fleet.send_heartbeats()
    fleet.send_heartbeats()
    for name in fleet.vm_by_name[requester].credits.budgets.owners.candidates():
        bucket = fleet.vm_by_name[name].credits._bucket("small")
        bucket.debit(0.0, fleet.clock.monotonic())
        assert bucket.level == pytest.approx(SMALL)


def test_all_candidates_account_for_all_grants(monkeypatch):
    fleet = Fleet(monkeypatch, 60, {"small": SMALL})
    for _ in range(3):
        fleet.admit(fleet.random.choice(fleet.names), "small", 4000.0)
    fleet.send_heartbeats()
    fleet.send_heartbeats()
    levels = set()
    for name in fleet.vm_by_name[fleet.names[0]].credits.budgets.owners.candidates():
        bucket = fleet.vm_by_name[name].credits._bucket("small")
        bucket.debit(0.0, fleet.clock.monotonic())
        levels.add(round(bucket.level))
    assert len(levels) == 1


def test_a_vm_that_becomes_a_candidate_starts_without_credit(monkeypatch):
    fleet = Fleet(monkeypatch, 60, {"small": SMALL})
    credits_part = fleet.vm_by_name[fleet.names[0]].credits
    candidates = credits_part.budgets.owners.candidates()
    newcomer = next(vm for vm in fleet.names if vm not in candidates)
    credits_part = fleet.vm_by_name[newcomer].credits
    credits_part.budgets._update_candidacy()
    monkeypatch.setattr(credits_part.budgets.owners, "candidates", lambda: [newcomer])
    credits_part.budgets._update_candidacy()
    assert credits_part._bucket("small").level == 0.0
    assert credits_part._bucket("small").at == fleet.clock.monotonic()


def test_vms_that_start_together_do_not_each_grant_the_cap(monkeypatch):
    # All processes were killed at once. Until they discover each other, each considers
    # itself the only VM, while an account sends several times its cap to all of them.
    fleet = Fleet(monkeypatch, 60, {"large": LARGE})
    credits_part = Vm("vm-60", fleet).credits
    monkeypatch.setattr(credits_part.budgets.owners, "candidates", lambda: ["vm-60"])
    monkeypatch.setattr(credits_part.budgets.owners, "ranked", lambda _: ["vm-60"])
    fleet.clock.advance(1.0)
    large = fleet.accounts.by_name["large"]
    assert credits_part.acquire(large, 500.0).err() == credit.Unchecked()
    fleet.clock.advance(1.0)
    assert credits_part.acquire(large, 500.0).is_ok()


def test_a_vm_without_an_owner_uses_its_reserve(monkeypatch):
    # One VM is cut off from all others. It may grant a share of its own usage, and then
    # reports that it can't check the cap, not that the account is over it.
    fleet = Fleet(monkeypatch, 60, {"large": LARGE})
    fleet.run(8.0, {"large": LARGE / 1.8}, fleet.names[:10])
    isolated = next(
        vm
        for vm in fleet.names[:10]
        if vm not in fleet.vm_by_name[vm].credits.budgets.owners.candidates()
    )
    fleet.cut([isolated])
    outcomes = [fleet.admit(isolated, "large", 500.0) for _ in range(200)]
    assert outcomes[0].is_ok()
    assert outcomes[-1].err() == credit.Unchecked()


def test_a_cap_in_requests_counts_requests(monkeypatch):
    fleet = Fleet(monkeypatch, 6, {"small": SMALL})
    request_cap = client_accounts.UsageCap(2.0, 2.0)
    fleet.accounts.by_name["small"] = client_accounts.ClientAccount(
        "small", frozenset(), None, request_cap
    )
    assert request_cap.cost(9000) == 1
    exact_bounds = settings.Bounds(cap_window_s=8.0)
    for name, vm in fleet.vm_by_name.items():
        node_settings = gateway_builders.make_settings(name=name, bounds=exact_bounds)
        vm.credits.kernel.settings = node_settings
    outcomes = [
        fleet.admit(vm, "small", request_cap.cost(9000)) for vm in fleet.names[:4]
    ]
    assert [item.is_ok() for item in outcomes] == [True, True, False, False]


def test_an_account_has_a_bucket(monkeypatch):
    fleet = Fleet(monkeypatch, 1, {"small": SMALL})
    bucket = fleet.vm_by_name["vm-0"].credits._bucket("small")
    assert isinstance(bucket, token_bucket.TokenBucket)


# Guards against a partition whose two sides both reach the platform: declarations stay
# fresh, and each side granted the whole cap once membership had noticed.
@pytest.mark.parametrize("count", [6, 60])
@pytest.mark.parametrize("share", [0.35, 0.5])
def test_sides_that_both_reach_the_platform_do_not_grant_a_cap_twice(
    monkeypatch, count, share
):
    fleet = Fleet(monkeypatch, count, {"small": SMALL, "large": LARGE})
    rates = {"small": 4.4 * SMALL, "large": 4.4 * LARGE}
    fleet.run(4.0, rates)
    fleet.cut(fleet.random.sample(fleet.names, int(share * count)))
    fleet.cut_at_by_vm.clear()
    fleet.run(3.0, rates)
    fleet.update_memberships()
    fleet.run(10.0, rates)
    for name in rates:
        assert fleet.worst_window(name) <= 1.0
