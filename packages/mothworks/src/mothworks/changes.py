"""Changes of the catalogue: applies statements and computes differences.

All functions here are pure functions of catalogues, so that a change can be
recomputed on a newer revision and compared with the one its operator saw.
"""

import attrs
import result

from mothworks import catalogue, catalogue_checks, documents, outcomes, statements

#: Fields with hashes of secrets; differences don't show their values.
HIDDEN_FIELDS = frozenset(("key_sha256",))


@attrs.frozen
class Difference:
    """One field in which two catalogues differ.

    :param section: the section of the catalogue.
    :param name: the item's name; empty for a section that is not a list.
    :param field: the field; empty if the whole item was added or removed.
    :param before: the value in the first catalogue; None if it is absent there.
    :param after: the value in the second catalogue; None if it is absent there.
    """

    section: str
    name: str
    field: str
    before: str | None
    after: str | None


def apply(
    declared: catalogue.Catalogue, statement: statements.Change
) -> result.Result[catalogue.Catalogue, outcomes.Refusal]:
    """Apply a statement to a catalogue and check the result.

    :param declared: the catalogue before the change.
    :param statement: the change.
    :returns: the changed catalogue.
    """
    match statement:
        case statements.Add(section, item):
            changed = _add(declared, section, item)
        case statements.Retire(section, name):
            changed = _retire(declared, section, name)
        case statements.Drain(name):
            changed = _evolve(declared, "endpoints", name, drain=True)
        case statements.Resume(name):
            changed = _evolve(declared, "endpoints", name, drain=False)
        case statements.Reprioritise(name, urgency):
            changed = _evolve(declared, "callers", name, urgency=urgency)
    return changed.and_then(_check)


def changed_item(statement: statements.Change) -> tuple[str, str]:
    """Return the section and the name of the item that a statement changes.

    :param statement: the statement.
    """
    match statement:
        case statements.Add(section, item):
            return section.field, str(item.get("name", ""))
        case statements.Retire(section, name):
            return section.field, name
        case statements.Drain(name) | statements.Resume(name):
            return "endpoints", name
        case statements.Reprioritise(name):
            return "callers", name


def difference(
    before: catalogue.Catalogue, after: catalogue.Catalogue
) -> tuple[Difference, ...]:
    """Return every field in which two catalogues differ.

    :param before: the first catalogue.
    :param after: the second catalogue.
    """
    differences = []
    for section in (field.name for field in attrs.fields(catalogue.Catalogue)):
        first, second = getattr(before, section), getattr(after, section)
        if not isinstance(first, tuple):
            differences += _item_difference(section, "", first, second)
            continue
        first_by_name = {item.name: item for item in first}
        second_by_name = {item.name: item for item in second}
        for name in sorted(first_by_name.keys() | second_by_name.keys()):
            differences += _item_difference(
                section, name, first_by_name.get(name), second_by_name.get(name)
            )
    return tuple(differences)


def item_difference(
    before: catalogue.Catalogue, after: catalogue.Catalogue, section: str, name: str
) -> tuple[Difference, ...]:
    """Return every field in which one item differs between two catalogues.

    :param before: the first catalogue.
    :param after: the second catalogue.
    :param section: the item's section.
    :param name: the item's name.
    """
    first = _find(before, section, name)
    second = _find(after, section, name)
    return tuple(_item_difference(section, name, first, second))


def _add(declared: catalogue.Catalogue, section: statements.Section, item: dict):
    structured = documents.structure(
        {section.field: [item]}, catalogue.Catalogue, "add"
    )
    match structured:
        case result.Ok(partial):
            added = getattr(partial, section.field)
        case result.Err(problem):
            return result.Err(outcomes.invalid(str(problem), "invalid_statement", 422))
    if _find(declared, section.field, added[0].name) is not None:
        message = f"{section} {added[0].name!r} is declared already"
        return result.Err(outcomes.invalid(message, "already_declared", 409))
    items = (*getattr(declared, section.field), *added)
    return result.Ok(attrs.evolve(declared, **{section.field: items}))


def _retire(declared: catalogue.Catalogue, section: statements.Section, name: str):
    if _find(declared, section.field, name) is None:
        return result.Err(_not_declared(section, name))
    items = getattr(declared, section.field)
    remaining = tuple(item for item in items if item.name != name)
    changes = {section.field: remaining}
    if section is statements.Section.MODEL:
        changes["adapters"] = tuple(
            adapter for adapter in declared.adapters if adapter.model != name
        )
    return result.Ok(attrs.evolve(declared, **changes))


def _evolve(declared: catalogue.Catalogue, section: str, name: str, **fields):
    if _find(declared, section, name) is None:
        return result.Err(_not_declared(section.removesuffix("s"), name))
    items = tuple(
        attrs.evolve(item, **fields) if item.name == name else item
        for item in getattr(declared, section)
    )
    return result.Ok(attrs.evolve(declared, **{section: items}))


def _check(changed: catalogue.Catalogue):
    checked = catalogue_checks.check(changed, "catalogue").and_then(
        lambda consistent: catalogue_checks.check_capacity(consistent, "catalogue")
    )
    return checked.map_err(
        lambda problem: outcomes.invalid(str(problem), "invalid_catalogue", 422)
    )


def _find(declared: catalogue.Catalogue, section: str, name: str):
    items = getattr(declared, section)
    return next((item for item in items if item.name == name), None)


def _not_declared(section: str, name: str) -> outcomes.Refusal:
    return outcomes.invalid(f"no {section} is named {name!r}", "not_declared", 404)


def _item_difference(section: str, name: str, before, after) -> list[Difference]:
    if before == after:
        return []
    if before is None or after is None:
        return [Difference(section, name, "", _summary(before), _summary(after))]
    return [
        Difference(section, name, field.name, first, second)
        for field in attrs.fields(type(before))
        for first, second in [_shown_values(before, after, field.name)]
        if getattr(before, field.name) != getattr(after, field.name)
    ]


def _shown_values(before, after, field: str) -> tuple[str, str]:
    if field in HIDDEN_FIELDS:
        return "(hidden)", "(another)"
    return str(getattr(before, field)), str(getattr(after, field))


def _summary(item) -> str | None:
    if item is None:
        return None
    shown_fields = [
        f"{field.name} {getattr(item, field.name)}"
        for field in attrs.fields(type(item))
        if field.name != "name"
        and field.name not in HIDDEN_FIELDS
        and getattr(item, field.name) != field.default
    ]
    return ", ".join(shown_fields) or "declared"
