"""Retry grants: a running attempt is given up only for one that can be sent."""

import pytest
import result

import gateway_builders
import retry_builders
from mothworks_gateway import request_progress, retry_grants, room_estimates

FIRST, SECOND = (gateway_builders.endpoint(name, batch_slots=4) for name in "ab")
BOTH = (FIRST, SECOND)
RUNNING_S = 0.24


def try_grant(grants, running_s=RUNNING_S, left_s=3.0, **progress):
    """Ask for another attempt; returns the endpoint's id if it is granted."""
    state = request_progress.RequestProgress(tried={FIRST.id}, **progress)
    is_granted = grants.try_grant(retry_builders.request(left_s), state, running_s)
    assert is_granted == (state.grant is not None)
    return state.grant.slot.endpoint.id if is_granted else None


def test_a_grant_names_the_endpoint_and_charges_one_retry():
    grants = retry_builders.make_grants(BOTH)
    assert try_grant(grants) == SECOND.id
    assert grants.retry_budget.left == 4


# Guards against attempts that are given up though no other one can be sent.
@pytest.mark.parametrize(
    "fields",
    [
        {"retries": 0},
        {"endpoints": (FIRST,)},
        {"running": {SECOND.id: 4}},
        {"answer_s_by_id": {SECOND.id: 3.1}},
        # It would take longer than the slow attempt has run.
        {"answer_s_by_id": {SECOND.id: 0.3}},
    ],
    ids=["no retry", "no endpoint", "no room", "too late", "not faster"],
)
def test_without_another_attempt_the_running_one_goes_on_at_no_charge(fields):
    grants = retry_builders.make_grants(**{"endpoints": BOTH, **fields})
    retries = grants.retry_budget.left
    assert try_grant(grants) is None
    assert grants.retry_budget.left == retries


def test_a_failed_answer_needs_only_another_that_is_in_time():
    grants = retry_builders.make_grants(BOTH, answer_s_by_id={SECOND.id: 0.3})
    assert try_grant(grants, running_s=None) == SECOND.id
    assert try_grant(grants, running_s=None, left_s=0.2) is None


# Guards against permits that are lost: their endpoint would seem full for ever.
def test_a_permit_without_a_slot_or_a_use_is_returned():
    grants = retry_builders.make_grants(BOTH)
    grants.slots.grants = False
    assert try_grant(grants) is None
    assert grants.rooms.begun == [SECOND.id]
    grants.slots.grants = True
    progress = request_progress.RequestProgress(tried={FIRST.id})
    grants.try_grant(retry_builders.request(), progress, RUNNING_S)
    grants.release(progress)
    grants.release(progress)
    assert grants.rooms.begun == [SECOND.id] * 2


# Guards against retries that pass by the queue in front of the endpoints.
def test_where_a_queue_is_active_it_grants_the_room():
    grants = retry_builders.make_grants(BOTH, running={SECOND.id: 9})
    admission = retry_builders.Admission(SECOND)
    grants.admit = lambda *_: result.Ok(admission)
    progress = request_progress.RequestProgress(tried={FIRST.id})
    assert grants.try_grant(retry_builders.request(), progress, RUNNING_S)
    assert progress.grant.admission is admission
    grants.release(progress)
    assert admission.is_withdrawn
    grants.admit = lambda *_: result.Err("refused")
    assert try_grant(grants) is None
    # No owner replies, so the heartbeats decide.
    grants.admit = lambda *_: None
    assert try_grant(grants) is None
    grants.estimates.running_requests.running.clear()
    assert try_grant(grants) == SECOND.id


def test_a_vm_without_paths_gives_an_attempt_up_only_for_a_peer():
    for offers, is_granted in (((), False), (("vm-2",), True)):
        grants = retry_builders.make_grants(BOTH, offers=offers)
        grants.paths.lost = True
        progress = request_progress.RequestProgress(tried={FIRST.id})
        request = retry_builders.request()
        assert grants.try_grant(request, progress, RUNNING_S) == is_granted
        assert progress.grant == (retry_grants.RetryGrant() if is_granted else None)


# Guards against a hop that is given up though its peer runs the request.
@pytest.mark.parametrize(
    ("offers", "is_granted"),
    [(("vm-2", "vm-3"), False), (("vm-3",), True), ((), False)],
    ids=["responsive", "silent", "no other"],
)
def test_a_hop_is_given_up_only_if_its_peer_is_silent(offers, is_granted):
    grants = retry_builders.make_grants(BOTH, offers=offers)
    progress = request_progress.RequestProgress()
    request = retry_builders.request()
    assert grants.try_grant_peer(request, progress, "vm-2", 1.0) == is_granted
    assert grants.retry_budget.left == 5 - is_granted


def test_only_repeatable_requests_without_a_stream_are_given_up():
    grants = retry_builders.make_grants(BOTH)
    progress = request_progress.RequestProgress(tried={FIRST.id})
    for fields, may_ask in (
        ({}, True),
        ({"streaming": True, "resumable": True}, False),
        ({"public": True}, True),
    ):
        assert grants.may_ask(retry_builders.request(**fields), progress) == may_ask
    progress.tried.add(SECOND.id)
    assert not grants.may_ask(retry_builders.request(), progress)


# Guards against a request that is held until its deadline at full endpoints.
@pytest.mark.parametrize(
    ("running", "left_s", "room_in_s"),
    [(8, 1.0, 1.25), (8, 2.5, None), (3, 1.0, None), (4, -1.0, 0.5), (4, 0.0, 0.5)],
)
def test_full_endpoints_that_answer_too_late_are_known(running, left_s, room_in_s):
    grants = retry_builders.make_grants(
        BOTH, {FIRST.id: 8, SECOND.id: running}, {FIRST.id: 2.0, SECOND.id: 2.0}
    )
    assert grants.estimates.room_in_s(BOTH, left_s) == room_in_s


# Guards against refusals by a first, unusual answer, and by answer times unknown.
def test_an_endpoint_that_is_hardly_known_refuses_no_request():
    grants = retry_builders.make_grants(BOTH, {FIRST.id: 8, SECOND.id: 8}, {"a": 9.0})
    assert grants.estimates.room_in_s(BOTH, 0.1) is None
    grants.estimates.health = retry_builders.make_health({"a": 9.0, "b": 9.0}, 5)
    assert grants.estimates.room_in_s(BOTH, 0.1) is None


# Guards against attempts that are given up for an endpoint that runs fewer requests
# than the slots that it declares, and refuses the retry.
def test_an_endpoint_that_refused_a_request_lately_has_no_room(monkeypatch):
    grants = retry_builders.make_grants(BOTH)
    grants.estimates.record_refusal(SECOND)
    assert try_grant(grants) is None
    monkeypatch.setattr(room_estimates, "FULL_S", 0.0)
    grants.estimates.record_refusal(SECOND)
    assert try_grant(grants) == SECOND.id
