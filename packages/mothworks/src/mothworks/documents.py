"""Reading JSON with comments into checked classes.

Settings and catalogue are written by people, so an error names the path
inside the document and what was expected there, and every error of a
document is reported at once.
"""

import enum
import functools
import pathlib
import typing

import attrs
import cattrs
import cattrs.v
import pyjson5
import result

Shape = typing.TypeVar("Shape")


@attrs.frozen
class DocumentError:
    """What is wrong with a document.

    :param source: the file or object that was read.
    :param problems: one line each, with the path and what was expected.
    """

    source: str
    problems: tuple[str, ...]

    def __str__(self) -> str:
        return "\n".join(f"{self.source}: {problem}" for problem in self.problems)


def load(path: pathlib.Path) -> result.Result[str, DocumentError]:
    """Return a file's text.

    :param path: the file.
    """
    try:
        return result.Ok(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(DocumentError(str(path), (str(error),)))


def parse(text: str, source: str) -> result.Result[typing.Any, DocumentError]:
    """Parse JSON with comments.

    :param text: the document.
    :param source: its name in errors.
    :returns: the plain value, or where the syntax is wrong.

    >>> parse('{"a": 1, /* why */ }', "example").unwrap()
    {'a': 1}
    """
    try:
        return result.Ok(pyjson5.decode(text))
    except pyjson5.Json5Exception as error:
        return result.Err(DocumentError(source, (f"not valid JSON: {error.args[0]}",)))


def structure(
    value: typing.Any, shape: type[Shape], source: str
) -> result.Result[Shape, DocumentError]:
    """Turn a plain value into an attrs class, checking all of it.

    :param value: what :func:`parse` returned.
    :param shape: the attrs class.
    :param source: the document's name in errors.
    """
    try:
        return result.Ok(converter().structure(value, shape))
    except Exception as error:
        known = (cattrs.BaseValidationError, ValueError, TypeError, AttributeError)
        if not isinstance(error, known):
            raise
        problems = cattrs.transform_error(error, format_exception=_describe)
        return result.Err(DocumentError(source, tuple(problems)))


def read(
    text: str, shape: type[Shape], source: str
) -> result.Result[Shape, DocumentError]:
    """Parse and check a document in one step.

    :param text: the document, JSON with comments.
    :param shape: the attrs class it describes.
    :param source: the document's name in errors.
    """
    match parse(text, source):
        case result.Ok(value):
            return structure(value, shape, source)
        case error:
            return error


def plain(value: typing.Any) -> typing.Any:
    """Return an attrs object as plain maps and lists, ready for JSON.

    :param value: an instance of an attrs class.
    """
    return converter().unstructure(value)


@functools.cache
def converter() -> cattrs.Converter:
    """Return the converter, which takes only the exact types of JSON."""
    made = cattrs.Converter(forbid_extra_keys=True)
    # Hooks by class: the library looks at its own, which convert "80" to 80,
    # before it looks at hooks by predicate.
    for kind in (str, int, bool):
        made.register_structure_hook(kind, _exactly(kind))
    made.register_structure_hook(float, _number)
    made.register_structure_hook(enum.StrEnum, _member)
    return made


def _exactly(kind: type) -> typing.Callable:
    def check(value: typing.Any, _: type) -> typing.Any:
        if type(value) is not kind:
            raise ValueError(_expected(kind.__name__, value))
        return value

    return check


def _number(value: typing.Any, _: type) -> float:
    if type(value) not in (int, float):
        raise ValueError(_expected("number", value))
    return float(value)


def _member(value: typing.Any, kind: type[enum.StrEnum]) -> enum.StrEnum:
    try:
        return kind(value)
    except ValueError:
        names = ", ".join(str(item.value) for item in kind)
        raise ValueError(f"expected one of {names}, found {value!r:.60}")


def _expected(name: str, value: typing.Any) -> str:
    return f"expected {name}, found {type(value).__name__} {value!r:.60}"


def _describe(error: BaseException, kind: type | None) -> str:
    match error:
        case cattrs.ForbiddenExtraKeysError():
            return "unknown field " + ", ".join(sorted(error.extra_fields))
        case KeyError():
            return f"required field {error.args[0]!r} is missing"
        case ValueError():
            return str(error)
        case TypeError() | AttributeError():
            return f"expected {_shape(kind)}"
        case _:
            return cattrs.v.format_exception(error, kind)


def _shape(kind: typing.Any) -> str:
    if kind is None or attrs.has(kind):
        return "an object"
    if typing.get_origin(kind) is tuple:
        return "a list"
    return getattr(kind, "__name__", str(kind))
