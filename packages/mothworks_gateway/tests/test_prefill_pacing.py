"""Prefill pacing: prompts reach an endpoint one after another, and waits are short."""

import time

import gevent
import pytest
import result

import fleet_builders
import gateway_builders
from mothworks import membership, messages, peers
from mothworks_gateway import (
    caller_request,
    declaration_types,
    owners,
    prefill_pacing,
    prefill_speed,
)

#: Prompt tokens that are scheduled for 100 ms at an endpoint.
TOKENS_PER_100_MS = int(prefill_pacing.DEFAULT_PACE_TOKENS_PER_S / 10)


class Membership:
    def __init__(self, *names):
        self.on_change = []
        self.names = names

    def region_peers(self):
        return [
            type("Member", (), {"name": name, "leaving": False}) for name in self.names
        ]


class Peers:
    """Stub of the connections to peers, which all send the same reply, or none."""

    def __init__(self, answer=None, connected=True):
        self.answer = answer
        self.connected = connected
        self.opened = set()
        self.called_vms = []
        self.sent_requests = []

    def handle(self, *_):
        pass

    def is_connected(self, _):
        return self.connected

    def open(self, vm):
        self.opened.add(vm)

    def call(self, vm, message, timeout_s):
        self.called_vms.append(vm)
        self.sent_requests.append(message)
        if self.answer is None:
            gevent.sleep(timeout_s)
            return result.Err(peers.PeerFailure(vm, "no reply in time", True))
        return result.Ok(self.answer)


def make_pacing(stub_peers, *names):
    parts = {peers.Peers: stub_peers, membership.Membership: Membership(*names)}
    kernel = gateway_builders.Kernel(parts)
    parts[prefill_speed.PrefillSpeed] = prefill_speed.PrefillSpeed(kernel)
    parts[owners.Owners] = owners.Owners(kernel)
    return prefill_pacing.PrefillPacing(kernel)


def request(tokens=TOKENS_PER_100_MS, objective_s=1.0, urgency=0):
    route = declaration_types.Route(
        "r",
        "h",
        "/",
        (declaration_types.Share("s"),),
        objective_s=objective_s,
        urgency=urgency,
    )
    return gateway_builders.request(route=route, input_tokens=tokens)


def wait_duration_s(pacing, waiting_request, endpoint):
    started_at = time.monotonic()
    pacing.wait(waiting_request, endpoint)
    return time.monotonic() - started_at


def owned_by(vm, *others):
    """Return an endpoint whose owner among several VMs is a given one."""
    for number in range(1000):
        endpoint = gateway_builders.endpoint(f"i-{number}")
        weights = {
            name: owners.ownership.weight(endpoint.id, name) for name in (vm, *others)
        }
        if max(weights, key=weights.get) == vm:
            return endpoint
    raise AssertionError("no endpoint has that owner")


def test_prompts_get_consecutive_slots():
    schedule = prefill_pacing.PrefillSchedule()
    starts = [schedule.reserve(TOKENS_PER_100_MS, 1, 5.0) for _ in range(4)]
    assert starts == pytest.approx([0.0, 0.1, 0.2, 0.3])
    assert schedule.reserve(TOKENS_PER_100_MS, 1, 5.45) == 0.0


def test_urgent_prompts_do_not_wait_for_less_urgent_ones():
    # Drafts have reserved the next 200 ms of an endpoint. An urgent extract is sent at
    # once, and later drafts wait for it, too.
    schedule = prefill_pacing.PrefillSchedule()
    schedule.reserve(TOKENS_PER_100_MS, 1, 5.0)
    schedule.reserve(TOKENS_PER_100_MS, 1, 5.0)
    assert schedule.reserve(TOKENS_PER_100_MS, 0, 5.0) == 0.0
    assert schedule.reserve(TOKENS_PER_100_MS, 1, 5.0) == pytest.approx(0.3)


def test_a_schedule_is_bounded_in_an_overload():
    # An endpoint receives more prompts than it can process for a minute. Its schedule
    # must not delay requests long after the overload has ended.
    schedule = prefill_pacing.PrefillSchedule()
    for _ in range(600):
        schedule.reserve(TOKENS_PER_100_MS, 1, 5.0)
    assert schedule.reserve(TOKENS_PER_100_MS, 1, 5.0) <= prefill_pacing.MAX_AHEAD_S
    assert (
        schedule.reserve(TOKENS_PER_100_MS, 1, 5.0 + prefill_pacing.MAX_AHEAD_S) == 0.0
    )


def test_a_request_waits_for_at_most_a_share_of_its_objective():
    pacing = make_pacing(Peers(prefill_pacing.PrefillSlot(5.0)), "vm-2")
    endpoint = owned_by("vm-2", "vm-1")
    assert wait_duration_s(pacing, request(objective_s=0.2), endpoint) < 0.12


def test_invalid_prompt_lengths_have_no_effect_on_others():
    # One caller declares 10^40 prompt tokens, which no message between VMs can encode,
    # another a negative number, which would release reserved time.
    stub_peers = Peers(prefill_pacing.PrefillSlot(0.0))
    pacing = make_pacing(stub_peers, "vm-2")
    endpoint = owned_by("vm-2", "vm-1")
    for tokens in (10**40, -(10**40)):
        pacing.wait(request(tokens=tokens), endpoint)
    assert all(messages.pack(message) for message in stub_peers.sent_requests)
    owner_pacing = make_pacing(Peers())
    owner_pacing.wait(request(), endpoint)
    before = owner_pacing.schedule_by_endpoint[endpoint.id].free_at_by_urgency[0]
    owner_pacing.wait(request(tokens=-TOKENS_PER_100_MS), endpoint)
    assert (
        owner_pacing.schedule_by_endpoint[endpoint.id].free_at_by_urgency[0] >= before
    )


def test_a_request_without_a_prompt_needs_no_slot():
    stub_peers = Peers(prefill_pacing.PrefillSlot(5.0))
    pacing = make_pacing(stub_peers, "vm-2")
    pacing.wait(request(tokens=0), owned_by("vm-2", "vm-1"))
    assert stub_peers.called_vms == []


def test_a_silent_owner_costs_one_short_timeout():
    # The owner hangs: its connection is open, but it does not reply. One request waits
    # for the timeout; the next ones are sent without a slot.
    stub_peers = Peers()
    pacing = make_pacing(stub_peers, "vm-2")
    endpoint = owned_by("vm-2", "vm-1")
    assert (
        wait_duration_s(pacing, request(), endpoint)
        < 5 * prefill_pacing.REPLY_TIMEOUT_S
    )
    for _ in range(5):
        pacing.wait(request(), endpoint)
    assert stub_peers.called_vms == ["vm-2"]


def test_requests_do_not_wait_for_a_connection_to_an_owner():
    # The owner is unreachable. Waiting for a connection to it would take half a second
    # for each request.
    stub_peers = Peers(prefill_pacing.PrefillSlot(0.1), connected=False)
    pacing = make_pacing(stub_peers, "vm-2")
    pacing.wait(request(), owned_by("vm-2", "vm-1"))
    assert stub_peers.called_vms == []
    assert stub_peers.opened == {"vm-2"}


def test_with_many_vms_there_are_few_owners_and_all_vms_connect_to_them():
    # With 195 VMs and 59 owners, a VM needed most owners about once a day and had no
    # connection to them. No prompt got a slot, and streams stalled.
    stub_peers = Peers(prefill_pacing.PrefillSlot(0.0), connected=False)
    pacing = make_pacing(stub_peers, *fleet_builders.vm_names(195))
    pacing._connect_to_owners()
    assert len(stub_peers.opened) <= 9
    chosen = {pacing.owners.ranked(f"i-{number}")[0] for number in range(59)}
    assert chosen - {pacing.name} <= stub_peers.opened


def test_an_owner_that_is_gone_is_replaced_by_another_vm():
    stub_peers = Peers(prefill_pacing.PrefillSlot(0.0))
    pacing = make_pacing(stub_peers, "vm-2")
    endpoint = owned_by("vm-2", "vm-1")
    pacing.wait(request(), endpoint)
    pacing.owners.ranking.membership.names = ()
    for notify in pacing.owners.ranking.membership.on_change:
        notify()
    pacing.wait(request(), endpoint)
    assert stub_peers.called_vms == ["vm-2"]
    assert endpoint.id in pacing.schedule_by_endpoint


def test_prompts_are_paced_by_the_measured_prefill_speed():
    # Endpoints with half the usual prefill speed received prompts at the usual pace.
    # Several prompts queued up and were processed together, and every stream there
    # stalled for half a second, longer than its callers accept.
    pacing = make_pacing(Peers())
    pacing.prefill_speed.speed_by_service["s"] = 10_000.0
    endpoint = gateway_builders.endpoint("i-1")
    pacing.wait(request(tokens=1_500), endpoint)
    assert wait_duration_s(pacing, request(tokens=1_500), endpoint) > 0.15


def test_only_prompt_tokens_that_are_not_shared_are_scheduled():
    # The endpoint has cached half of the prompt, which is the same for all callers.
    stub_peers = Peers(prefill_pacing.PrefillSlot(0.0))
    pacing = make_pacing(stub_peers, "vm-2")
    prompt = (
        caller_request.PromptPart("shared", 900),
        caller_request.PromptPart("own", 1_000),
    )
    prompt_request = gateway_builders.request(prompt=prompt, input_tokens=1_900)
    pacing.wait(prompt_request, owned_by("vm-2", "vm-1"))
    assert [message.tokens for message in stub_peers.sent_requests] == [1_000]
