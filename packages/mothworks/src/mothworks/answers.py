"""Answers to operators' statements: tables, notes and the VMs that did not reply."""

import collections.abc
import typing

import attrs
import result

from mothworks import documents, fan_out, outcomes


@attrs.frozen
class Table:
    """Rows of one class.

    :param title: the heading.
    :param row_class: class of the rows; its fields are the columns.
    :param rows: the rows.
    """

    title: str
    row_class: type
    rows: tuple[typing.Any, ...]

    def plain(self) -> dict[str, typing.Any]:
        """Return the table as values that JSON can encode."""
        columns = [field.name for field in attrs.fields(self.row_class)]
        rows = [documents.to_plain(row) for row in self.rows]
        return {"title": self.title, "columns": columns, "rows": rows}


@attrs.frozen
class Answer:
    """The answer to one statement.

    :param revision: revision of the configuration on the VM that answers.
    :param tables: the requested rows.
    :param notes: remarks for the operator, in sentences.
    :param unanswered: VMs that were queried and did not respond in time.
    """

    revision: int
    tables: tuple[Table, ...] = ()
    notes: tuple[str, ...] = ()
    unanswered: tuple[str, ...] = ()

    def plain(self) -> dict[str, typing.Any]:
        """Return the answer as values that JSON can encode."""
        return {
            "revision": self.revision,
            "tables": [table.plain() for table in self.tables],
            "notes": list(self.notes),
            "unanswered": list(self.unanswered),
        }


#: The answer to a query, or why it is refused.
Outcome = result.Result[Answer, outcomes.Refusal]


def merge_results(
    revision: int,
    tables: collections.abc.Iterable[Table],
    query_results: collections.abc.Iterable[fan_out.QueryResult],
    notes: tuple[str, ...] = (),
) -> Answer:
    """Return an answer that names unresponsive VMs and counts omitted items.

    :param revision: revision of the configuration on the VM that answers.
    :param tables: the requested rows.
    :param query_results: the results whose unanswered VMs and omitted items
        the answer reports.
    :param notes: remarks for the operator, in sentences.
    """
    query_results = list(query_results)
    unanswered = sorted({vm for item in query_results for vm in item.unanswered})
    left_out = sum(item.left_out for item in query_results)
    if left_out:
        notes = (*notes, f"{left_out} more were left out; narrow the query")
    return Answer(revision, tuple(tables), notes, tuple(unanswered))
