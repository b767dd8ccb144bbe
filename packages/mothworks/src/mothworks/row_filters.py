"""Conditions on rows: what follows ``where`` in a statement."""

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


def keep(
    rows: collections.abc.Iterable[typing.Any],
    conditions: tuple[statements.Condition, ...],
) -> result.Result[tuple[typing.Any, ...], outcomes.Refusal]:
    """Return the rows for which all conditions hold.

    :param rows: instances of one attrs class.
    :param conditions: the conditions.
    """
    kept = []
    for row in rows:
        for condition in conditions:
            match _holds(row, condition):
                case result.Ok(True):
                    continue
                case result.Ok(_):
                    break
                case error:
                    return error
        else:
            kept.append(row)
    return result.Ok(tuple(kept))


def _holds(
    row: typing.Any, condition: statements.Condition
) -> result.Result[bool, outcomes.Refusal]:
    if not hasattr(row, condition.field):
        return _wrong(f"there is no field {condition.field!r}")
    found = getattr(row, condition.field)
    if condition.comparison is statements.Comparison.CONTAINS:
        parts = found if isinstance(found, tuple | list) else (found,)
        return result.Ok(any(condition.value in str(part) for part in parts))
    compare = _FUNCTION_BY_COMPARISON[condition.comparison]
    match found:
        case tuple() | list():
            return _compare_with_list(found, condition)
        case bool():
            return result.Ok(compare(str(found).lower(), condition.value))
        case int() | float():
            try:
                return result.Ok(compare(found, float(condition.value)))
            except ValueError:
                message = f"{condition.field}: expected a number"
                return _wrong(f"{message}, found {condition.value!r}")
        case None:
            return result.Ok(condition.comparison is statements.Comparison.NOT_EQUAL)
    return result.Ok(compare(str(found), condition.value))


def _compare_with_list(found, condition: statements.Condition):
    match condition.comparison:
        case statements.Comparison.EQUAL:
            return result.Ok(condition.value in found)
        case statements.Comparison.NOT_EQUAL:
            return result.Ok(condition.value not in found)
    return _wrong(f"{condition.field} is a list: use =, != or ~")


def _wrong(message: str) -> result.Result:
    return result.Err(outcomes.invalid(message, "invalid_statement", 422))
