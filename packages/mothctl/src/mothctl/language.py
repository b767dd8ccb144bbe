"""The operators' language: parses a line of text into a typed statement.

The grammar is in ``language.lark``. An invalid statement gives an error that points at
the position of the problem and lists what is expected there.
"""

import functools
import importlib.resources
import typing

import attrs
import lark
import result

from mothworks import catalogue, row_classes, statements

#: Descriptions of the grammar's terminals for error messages.
DESCRIPTION_BY_TERMINAL = {
    "NAME": "a name",
    "NUMBER": "a number",
    "TEXT": "a text in double quotes",
    "COLLECTION": "one of " + ", ".join(statements.Collection),
    "SECTION": "one of " + ", ".join(statements.Section),
    "URGENCY": "one of " + ", ".join(catalogue.Urgency),
    "COMPARISON": "one of " + " ".join(statements.Comparison),
    "EQUAL": "=",
    "LSQB": "[",
    "RSQB": "]",
    "COMMA": ",",
    "$END": "the end",
}


@attrs.frozen
class SyntaxProblem:
    """Why a statement can't be parsed.

    :param text: the statement.
    :param column: position of the problem, from 0.
    :param expected: descriptions of what is valid there.
    """

    text: str
    column: int
    expected: tuple[str, ...]

    def __str__(self) -> str:
        pointer = " " * self.column + "^"
        return f"{self.text}\n{pointer}\nexpected " + ", or ".join(self.expected)


@attrs.frozen
class Watch:
    """``watch COLLECTION where ...``: show rows repeatedly.

    :param show: the query to repeat.
    """

    show: statements.Show


@attrs.frozen
class Diff:
    """``diff FILE``: what a catalogue file would change.

    :param file: its path.
    """

    file: str


@attrs.frozen
class Apply:
    """``apply FILE``: apply a catalogue file.

    :param file: its path.
    :param why: the reason, for the audit trail.
    :param revision: the revision that ``diff`` compared the file with.
    """

    file: str
    why: str = ""
    revision: int | None = None


#: Statements that ``mothctl`` executes itself, with calls to a node.
Local = Watch | Diff | Apply


def parse(text: str) -> result.Result[statements.Statement | Local, SyntaxProblem]:
    """Parse one statement.

    :param text: the statement.

    >>> parse("drain endpoint engine-1").unwrap().endpoint
    'engine-1'
    """
    try:
        tree = _parser().parse(text)
        return result.Ok(_Builder().transform(tree))
    except lark.exceptions.VisitError as error:
        if not isinstance(error.orig_exc, _UnknownName):
            raise
        unknown_name = error.orig_exc
        return result.Err(
            SyntaxProblem(text, unknown_name.column, (unknown_name.expected,))
        )
    except lark.UnexpectedInput as error:
        return result.Err(_problem(text, error))


class _UnknownName(Exception):
    """A name that the grammar accepts, but that does not exist."""

    def __init__(self, token: lark.Token, expected: str):
        super().__init__(str(token))
        self.column = token.start_pos
        self.expected = expected


@functools.cache
def _parser() -> lark.Lark:
    grammar = importlib.resources.files("mothctl") / "language.lark"
    return lark.Lark(
        grammar.read_text(encoding="utf-8"), start="statement", parser="lalr"
    )


def _problem(text: str, error: lark.UnexpectedInput) -> SyntaxProblem:
    match error:
        case lark.UnexpectedToken():
            terminals = error.accepts or error.expected
            at_end = error.token.type == "$END"
            column = len(text) if at_end else error.token.start_pos
        case lark.UnexpectedCharacters():
            terminals, column = error.allowed, error.pos_in_stream
        case _:
            terminals, column = (), len(text)
    expected = {_describe(terminal) for terminal in terminals}
    return SyntaxProblem(text, column, tuple(sorted(expected)))


def _describe(terminal: str) -> str:
    return DESCRIPTION_BY_TERMINAL.get(terminal, terminal.lower())


def _text(token: lark.Token) -> str:
    if token.type != "TEXT":
        return str(token)
    return token[1:-1].replace('\\"', '"').replace("\\\\", "\\")


@attrs.frozen
class _Reason:
    """The clause ``because TEXT``."""

    text: str


@attrs.frozen
class _Base:
    """The clause ``at revision N``: the revision that a change is based on."""

    revision: int


@attrs.frozen
class _Field:
    """One field of an ``add`` statement, ``NAME = VALUE``."""

    name: str
    value: typing.Any


def _options(items: list) -> dict[str, typing.Any]:
    """Return the optional clauses of a statement as keyword arguments."""
    options = {}
    for item in items:
        match item:
            case _Reason(text):
                options["why"] = text
            case _Base(revision):
                options["revision"] = revision
    return options


class _Builder(lark.Transformer):
    """Builds typed statements; each method handles the grammar rule of its name."""

    def show(self, items: list) -> statements.Show:
        collection = statements.Collection(items[0])
        conditions = tuple(items[1]) if len(items) > 1 else ()
        fields = row_classes.fields(collection)
        for token, condition in conditions:
            if condition.field not in fields:
                expected = "one of the fields " + ", ".join(fields)
                raise _UnknownName(token, expected)
        return statements.Show(collection, tuple(item for _, item in conditions))

    def watch(self, items: list) -> Watch:
        return Watch(self.show(items))

    def where(self, items: list) -> list:
        return items

    def condition(self, items: list) -> tuple[lark.Token, statements.Condition]:
        field, comparison, value = items
        parsed = statements.Condition(
            str(field), statements.Comparison(comparison), _text(value)
        )
        return field, parsed

    def why_model(self, items: list) -> statements.WhyModel:
        return statements.WhyModel(_text(items[0]))

    def why_request(self, items: list) -> statements.WhyRequest:
        return statements.WhyRequest(_text(items[0]))

    def add(self, items: list) -> statements.Add:
        section, name, *rest = items
        fields = [item for item in rest if isinstance(item, _Field)]
        item = {"name": _text(name), **{field.name: field.value for field in fields}}
        return statements.Add(statements.Section(section), item, **_options(rest))

    def field(self, items: list) -> _Field:
        name, value = items
        return _Field(str(name), _plain(value))

    def listed(self, items: list) -> list:
        return [_plain(item) for item in items if item is not None]

    def retire(self, items: list) -> statements.Retire:
        section, name, *rest = items
        return statements.Retire(
            statements.Section(section), _text(name), **_options(rest)
        )

    def drain(self, items: list) -> statements.Drain:
        return statements.Drain(_text(items[0]), **_options(items[1:]))

    def resume(self, items: list) -> statements.Resume:
        return statements.Resume(_text(items[0]), **_options(items[1:]))

    def reprioritise(self, items: list) -> statements.Reprioritise:
        caller, urgency, *rest = items
        return statements.Reprioritise(
            _text(caller), catalogue.Urgency(urgency), **_options(rest)
        )

    def move(self, items: list) -> statements.Move:
        names = [_text(item) for item in items[:3]]
        return statements.Move(*names, **_options(items[3:]))

    def lift(self, items: list) -> statements.Lift:
        return statements.Lift(_text(items[0]), **_options(items[1:]))

    def diff(self, items: list) -> Diff:
        return Diff(_text(items[0]))

    def apply(self, items: list) -> Apply:
        return Apply(_text(items[0]), **_options(items[1:]))

    def reason(self, items: list) -> _Reason:
        return _Reason(_text(items[0]))

    def base(self, items: list) -> _Base:
        return _Base(int(items[0]))


def _plain(value: typing.Any) -> typing.Any:
    """Return a field's value, with its type inferred from its notation."""
    match value:
        case lark.Token(type="NUMBER"):
            return float(value) if "." in value else int(value)
        case lark.Token(type="NAME", value="true" | "false"):
            return value == "true"
        case lark.Token():
            return _text(value)
    return value
