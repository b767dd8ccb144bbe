"""Endpoint selection: a shared prompt goes to one endpoint, unless it is busier."""

import gateway_builders
from mothworks_gateway import (
    caller_request,
    endpoint_notices,
    endpoint_selection,
    health,
    registry,
    running_requests,
)

SHORT_BACKOFF = endpoint_notices.Backoff(3.0, 11.0)
LONG_BACKOFF = endpoint_notices.Backoff(3.0, 12.0)


class Health:
    def healthy(self, candidates):
        return candidates


class Notices:
    """Stub with fixed backoffs by endpoint."""

    def __init__(self, backoff_by_id):
        self.backoff_by_id = backoff_by_id

    def backoff(self, endpoint):
        return self.backoff_by_id.get(endpoint.id)


def make_selection(endpoints, running=(), backoff_by_id=()):
    view = registry.Registry()
    view.by_id = {item.id: item for item in endpoints}
    parts = {
        health.Health: Health(),
        endpoint_notices.EndpointNotices: Notices(dict(backoff_by_id)),
        running_requests.RunningRequests: gateway_builders.RunningRequests(running),
    }
    return endpoint_selection.EndpointSelection(
        gateway_builders.kernel_with_registry(view, parts)
    )


def prompt(*ids):
    return tuple(caller_request.PromptPart(part, 100) for part in ids)


def test_requests_that_share_a_prompt_go_to_one_endpoint():
    selection = make_selection([gateway_builders.endpoint(f"i-{n}") for n in range(5)])
    first_ids = {
        selection.candidates(gateway_builders.request(prompt=prompt("a", f"own-{n}")))
        .ready[0]
        .id
        for n in range(30)
    }
    assert len(first_ids) == 1


def test_a_busier_preferred_endpoint_is_not_the_first_choice():
    endpoints = [gateway_builders.endpoint(f"i-{n}") for n in range(2)]
    request = gateway_builders.request(prompt=prompt("a", "own"))
    preferred = make_selection(endpoints).candidates(request).ready[0]
    selection = make_selection(endpoints, {preferred.id: 8})
    assert selection.candidates(request).ready[0] is not preferred


def test_only_endpoints_that_hold_the_model_are_ready():
    endpoints = [
        gateway_builders.endpoint("i-1", models=("m",)),
        gateway_builders.endpoint("i-2", models=("n",)),
    ]
    target = caller_request.Target("s", "m")
    candidates = make_selection(endpoints).candidates(
        gateway_builders.request(target=target)
    )
    assert [item.id for item in candidates.ready] == ["i-1"]
    assert len(candidates.all) == 2


def test_a_local_endpoint_goes_before_a_remote_one_with_equal_load():
    endpoints = [
        gateway_builders.endpoint("i-far", data_centre="b"),
        gateway_builders.endpoint("i-near"),
    ]
    selection = make_selection(endpoints)
    for _ in range(20):
        assert selection.candidates(gateway_builders.request()).ready[0].id == "i-near"


def test_a_leaving_endpoint_is_no_candidate():
    leaving, staying = [gateway_builders.endpoint(f"i-{n}") for n in range(2)]
    leaving.exclusion_reason = "it leaves"
    candidates = make_selection([leaving, staying]).candidates(
        gateway_builders.request()
    )
    assert candidates.all == (staying,)


# Guards against requests to an endpoint that asked this VM to back off.
def test_an_endpoint_in_a_backoff_is_not_ready():
    endpoints = [gateway_builders.endpoint(f"i-{n}", models=("m",)) for n in range(2)]
    target = caller_request.Target("s", "m")
    request = gateway_builders.request(target=target)
    selection = make_selection(endpoints, backoff_by_id={"i-0": SHORT_BACKOFF})
    assert selection.candidates(request).ready == (endpoints[1],)
    assert selection.candidates(request).backoff is None
    assert selection.accepts(endpoints[1], target)
    assert not selection.accepts(endpoints[0], target)


# Guards against callers that wait for a model that its endpoints hold.
def test_a_backoff_of_all_holders_is_reported_with_its_first_end():
    holders = [gateway_builders.endpoint(f"i-{n}", models=("m",)) for n in range(2)]
    other = gateway_builders.endpoint("i-2", models=("n",))
    request = gateway_builders.request(target=caller_request.Target("s", "m"))
    selection = make_selection(
        [*holders, other], backoff_by_id={"i-0": LONG_BACKOFF, "i-1": SHORT_BACKOFF}
    )
    candidates = selection.candidates(request)
    assert candidates.ready == ()
    assert candidates.backoff is SHORT_BACKOFF


def test_a_large_batch_does_not_hide_a_busier_endpoint():
    # Endpoints have 96 batch slots, and the prefill of a dozen prompts keeps one busy.
    # One that ran nine requests more than the other, a tenth of its slots, still
    # received all requests that share a prompt, and all of their streams stalled.
    endpoints = [gateway_builders.endpoint(f"i-{n}", batch_slots=96) for n in range(2)]
    request = gateway_builders.request(prompt=prompt("a", "own"))
    preferred = make_selection(endpoints).candidates(request).ready[0]
    selection = make_selection(endpoints, {preferred.id: 9})
    assert selection.candidates(request).ready[0] is not preferred


# Guards against a slow endpoint that gets as many requests as a fast one.
def test_occupancy_is_divided_by_speed():
    endpoints = [gateway_builders.endpoint(f"i-{n}") for n in range(2)]
    selection = make_selection(endpoints, {"i-0": 4, "i-1": 5})
    request = gateway_builders.request()
    assert selection.candidates(request).ready[0].id == "i-0"
    selection.speed = {"i-0": 0.7, "i-1": 1.7}.get
    assert selection.candidates(request).ready[0].id == "i-1"
