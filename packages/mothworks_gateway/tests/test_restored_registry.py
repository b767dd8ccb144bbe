"""The platform is restored from a copy: which entries take effect, and when."""

import random
import time

import attrs
import pytest

import gateway_builders
import registry_builders
from mothworks_gateway import adapters, cursors, feeding, registry

#: Documents of the builders' entries name a service; this one is written again later.
READY, REWRITTEN = b"ready", b"rewritten"


@pytest.fixture
def endpoints():
    made = registry.Registry()
    made.put(gateway_builders.endpoint("i-1").entry, READY)
    return made


@pytest.fixture
def entry(endpoints):
    return endpoints.by_id["i-1"].entry


@pytest.fixture
def no_hold(monkeypatch):
    monkeypatch.setattr(registry, "RESTORED_HOLD_S", 0.0)
    monkeypatch.setattr(feeding, "SUSPECT_REMOVAL_S", 0.0)


def is_available(endpoints):
    endpoint = endpoints.by_id.get("i-1")
    return endpoint is not None and endpoint.available


# Guards against requests to an endpoint that left after the copy was made.
def test_a_restored_entry_does_not_bring_back_an_endpoint_that_left(endpoints, entry):
    endpoints.put(attrs.evolve(entry, draining=True), REWRITTEN)
    endpoints.put_restored(entry, READY)
    endpoints.expire()
    assert not is_available(endpoints)
    endpoints.remove("i-1")
    endpoints.put_restored(entry, READY)
    endpoints.expire()
    assert not is_available(endpoints)


# Guards against an endpoint that is left out for good although it is running.
@pytest.mark.parametrize("was_removed", [True, False])
def test_a_restored_entry_takes_effect_later(no_hold, endpoints, entry, was_removed):
    endpoints.put(attrs.evolve(entry, draining=True), REWRITTEN)
    if was_removed:
        endpoints.remove("i-1")
    endpoints.put_restored(entry, READY)
    endpoints.expire()
    assert is_available(endpoints)
    assert endpoints.restored_by_name == {}


# Guards against a restored entry that takes effect after a newer one.
def test_a_newer_entry_replaces_a_restored_one(no_hold, endpoints, entry):
    draining = attrs.evolve(entry, draining=True)
    endpoints.put(draining, REWRITTEN)
    endpoints.put_restored(entry, READY)
    endpoints.put(draining, REWRITTEN)
    endpoints.expire()
    assert not is_available(endpoints)
    endpoints.put_restored(entry, READY)
    endpoints.remove("i-1")
    endpoints.expire()
    assert not is_available(endpoints)


def test_a_restored_entry_that_drains_takes_effect_at_once(endpoints, entry):
    endpoints.put_restored(attrs.evolve(entry, draining=True), REWRITTEN)
    assert not is_available(endpoints)


# Guards against an endpoint that is removed as lapsed although the copy has its entry.
def test_a_lapsed_endpoint_with_a_restored_entry_stays_in_use(endpoints, entry):
    endpoints.remove("i-1", time.monotonic() + 0.01)
    endpoints.put_restored(attrs.evolve(entry, batch_slots=99), READY)
    time.sleep(0.02)
    endpoints.expire()
    assert is_available(endpoints)


# Guards against changes that are published although a VM has others that do not fit.
def test_a_published_snapshot_is_not_applied_over_unknown_changes():
    part = registry_builders.make_discovery()
    part._apply_platform_snapshot(adapters.Snapshot(cursors.make(1, 5), {"i-1": b"5"}))
    part._apply_platform_changes(
        registry_builders.changes(cursors.make(1, 7), ("i-1", None))
    )
    update = registry_builders.changes(cursors.make(2, 4), ("i-2", b"4"))
    registry_builders.publish(
        part, cursors.make(1, 5), update, base_cursor=cursors.make(1, 6)
    )
    assert registry_builders.state(part) == {}
    registry_builders.publish(
        part, cursors.make(1, 5), update, base_cursor=cursors.make(1, 7)
    )
    assert registry_builders.state(part) == {"i-2": "4"}


# Guards against a VM that stays at a state from before a restore, whatever is lost or
# overtaken on the way.
@pytest.mark.parametrize("seed", range(200))
def test_all_vms_reach_the_restored_state(no_hold, seed):
    rng = random.Random(seed)
    platform = registry_builders.Platform()
    parts = [registry_builders.make_discovery() for _ in range(3)]
    watchers, follower = parts[:2], parts[2]
    published = [[], []]
    for watcher, queue in zip(watchers, published, strict=True):
        watcher.on_platform_changes.append(queue.append)
    for number in range(60):
        if rng.random() < 0.1:
            platform.restore(rng.randint(0, platform.revision))
        document = None if rng.random() < 0.3 else str(number).encode()
        platform.write(f"i-{rng.randrange(4)}", document)
        if rng.random() < 0.5:
            platform.update(rng.choice(watchers))
        for queue in published:
            while queue and rng.random() < 0.5:
                update = queue.pop(0)
                if rng.random() < 0.9 and follower.loaded:
                    cursor = follower.registry.cursor
                    follower.apply_published(update)
                    assert follower.registry.cursor >= cursor
        if not follower.loaded:
            platform.update(follower)
    for part in parts:
        platform.update(part)
        time.sleep(0)
        part.registry.expire()
    expected = {
        name: document.decode() for name, document in platform.document_by_name.items()
    }
    assert [registry_builders.state(part) for part in parts] == [expected] * 3
