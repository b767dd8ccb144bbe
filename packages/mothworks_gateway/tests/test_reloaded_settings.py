"""Settings that are read again while the process runs."""

import attrs
import pytest

import gateway_builders
from mothworks import settings as node_settings
from mothworks_gateway import settings


def field_names(item, prefix=""):
    """Yield the names of all fields, with those of the classes around them."""
    for field in attrs.fields(type(item)):
        value = getattr(item, field.name)
        if attrs.has(type(value)):
            yield from field_names(value, f"{prefix}{field.name}.")
        else:
            yield prefix + field.name


CURRENT = gateway_builders.make_settings()
FIELDS = list(field_names(CURRENT))


def value_of(item, name):
    for part in name.split("."):
        item = getattr(item, part)
    return item


def with_other_value(item, name):
    """Return settings with another valid value of a field."""
    first, _, rest = name.partition(".")
    value = getattr(item, first)
    if rest:
        return attrs.evolve(item, **{first: with_other_value(value, rest)})
    match item, value:
        case _, bool():
            other = not value
        case _, int() | float():
            other = value + 1
        case _, tuple():
            other = ("127.0.0.9:99",)
        case _, None:
            other = 4711
        case node_settings.Logs(), _:
            other = "debug"
        case settings.Platform(), _:
            other = "127.0.0.9:99"
        case _ if name in ("front", "ready"):
            other = "127.0.0.9:99"
        case _ if name == "address":
            other = "127.0.0.9"
        case _ if name == "endpoint_queue":
            other = "on"
        case _:
            other = "another"
    return attrs.evolve(item, **{first: other})


# Guards against a changed field that neither takes effect nor is named.
@pytest.mark.parametrize("name", FIELDS)
def test_each_changed_field_takes_effect_or_is_named(name):
    read = with_other_value(CURRENT, name)
    reloaded = settings.reload(CURRENT, read)
    in_force = value_of(reloaded.settings, name)
    if name in settings.RELOADED:
        assert (reloaded.changed, reloaded.needs_restart) == ((name,), ())
        assert in_force == value_of(read, name)
    else:
        assert (reloaded.changed, reloaded.needs_restart) == ((), (name,))
        assert in_force == value_of(CURRENT, name)


def test_all_reloaded_fields_exist():
    assert set(FIELDS) >= settings.RELOADED


def test_a_file_without_changes_changes_nothing():
    reloaded = settings.reload(CURRENT, CURRENT)
    assert (reloaded.changed, reloaded.needs_restart) == ((), ())
    assert reloaded.settings == CURRENT


# Guards against a time to stop that is computed at the start.
@pytest.mark.parametrize("stop_s", [0.5, 4.0, 8.0, 600.0])
def test_the_time_to_stop_follows_the_bounds(stop_s):
    bounds = attrs.evolve(CURRENT.bounds, stop_s=stop_s)
    reloaded = settings.reload(CURRENT, attrs.evolve(CURRENT, bounds=bounds))
    assert 0.8 * stop_s < reloaded.settings.drain_s < stop_s


def test_limits_of_the_product_bound_its_drain():
    limits = node_settings.Limits(drain_s=12.5)
    with_limits = attrs.evolve(CURRENT, limits=limits)
    # Before endpoints that register themselves, the platform's time to stop counts.
    assert with_limits.drain_s == CURRENT.drain_s
