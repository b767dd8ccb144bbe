"""Operators' commands are conditional, and a refused one changes nothing."""

import attrs
import pytest

import builders
import memory_objects
from mothworks import (
    audit,
    catalogue,
    changes,
    configuration,
    operator_commands,
    statements,
)


class Vm:
    """The commands and the audit trail of one VM on a shared object API."""

    def __init__(self, api, name):
        self.kernel = builders.kernel_with_objects(api, name)
        self.configuration = self.kernel.get(configuration.Configuration)
        self.commands = self.kernel.get(operator_commands.Commands)
        self.trail = self.kernel.get(audit.Audit)

    def declared(self):
        return self.configuration.index.catalogue


@pytest.fixture
def vms():
    api = memory_objects.MemoryApi()
    first, second = Vm(api, "vm-1"), Vm(api, "vm-2")
    assert first.commands.replace(builders.make_catalogue(), 0, "ana", "").unwrap() == 1
    second.configuration.refresh().unwrap()
    return first, second


def test_a_command_changes_its_item_and_is_recorded(vms):
    drained = vms[0].commands.run(statements.Drain("engine-1", "driver"), "ana")
    assert drained.unwrap() == 2
    endpoint = vms[0].configuration.index.endpoint_by_name["engine-1"]
    assert endpoint.drain
    entry = vms[0].trail.pending[-1]
    assert (entry.who, entry.subject, entry.why) == ("ana", "engine-1", "driver")
    assert (entry.what, entry.before, entry.after) == (
        "drain endpoint engine-1",
        1,
        2,
    )


def test_commands_on_different_items_both_take_effect(vms):
    first, second = vms
    first.commands.run(statements.Drain("engine-1"), "ana").unwrap()
    other = statements.Reprioritise("batch", catalogue.Urgency.STANDARD)
    assert second.commands.run(other, "ben").unwrap() == 3
    assert second.configuration.index.endpoint_by_name["engine-1"].drain


def test_the_later_of_two_operators_on_one_item_is_refused(vms):
    """Otherwise the later command would silently overwrite the earlier one.

    Both operators see the urgency class bulk. Ana's command is accepted by one
    VM. Ben's reaches another VM, which has not received Ana's change yet.
    """
    first, second = vms
    urgent = statements.Reprioritise("batch", catalogue.Urgency.URGENT)
    standard = statements.Reprioritise("batch", catalogue.Urgency.STANDARD)
    first.commands.run(urgent, "ana").unwrap()
    rejected = second.commands.run(standard, "ben").unwrap_err()
    assert (rejected.refusal.status, rejected.refusal.code) == (409, "stale")
    assert rejected.difference == (
        changes.Difference("callers", "batch", "urgency", "bulk", "urgent"),
    )
    second.configuration.refresh().unwrap()
    assert second.configuration.revision == 2
    assert second.declared() == first.declared()


def test_a_command_at_an_older_revision_is_refused(vms):
    first, _ = vms
    first.commands.run(statements.Drain("engine-1"), "ana").unwrap()
    late = statements.Resume("engine-1", revision=1)
    rejected = first.commands.run(late, "ben").unwrap_err()
    assert rejected.refusal.status == 409
    assert rejected.difference[0].field == "drain"
    assert first.configuration.index.endpoint_by_name["engine-1"].drain


def test_replacing_the_catalogue_at_an_older_revision_is_refused(vms):
    """Otherwise a file written before a drain would end it when applied."""
    first, second = vms
    first.commands.run(statements.Drain("engine-1"), "ana").unwrap()
    rejected = second.commands.replace(
        builders.make_catalogue(models=(builders.model(), builders.model("new"))),
        1,
        "ben",
        "growth",
    ).unwrap_err()
    assert rejected.difference == (
        changes.Difference("endpoints", "engine-1", "drain", "False", "True"),
    )
    assert second.declared() == first.declared()


@pytest.mark.parametrize(
    ("statement", "status"),
    [
        (statements.Drain("absent"), 404),
        (statements.Retire(statements.Section.MODEL, "absent"), 404),
        (statements.Add(statements.Section.MODEL, {"name": "menu"}), 422),
        (
            statements.Add(
                statements.Section.MODEL, {"name": "menu", "memory_mb": 1000}
            ),
            409,
        ),
        (
            statements.Add(
                statements.Section.MODEL, {"name": "huge", "memory_mb": 900_000}
            ),
            422,
        ),
        (
            statements.Add(statements.Section.CALLER, {"name": "new", "colour": "red"}),
            422,
        ),
    ],
)
def test_an_invalid_command_changes_nothing(vms, statement, status):
    before = vms[0].declared()
    rejected = vms[0].commands.run(statement, "ana").unwrap_err()
    assert rejected.refusal.status == status
    assert vms[0].configuration.revision == 1
    assert vms[0].declared() == before


def test_adding_and_retiring_a_model(vms):
    commands = vms[0].commands
    item = {"name": "wine", "memory_mb": 8000, "replicas": 2}
    commands.run(statements.Add(statements.Section.MODEL, item), "ana").unwrap()
    adapter = {"name": "wine-es", "model": "wine", "memory_mb": 100}
    commands.run(statements.Add(statements.Section.ADAPTER, adapter), "ana").unwrap()
    assert vms[0].configuration.index.model_by_name["wine"].replicas == 2
    retired = statements.Retire(statements.Section.MODEL, "wine")
    commands.run(retired, "ana").unwrap()
    assert vms[0].declared() == builders.make_catalogue()


def test_a_difference_never_shows_key_hashes():
    changed = builders.caller(key_sha256="0" * 64)
    difference = changes.difference(
        builders.make_catalogue(),
        builders.make_catalogue(callers=(changed, builders.bulk_caller())),
    )
    assert [item.field for item in difference] == ["key_sha256"]
    assert "0000" not in str(difference)


def test_a_difference_covers_every_section():
    """Otherwise a change of the planner's weights would be hidden from operators."""
    before = builders.make_catalogue()
    for field in catalogue.Catalogue.__attrs_attrs__:
        value = getattr(before, field.name)
        if not isinstance(value, tuple):
            name = value.__attrs_attrs__[0].name
            changed = attrs.evolve(value, **{name: getattr(value, name) + 1})
            after = attrs.evolve(before, **{field.name: changed})
            [item] = changes.difference(before, after)
            assert (item.section, item.field) == (
                field.name,
                name,
            )
