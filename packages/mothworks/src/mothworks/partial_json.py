"""Decodes a JSON text of which some values can't be decoded.

Strict parsers reject a whole text because of one value, for example half of a surrogate
pair, a number that is no JSON, or arrays in each other beyond a limit.
"""

import collections.abc
import re
import typing

import attrs
import orjson

_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
#: Levels of arrays and objects that one match skips; deeper ones cost more time.
_SKIPPED_LEVELS = 4


def _skipping(other: bytes, levels: int) -> bytes:
    """Return a pattern of strings, other characters, and whole arrays and objects.

    :param other: a pattern of characters outside strings.
    :param levels: levels of arrays and objects; deeper ones do not match.
    """
    inner = b""
    if levels:
        inner = rb"|[\[{]%b[\]}]" % _skipping(rb'[^"\[\]{}]', levels - 1)
    return rb"(?:%b++|%b%b)*+" % (other, _STRING, inner)


#: All up to the next run of brackets that is not skipped, and up to the next comma or
#: such run.
_TO_BRACKETS = re.compile(
    _skipping(rb'[^"\[\]{}]', _SKIPPED_LEVELS) + rb"([\[{]++|[\]}]++)", re.DOTALL
)
_TO_ITEM_END = re.compile(
    _skipping(rb'[^",\[\]{}]', _SKIPPED_LEVELS) + rb"(,|[\[{]++|[\]}])", re.DOTALL
)
#: The name of an object's member, and the colon after it.
_NAME = re.compile(rb"\s*(%b)\s*:" % _STRING, re.DOTALL)
_OPENING = (b"[", b"{")
_COMMA = b","


@attrs.frozen
class Unreadable:
    """Stands for a value that can't be decoded.

    :param reason: why.
    """

    reason: str


def decode(text: bytes, levels: int) -> typing.Any:
    """Decode a JSON text with :class:`Unreadable` in place of unreadable values.

    :param text: the text.
    :param levels: number of levels of arrays and objects whose items are decoded one by
        one; an unreadable value below them makes the whole item unreadable.
    :raises ValueError: if the brackets of an array or object do not match.
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as error:
        reason = str(error)
    text = text.strip()
    if not levels or text[:1] not in (b"[", b"{"):
        return Unreadable(reason)
    items = _items(text)
    if text.startswith(b"["):
        return [decode(item, levels - 1) for item in items]
    value_by_name = {}
    for item in items:
        name = _NAME.match(item)
        if name is None:
            return Unreadable(reason)
        key = decode(name[1], 0)
        if isinstance(key, Unreadable):
            return key
        value_by_name[key] = decode(item[name.end() :], levels - 1)
    return value_by_name


def _items(text: bytes) -> collections.abc.Iterator[bytes]:
    """Yield the texts of the items of an array or the members of an object.

    :param text: the text, which begins with a bracket.
    :raises ValueError: if the brackets do not match.
    """
    depth = 1
    start = end = 1
    while depth:
        pattern = _TO_ITEM_END if depth == 1 else _TO_BRACKETS
        match = pattern.match(text, end)
        if match is None:
            raise ValueError("the brackets do not match")
        found = match[1]
        end = match.end()
        if found.startswith(_OPENING):
            depth += len(found)
            continue
        if found != _COMMA:
            # The run may close more than this text.
            end -= max(0, len(found) - depth)
            depth = max(0, depth - len(found))
        if found == _COMMA or not depth:
            item = text[start : end - 1]
            if item.strip() or found == _COMMA:
                yield item
            start = end
    if text[end:].strip():
        raise ValueError("the brackets do not match")
