"""Stored forms of deferred work: an accepted request, and its answer.

Both are objects of their own, named by the work's id. The id begins with the
hour of acceptance, so that old answers are found by their names alone.
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
#: Number of shards; each VM looks after the shards that it owns.
SHARDS = 64
#: Seconds of one step of the time in an id.
HOUR_S = 3600
#: Longest body of a work or an answer, bytes; the rest of the object is for
#: what is stored beside it.
MOST_BODY_BYTES = objects.MOST_BYTES - (16 << 10)
#: Begins the claim's key of work whose caller gave none; no header can
#: contain it.
OWN_KEY = "\0deferred:"


@attrs.frozen
class Work:
    """An accepted request.

    :param id: its id.
    :param caller: the caller's name.
    :param target: see :class:`requests.Request`, also for what follows.
    :param model: the model that must be resident.
    :param method: HTTP method towards the endpoint.
    :param path: path and query.
    :param headers: further headers.
    :param body: the body.
    :param stream: whether the answer is a stream.
    :param repeatable: whether it may run twice.
    :param tokens: most tokens.
    :param idempotency_key: the caller's key, or empty.
    :param nonce: recognises a write whose reply was lost.
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
        """Return the request to run, as bulk work of its caller.

        :param caller: the caller, as now declared.
        """
        key = self.idempotency_key
        if not key and not self.repeatable:
            key = OWN_KEY + self.id
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
            arrived=now,
            first_token_deadline=now + caller.first_token_ms / 1000,
            tokens=self.tokens,
            idempotency_key=key,
        )

    def same_request(self, other: "Work") -> bool:
        """Return whether another work asks for the same.

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
    :param body: its whole body.
    """

    caller: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


#: Either of the stored forms.
Stored = typing.TypeVar("Stored", Work, Finished)


def accept(request: requests.Request) -> Work:
    """Return a request as work to be stored.

    Resends with the same key get the same id within the hour, and find what
    the first one stored; later ones are kept from a second run by the claim.

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
    """Return the shard that a work's id falls into.

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
    """Return the wall time of the hour of an id, or None where it is none.

    :param work_id: what may be an id.
    """
    hour, dash, name = work_id.partition("-")
    try:
        return float(int(hour, 16) * HOUR_S) if dash and name.isalnum() else None
    except ValueError:
        return None


def pack(value: Work | Finished) -> bytes:
    """Return a work or an answer as the content of its object.

    :param value: the work or answer.
    """
    return msgpack.packb(attrs.astuple(value, recurse=False))


def read(
    kind: type[Stored], body: bytes
) -> result.Result[Stored, documents.DocumentError]:
    """Return the work or answer that an object holds.

    :param kind: :class:`Work` or :class:`Finished`.
    :param body: the object's content.
    :returns: an error where it is corrupt or of a later version of the
        program; the object is left alone for a VM that can read it.
    """
    try:
        value = kind(*msgpack.unpackb(body))
        return result.Ok(attrs.evolve(value, headers=tuple(map(tuple, value.headers))))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        return result.Err(documents.DocumentError(kind.__name__, (repr(error),)))
