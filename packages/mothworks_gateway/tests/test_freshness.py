"""Freshness: a revoked key works nowhere after the time bound for revocations.

The tests model a VM that can't learn of the revocation: it is partitioned, suspended or
rejected by the platform, or it only reaches VMs that are.
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
    """A fake platform with one declaration and adjustable delays.

    :param clock: the test's clock.
    """

    def __init__(self, clock):
        self.clock = clock
        self.version = 1
        #: When each version was acknowledged to the operator.
        self.acknowledged_at_by_version = {1: clock.now}
        self.request_delay_s = 0.0
        self.reply_delay_s = 0.0
        self.answers = True

    def declare(self):
        self.version += 1
        self.acknowledged_at_by_version[self.version] = self.clock.now

    def read(self):
        self.clock.advance(self.request_delay_s)
        version = self.version
        self.clock.advance(self.reply_delay_s)
        if not self.answers:
            return result.Err(adapters.FeedUnavailable("silent"))
        return result.Ok(adapters.Snapshot(version, {"main": b"%d" % version}))


class Link:
    """Delivers one VM's requests to others, with adjustable delays."""

    def __init__(self, clock):
        self.clock = clock
        self.vm_by_name = {}
        self.request_delay_s = 0.0
        self.reply_delay_s = 0.0
        self.up = True
        self.requests_sent = 0

    def handle(self, *_):
        pass

    def is_connected(self, _):
        return True

    def call(self, name, message, _):
        self.requests_sent += 1
        self.clock.advance(self.request_delay_s)
        replies = []
        if self.up:
            self.vm_by_name[name].freshness._serve_request("", message, replies.append)
        self.clock.advance(self.reply_delay_s)
        if not replies:
            return result.Err(peers.PeerFailure(name, "no reply in time", True))
        return result.Ok(replies[0])


class Vm:
    """One VM.

    :param name: its name.
    :param platform: the platform.
    :param link: delivers its requests.
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
            "declarations", platform, self.apply_snapshot, lambda changes: None
        )
        near = [
            types.SimpleNamespace(name=vm, leaving=False) for vm in names if vm != name
        ]
        node_membership = types.SimpleNamespace(region_peers=lambda: near, on_change=[])
        election = types.SimpleNamespace(healthy_watchers=lambda now: {"watcher": None})
        kernel = gateway_builders.Kernel(
            {
                membership.Membership: node_membership,
                peers.Peers: link,
                declarations.Declarations: self.declarations,
                feeding.FeedFollowers: types.SimpleNamespace(
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

    def apply_snapshot(self, snapshot):
        version = int(snapshot.document_by_name["main"])
        self.declarations.version = max(version, self.declarations.version)

    def poll(self):
        self.follower._fetch_snapshot()


class Pair:
    """A VM that follows the platform, and one that requests freshness from it."""

    def __init__(self, monkeypatch):
        self.clock = virtual_time.Clock(monkeypatch, freshness, feeding)
        self.platform = Platform(self.clock)
        self.link = Link(self.clock)
        names = ["watcher", "follower"]
        self.watcher = Vm("watcher", self.platform, self.link, names, is_watcher=True)
        self.follower = Vm("follower", self.platform, self.link, names)
        self.watcher.poll()
        self.follower.apply_snapshot(adapters.Snapshot(1, {"main": b"1"}))

    def check_follower(self):
        self.follower.freshness._check()


@pytest.fixture
def pair(monkeypatch):
    return Pair(monkeypatch)


def test_keys_are_honoured_while_a_watcher_polls(pair):
    for _ in range(40):
        pair.clock.advance(0.4)
        pair.watcher.poll()
        pair.check_follower()
        assert pair.follower.freshness.is_proven()
    assert pair.follower.follower.as_of < 0


def test_a_partitioned_vm_stops_honouring_keys(pair):
    # The operator revokes a key while a VM is partitioned. The VM does not learn of it,
    # and honoured the key for as long as the partition lasted.
    pair.check_follower()
    pair.link.up = False
    pair.platform.declare()
    for _ in range(12):
        pair.clock.advance(0.4)
        pair.check_follower()
    assert pair.clock.now - pair.platform.acknowledged_at_by_version[2] < REVOKE_S
    assert not pair.follower.freshness.is_proven()


def test_a_vm_honours_no_keys_after_a_suspension(pair):
    # The monotonic clock does not count the 10 s of the suspension.
    pair.check_follower()
    pair.clock.suspend(10.0)
    assert not pair.follower.freshness.is_proven()


def test_a_reply_delayed_in_a_socket_is_as_old_as_its_request(pair):
    # A VM sends a request, is suspended for 10 s, resumes, and reads the old reply.
    # Treated as current, the reply let a key work that was revoked 9 s ago.
    pair.link.reply_delay_s = 10.0
    pair.check_follower()
    assert not pair.follower.freshness.is_proven()


def test_a_reply_includes_the_age_on_the_peer(pair):
    pair.clock.advance(3.0)
    pair.check_follower()
    assert pair.follower.freshness.age_s() == pytest.approx(3.0)


def test_a_platform_answer_is_as_old_as_its_request(pair):
    # A poll takes 6 s on a slow connection. It is not known when within this time the
    # platform read its state.
    pair.clock.advance(10.0)
    pair.platform.reply_delay_s = 6.0
    pair.watcher.poll()
    assert not pair.watcher.freshness.is_proven()


def test_a_newer_version_on_a_peer_proves_nothing(pair):
    pair.clock.advance(10.0)
    pair.platform.declare()
    pair.watcher.poll()
    pair.check_follower()
    assert not pair.follower.freshness.is_proven()


def test_an_unreadable_document_ends_the_proof(pair):
    # The newest declaration can't be decoded, so the one in force is not the newest.
    pair.watcher.poll()
    pair.watcher.declarations.readable = False
    assert not pair.watcher.freshness.is_proven()
    pair.check_follower()
    assert not pair.follower.freshness.is_proven()


def test_a_partition_of_one_vm_differs_from_a_platform_outage(pair):
    # A VM that is partitioned alone must leave the balancer, so that callers reach
    # other VMs. If the platform is down for all VMs, leaving would only stop service.
    pair.clock.advance(10.0)
    pair.check_follower()
    assert pair.follower.freshness.is_fleet_wide()
    pair.link.up = False
    for _ in range(8):
        pair.clock.advance(0.4)
        pair.check_follower()
    assert not pair.follower.freshness.is_fleet_wide()


def test_a_vm_that_lost_all_peers_counts_as_partitioned(pair):
    # Membership has declared the peers dead, so that the VM seems to be the only one.
    # It stayed in the balancer, although it refused its callers.
    pair.check_follower()
    pair.link.up = False
    fleet = pair.follower.freshness.fleet
    fleet.membership.region_peers()[:] = range(2)
    fleet._update()
    fleet.membership.region_peers().clear()
    fleet._update()
    pair.clock.advance(10.0)
    pair.check_follower()
    assert not pair.follower.freshness.is_fleet_wide()


def test_a_deployment_without_accounts_sends_no_requests(pair):
    pair.follower.declarations.current.accounts = None
    pair.check_follower()
    assert pair.link.requests_sent == 0


SECONDS = st.sampled_from([0.0, 0.01, 0.3, 0.9, 2.0, 7.0])


class Revocation(hypothesis.stateful.RuleBasedStateMachine):
    """Declarations, polls, requests, suspensions and delays in any order."""

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

    @hypothesis.stateful.rule(
        request_delay=SECONDS, reply_delay=SECONDS, answers=st.booleans()
    )
    def poll(self, request_delay, reply_delay, answers):
        platform = self.pair.platform
        platform.request_delay_s, platform.reply_delay_s, platform.answers = (
            request_delay,
            reply_delay,
            answers,
        )
        self.pair.watcher.poll()

    @hypothesis.stateful.rule(
        request_delay=SECONDS, reply_delay=SECONDS, up=st.booleans()
    )
    def request(self, request_delay, reply_delay, up):
        link = self.pair.link
        link.request_delay_s, link.reply_delay_s, link.up = (
            request_delay,
            reply_delay,
            up,
        )
        self.pair.check_follower()

    @hypothesis.stateful.rule()
    def publish_version(self):
        """Give the follower the watcher's version without proof of its age."""
        version = self.pair.watcher.declarations.version
        self.pair.follower.apply_snapshot(
            adapters.Snapshot(version, {"main": b"%d" % version})
        )

    @hypothesis.stateful.invariant()
    def no_key_outlives_its_bound(self):
        now = self.pair.clock.now
        for vm in (self.pair.watcher, self.pair.follower):
            later = vm.declarations.version + 1
            acknowledged_at = self.pair.platform.acknowledged_at_by_version.get(
                later, now
            )
            if vm.freshness.is_proven():
                assert now - acknowledged_at <= REVOKE_S


TestRevocation = Revocation.TestCase
TestRevocation.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
