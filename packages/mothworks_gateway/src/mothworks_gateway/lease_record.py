"""The lease as it is stored, and its renewals as other VMs observe them."""

import typing

import attrs
import orjson

#: Fencing tokens of one era of the platform (see :mod:`cursors`).
TOKENS_PER_ERA = 10**6


@attrs.frozen
class BlockedRequest:
    """A request that all VMs refuse, since it crashes endpoints.

    :param fingerprint: its fingerprint in hexadecimal.
    :param endpoints: ids of the endpoints that crashed.
    :param left_s: time for which it is still refused, seconds.
    """

    fingerprint: str
    endpoints: tuple[str, ...]
    left_s: int


@attrs.frozen
class ServiceVersions:
    """The software versions of a service whose streams may still be running.

    :param service: the service.
    :param versions: the versions.
    """

    service: str
    versions: tuple[str, ...]


@attrs.frozen
class Record:
    """The lease as it is stored.

    :param holder: the VM that holds it; empty once it was released.
    :param fence: the fencing token; grows with each holder (:func:`next_fence`).
    :param renewals: grows by one with each renewal, so that each write changes it.
    :param life: random id of the holder's process, by which it recognises its write.
    :param blocked: the blocked requests, for a restart of all VMs.
    :param software_versions: the services' software versions, for the same.
    """

    holder: str
    fence: int
    renewals: int
    life: str
    blocked: tuple[BlockedRequest, ...] = ()
    software_versions: tuple[ServiceVersions, ...] = ()

    def body(self) -> bytes:
        """Return the record as JSON."""
        return orjson.dumps(attrs.asdict(self))


def read_record(body: bytes) -> Record:
    """Decode a record.

    :param body: the stored body, as :meth:`Record.body` returns it.
    :raises ValueError: the body does not encode a record.
    """
    try:
        value = orjson.loads(body)
        return Record(
            str(value["holder"]),
            int(value["fence"]),
            int(value["renewals"]),
            str(value["life"]),
            tuple(map(_read_blocked, value.get("blocked", ()))),
            tuple(map(_read_versions, value.get("software_versions", ()))),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a lease record: {error!r}")


def _read_blocked(value: dict[str, typing.Any]) -> BlockedRequest:
    fingerprint = bytes.fromhex(value["fingerprint"]).hex()
    return BlockedRequest(
        fingerprint, tuple(map(str, value["endpoints"])), int(value["left_s"])
    )


def _read_versions(value: dict[str, typing.Any]) -> ServiceVersions:
    return ServiceVersions(str(value["service"]), tuple(map(str, value["versions"])))


def next_fence(era: int, *known: int) -> int:
    """Return a fencing token that no holder has used before.

    The platform may have lost the newest tokens when it was restored from a copy. All
    tokens of an era are therefore higher than those of earlier eras.

    :param era: the platform's era.
    :param known: earlier tokens.
    """
    return max(era * TOKENS_PER_ERA, *known) + 1


def fence_era(fence: int) -> int:
    """Return the era of a fencing token.

    :param fence: the token.
    """
    return fence // TOKENS_PER_ERA


@attrs.frozen
class ObservedRenewal:
    """A renewal of another VM, as this VM first observed it.

    :param fence: the fencing token of the lease.
    :param version: the stored object's version after it.
    :param at: time at which this VM first observed it, seconds; see
        :func:`boot_clock.now`.
    """

    fence: int
    version: str
    at: float
