"""Parses JSON with comments and validates it against attrs classes.

Settings and catalogue are written by people, so an error names the path within
the document and what was expected there, and all errors of a document are
reported together.
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
    """All problems of a document.

    :param source: the file or object that was read.
    :param problems: one line per problem, with the path and what was expected.
    """

    source: str
    problems: tuple[str, ...]

    def __str__(self) -> str:
        return "\n".join(f"{self.source}: {problem}" for problem in self.problems)


def read_file(path: pathlib.Path) -> result.Result[str, DocumentError]:
    """Return the text of a file in UTF-8.

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
    :returns: dicts, lists and scalars, or where the syntax is wrong.

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
    """Convert a parsed value to an instance of an attrs class, and validate it.

    :param value: the result of :func:`parse`.
    :param shape: the attrs class.
    :param source: the document's name in errors.
    """
    try:
        return result.Ok(converter().structure(value, shape))
    except Exception as error:
        validation_errors = (
            cattrs.BaseValidationError,
            ValueError,
            TypeError,
            AttributeError,
        )
        if not isinstance(error, validation_errors):
            raise
        problems = cattrs.transform_error(error, format_exception=_describe_error)
        return result.Err(DocumentError(source, tuple(problems)))


def parse_as(
    text: str, shape: type[Shape], source: str
) -> result.Result[Shape, DocumentError]:
    """Parse and validate a document.

    :param text: the document, JSON with comments.
    :param shape: the attrs class of the document.
    :param source: the document's name in errors.
    """
    match parse(text, source):
        case result.Ok(value):
            return structure(value, shape, source)
        case error:
            return error


def to_plain(value: typing.Any) -> typing.Any:
    """Convert an attrs object to dicts and lists that JSON can represent.

    :param value: an instance of an attrs class.
    """
    return converter().unstructure(value)


@functools.cache
def converter() -> cattrs.Converter:
    """Return the converter, which accepts exact JSON types only."""
    json_converter = cattrs.Converter(forbid_extra_keys=True)
    # Hooks are registered by class: the library applies its own class hooks,
    # which convert "80" to 80, before any hook that is registered by predicate.
    for kind in (str, int, bool):
        json_converter.register_structure_hook(kind, _exact_type_hook(kind))
    json_converter.register_structure_hook(float, _structure_number)
    json_converter.register_structure_hook(enum.StrEnum, _structure_enum)
    return json_converter


def _exact_type_hook(kind: type) -> typing.Callable:
    def check(value: typing.Any, _: type) -> typing.Any:
        if type(value) is not kind:
            raise ValueError(_type_mismatch(kind.__name__, value))
        return value

    return check


def _structure_number(value: typing.Any, _: type) -> float:
    if type(value) not in (int, float):
        raise ValueError(_type_mismatch("number", value))
    return float(value)


def _structure_enum(value: typing.Any, kind: type[enum.StrEnum]) -> enum.StrEnum:
    try:
        return kind(value)
    except ValueError:
        values = ", ".join(str(item.value) for item in kind)
        raise ValueError(f"expected one of {values}, found {value!r:.60}")


def _type_mismatch(name: str, value: typing.Any) -> str:
    return f"expected {name}, found {type(value).__name__} {value!r:.60}"


def _describe_error(error: BaseException, kind: type | None) -> str:
    match error:
        case cattrs.ForbiddenExtraKeysError():
            return "unknown field " + ", ".join(sorted(error.extra_fields))
        case KeyError():
            return f"required field {error.args[0]!r} is missing"
        case ValueError():
            return str(error)
        case TypeError() | AttributeError():
            return f"expected {_expected_shape(kind)}"
        case _:
            return cattrs.v.format_exception(error, kind)


def _expected_shape(kind: typing.Any) -> str:
    if kind is None or attrs.has(kind):
        return "an object"
    if typing.get_origin(kind) is tuple:
        return "a list"
    return getattr(kind, "__name__", str(kind))
