"""Messages between VMs: attrs classes, sent as compact msgpack arrays.

Each class has a stable code; fields are sent in order and without names.
A new field goes last and has a default, so that two versions of the program
understand each other during an upgrade.
"""

import typing

import attrs
import msgpack

#: Version of the message format; peers of another major version are refused.
PROTOCOL_VERSION = 1

_class_by_code: dict[int, type] = {}
_code_by_class: dict[type, int] = {}
_fields_by_class: dict[type, tuple[str, ...]] = {}

Message = typing.TypeVar("Message")


def message(code: int) -> typing.Callable[[type[Message]], type[Message]]:
    """Return a decorator that registers a frozen attrs class as a message.

    :param code: its number on the wire, unique and never reused.
    """

    def add(message_class: type[Message]) -> type[Message]:
        if code in _class_by_code:
            raise ValueError(f"two messages have the code {code}")
        _class_by_code[code] = message_class
        _code_by_class[message_class] = code
        _fields_by_class[message_class] = tuple(
            field.name for field in attrs.fields(message_class)
        )
        return message_class

    return add


def pack(value: typing.Any, call: int = 0) -> bytes:
    """Return a message as bytes.

    :param value: an instance of a registered class.
    :param call: number that ties a reply to its request; 0 for none.
    """
    kind = type(value)
    fields = [getattr(value, name) for name in _fields_by_class[kind]]
    return msgpack.packb([_code_by_class[kind], call, *fields])


def unpack(array: typing.Any) -> tuple[typing.Any, int] | None:
    """Return a message and its call number.

    :param array: what msgpack read, from whoever sent it.
    :returns: None for a code that this version does not know, or fields
        that do not fit.
    """
    if not isinstance(array, list) or [type(item) for item in array[:2]] != [int, int]:
        return None
    code, call, *fields = array
    message_class = _class_by_code.get(code)
    if message_class is None:
        return None
    try:
        known = len(_fields_by_class[message_class])
        return message_class(*fields[:known]), call
    except TypeError:
        return None


@message(1)
@attrs.frozen
class Hello:
    """Opens a connection between peers.

    :param version: :data:`PROTOCOL_VERSION` of the sender.
    :param name: the sender's VM name.
    :param deployment: the sender's deployment.
    :param inflates: whether the sender understands :class:`Compressed`.
    """

    version: int
    name: str
    deployment: str = ""
    inflates: bool = False


@message(2)
@attrs.frozen
class Compressed:
    """Tells that all further bytes of the sender are a compressed stream."""
