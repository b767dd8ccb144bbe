"""Filters rows by the conditions after ``where`` in a statement."""

import collections.abc
import operator
import typing

import result

from mothworks import outcomes, statements

_FUNCTION_BY_COMPARISON = {
    statements.Comparison.EQUAL: operator.eq,
    statements.Comparison.NOT_EQUAL: operator.ne,
    statements.Comparison.LESS: operator.lt,
    statements.Comparison.LESS_OR_EQUAL: operator.le,
    statements.Comparison.GREATER: operator.gt,
    statements.Comparison.GREATER_OR_EQUAL: operator.ge,
}


def filter_rows(
    rows: collections.abc.Iterable[typing.Any],
    conditions: tuple[statements.Condition, ...],
) -> result.Result[tuple[typing.Any, ...], outcomes.Refusal]:
    """Return the rows for which all conditions hold.

    :param rows: instances of one attrs class.
    :param conditions: the conditions.
    """
    matching = []
    for row in rows:
        for condition in conditions:
            match _evaluate(row, condition):
                case result.Ok(True):
                    continue
                case result.Ok(_):
                    break
                case error:
                    return error
        else:
            matching.append(row)
    return result.Ok(tuple(matching))


def _evaluate(
    row: typing.Any, condition: statements.Condition
) -> result.Result[bool, outcomes.Refusal]:
    if not hasattr(row, condition.field):
        return _invalid(f"unknown field {condition.field!r}")
    actual = getattr(row, condition.field)
    if condition.comparison is statements.Comparison.CONTAINS:
        parts = actual if isinstance(actual, tuple | list) else (actual,)
        return result.Ok(any(condition.value in str(part) for part in parts))
    compare = _FUNCTION_BY_COMPARISON[condition.comparison]
    match actual:
        case tuple() | list():
            return _compare_with_list(actual, condition)
        case bool():
            return result.Ok(compare(str(actual).lower(), condition.value))
        case int() | float():
            try:
                return result.Ok(compare(actual, float(condition.value)))
            except ValueError:
                message = f"{condition.field}: expected a number"
                return _invalid(f"{message}, found {condition.value!r}")
        case None:
            return result.Ok(condition.comparison is statements.Comparison.NOT_EQUAL)
    return result.Ok(compare(str(actual), condition.value))


def _compare_with_list(actual, condition: statements.Condition):
    match condition.comparison:
        case statements.Comparison.EQUAL:
            return result.Ok(condition.value in actual)
        case statements.Comparison.NOT_EQUAL:
            return result.Ok(condition.value not in actual)
    return _invalid(f"{condition.field} is a list: use =, != or ~")


def _invalid(message: str) -> result.Result:
    return result.Err(outcomes.invalid(message, "invalid_statement", 422))
