"""Formats answers: tables for people, JSON for programs."""

import typing

import orjson
import tabulate

from mothctl import client


def answer(value: dict[str, typing.Any]) -> str:
    """Return a node's answer as tables and notes.

    :param value: the node's answer.
    """
    parts = [_table(table, len(value["tables"]) > 1) for table in value["tables"]]
    parts += value["notes"]
    if value["unanswered"]:
        names = ", ".join(value["unanswered"])
        parts.append(f"INCOMPLETE: no answer from {names}")
    return "\n\n".join(parts)


def difference(items: tuple[dict, ...]) -> str:
    """Return differences, one line each.

    ``~`` marks a changed field, ``+`` an added and ``-`` a removed item.

    :param items: differences of two catalogues.
    """
    return "\n".join(_line(item) for item in items)


def error(call_error: client.CallError) -> str:
    """Return the message of a failed call, with the differences of a conflict.

    :param call_error: the failure.
    """
    if not call_error.difference:
        return call_error.message
    return f"{call_error.message}\n{difference(call_error.difference)}"


def json(value: typing.Any) -> str:
    """Return plain values as indented JSON.

    :param value: maps, lists, strings and numbers.
    """
    return orjson.dumps(value, option=orjson.OPT_INDENT_2).decode()


def _table(table: dict[str, typing.Any], has_title: bool) -> str:
    columns = table["columns"]
    rows = [[_cell(row[column]) for column in columns] for row in table["rows"]]
    rendered = tabulate.tabulate(rows, headers=columns, disable_numparse=True)
    return f"{table['title']}:\n{rendered}" if has_title else rendered


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
