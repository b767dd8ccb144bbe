"""Freshness: a key that was taken away works nowhere once its bound has passed.

The pattern is a VM that cannot hear of the change: cut off, suspended, turned away by
the platform, or told by others that are.
"""

import types

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st
import pytest
import result

import gateway_builders
import virtual_time
from mothworks import membership, peers
from mothworks_gateway import (
    adapters,
    declarations,
    feeding,
    fleet_size,
    freshness,
    owners,
    settings,
    watching,
)

REVOKE_S = 5.0


class Platform:
    """The platform's declaration, and how calls to it fare.

    :param clock: the test's clock.
    """

    def __init__(self, clock):
        self.clock = clock
        self.version = 1
        #: When each version was acknowledged to the operator.
        self.acked_at_by_version = {1: clock.now}
        self.there_s = 0.0
        self.back_s = 0.0
        self.answers = True

    def declare(self):
        self.version += 1
        self.acked_at_by_version[self.version] = self.clock.now

    def read(self):
        self.clock.advance(self.there_s)
        version = self.version
        self.clock.advance(self.back_s)
        if not self.answers:
            return result.Err(adapters.FeedDown("silent"))
        return result.Ok(adapters.Listing(version, {"main": b"%d" % version}))


class Link:
    """Carries one VM's questions to others, slowly where asked to."""

    def __init__(self, clock):
        self.clock = clock
        self.vm_by_name = {}
        self.there_s = 0.0
        self.back_s = 0.0
        self.up = True
        self.asked = 0

    def handle(self, *_):
        pass

    def linked(self, _):
        return True

    def call(self, name, message, _):
        self.asked += 1
        self.clock.advance(self.there_s)
        told = []
        if self.up:
            self.vm_by_name[name].freshness._serve("", message, told.append)
        self.clock.advance(self.back_s)
        if not told:
            return result.Err(peers.PeerFailure(name, "no reply in time", True))
        return result.Ok(told[0])


class Vm:
    """One VM.

    :param name: its name.
    :param platform: the platform.
    :param link: carries its questions.
    :param names: all VMs.
    """

    def __init__(self, name, platform, link, names, is_watcher=False):
        self.platform = platform
        self.declarations = types.SimpleNamespace(
            version=0,
            readable=True,
            current=types.SimpleNamespace(accounts=object()),
        )
        self.follower = feeding.Follower(
            "declarations", platform, self.take, lambda changes: None
        )
        near = [
            types.SimpleNamespace(name=vm, leaving=False) for vm in names if vm != name
        ]
        view = types.SimpleNamespace(near=lambda: near, on_change=[])
        election = types.SimpleNamespace(healthy_watchers=lambda now: {"watcher": None})
        kernel = gateway_builders.Kernel(
            {
                membership.Membership: view,
                peers.Peers: link,
                declarations.Declarations: self.declarations,
                feeding.Feeding: types.SimpleNamespace(
                    follower_by_name={"declarations": self.follower}
                ),
                watching.Watching: types.SimpleNamespace(
                    is_watcher=is_watcher, election=election
                ),
            }
        )
        kernel.settings = gateway_builders.make_settings(
            name=name, bounds=settings.Bounds(revoke_ms=REVOKE_S * 1000)
        )
        kernel.parts[owners.Owners] = owners.Owners(kernel)
        kernel.parts[fleet_size.FleetSize] = fleet_size.FleetSize(kernel)
        self.freshness = freshness.Freshness(kernel)
        link.vm_by_name[name] = self

    def take(self, listing):
        version = int(listing.document_by_name["main"])
        self.declarations.version = max(version, self.declarations.version)

    def poll(self):
        self.follower._fetch_listing()


class Pair:
    """A VM that follows the platform, and one that asks it."""

    def __init__(self, monkeypatch):
        self.clock = virtual_time.Clock(monkeypatch, freshness, feeding)
        self.platform = Platform(self.clock)
        self.link = Link(self.clock)
        names = ["watcher", "follower"]
        self.watcher = Vm("watcher", self.platform, self.link, names, is_watcher=True)
        self.follower = Vm("follower", self.platform, self.link, names)
        self.watcher.poll()
        self.follower.take(adapters.Listing(1, {"main": b"1"}))

    def pass_on(self):
        self.follower.freshness._look()


@pytest.fixture
def pair(monkeypatch):
    return Pair(monkeypatch)


def test_keys_are_honoured_while_others_watch(pair):
    for _ in range(40):
        pair.clock.advance(0.4)
        pair.watcher.poll()
        pair.pass_on()
        assert pair.follower.freshness.holds()
    assert pair.follower.follower.as_of < 0


def test_a_vm_that_is_cut_off_stops_to_honour_keys(pair):
    # A machine is cut off; meanwhile the operator takes a key away. The machine hears
    # of nothing, and went on to serve the key for as long as the cut lasted.
    pair.pass_on()
    pair.link.up = False
    pair.platform.declare()
    for _ in range(12):
        pair.clock.advance(0.4)
        pair.pass_on()
    assert pair.clock.now - pair.platform.acked_at_by_version[2] < REVOKE_S
    assert not pair.follower.freshness.holds()


def test_a_vm_that_was_suspended_honours_no_key(pair):
    # The steady clock says that nothing happened for ten seconds.
    pair.pass_on()
    pair.clock.suspend(10.0)
    assert not pair.follower.freshness.holds()


def test_an_answer_that_lay_in_a_socket_is_as_old_as_its_question(pair):
    # A VM asks, is frozen for ten seconds, wakes, and reads the answer of before.
    # Taken as news, it let a key work that was taken away nine seconds ago.
    pair.link.back_s = 10.0
    pair.pass_on()
    assert not pair.follower.freshness.holds()


def test_what_a_peer_knows_is_as_old_as_its_own_proof(pair):
    pair.clock.advance(3.0)
    pair.pass_on()
    assert pair.follower.freshness.age_s() == pytest.approx(3.0)


def test_an_answer_of_the_platform_is_as_old_as_its_question(pair):
    # A poll hangs for six seconds on a slow connection. When in this time the
    # platform looked is not known.
    pair.clock.advance(10.0)
    pair.platform.back_s = 6.0
    pair.watcher.poll()
    assert not pair.watcher.freshness.holds()


def test_a_newer_version_elsewhere_proves_nothing_here(pair):
    pair.clock.advance(10.0)
    pair.platform.declare()
    pair.watcher.poll()
    pair.pass_on()
    assert not pair.follower.freshness.holds()


def test_a_document_that_is_not_understood_ends_the_proof(pair):
    # The newest declaration can't be read; the one in force is not the newest.
    pair.watcher.poll()
    pair.watcher.declarations.readable = False
    assert not pair.watcher.freshness.holds()
    pair.pass_on()
    assert not pair.follower.freshness.holds()


def test_a_vm_alone_in_a_cut_takes_no_connections_and_all_together_do(pair):
    # Callers of one VM that is cut off are better off at another one; if the platform
    # is down for all, leaving the balancer would only close the house.
    pair.clock.advance(10.0)
    pair.pass_on()
    assert pair.follower.freshness.shared_by_all()
    pair.link.up = False
    for _ in range(8):
        pair.clock.advance(0.4)
        pair.pass_on()
    assert not pair.follower.freshness.shared_by_all()


def test_a_vm_that_lost_all_others_knows_that_it_is_cut_off(pair):
    # Membership has taken the others for dead. To the VM it looks as if it were the
    # only one, and its callers stayed with it, in vain.
    pair.pass_on()
    pair.link.up = False
    fleet = pair.follower.freshness.fleet
    fleet.membership.near()[:] = range(2)
    fleet._count()
    fleet.membership.near().clear()
    fleet._count()
    pair.clock.advance(10.0)
    pair.pass_on()
    assert not pair.follower.freshness.shared_by_all()


def test_a_deployment_without_accounts_asks_nobody(pair):
    pair.follower.declarations.current.accounts = None
    pair.pass_on()
    assert pair.link.asked == 0


SECONDS = st.sampled_from([0.0, 0.01, 0.3, 0.9, 2.0, 7.0])


class Revocation(hypothesis.stateful.RuleBasedStateMachine):
    """Declarations, polls, questions, suspensions and delays in any order."""

    def __init__(self):
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.pair = Pair(self.patch)

    def teardown(self):
        self.patch.undo()

    @hypothesis.stateful.rule(seconds=SECONDS)
    def wait(self, seconds):
        self.pair.clock.advance(seconds)

    @hypothesis.stateful.rule(seconds=SECONDS)
    def suspend(self, seconds):
        self.pair.clock.suspend(seconds)

    @hypothesis.stateful.rule()
    def declare(self):
        self.pair.platform.declare()

    @hypothesis.stateful.rule(there=SECONDS, back=SECONDS, answers=st.booleans())
    def poll(self, there, back, answers):
        platform = self.pair.platform
        platform.there_s, platform.back_s, platform.answers = there, back, answers
        self.pair.watcher.poll()

    @hypothesis.stateful.rule(there=SECONDS, back=SECONDS, up=st.booleans())
    def ask(self, there, back, up):
        link = self.pair.link
        link.there_s, link.back_s, link.up = there, back, up
        self.pair.pass_on()

    @hypothesis.stateful.rule()
    def tell_version(self):
        """Let the follower learn the watcher's version, without any proof."""
        version = self.pair.watcher.declarations.version
        self.pair.follower.take(adapters.Listing(version, {"main": b"%d" % version}))

    @hypothesis.stateful.invariant()
    def no_key_outlives_its_bound(self):
        now = self.pair.clock.now
        for vm in (self.pair.watcher, self.pair.follower):
            later = vm.declarations.version + 1
            acked_at = self.pair.platform.acked_at_by_version.get(later, now)
            if vm.freshness.holds():
                assert now - acked_at <= REVOKE_S


TestRevocation = Revocation.TestCase
TestRevocation.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
