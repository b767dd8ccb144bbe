"""Stream origins: what is stored, packed and kept."""

import types

import pytest

import fleet_builders
from mothworks_gateway import owners, registry, software_versions, stream_origins

ENTRY = registry.Entry("i-1", "s", ("10.0.1.1", 80), software_version="v1.1")
ORIGIN = stream_origins.StreamOrigin("s", "v1.1")


@pytest.fixture
def parts():
    network, names = fleet_builders.Network(), fleet_builders.vm_names(3)
    return [make_part(name, names, network) for name in names]


def make_part(name, names, network):
    kernel = fleet_builders.make_kernel(name, names, network)
    kernel.parts[software_versions.SoftwareVersions] = types.SimpleNamespace()
    kernel.parts[owners.Owners] = owners.Owners(kernel)
    return stream_origins.StreamOrigins(kernel)


def record(part, stream_id):
    part.record(stream_id, ENTRY)
    part.flush()


# Guards against ids that are changed on the way to another VM.
@pytest.mark.parametrize(
    "stream_id", ["9b4689b30e8b32b2", "ABCD", "0x1", "q-1", "ab c"]
)
def test_an_origin_is_stored_under_the_callers_id(parts, stream_id):
    record(parts[0], stream_id)
    stored = [part.stored_by_id.get(stream_id) for part in parts]
    origins = [item.origin for item in stored if item is not None]
    assert len(origins) >= stream_origins.COPIES
    assert set(origins) == {ORIGIN}


# Guards against callers that fill the memory of VMs with long ids, and against one
# origin for all streams whose callers name none.
@pytest.mark.parametrize("stream_id", ["", "x" * (stream_origins.MAX_ID_LENGTH + 1)])
def test_empty_and_long_ids_are_neither_stored_nor_looked_up(parts, stream_id):
    record(parts[0], stream_id)
    assert not parts[0].stored_by_id
    assert parts[0].find(stream_id) is None


def test_the_number_of_stored_origins_is_bounded(parts, monkeypatch):
    monkeypatch.setattr(stream_origins, "MAX_ORIGINS", 3)
    for number in range(10):
        record(parts[0], f"q-{number}")
    assert len(parts[0].stored_by_id) == 3


# Guards against streams that are refused because an owner answered something late.
def test_owners_that_did_not_answer_lately_are_asked_all_the_same(parts):
    stream_id = "9b4689b30e8b32b2"
    record(parts[0], stream_id)
    knowing = [part for part in parts if stream_id in part.stored_by_id]
    asking = parts[0] if parts[0] not in knowing else parts[1]
    asking.stored_by_id.clear()
    for part in parts:
        asking.owners.record_silent(part.name, "no reply in time", "a limit")
    assert asking.find(stream_id) == ORIGIN
