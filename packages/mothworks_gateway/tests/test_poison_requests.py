"""Poison requests: crashes count only against requests of which no copy completes."""

import itertools
import time
import types

import gevent
import pytest

import fleet_builders
import gateway_builders
from mothworks import messages
from mothworks_gateway import (
    broadcast,
    caller_request,
    crash_histories,
    poison_requests,
)

VMS = ("vm-1", "vm-2", "vm-3")
_numbers = itertools.count(1)
SUCCESS = types.SimpleNamespace(status=200, is_framed=True)


def make_part(name, network):
    kernel = fleet_builders.make_kernel(name, VMS, network)
    kernel.parts[broadcast.Broadcast] = broadcast.Broadcast(kernel)
    return poison_requests.PoisonRequests(kernel)


@pytest.fixture
def vms():
    network = fleet_builders.Network()
    return [make_part(name, network) for name in VMS]


def deliver():
    """Wait until all published messages have arrived."""
    gevent.sleep(4 * broadcast.BATCH_DELAY_S)


def crash(part, request, count=poison_requests.CRASHES_TO_BLOCK):
    for number in range(count):
        part.record_crash(request, gateway_builders.endpoint(f"i-{number}"))
    deliver()


def blocked(vms, request):
    return [part.is_blocked(request) for part in vms]


def test_a_request_that_crashed_several_endpoints_is_blocked_on_all_vms(vms):
    request = gateway_builders.request()
    crash(vms[0], request)
    assert blocked(vms, request) == [True, True, True]


# Guards against look-ups that stay blocked after endpoints fell for another reason.
def test_a_request_that_has_completed_before_is_not_blocked(vms):
    request = gateway_builders.request()
    vms[0].record_completion(request, SUCCESS)
    crash(vms[0], request, 5)
    assert not vms[0].is_blocked(request)


# Guards against VMs that block a request which completes on another VM.
@pytest.mark.parametrize("completes_first", [False, True])
def test_a_copy_that_completes_on_one_vm_clears_the_crashes_on_all(
    vms, completes_first
):
    request = gateway_builders.request()
    if completes_first:
        vms[1].record_completion(request, SUCCESS)
    crash(vms[0], request)
    if not completes_first:
        vms[1].record_completion(request, SUCCESS)
    deliver()
    assert blocked(vms, request) == [False, False, False]
    crash(vms[2], request, 5)
    assert blocked(vms, request) == [False, False, False]


# Guards against poison requests that are forgotten because endpoints with many requests
# fell later.
def test_a_blocked_request_outlives_the_histories_of_others(vms, monkeypatch):
    monkeypatch.setattr(crash_histories, "MAX_HISTORIES", 3)
    request = gateway_builders.request()
    crash(vms[0], request)
    for number in range(10):
        crash(vms[0], gateway_builders.request(path=f"/{number}"), 1)
    assert blocked(vms, request) == [True, True, True]
    assert len(vms[0].requests.history_by_fingerprint) == 3


# Guards against a request that is refused because of another caller's crashes.
def test_requests_of_other_accounts_are_other_requests():
    accounts = [gateway_builders.account(name) for name in ("a", "b")]
    fingerprints = {
        gateway_builders.request(account=account).fingerprint() for account in accounts
    }
    assert len(fingerprints) == 2


def test_the_number_of_remembered_completions_is_bounded(vms, monkeypatch):
    monkeypatch.setattr(crash_histories, "MAX_SUCCESSES", 3)
    for number in range(10):
        request = gateway_builders.request(path=f"/{number}")
        vms[0].record_completion(request, SUCCESS)
    assert len(vms[0].requests.success_at_by_fingerprint) == 3


def prompt(*ids):
    """Return a request whose prompt has shared parts, and a part of its own."""
    own = f"own-{next(_numbers)}"
    parts = tuple(caller_request.PromptPart(item, 50) for item in (*ids, own))
    return gateway_builders.request(path=f"/{own}", prompt=parts)


def crash_parts(part, count, *ids, gap_s=crash_histories.SAME_MOMENT_S + 0.01):
    """Let different requests with the same parts crash an endpoint each."""
    for _ in range(count):
        endpoint = gateway_builders.endpoint(f"i-{next(_numbers)}")
        part.record_crash(prompt(*ids), endpoint)
        gevent.sleep(gap_s)
    deliver()


def test_requests_with_a_part_that_crashed_several_endpoints_are_blocked(vms):
    vms[0].record_answer(prompt("first"), time.monotonic())
    crash_parts(vms[0], poison_requests.CRASHES_TO_BLOCK, "first", "bad")
    assert blocked(vms, prompt("bad", "other")) == [True, True, True]
    assert blocked(vms, prompt("first", "other")) == [False, False, False]


# Guards against the last part of a prompt, which no other request has, being counted.
def test_the_last_part_of_a_prompt_is_not_counted(vms):
    crash_parts(vms[0], 1, "bad")
    assert len(vms[0].parts.history_by_fingerprint) == 1


# Guards against parts that are blocked because many endpoints fell at once.
def test_endpoints_that_fall_at_the_same_moment_count_once(vms):
    crash_parts(vms[0], 9, "first", gap_s=0.0)
    assert blocked(vms, prompt("first")) == [False, False, False]


# Guards against crashes that never count because each soon follows another.
def test_crashes_that_go_on_are_several_moments(vms):
    gap_s = crash_histories.SAME_MOMENT_S / 3
    crash_parts(vms[0], 12, "bad", gap_s=gap_s)
    assert blocked(vms, prompt("bad")) == [True, True, True]


# Guards against a part that other requests share being blocked along with the part that
# crashes endpoints, because only one VM has seen it run well, and some time ago.
@pytest.mark.parametrize("age_s", [0.0, 1.0, 30.0])
def test_a_part_that_has_run_well_elsewhere_needs_more_crashes(vms, age_s):
    vms[1].record_answer(prompt("first"), time.monotonic() - age_s)
    crash_parts(vms[0], poison_requests.CRASHES_TO_BLOCK + 1, "first", "bad")
    assert blocked(vms, prompt("bad")) == [True, True, True]
    assert blocked(vms, prompt("first")) == [False, False, False]


# Guards against parts that never count since they ran well before they turned bad.
def test_a_part_that_turns_bad_is_blocked(vms):
    vms[1].record_answer(prompt("bad"), time.monotonic() - poison_requests.ANSWER_S)
    crash_parts(vms[0], 2 * poison_requests.CRASHES_TO_BLOCK, "bad")
    assert blocked(vms, prompt("bad")) == [True, True, True]


# Guards against the crashes of bystanders, whose answers had run on for a while.
def test_an_answer_that_has_begun_blames_no_part(vms):
    for number in range(poison_requests.CRASHES_TO_BLOCK):
        endpoint = gateway_builders.endpoint(f"i-{number}")
        vms[0].record_crash(prompt("first"), endpoint, answered=True)
    assert not vms[0].parts.history_by_fingerprint


def test_an_answer_that_runs_well_clears_the_parts_on_all_vms(vms):
    crash_parts(vms[0], poison_requests.CRASHES_TO_BLOCK, "first")
    assert blocked(vms, prompt("first")) == [True, True, True]
    vms[2].record_answer(prompt("first"), time.monotonic())
    deliver()
    assert blocked(vms, prompt("first")) == [False, False, False]


# Guards against a part that is blocked because it was there whenever another crashed an
# endpoint.
def test_a_crash_counts_against_one_part(vms):
    crash_parts(vms[0], 2 * poison_requests.CRASHES_TO_BLOCK, "first", "bad")
    assert blocked(vms, prompt("bad")) == [True, True, True]
    assert blocked(vms, prompt("first")) == [False, False, False]


# Guards against streams that began before a part turned bad, and that speak for it when
# they end.
def test_a_stream_speaks_for_its_parts_at_the_time_when_it_began(vms):
    began_at = time.monotonic() - poison_requests.ANSWER_S
    crash_parts(vms[0], 2 * poison_requests.CRASHES_TO_BLOCK, "bad")
    vms[0].record_completion(prompt("bad"), SUCCESS, began_at)
    deliver()
    assert blocked(vms, prompt("bad")) == [True, True, True]


# Guards against VMs that never agree on what is blocked, because each explains the
# crashes by a part of its own.
def test_what_a_peer_blocks_is_blocked(vms):
    crash_parts(vms[0], poison_requests.CRASHES_TO_BLOCK, "bad")
    [fingerprint] = poison_requests.part_fingerprints(prompt("other"))
    [history] = vms[0].blocked().values()
    vms[0].merge("vm-2", fingerprint, tuple(history.endpoints), 0.0)
    assert vms[0].is_blocked(prompt("other"))
    assert vms[0].is_blocked(prompt("bad"))


# Guards against VMs that count fewer moments since reports reach them in batches.
def test_moments_are_counted_by_the_vm_that_sees_the_crashes(vms):
    request = prompt("bad")
    [fingerprint] = poison_requests.part_fingerprints(request)
    for number in range(1, poison_requests.CRASHES_TO_BLOCK + 1):
        report = poison_requests.CrashReport(fingerprint, f"i-{number}", number, number)
        vms[1].peers.receive("vm-1", messages.pack(report))
    assert vms[1].is_blocked(request)


# Guards against a VM that stops at a crash, because all that it remembers blocks.
def test_a_crash_is_recorded_though_all_other_histories_block(vms, monkeypatch):
    monkeypatch.setattr(crash_histories, "MAX_HISTORIES", 2)
    for number in range(2):
        crash(vms[0], gateway_builders.request(path=f"/{number}"))
    request = gateway_builders.request(path="/new")
    crash(vms[0], request)
    assert blocked(vms, request) == [True, True, True]
