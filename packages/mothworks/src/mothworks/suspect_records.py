"""What VMs know and tell of requests that may crash endpoints."""

import time

import attrs
import xxhash

from mothworks import messages, requests

#: Points for a connection that broke alone, and for a crash.
LONE_BREAK = 1


CRASH = 2
#: Points from which a request runs alone, and from which it is refused.
SUSPECT_AT = 2
QUARANTINE_AT = 4


@messages.message(60)
@attrs.frozen
class Broke:
    """An entry tells an endpoint's owner of a connection that broke.

    :param endpoint: the endpoint's name.
    :param fingerprint: the request's.
    :param request_id: the request's id.
    :param caller: the caller's name.
    :param target: the model, adapter or service.
    """

    endpoint: str
    fingerprint: bytes
    request_id: str
    caller: str
    target: str


@messages.message(61)
@attrs.frozen
class Judged:
    """Answers :class:`Broke`, once the owner has judged.

    :param points: the request's points now.
    """

    points: int


@messages.message(62)
@attrs.frozen
class SuspectNews:
    """What the sender knows of some requests.

    :param rows: fields of :class:`Suspect`, in order.
    """

    rows: tuple = attrs.field(converter=tuple)


@attrs.frozen
class Suspect:
    """A request that endpoints crashed on.

    :param fingerprint: hash of caller, target and body.
    :param points: see :data:`SUSPECT_AT`; 0 for one that was cleared.
    :param when_ms: wall time of the last change, milliseconds.
    :param caller: the caller's name.
    :param target: the model, adapter or service.
    :param endpoint: where it broke last.
    """

    fingerprint: bytes
    points: int
    when_ms: int
    caller: str
    target: str
    endpoint: str = ""

    @property
    def quarantined(self) -> bool:
        """Return whether it is refused."""
        return self.points >= QUARANTINE_AT


def fingerprint(request: requests.Request) -> bytes:
    """Return the hash that tells a request from others, also when sent again.

    :param request: the request.
    """
    digest = xxhash.xxh3_64()
    for part in (request.caller.name.encode(), request.target.encode()):
        digest.update(part + b"\0")
    digest.update(request.body)
    return digest.digest()


def news(suspects: tuple[Suspect, ...]) -> SuspectNews:
    """Return the message that carries suspects.

    :param suspects: the suspects.
    """
    return SuspectNews(attrs.astuple(suspect) for suspect in suspects)


def order(suspect: Suspect) -> tuple[int, int]:
    """Return what tells newer knowledge of a request from older.

    :param suspect: the request.
    """
    return suspect.when_ms, suspect.points


def cleared(suspect: Suspect) -> Suspect:
    """Return a request without its points.

    :param suspect: the request.
    """
    return attrs.evolve(suspect, points=0, when_ms=after(suspect))


def after(known: Suspect | None) -> int:
    """Return a time later than what is known, also where clocks differ.

    :param known: what is known; None for nothing.
    """
    return max(now_ms(), known.when_ms + 1 if known else 0)


def now_ms() -> int:
    """Return the wall time, milliseconds."""
    return time.time_ns() // 1_000_000
