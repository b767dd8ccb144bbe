"""Conditions of ``where`` on each type of field."""

import pytest

from mothworks import row_classes, row_filters, statements

ROWS = (
    row_classes.EndpointRow(
        "engine-1", "vllm", "dc-1", "vm-1", "open", False, False, 80_000, ("menu",)
    ),
    row_classes.EndpointRow(
        "engine-2", "vllm", "dc-2", "vm-2", "down", True, False, 40_000, ()
    ),
)


def filter_rows(*conditions):
    parsed = tuple(
        statements.Condition(field, statements.Comparison(comparison), value)
        for field, comparison, value in conditions
    )
    return row_filters.filter_rows(ROWS, parsed)


@pytest.mark.parametrize(
    ("conditions", "expected"),
    [
        ([("state", "=", "open")], ["engine-1"]),
        ([("state", "!=", "open")], ["engine-2"]),
        ([("memory_mb", ">=", "50000")], ["engine-1"]),
        ([("memory_mb", "<", "9e4")], ["engine-1", "engine-2"]),
        ([("drain", "=", "true")], ["engine-2"]),
        ([("models", "=", "menu")], ["engine-1"]),
        ([("models", "!=", "menu")], ["engine-2"]),
        ([("models", "~", "en")], ["engine-1"]),
        ([("endpoint", "~", "-2"), ("owner", "=", "vm-2")], ["engine-2"]),
        ([("endpoint", "~", "-2"), ("owner", "=", "vm-1")], []),
    ],
)
def test_rows_that_meet_the_conditions_are_returned(conditions, expected):
    assert [row.endpoint for row in filter_rows(*conditions).unwrap()] == expected


@pytest.mark.parametrize(
    "condition",
    [("memory_mb", "=", "big"), ("models", "<", "menu"), ("size", "=", "1")],
)
def test_invalid_conditions_are_refused(condition):
    assert filter_rows(condition).unwrap_err().status == 422
