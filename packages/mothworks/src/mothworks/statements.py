"""Statements: operators' queries and commands, as typed classes.

``mothctl`` parses the language and sends a statement as JSON, whose field
``statement`` is the name of the class. The node validates it against the same
classes.
"""

import enum
import typing

import attrs
import result

from mothworks import catalogue, documents


class Collection(enum.StrEnum):
    """Collections of rows that ``show`` and ``watch`` list."""

    MODELS = "models"
    ENDPOINTS = "endpoints"
    CALLERS = "callers"
    WAITING = "waiting"
    MOVES = "moves"
    PEERS = "peers"
    AUDIT = "audit"
    QUARANTINE = "quarantine"
    ATTAINMENT = "attainment"
    QUEUES = "queues"


class Section(enum.StrEnum):
    """Kinds of items of the catalogue, in the singular."""

    MODEL = "model"
    ADAPTER = "adapter"
    SERVICE = "service"
    CALLER = "caller"
    ENDPOINT = "endpoint"

    @property
    def field(self) -> str:
        """Return the catalogue's field that holds such items."""
        return f"{self.value}s"


class Comparison(enum.StrEnum):
    """Comparison operators of conditions."""

    EQUAL = "="
    NOT_EQUAL = "!="
    LESS = "<"
    LESS_OR_EQUAL = "<="
    GREATER = ">"
    GREATER_OR_EQUAL = ">="
    #: The field's text contains the value.
    CONTAINS = "~"


@attrs.frozen
class Condition:
    """A condition on the rows of a collection.

    :param field: the row's field.
    :param comparison: the operator.
    :param value: the value that the field is compared with.
    """

    field: str
    comparison: Comparison
    value: str


@attrs.frozen
class Show:
    """``show COLLECTION where ...``: list rows.

    :param collection: the collection to list.
    :param conditions: conditions that each listed row meets.
    """

    collection: Collection
    conditions: tuple[Condition, ...] = ()


@attrs.frozen
class WhyModel:
    """``why model M``: explain where a model is, where not, and pending moves.

    :param model: the model, adapter or service.
    """

    model: str


@attrs.frozen
class WhyRequest:
    """``why request R``: explain where a request is and how it was routed.

    :param request: the request's ID.
    """

    request: str


@attrs.frozen
class Add:
    """``add SECTION N with FIELD = VALUE and ...``: declare an item.

    :param section: the kind of item.
    :param item: its fields, as in the catalogue.
    :param why: the reason, for the audit trail.
    :param revision: the revision that the statement is based on; None for the
        one in force when the statement arrives.
    """

    section: Section
    item: dict[str, typing.Any]
    why: str = ""
    revision: int | None = None


@attrs.frozen
class Retire:
    """``retire SECTION N``: remove an item, and a model's adapters with it.

    :param section: the kind of item.
    :param name: its name.
    :param why: see :class:`Add`.
    :param revision: see :class:`Add`.
    """

    section: Section
    name: str
    why: str = ""
    revision: int | None = None


@attrs.frozen
class Drain:
    """``drain endpoint N``: stop sending new requests to it.

    :param endpoint: the endpoint's name.
    :param why: see :class:`Add`.
    :param revision: see :class:`Add`.
    """

    endpoint: str
    why: str = ""
    revision: int | None = None


@attrs.frozen
class Resume:
    """``resume endpoint N``: end a drain.

    :param endpoint: the endpoint's name.
    :param why: see :class:`Add`.
    :param revision: see :class:`Add`.
    """

    endpoint: str
    why: str = ""
    revision: int | None = None


@attrs.frozen
class Reprioritise:
    """``reprioritise caller C to URGENCY``: change a caller's urgency class.

    :param caller: the caller's name.
    :param urgency: the new urgency class of all its requests.
    :param why: see :class:`Add`.
    :param revision: see :class:`Add`.
    """

    caller: str
    urgency: catalogue.Urgency
    why: str = ""
    revision: int | None = None


@attrs.frozen
class Move:
    """``move model M from A to B``: relocate a replica.

    :param model: the model.
    :param source: the endpoint that unloads it.
    :param target: the endpoint that loads it.
    :param why: see :class:`Add`.
    """

    model: str
    source: str
    target: str
    why: str = ""


@attrs.frozen
class Lift:
    """``lift quarantine S``: allow a request to run again on every VM.

    :param suspect: the request's hash, as ``show quarantine`` lists it.
    :param why: the reason, for the audit trail.
    """

    suspect: str
    why: str = ""


#: Read-only statements; the role viewer suffices.
Query = Show | WhyModel | WhyRequest
#: Statements that change the catalogue.
Change = Add | Retire | Drain | Resume | Reprioritise
#: Every statement that a node accepts.
Statement = Query | Change | Move | Lift

_class_by_name = {
    statement_class.__name__: statement_class
    for statement_class in typing.get_args(Statement)
}


def plain(statement: Statement) -> dict[str, typing.Any]:
    """Return a statement as plain values that JSON can represent.

    :param statement: the statement.

    >>> plain(Drain("engine-1"))["statement"]
    'Drain'
    """
    return {"statement": type(statement).__name__, **documents.to_plain(statement)}


def read(value: typing.Any) -> result.Result[Statement, documents.DocumentError]:
    """Check plain values and return them as a statement.

    :param value: the decoded JSON.
    """
    if not isinstance(value, dict):
        return _invalid("expected an object")
    fields = dict(value)
    statement_class = _class_by_name.get(fields.pop("statement", None))
    if statement_class is None:
        names = ", ".join(_class_by_name)
        return _invalid(f"$.statement: expected one of {names}")
    return documents.structure(fields, statement_class, "statement")


def _invalid(problem: str) -> result.Result:
    return result.Err(documents.DocumentError("statement", (problem,)))
