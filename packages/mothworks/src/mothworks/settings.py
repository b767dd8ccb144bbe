"""Settings of one VM, read once at start from JSON with comments.

Every VM runs the same program; what differs is its name, its addresses and
its place. What all VMs share belongs to the catalogue instead.
"""

import enum
import ipaddress
import pathlib

import attrs
import result

from mothworks import documents

#: Cuts of text in errors.
KEY_HASH_LENGTH = 64


def check_positive(_: object, attribute: attrs.Attribute, value: float) -> None:
    """Check, for attrs, that a number is above zero."""
    if value <= 0:
        raise ValueError(f"{attribute.name}: expected a number above 0, found {value}")


def check_port(_: object, attribute: attrs.Attribute, value: int) -> None:
    """Check, for attrs, that a number is a TCP port; 0 lets the kernel choose."""
    if not 0 <= value <= 65535:
        raise ValueError(f"{attribute.name}: expected a port, 0 to 65535")


def check_ip_address(_: object, attribute: attrs.Attribute, value: str) -> None:
    """Check, for attrs, that a text is an IP number."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError(f"{attribute.name}: expected an IP number, found {value!r}")


def check_key_hash(_: object, attribute: attrs.Attribute, value: str) -> None:
    """Check, for attrs, that a text is a SHA-256 hash in lower-case hex."""
    if len(value) != KEY_HASH_LENGTH or set(value) - set("0123456789abcdef"):
        raise ValueError(
            f"{attribute.name}: expected a SHA-256 hash, 64 lower-case hex digits"
        )


class Role(enum.StrEnum):
    """What an operator may do."""

    VIEWER = "viewer"
    OPERATOR = "operator"


@attrs.frozen
class Operator:
    """A person or program that queries or commands the system.

    :param name: who, in the audit trail.
    :param role: what they may do.
    :param key_sha256: hash of the operator's key.
    """

    name: str
    role: Role
    key_sha256: str = attrs.field(validator=check_key_hash)


@attrs.frozen
class Logs:
    """How the node logs, to standard error.

    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param json: one JSON object a line, for log collectors.
    """

    level: str = attrs.field(default="info")
    json: bool = False

    @level.validator
    def _known(self, _: attrs.Attribute, value: str) -> None:
        if value not in ("debug", "info", "warning", "error"):
            raise ValueError(
                f"level: expected debug, info, warning or error, found {value!r}"
            )


@attrs.frozen
class Limits:
    """Bounds that protect one VM.

    :param body_bytes: longest request body.
    :param header_bytes: longest request line or header line.
    :param connections: most connections of callers at a time.
    :param upload_s: longest time for a request body to arrive, seconds.
    :param write_s: longest time a reader may stall an answer, seconds.
    :param drain_s: longest graceful shutdown, seconds.
    :param unready_s: time that a VM which shuts down goes on accepting calls,
        until the balancer has noticed that it is not ready, seconds.
    :param uploads_bytes: most bytes of bodies that arrive at a time; a body
        without a declared length counts as the longest one.
    :param head_s: longest time for a request's head to arrive, seconds.
    :param idle_s: longest wait for the next request on an open connection,
        seconds.
    """

    body_bytes: int = attrs.field(default=4 << 20, validator=check_positive)
    header_bytes: int = attrs.field(default=16 << 10, validator=check_positive)
    connections: int = attrs.field(default=4096, validator=check_positive)
    upload_s: float = attrs.field(default=30.0, validator=check_positive)
    write_s: float = attrs.field(default=30.0, validator=check_positive)
    drain_s: float = attrs.field(default=60.0, validator=check_positive)
    unready_s: float = attrs.field(default=5.0, validator=check_positive)
    uploads_bytes: int = attrs.field(default=32 << 20, validator=check_positive)
    head_s: float = attrs.field(default=30.0, validator=check_positive)
    idle_s: float = attrs.field(default=75.0, validator=check_positive)


@attrs.frozen
class ObjectApi:
    """Where the platform's object API answers.

    :param url: its base URL, with an IP number.
    :param kind: the plug-in that speaks its protocol.
    :param timeout_s: longest wait for a reply, seconds.
    """

    url: str
    kind: str = "http"
    timeout_s: float = attrs.field(default=2.0, validator=check_positive)


@attrs.frozen
class VmList:
    """Where the platform's list of live and leaving VMs answers.

    :param url: its URL, with an IP number.
    :param kind: the plug-in that speaks its protocol.
    :param poll_s: seconds between reads.
    """

    url: str
    kind: str = "http"
    poll_s: float = attrs.field(default=5.0, validator=check_positive)


@attrs.frozen
class Settings:
    """The settings of one VM.

    :param name: the VM's name, unique among all VMs.
    :param address: its IP number, as peers reach it.
    :param port: port for callers; 0 lets the kernel choose.
    :param peer_port: port for peers, TCP and UDP alike; 0 lets the kernel choose.
    :param data_centre: where the VM runs.
    :param region: the region of that data centre.
    :param object_api: the platform's object API.
    :param vm_list: the platform's list of VMs.
    :param deployment: the name of the whole system. VMs of another one are
        ignored, also where they have got each other's addresses.
    :param operators: who may query and command.
    :param routing: the routing policy's name.
    :param placement: the placement policy's name, used while the VM plans.
    :param limits: bounds that protect the VM.
    :param logs: how it logs.
    """

    name: str
    address: str = attrs.field(validator=check_ip_address)
    port: int = attrs.field(validator=check_port)
    peer_port: int = attrs.field(validator=check_port)
    data_centre: str
    region: str
    object_api: ObjectApi
    vm_list: VmList
    deployment: str = "mothworks"
    operators: tuple[Operator, ...] = ()
    routing: str = "owner"
    placement: str = "packing"
    limits: Limits = Limits()
    logs: Logs = Logs()


def load(path: pathlib.Path) -> result.Result[Settings, documents.DocumentError]:
    """Read and check a settings file.

    :param path: the file, JSON with comments.
    :returns: the settings, or every problem found.
    """
    return documents.load(path).and_then(
        lambda text: documents.read(text, Settings, str(path))
    )
