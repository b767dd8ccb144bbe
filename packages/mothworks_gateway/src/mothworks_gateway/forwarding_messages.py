"""Messages by which VMs forward requests to each other.

A forwarded request is the body of an HTTP request, so that each has a connection of its
own: its stream is subject to flow control, and closing the connection cancels it. The
body of the response is a :class:`ForwardedHead` with its length before it, followed by
the bytes of the answer's body.
"""

import struct
import typing

import attrs
import msgpack
import result

from mothworks import messages

#: Path of forwarded requests.
PATH = "/forwarded"
#: Encodes the length of the head.
HEAD_LENGTH = struct.Struct(">I")
#: Longest head, bytes.
MAX_HEAD_BYTES = 256 << 10


@messages.message(137)
@attrs.frozen
class ForwardingQuery:
    """Asks a peer whether it can run requests of other VMs now."""


@messages.message(138)
@attrs.frozen
class ForwardingOffer:
    """The peer's reply.

    :param port: the port to which requests can be forwarded; 0 if the peer accepts
        none, because it is stopping or has no path to endpoints itself.
    :param running: number of requests that it runs now.
    :param heeds_versions: whether it runs a request only at the software version that
        the request needs.
    """

    port: int
    running: int
    heeds_versions: bool = False


@messages.message(139)
@attrs.frozen
class ForwardedRequest:
    """A caller's request, parsed and admitted by the VM that forwards it.

    :param deployment: the deployment of that VM.
    :param id: the caller's id of the request.
    :param method: the HTTP method.
    :param path: path and query.
    :param host: the requested host.
    :param headers: the headers to forward.
    :param body: the body.
    :param declaration_version: version of the declaration that the VM applied.
    :param service: the service that it chose.
    :param model: the model; empty for a plain service.
    :param adapter: the adapter; empty for the model itself.
    :param prompt: ids and lengths of the prompt's parts.
    :param input_tokens: length of the prompt.
    :param output_tokens: upper bound of the tokens that it generates.
    :param account: name of the client account; empty if callers need no keys.
    :param urgency: the account's urgency; None to use the route's.
    :param left_s: time until the caller's deadline, seconds.
    :param waited_s: time since its arrival, seconds.
    :param may_wait_s: time for which it may still wait to be sent, seconds.
    :param tried: ids of the endpoints that it was sent to.
    :param may_have_run: whether one of them may have run it.
    :param resumes: id of the request that began its stream; see
        :class:`caller_request.CallerRequest`.
    :param after_event: id of the last event that the caller has received.
    :param software_version: the only software version that may run it; None for any.
    """

    deployment: str
    id: str
    method: str
    path: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    declaration_version: int
    service: str
    model: str
    adapter: str
    prompt: tuple[tuple[str, int], ...]
    input_tokens: int
    output_tokens: int
    account: str
    urgency: int | None
    left_s: float
    waited_s: float
    may_wait_s: float
    tried: tuple[str, ...]
    may_have_run: bool
    resumes: str = ""
    after_event: str = ""
    software_version: str | None = None


@messages.message(140)
@attrs.frozen
class ForwardedHead:
    """How a forwarded request was answered or refused.

    :param status: the HTTP status.
    :param headers: the answer's headers; empty for a refusal.
    :param refused: whether the VM refused the request; no body follows then.
    :param unable: whether another VM may be able to run the refused request.
    :param reason: why it was refused.
    :param retry_after: seconds until a retry may succeed; None if there is none.
    :param may_have_run: whether an endpoint may have run it.
    :param tried: ids of the endpoints that it was sent to.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    refused: bool = False
    unable: bool = False
    reason: str = ""
    retry_after: float | None = None
    may_have_run: bool = False
    tried: tuple[str, ...] = ()


def encode_head(head: ForwardedHead) -> bytes:
    """Return a head with its length before it.

    :param head: the head.
    """
    frame = messages.pack(head)
    return HEAD_LENGTH.pack(len(frame)) + frame


def decode(
    frame: bytes, message_class: type[messages.Message]
) -> result.Result[messages.Message, str]:
    """Decode a message of an expected class.

    :param frame: the packed message.
    :param message_class: its class.
    :returns: the message, or what is wrong with it.
    """
    try:
        unpacked = messages.unpack(msgpack.unpackb(frame))
    except (msgpack.UnpackException, ValueError) as error:
        return result.Err(f"not msgpack: {error}")
    if unpacked is None or not isinstance(unpacked[0], message_class):
        return result.Err(f"not a {message_class.__name__}")
    return result.Ok(unpacked[0])


def pairs(rows: typing.Iterable[typing.Sequence]) -> tuple[tuple, ...]:
    """Return rows as tuples, which msgpack decodes as lists.

    :param rows: the rows.
    """
    return tuple(tuple(row) for row in rows)
