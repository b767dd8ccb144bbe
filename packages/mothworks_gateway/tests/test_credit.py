"""Credit: the usage caps of accounts hold for all VMs together.

The pattern is a deployment of 60 or 300 VMs in virtual time: 16 accounts, caps of
4,200 to 165,000 tokens a second, requests of 800 to 9,000 tokens that reach any VM,
accounts that ask for several times their cap, and VMs that are killed, frozen or cut
from the others. No window of 8 s may run more than the deployment tolerates, and an
account below its cap is not refused.
"""

import collections
import random
import types

import pytest
import result

import fleet_builders
import gateway_builders
import virtual_time
from mothworks import messages, peers
from mothworks_gateway import (
    bucket,
    client_accounts,
    credit,
    declarations,
    discovery,
    evidence,
    feeding,
    fleet_size,
    freshness,
    gathering,
    health,
    heartbeat,
    lease,
    load,
    owners,
    registry,
    seen_answers,
    settings,
    shared_budgets,
    windows,
)

BOUNDS = settings.Bounds(cap_window_s=8.0, cap_over=0.1, cap_slack=17_000.0)
TOKENS = client_accounts.CapUnit.TOKENS


def cap(per_s):
    return client_accounts.UsageCap(per_s, per_s, TOKENS, 200)


def account(name, per_s):
    return client_accounts.ClientAccount(name, frozenset(), None, cap(per_s))


class Peers(fleet_builders.Peers):
    """Connections over which VMs also ask each other, at once or not at all."""

    def open(self, _):
        pass

    def call(self, vm, message, timeout_s):
        told = []
        if not {vm, self.name} & self.wire.down and not self.wire.cuts(self.name, vm):
            unpacked, _ = messages.unpack(
                messages.msgpack.unpackb(messages.pack(message))
            )
            handler = self.wire.peers_by_vm[vm].handler_by_class[type(unpacked)]
            handler(self.name, unpacked, told.append)
        if not told:
            return result.Err(peers.PeerFailure(vm, "no reply in time", True))
        return result.Ok(told[0])


class Wire(fleet_builders.Wire):
    """A wire between groups of VMs; those of other groups are not reached."""

    def __init__(self):
        super().__init__()
        self.group_by_vm = collections.Counter()

    def cuts(self, one, other):
        return self.group_by_vm[one] != self.group_by_vm[other]

    def carry(self, sender, receiver, frame):
        if not self.cuts(sender, receiver):
            super().carry(sender, receiver, frame)


class Freshness:
    """Stands for a proof that ages while the VM is cut off."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    def age_s(self):
        return self.fleet.age_s(self.name)

    def shared_by_all(self):
        return False


class Vm:
    """One VM: heartbeats, gathering and credit, without network."""

    def __init__(self, name, fleet):
        view = registry.Registry()
        # As new as all heartbeats say, so that nobody asks for what it lacks.
        view.cursor = 1
        parts = {
            lease.Lease: types.SimpleNamespace(holder=lambda: ""),
            declarations.Declarations: types.SimpleNamespace(
                version=1, current=types.SimpleNamespace(accounts=fleet.accounts)
            ),
            discovery.Discovery: types.SimpleNamespace(registry=view, changed_at=1),
            feeding.Feeding: None,
            freshness.Freshness: Freshness(fleet, name),
        }
        kernel = fleet_builders.kernel_of(name, fleet.names, fleet.wire, parts)
        kernel.settings = gateway_builders.make_settings(name=name, bounds=BOUNDS)
        kernel.parts[peers.Peers] = Peers(name, fleet.wire, fleet.names)
        kernel.parts[heartbeat.Heartbeats] = self.heartbeats = heartbeat.Heartbeats(
            kernel
        )
        kernel.parts[load.Load] = load.Load(kernel)
        kernel.parts[health.Health] = health.Health(kernel)
        kernel.parts[evidence.Evidence] = evidence.Evidence(kernel)
        kernel.parts[owners.Owners] = owners.Owners(kernel)
        kernel.parts[fleet_size.FleetSize] = fleet_size.FleetSize(kernel)
        kernel.parts[shared_budgets.SharedBudgets] = shared_budgets.SharedBudgets(
            kernel
        )
        fleet_builders.add_limits(kernel)
        self.gathering = gathering.Gathering(kernel)
        self.credits = credit.Credits(kernel)


class Fleet:
    """VMs that heartbeat four times a second, and their callers.

    :param count: VMs.
    :param caps: units a second of each account's cap, by name.
    """

    def __init__(self, monkeypatch, count, caps, seed=1):
        modules = (
            credit,
            owners,
            gathering,
            health,
            load,
            heartbeat,
            seen_answers,
            shared_budgets,
            windows,
        )
        self.clock = virtual_time.Clock(monkeypatch, *modules)
        self.draw = random.Random(seed)
        # Reserves are drawn by lot.
        random.seed(seed)
        self.wire = Wire()
        self.cut_at_by_vm = {}
        self.accounts = client_accounts.Accounts(
            {name: account(name, per_s) for name, per_s in caps.items()}
        )
        self.names = fleet_builders.names_of(count)
        self.vm_by_name = {name: Vm(name, self) for name in self.names}
        self.ran = collections.defaultdict(list)
        self.refused = collections.Counter()
        self.asked = collections.Counter()
        self.run(2.0, {})

    def age_s(self, name):
        """Return how old a VM's proof is: up to 1.4 s, or as old as its cut."""
        return 0.7 + self.clock.now - self.cut_at_by_vm.get(name, self.clock.now)

    def cut(self, names):
        """Cut some VMs from all others; they reach each other."""
        for name in names:
            self.wire.group_by_vm[name] = 1
            self.cut_at_by_vm[name] = self.clock.now

    def notice(self):
        """Let membership notice who is reached and who is not."""
        for name, vm in self.vm_by_name.items():
            fleet_builders.notice(vm.credits.kernel, name, self.names, self.wire)

    def owner(self, name):
        return self.vm_by_name[self.names[0]].credits.budgets.owners.ranked(
            f"cap {name}"
        )[0]

    def run(self, seconds, rate_by_account, vms=None):
        """Let time pass while callers ask.

        :param rate_by_account: tokens a second that are asked for.
        :param vms: the VMs that are asked; all by default.
        """
        steps = round(seconds / 0.01)
        for step in range(steps):
            self.clock.advance(0.01)
            for name, per_s in rate_by_account.items():
                mean = 3000
                if self.draw.random() < per_s / mean * 0.01 % 1:
                    self.ask(name, vms)
                for _ in range(int(per_s / mean * 0.01)):
                    self.ask(name, vms)
            if step % 25 == 0:
                self.beat()

    def beat(self):
        for name in self.draw.sample(self.names, len(self.names)):
            if name not in self.wire.down:
                self.vm_by_name[name].heartbeats.send()

    def ask(self, name, vms=None):
        vm = self.draw.choice([vm for vm in vms or self.names if vm not in self.down])
        units = self.draw.triangular(800, 9000, 1500) * 3000 / 3767
        self.asked[name] += 1
        # Past two seconds more a VM that is cut off refuses all callers with keys.
        unproven = self.age_s(vm) > 4.0
        if unproven or self.admit(vm, name, units).is_err():
            self.refused[name] += 1

    def admit(self, vm, name, units):
        admitted = self.vm_by_name[vm].credits.admit(self.accounts.by_name[name], units)
        if admitted.is_ok():
            self.ran[name].append((self.clock.now, units))
        return admitted

    @property
    def down(self):
        return self.wire.down

    def worst(self, name):
        """Return the most that ran in a window, over what is tolerated."""
        allowed = self.accounts.by_name[name].cap.most_in(8.0) * 1.1 + 17_000.0
        ran = self.ran[name]
        first, used, worst = 0, 0.0, 0.0
        for at, units in ran:
            used += units
            while ran[first][0] < at - 8.0:
                used -= ran[first][1]
                first += 1
            worst = max(worst, used)
        return worst / allowed


SMALL, LARGE = 4_200.0, 165_148.0


@pytest.mark.parametrize("count", [1, 6, 60, 300])
def test_an_account_below_its_cap_is_not_refused(monkeypatch, count):
    # An equal part of the smallest cap is 70 tokens a second at each of 60 VMs, where
    # one request costs 800 to 9,000: nearly all were refused.
    fleet = Fleet(monkeypatch, count, {"small": SMALL, "large": LARGE})
    fleet.run(10.0, {"small": SMALL / 1.8, "large": LARGE / 1.8})
    assert fleet.refused["large"] == 0
    # The sum of requests that come together may exceed the burst for a moment.
    assert fleet.refused["small"] <= 0.2 * fleet.asked["small"]


@pytest.mark.parametrize("vms", [None, 1])
@pytest.mark.parametrize("count", [1, 6, 60, 300])
def test_an_account_beyond_its_cap_gets_its_cap(monkeypatch, count, vms):
    # One account sends eight times its usual, to all VMs or to one.
    fleet = Fleet(monkeypatch, count, {"small": SMALL, "large": LARGE})
    chosen = fleet.names[:vms] if vms else None
    rates = {"small": 4.4 * SMALL, "large": 4.4 * LARGE}
    fleet.run(12.0, rates, chosen)
    for name, per_s in (("small", SMALL), ("large", LARGE)):
        assert fleet.worst(name) <= 1.0
        assert sum(units for _, units in fleet.ran[name]) >= 0.95 * per_s * 12.0


@pytest.mark.parametrize("count", [6, 20, 60])
@pytest.mark.parametrize("seed", range(3))
def test_an_owner_that_dies_is_followed_at_once(monkeypatch, count, seed):
    # Its account is over its cap. The next owner must neither begin with a full
    # bucket nor refuse until membership has noticed.
    fleet = Fleet(monkeypatch, count, {"small": SMALL, "large": LARGE}, seed)
    rates = {"small": 4.4 * SMALL, "large": 4.4 * LARGE}
    fleet.run(4.0, rates)
    fleet.down.add(fleet.owner("large"))
    before = sum(units for _, units in fleet.ran["large"])
    fleet.run(4.0, rates)
    for name in rates:
        assert fleet.worst(name) <= 1.0
    after = sum(units for _, units in fleet.ran["large"]) - before
    assert after >= 0.9 * LARGE * 4.0


@pytest.mark.parametrize("count", [6, 60])
@pytest.mark.parametrize("share", [0.35, 0.6])
@pytest.mark.parametrize("seed", range(3))
def test_vms_that_are_cut_off_do_not_lend_a_cap_twice(monkeypatch, count, share, seed):
    # A third of the machines is cut from the rest, and an account sends eight times
    # its usual everywhere. Each part has an owner that hears nothing of the other.
    fleet = Fleet(monkeypatch, count, {"small": SMALL, "large": LARGE}, seed)
    rates = {"small": 4.4 * SMALL, "large": 4.4 * LARGE}
    fleet.run(4.0, rates)
    fleet.cut(fleet.draw.sample(fleet.names, int(share * count)))
    fleet.run(8.0, rates)
    for name in rates:
        assert fleet.worst(name) <= 1.0


@pytest.mark.parametrize("count", [6, 60])
@pytest.mark.parametrize("share", [0.35, 0.6])
@pytest.mark.parametrize("seed", range(3))
def test_an_account_that_rises_as_vms_are_cut_off_keeps_its_cap(
    monkeypatch, count, share, seed
):
    # The VMs that are cut off go on as before for a moment, since the account was far
    # from its cap, while it sends eight times its usual to all the others.
    fleet = Fleet(monkeypatch, count, {"small": SMALL, "large": LARGE}, seed)
    fleet.run(8.0, {"small": 0.55 * SMALL, "large": 0.55 * LARGE})
    fleet.cut(fleet.draw.sample(fleet.names, int(share * count)))
    fleet.run(8.0, {"small": 4.4 * SMALL, "large": 4.4 * LARGE})
    for name in ("small", "large"):
        assert fleet.worst(name) <= 1.0


def test_vms_that_are_cut_off_go_on_for_a_moment(monkeypatch):
    # A third of the VMs is cut off, and no account is near its cap. Their callers are
    # served until the balancer sends them elsewhere.
    fleet = Fleet(monkeypatch, 60, {"large": LARGE})
    fleet.run(8.0, {"large": 0.55 * LARGE})
    cut = fleet.draw.sample(fleet.names, 21)
    fleet.cut(cut)
    fleet.refused.clear()
    fleet.asked.clear()
    fleet.run(0.5, {"large": 0.55 * LARGE}, cut)
    assert fleet.refused["large"] <= 0.5 * fleet.asked["large"]


def test_credit_that_was_not_used_is_there_again(monkeypatch):
    # A request is admitted and its model is nowhere, so that it is refused as not
    # run. Its credit must not be lost, nor counted as used by the next owner.
    fleet = Fleet(monkeypatch, 60, {"small": SMALL})
    asker = fleet.names[5]
    grant = fleet.admit(asker, "small", 4000.0).unwrap()
    fleet.vm_by_name[asker].credits.give_back(grant)
    fleet.beat()
    fleet.beat()
    for name in fleet.vm_by_name[asker].credits.budgets.owners.candidates():
        known = fleet.vm_by_name[name].credits._bucket("small")
        known.note(0.0, fleet.clock.monotonic())
        assert known.level == pytest.approx(SMALL)


def test_all_candidates_know_what_was_granted(monkeypatch):
    fleet = Fleet(monkeypatch, 60, {"small": SMALL})
    for _ in range(3):
        fleet.admit(fleet.draw.choice(fleet.names), "small", 4000.0)
    fleet.beat()
    fleet.beat()
    levels = set()
    for name in fleet.vm_by_name[fleet.names[0]].credits.budgets.owners.candidates():
        known = fleet.vm_by_name[name].credits._bucket("small")
        known.note(0.0, fleet.clock.monotonic())
        levels.add(round(known.level))
    assert len(levels) == 1


def test_a_vm_that_comes_to_collect_begins_without_credit(monkeypatch):
    fleet = Fleet(monkeypatch, 60, {"small": SMALL})
    made = fleet.vm_by_name[fleet.names[0]].credits
    candidates = made.budgets.owners.candidates()
    newcomer = next(vm for vm in fleet.names if vm not in candidates)
    made = fleet.vm_by_name[newcomer].credits
    made.budgets._update_candidacy()
    monkeypatch.setattr(made.budgets.owners, "candidates", lambda: [newcomer])
    made.budgets._update_candidacy()
    assert made._bucket("small").level == 0.0
    assert made._bucket("small").at == fleet.clock.monotonic()


def test_vms_that_start_together_do_not_each_lend_the_cap(monkeypatch):
    # All processes were killed at once. Until they know each other, each takes itself
    # for the only one, while an account sends several times its cap to all of them.
    fleet = Fleet(monkeypatch, 60, {"large": LARGE})
    made = Vm("vm-60", fleet).credits
    monkeypatch.setattr(made.budgets.owners, "candidates", lambda: ["vm-60"])
    monkeypatch.setattr(made.budgets.owners, "ranked", lambda _: ["vm-60"])
    fleet.clock.advance(1.0)
    large = fleet.accounts.by_name["large"]
    assert made.admit(large, 500.0).err() == credit.Unchecked()
    fleet.clock.advance(1.0)
    assert made.admit(large, 500.0).is_ok()


def test_a_vm_without_any_owner_has_its_reserve(monkeypatch):
    # It is cut off from all. It may go on with a part of what it used itself, and
    # then says that it can't tell, not that the account is over its cap.
    fleet = Fleet(monkeypatch, 60, {"large": LARGE})
    fleet.run(8.0, {"large": LARGE / 1.8}, fleet.names[:10])
    alone = next(
        vm
        for vm in fleet.names[:10]
        if vm not in fleet.vm_by_name[vm].credits.budgets.owners.candidates()
    )
    fleet.cut([alone])
    outcomes = [fleet.admit(alone, "large", 500.0) for _ in range(200)]
    assert outcomes[0].is_ok()
    assert outcomes[-1].err() == credit.Unchecked()


def test_requests_count_where_a_cap_counts_requests(monkeypatch):
    fleet = Fleet(monkeypatch, 6, {"small": SMALL})
    counted = client_accounts.UsageCap(2.0, 2.0)
    fleet.accounts.by_name["small"] = client_accounts.ClientAccount(
        "small", frozenset(), None, counted
    )
    assert counted.cost(9000) == 1
    exact = settings.Bounds(cap_window_s=8.0)
    for name, vm in fleet.vm_by_name.items():
        kept = gateway_builders.make_settings(name=name, bounds=exact)
        vm.credits.kernel.settings = kept
    outcomes = [fleet.admit(vm, "small", counted.cost(9000)) for vm in fleet.names[:4]]
    assert [item.is_ok() for item in outcomes] == [True, True, False, False]


def test_the_book_of_an_account_is_a_bucket(monkeypatch):
    fleet = Fleet(monkeypatch, 1, {"small": SMALL})
    made = fleet.vm_by_name["vm-0"].credits._bucket("small")
    assert isinstance(made, bucket.Bucket)


# Guards against parts of a partition that both reach the platform, so that their
# declarations stay fresh, and each lend the whole cap once membership has noticed.
@pytest.mark.parametrize("count", [6, 60])
@pytest.mark.parametrize("share", [0.35, 0.5])
def test_parts_that_both_reach_the_platform_do_not_lend_a_cap_twice(
    monkeypatch, count, share
):
    fleet = Fleet(monkeypatch, count, {"small": SMALL, "large": LARGE})
    rates = {"small": 4.4 * SMALL, "large": 4.4 * LARGE}
    fleet.run(4.0, rates)
    fleet.cut(fleet.draw.sample(fleet.names, int(share * count)))
    fleet.cut_at_by_vm.clear()
    fleet.run(3.0, rates)
    fleet.notice()
    fleet.run(10.0, rates)
    for name in rates:
        assert fleet.worst(name) <= 1.0
