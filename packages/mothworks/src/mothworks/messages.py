"""Messages between VMs: attrs classes that are encoded as compact msgpack arrays.

Each class has a stable code; fields are sent in order and without names.
A new field is added last and has a default, so that two versions of the
program can communicate during an upgrade.
"""

import typing

import attrs
import msgpack

#: Version of the message format; connections to peers of another version are closed.
PROTOCOL_VERSION = 1

_class_by_code: dict[int, type] = {}
_code_by_class: dict[type, int] = {}
_fields_by_class: dict[type, tuple[str, ...]] = {}

Message = typing.TypeVar("Message")


def message(code: int) -> typing.Callable[[type[Message]], type[Message]]:
    """Return a decorator that registers a frozen attrs class as a message.

    :param code: its number in encoded messages, unique and never reused.
    :raises ValueError: if another message class has the code.
    """

    def add(message_class: type[Message]) -> type[Message]:
        if code in _class_by_code:
            raise ValueError(f"two message classes have the code {code}")
        _class_by_code[code] = message_class
        _code_by_class[message_class] = code
        _fields_by_class[message_class] = tuple(
            field.name for field in attrs.fields(message_class)
        )
        return message_class

    return add


def pack(value: typing.Any, call_number: int = 0) -> bytes:
    """Return the encoding of a message.

    :param value: an instance of a registered class.
    :param call_number: matches a reply to its call, negated in the reply; 0 if the
        message is neither.
    """
    message_class = type(value)
    fields = [getattr(value, name) for name in _fields_by_class[message_class]]
    return msgpack.packb([_code_by_class[message_class], call_number, *fields])


def unpack(array: typing.Any) -> tuple[typing.Any, int] | None:
    """Return the message that an array encodes, and its call number.

    :param array: a value read by msgpack from an untrusted sender.
    :returns: None for a code that this version does not know, or for fields
        that do not match the class.
    """
    if not isinstance(array, list) or [type(item) for item in array[:2]] != [int, int]:
        return None
    code, call_number, *fields = array
    message_class = _class_by_code.get(code)
    if message_class is None:
        return None
    try:
        field_count = len(_fields_by_class[message_class])
        return message_class(*fields[:field_count]), call_number
    except TypeError:
        return None


@message(1)
@attrs.frozen
class Hello:
    """The first message that each side sends on a connection between peers.

    :param version: :data:`PROTOCOL_VERSION` of the sender.
    :param name: the sender's VM name.
    :param deployment: the sender's deployment.
    :param supports_compression: whether the sender understands :class:`Compressed`.
    """

    version: int
    name: str
    deployment: str = ""
    supports_compression: bool = False


@message(2)
@attrs.frozen
class Compressed:
    """Announces that all further bytes of the sender are a compressed stream."""
