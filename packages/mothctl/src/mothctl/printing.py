"""Printing answers: tables for people, JSON for programs."""

import typing

import orjson
import tabulate

from mothctl import client


def answer(value: dict[str, typing.Any]) -> str:
    """Return a node's answer as tables and notes.

    :param value: the answer as the node sent it.
    """
    parts = [_table(table, len(value["tables"]) > 1) for table in value["tables"]]
    parts += value["notes"]
    if value["unanswered"]:
        names = ", ".join(value["unanswered"])
        parts.append(f"INCOMPLETE: no answer from {names}")
    return "\n\n".join(parts)


def difference(items: tuple[dict, ...]) -> str:
    """Return differences, one line each: ``-`` and ``+`` where one side is absent.

    :param items: differences of two catalogues.
    """
    return "\n".join(_line(item) for item in items)


def error(failed: client.CallError) -> str:
    """Return why a node did not do what was asked.

    :param failed: the failure.
    """
    if not failed.difference:
        return failed.message
    return f"{failed.message}\n{difference(failed.difference)}"


def json(value: typing.Any) -> str:
    """Return plain values as indented JSON.

    :param value: maps, lists, texts and numbers.
    """
    return orjson.dumps(value, option=orjson.OPT_INDENT_2).decode()


def _table(table: dict[str, typing.Any], titled: bool) -> str:
    columns = table["columns"]
    rows = [[_cell(row[column]) for column in columns] for row in table["rows"]]
    drawn = tabulate.tabulate(rows, headers=columns, disable_numparse=True)
    return f"{table['title']}:\n{drawn}" if titled else drawn


def _cell(value: typing.Any) -> str:
    match value:
        case None:
            return ""
        case bool():
            return "yes" if value else "no"
        case list():
            return ", ".join(map(str, value)) or "-"
    return str(value)


def _line(item: dict) -> str:
    name = "/".join(part for part in (item["section"], item["name"]) if part)
    if item["field"]:
        return f"~ {name} {item['field']}: {item['before']} -> {item['after']}"
    if item["before"] is None:
        return f"+ {name}: {item['after']}"
    return f"- {name}: {item['before']}"
