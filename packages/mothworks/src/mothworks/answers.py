"""Answers to operators' statements: tables, and what is missing in them."""

import collections.abc
import typing

import attrs
import result

from mothworks import documents, fan_out, outcomes


@attrs.frozen
class Table:
    """Rows of one class.

    :param title: what the rows are.
    :param row_class: their class; its fields are the columns.
    :param rows: the rows.
    """

    title: str
    row_class: type
    rows: tuple[typing.Any, ...]

    def plain(self) -> dict[str, typing.Any]:
        """Return the table as plain values, ready for JSON."""
        columns = [field.name for field in attrs.fields(self.row_class)]
        rows = [documents.plain(row) for row in self.rows]
        return {"title": self.title, "columns": columns, "rows": rows}


@attrs.frozen
class Answer:
    """The answer to one statement.

    :param revision: the configuration's revision on the asked VM.
    :param tables: what was asked for.
    :param notes: sentences for people.
    :param unanswered: VMs that were asked and did not answer in time.
    """

    revision: int
    tables: tuple[Table, ...] = ()
    notes: tuple[str, ...] = ()
    unanswered: tuple[str, ...] = ()

    def plain(self) -> dict[str, typing.Any]:
        """Return the answer as plain values, ready for JSON."""
        return {
            "revision": self.revision,
            "tables": [table.plain() for table in self.tables],
            "notes": list(self.notes),
            "unanswered": list(self.unanswered),
        }


#: What a question brings.
Outcome = result.Result[Answer, outcomes.Refusal]


def gathered(
    revision: int,
    tables: collections.abc.Iterable[Table],
    parts: collections.abc.Iterable[fan_out.Gathered],
    notes: tuple[str, ...] = (),
) -> Answer:
    """Return an answer that says what is missing in it.

    :param revision: the configuration's revision on the asked VM.
    :param tables: what was asked for.
    :param parts: what other VMs said.
    :param notes: sentences for people.
    """
    parts = list(parts)
    unanswered = sorted({vm for part in parts for vm in part.unanswered})
    left_out = sum(part.left_out for part in parts)
    if left_out:
        notes = (*notes, f"{left_out} more were left out; narrow the question")
    return Answer(revision, tuple(tables), notes, tuple(unanswered))
