"""Storage format of deferred work: an accepted request, and its answer.

Each is a separate object whose key ends with the work's id. The id begins
with the hour of acceptance, so that old answers are recognised by key alone.
"""

import time
import typing
import uuid

import attrs
import msgpack
import result
import xxhash

from mothworks import catalogue, documents, objects, requests

OPEN_PREFIX = "deferred/open/"
DONE_PREFIX = "deferred/done/"
#: Number of shards; each VM runs the work in the shards that it owns.
SHARDS = 64
#: Resolution of the time in an id, seconds.
HOUR_S = 3600
#: Longest body of a request or an answer, bytes; the rest of the object is
#: reserved for the other fields.
MAX_BODY_BYTES = objects.MAX_VALUE_BYTES - (16 << 10)
#: Prefix of the claim key of work whose caller sent no Idempotency-Key. The
#: null byte can't occur in a header, so it never equals a caller's key.
CLAIM_KEY_PREFIX = "\0deferred:"


@attrs.frozen
class Work:
    """An accepted request.

    :param id: its id.
    :param caller: the caller's name.
    :param target: see :class:`requests.Request`, as for the next fields.
    :param model: the model that must be resident.
    :param method: HTTP method towards the endpoint.
    :param path: path and query.
    :param headers: additional headers.
    :param body: the body.
    :param stream: whether the answer is a stream.
    :param repeatable: whether it may run more than once.
    :param tokens: maximum tokens.
    :param idempotency_key: the caller's key, or empty.
    :param nonce: identifies the write, to recognise it if its reply was lost.
    """

    id: str
    caller: str
    target: str
    model: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    stream: bool
    repeatable: bool
    tokens: int
    idempotency_key: str
    nonce: bytes

    def request(self, caller: catalogue.Caller) -> requests.Request:
        """Return the request to run, with bulk urgency.

        :param caller: the caller as currently declared.
        """
        key = self.idempotency_key
        if not key and not self.repeatable:
            key = CLAIM_KEY_PREFIX + self.id
        now = time.monotonic()
        return requests.Request(
            id=uuid.uuid4().hex,
            caller=attrs.evolve(caller, urgency=catalogue.Urgency.BULK),
            target=self.target,
            model=self.model,
            method=self.method,
            path=self.path,
            headers=self.headers,
            body=self.body,
            stream=self.stream,
            repeatable=self.repeatable,
            received_at=now,
            first_token_deadline=now + caller.first_token_ms / 1000,
            tokens=self.tokens,
            idempotency_key=key,
        )

    def same_request(self, other: "Work") -> bool:
        """Return whether other work is the same request.

        :param other: the other work.
        """
        ignored = {"nonce": b"", "id": "", "headers": ()}
        return attrs.evolve(self, **ignored) == attrs.evolve(other, **ignored)


@attrs.frozen
class Finished:
    """The final answer to deferred work.

    :param caller: the caller's name.
    :param status: the HTTP status.
    :param headers: its headers.
    :param body: its complete body.
    """

    caller: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


#: Either of the stored types.
Stored = typing.TypeVar("Stored", Work, Finished)


def new_work(request: requests.Request) -> Work:
    """Create the work to store for a request.

    Resends with the same key get the same id within the same hour, and find
    the stored work; the claim prevents later resends from running again.

    :param request: the request.
    """
    if request.idempotency_key:
        key = f"{request.caller.name}\0{request.idempotency_key}"
        name = xxhash.xxh3_128_hexdigest(key.encode())
    else:
        name = uuid.uuid4().hex
    return Work(
        id=f"{int(time.time()) // HOUR_S:x}-{name}",
        caller=request.caller.name,
        target=request.target,
        model=request.model,
        method=request.method,
        path=request.path,
        headers=request.headers,
        body=request.body,
        stream=request.stream,
        repeatable=request.repeatable,
        tokens=request.tokens,
        idempotency_key=request.idempotency_key,
        nonce=uuid.uuid4().bytes,
    )


def shard(work_id: str) -> int:
    """Return the shard of a work's id.

    :param work_id: the id.
    """
    return xxhash.xxh64_intdigest(work_id.encode()) % SHARDS


def key(prefix: str, work_id: str) -> str:
    """Return the key of a work's object.

    :param prefix: :data:`OPEN_PREFIX` or :data:`DONE_PREFIX`.
    :param work_id: the work's id.
    """
    return f"{prefix}{shard(work_id)}/{work_id}"


def accepted_at(work_id: str) -> float | None:
    """Return the Unix time of the hour in an id; None if the id is invalid.

    :param work_id: the id, unchecked.
    """
    hour, dash, name = work_id.partition("-")
    try:
        return float(int(hour, 16) * HOUR_S) if dash and name.isalnum() else None
    except ValueError:
        return None


def pack(value: Work | Finished) -> bytes:
    """Encode work or an answer as the body of its object.

    :param value: the work or answer.
    """
    return msgpack.packb(attrs.astuple(value, recurse=False))


def unpack(
    kind: type[Stored], body: bytes
) -> result.Result[Stored, documents.DocumentError]:
    """Decode the body of an object that holds work or an answer.

    :param kind: :class:`Work` or :class:`Finished`.
    :param body: the object's body.
    :returns: an error where it is corrupt or of a later version of the
        program; the object is left unchanged for a VM that can read it.
    """
    try:
        value = kind(*msgpack.unpackb(body))
        return result.Ok(attrs.evolve(value, headers=tuple(map(tuple, value.headers))))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        return result.Err(documents.DocumentError(kind.__name__, (repr(error),)))
