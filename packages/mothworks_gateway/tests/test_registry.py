"""The registry: entries that come, lapse and go."""

import time

import attrs
import pytest

import gateway_builders
from mothworks import logs
from mothworks_gateway import registry

LATER = 10.0


@pytest.fixture
def said(monkeypatch):
    outcomes = []
    monkeypatch.setattr(
        logs, "event", lambda *_, **fields: outcomes.append(fields["outcome"])
    )
    return outcomes


@pytest.fixture
def view():
    made = registry.Registry()
    made.put(gateway_builders.endpoint("i-1").entry, b"")
    return made


def test_an_entry_that_lapses_during_an_outage_is_said_once(view, said):
    # The store drops and resets a VM for nine seconds. Each list that it reads
    # meanwhile lacks the same entry, and each was a line in its log.
    for _ in range(4):
        view.remove("i-1", time.monotonic() + LATER)
    assert said == ["lapsed during an outage"]
    assert view.by_id["i-1"].open


def test_an_entry_that_lapsed_and_is_back_may_lapse_again(view, said):
    entry = view.by_id["i-1"].entry
    view.remove("i-1", time.monotonic() + LATER)
    view.put(entry, b"")
    view.expire()
    assert "i-1" in view.by_id
    view.remove("i-1", time.monotonic() + LATER)
    assert said.count("lapsed during an outage") == 2


def test_an_entry_that_does_not_come_back_is_removed(view, said):
    view.remove("i-1", time.monotonic() + 0.01)
    time.sleep(0.02)
    view.expire()
    assert "i-1" not in view.by_id
    assert said[-1] == "removed"


def test_an_endpoint_that_says_it_leaves_gets_no_new_work(view, said):
    entry = view.by_id["i-1"].entry
    view.put(attrs.evolve(entry, leaving=True), b"")
    assert not view.by_id["i-1"].open
    assert view.of_service("s") == []
    assert said == ["leaves"]


def test_an_endpoint_that_starts_again_is_another_one(view, said):
    # An endpoint crashes and is back under its name, empty. What was known of
    # the former incarnation, that a VM no longer sends to it and which models
    # it held, must not count for the new one.
    entry = gateway_builders.endpoint("i-2", models=("m",)).entry
    view.put(attrs.evolve(entry, born=5), b"")
    before = view.named("i-2")
    view.dismiss(before, "its address is another's")
    view.put(attrs.evolve(entry, born=9, adapters_by_model={}), b"")
    now = view.named("i-2")
    assert now.open and now.id != before.id
    assert not now.holds("m", "")
    assert before.id not in view.by_id
    assert said[-2:] == ["started again", "appeared"]


def test_an_entry_of_an_older_incarnation_changes_nothing(view, said):
    entry = gateway_builders.endpoint("i-2").entry
    view.put(attrs.evolve(entry, born=9), b"new")
    view.put(attrs.evolve(entry, born=5, leaving=True), b"old")
    assert view.named("i-2").open
    assert view.named("i-2").document == b"new"


def test_an_endpoint_that_tells_of_its_start_itself_holds_nothing(view, said):
    # The platform's store is away, so that its entry still shows the models of
    # before. Its own report names a later start.
    entry = gateway_builders.endpoint("i-2", models=("m",)).entry
    view.put(attrs.evolve(entry, born=5), b"")
    view.restarted(view.named("i-2"), 9)
    assert not view.named("i-2").holds("m", "")
    view.put(attrs.evolve(entry, born=5), b"")
    assert view.named("i-2").entry.born == 9
