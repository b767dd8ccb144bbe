"""Suspects and the messages between VMs about them."""

import time

import attrs
import xxhash

from mothworks import messages, requests

#: Points for a connection that broke alone, and for a crash.
LONE_BREAK_POINTS = 1
CRASH_POINTS = 2
#: Points from which a request runs alone, and from which it is quarantined.
SUSPECT_THRESHOLD = 2
QUARANTINE_THRESHOLD = 4


@messages.message(60)
@attrs.frozen
class BrokenConnection:
    """An entry reports a broken connection to the endpoint's owner.

    :param endpoint: the endpoint's name.
    :param fingerprint: the request's fingerprint.
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
class Verdict:
    """Reply to :class:`BrokenConnection`, sent after the owner has judged.

    :param points: the request's points afterwards.
    """

    points: int


@messages.message(62)
@attrs.frozen
class SuspectUpdate:
    """Replicates the sender's suspects to other VMs.

    :param rows: fields of :class:`Suspect`, in order.
    """

    rows: tuple = attrs.field(converter=tuple)


@attrs.frozen
class Suspect:
    """A request whose connection broke, and its points.

    :param fingerprint: hash of caller, target and body.
    :param points: see :data:`SUSPECT_THRESHOLD`; 0 after it is cleared.
    :param when_ms: Unix time of the last change, milliseconds.
    :param caller: the caller's name.
    :param target: the model, adapter or service.
    :param endpoint: the endpoint at which it broke last.
    """

    fingerprint: bytes
    points: int
    when_ms: int
    caller: str
    target: str
    endpoint: str = ""

    @property
    def quarantined(self) -> bool:
        """Return whether the request is refused."""
        return self.points >= QUARANTINE_THRESHOLD


def fingerprint(request: requests.Request) -> bytes:
    """Return the hash that identifies a request and its resends.

    :param request: the request.
    """
    digest = xxhash.xxh3_64()
    for part in (request.caller.name.encode(), request.target.encode()):
        digest.update(part + b"\0")
    digest.update(request.body)
    return digest.digest()


def update(suspects: tuple[Suspect, ...]) -> SuspectUpdate:
    """Return the message that replicates suspects.

    :param suspects: the suspects.
    """
    return SuspectUpdate(attrs.astuple(suspect) for suspect in suspects)


def version(suspect: Suspect) -> tuple[int, int]:
    """Return a key that orders states of a suspect; the greater one is newer.

    :param suspect: the suspect.
    """
    return suspect.when_ms, suspect.points


def cleared(suspect: Suspect) -> Suspect:
    """Return a suspect with its points cleared.

    :param suspect: the suspect.
    """
    return attrs.evolve(suspect, points=0, when_ms=next_timestamp_ms(suspect))


def next_timestamp_ms(previous: Suspect | None) -> int:
    """Return a time later than a suspect's last change, also if clocks differ.

    :param previous: the suspect before the change; None if there is none.
    """
    return max(now_ms(), previous.when_ms + 1 if previous else 0)


def now_ms() -> int:
    """Return the Unix time, milliseconds."""
    return time.time_ns() // 1_000_000
