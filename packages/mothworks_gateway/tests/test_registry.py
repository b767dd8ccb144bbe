"""The registry: entries that are added, lapse and are removed."""

import time

import attrs
import pytest

import gateway_builders
import registry_builders
from mothworks import logs
from mothworks_gateway import registry

SUSPECT_S = 10.0


@pytest.fixture
def logged_outcomes(monkeypatch):
    outcomes = []
    monkeypatch.setattr(
        logs, "event", lambda *_, **fields: outcomes.append(fields["outcome"])
    )
    return outcomes


@pytest.fixture
def endpoints():
    made = registry.Registry()
    made.put(gateway_builders.endpoint("i-1").entry, b"")
    return made


def test_an_entry_that_lapses_during_an_outage_is_logged_once(
    endpoints, logged_outcomes
):
    # The platform's store drops and resets a VM's connections for 9 s. Each listing
    # that the VM reads meanwhile lacks the same entry, and each one was logged.
    for _ in range(4):
        endpoints.remove("i-1", time.monotonic() + SUSPECT_S)
    assert logged_outcomes == ["lapsed during an outage"]
    assert endpoints.by_id["i-1"].available


def test_a_lapsed_entry_that_returned_may_lapse_again(endpoints, logged_outcomes):
    entry = endpoints.by_id["i-1"].entry
    endpoints.remove("i-1", time.monotonic() + SUSPECT_S)
    endpoints.put(entry, b"")
    endpoints.expire()
    assert "i-1" in endpoints.by_id
    endpoints.remove("i-1", time.monotonic() + SUSPECT_S)
    assert logged_outcomes.count("lapsed during an outage") == 2


def test_a_lapsed_entry_that_does_not_return_is_removed(endpoints, logged_outcomes):
    endpoints.remove("i-1", time.monotonic() + 0.01)
    time.sleep(0.02)
    endpoints.expire()
    assert "i-1" not in endpoints.by_id
    assert logged_outcomes[-1] == "removed"


def test_a_leaving_endpoint_gets_no_new_requests(endpoints, logged_outcomes):
    entry = endpoints.by_id["i-1"].entry
    endpoints.put(attrs.evolve(entry, draining=True), b"")
    assert not endpoints.by_id["i-1"].available
    assert endpoints.of_service("s") == []
    assert logged_outcomes == ["leaves"]


def test_a_restarted_endpoint_is_a_new_endpoint(endpoints, logged_outcomes):
    # An endpoint crashes and restarts under its name with no model loaded. The state of
    # the previous incarnation (that it was excluded, and its loaded models) must not
    # apply to the new one.
    entry = gateway_builders.endpoint("i-2", models=("m",)).entry
    endpoints.put(attrs.evolve(entry, started_ms=5), b"")
    previous = endpoints.find_by_name("i-2")
    endpoints.exclude(previous, "another endpoint has its address")
    endpoints.put(attrs.evolve(entry, started_ms=9, adapters_by_model={}), b"")
    restarted = endpoints.find_by_name("i-2")
    assert restarted.available and restarted.id != previous.id
    assert not restarted.holds("m", "")
    assert previous.id not in endpoints.by_id
    assert logged_outcomes[-2:] == ["started again", "appeared"]


def test_an_entry_of_an_older_incarnation_is_ignored(endpoints, logged_outcomes):
    entry = gateway_builders.endpoint("i-2").entry
    endpoints.put(attrs.evolve(entry, started_ms=9), b"new")
    endpoints.put(attrs.evolve(entry, started_ms=5, draining=True), b"old")
    assert endpoints.find_by_name("i-2").available
    assert endpoints.find_by_name("i-2").document == b"new"


def test_an_endpoint_that_reports_its_restart_has_no_models_loaded(
    endpoints, logged_outcomes
):
    # The platform's store is down, so the entry still lists the models from before the
    # restart. The endpoint's own report contains the later start time.
    entry = gateway_builders.endpoint("i-2", models=("m",)).entry
    endpoints.put(attrs.evolve(entry, started_ms=5), b"")
    endpoints.record_restart(endpoints.find_by_name("i-2"), 9)
    assert not endpoints.find_by_name("i-2").holds("m", "")
    endpoints.put(attrs.evolve(entry, started_ms=5), b"")
    assert endpoints.find_by_name("i-2").entry.started_ms == 9


# Guards against requests to a leaving endpoint whose entry lapsed during an outage of
# the platform and was written again.
def test_an_endpoint_that_announced_leaving_stays_excluded(endpoints, logged_outcomes):
    entry = endpoints.by_id["i-1"].entry
    assert endpoints.record_leaving("i-1")
    assert endpoints.of_service("s") == []
    endpoints.remove("i-1")
    endpoints.put(entry, b"")
    assert endpoints.of_service("s") == []
    assert not endpoints.record_leaving("i-1")


# Guards against a restarted endpoint that gets no requests.
def test_a_restart_ends_the_exclusion_of_a_leaving_endpoint(endpoints, logged_outcomes):
    entry = gateway_builders.endpoint("i-2", service="t").entry
    endpoints.put(attrs.evolve(entry, started_ms=5), b"")
    endpoints.record_leaving("i-2@5")
    endpoints.put(attrs.evolve(entry, started_ms=9), b"")
    assert [item.id for item in endpoints.of_service("t")] == ["i-2@9"]


def test_the_number_of_remembered_leaving_endpoints_is_bounded(endpoints):
    for number in range(registry.MAX_REMEMBERED + 10):
        endpoints.record_leaving(f"i-{number}")
    assert len(endpoints.leaving_ids) == registry.MAX_REMEMBERED
    assert "i-0" not in endpoints.leaving_ids


# Guards against an endpoint that is used for good after its removal: the snapshot of a
# peer has entries that the platform no longer has, and that the peer keeps for a while.
@pytest.mark.parametrize("knows_removal", [True, False])
def test_a_lapsed_entry_of_a_peer_does_not_bring_an_endpoint_back(
    monkeypatch, knows_removal
):
    first, second = (
        registry_builders.make_discovery(),
        registry_builders.make_discovery(),
    )
    for part in (first, second):
        part._apply_changes(registry_builders.changes(1, ("i-1", b"1")), 0.0)
    suspect_until = time.monotonic() + 0.1
    removal = registry_builders.changes(2, ("i-1", None))
    first._apply_changes(removal, suspect_until)
    if knows_removal:
        second._apply_changes(removal, suspect_until)
    first._apply_changes(registry_builders.changes(3, ("i-2", b"3")), 0.0)
    second.apply_peer_snapshot(first.registry.cursor, first.documents())
    now = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: now + 10.0)
    for part in (first, second):
        part.registry.expire()
        assert list(registry_builders.state(part)) == ["i-2"]
