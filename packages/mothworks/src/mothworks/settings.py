"""Settings of one VM, read once at start from JSON with comments.

Every VM runs the same program; VMs differ in name, addresses and location.
Settings that are common to all VMs belong in the catalogue instead.
"""

import enum
import ipaddress
import pathlib

import attrs
import result

from mothworks import documents

#: Length of a SHA-256 hash, hex digits.
KEY_HASH_LENGTH = 64


def check_positive(_: object, attribute: attrs.Attribute, value: float) -> None:
    """Validate, as an attrs validator, that a number is above zero."""
    if value <= 0:
        raise ValueError(f"{attribute.name}: expected a number above 0, found {value}")


def check_port(_: object, attribute: attrs.Attribute, value: int) -> None:
    """Validate, as an attrs validator, that a number is a TCP port.

    Port 0 lets the operating system choose one.
    """
    if not 0 <= value <= 65535:
        raise ValueError(f"{attribute.name}: expected a port, 0 to 65535")


def check_ip_address(_: object, attribute: attrs.Attribute, value: str) -> None:
    """Validate, as an attrs validator, that a string is an IP address."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError(f"{attribute.name}: expected an IP address, found {value!r}")


def check_key_hash(_: object, attribute: attrs.Attribute, value: str) -> None:
    """Validate, as an attrs validator, that a string is a hex SHA-256 hash."""
    if len(value) != KEY_HASH_LENGTH or set(value) - set("0123456789abcdef"):
        raise ValueError(
            f"{attribute.name}: expected a SHA-256 hash, 64 lower-case hex digits"
        )


class Role(enum.StrEnum):
    """Permissions of an operator: a viewer may only query."""

    VIEWER = "viewer"
    OPERATOR = "operator"


@attrs.frozen
class Operator:
    """A person or program that queries or commands the system.

    :param name: the operator's name in the audit trail.
    :param role: the operator's permissions.
    :param key_sha256: hash of the operator's key.
    """

    name: str
    role: Role
    key_sha256: str = attrs.field(validator=check_key_hash)


@attrs.frozen
class Logs:
    """Logging to standard error.

    :param level: the lowest level: ``debug``, ``info``, ``warning`` or ``error``.
    :param json: whether to log one JSON object per line, for log collectors.
    """

    level: str = attrs.field(default="info")
    json: bool = False

    @level.validator
    def _check_level(self, _: attrs.Attribute, value: str) -> None:
        if value not in ("debug", "info", "warning", "error"):
            raise ValueError(
                f"level: expected debug, info, warning or error, found {value!r}"
            )


@attrs.frozen
class Limits:
    """Limits that protect one VM from overload.

    :param body_bytes: longest request body, bytes.
    :param header_bytes: longest request line or header line, bytes.
    :param connections: maximum number of callers' connections.
    :param upload_s: longest time for a request body to arrive, seconds.
    :param write_s: longest time a caller may stop reading a reply, seconds.
    :param drain_s: longest graceful shutdown, seconds.
    :param unready_s: time for which a VM that shuts down still accepts calls,
        seconds, so that the load balancer can detect that it is not ready.
    :param uploads_bytes: memory limit for all bodies that are arriving, bytes; a
        body without a declared length counts as ``body_bytes``.
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
    """Access to the platform's object API.

    :param url: its base URL, with an IP address.
    :param kind: the plug-in that implements its protocol.
    :param timeout_s: timeout of a call, seconds.
    """

    url: str
    kind: str = "http"
    timeout_s: float = attrs.field(default=2.0, validator=check_positive)


@attrs.frozen
class VmList:
    """Access to the platform's list of live and leaving VMs.

    :param url: its URL, with an IP address.
    :param kind: the plug-in that implements its protocol.
    :param poll_s: polling interval, seconds.
    """

    url: str
    kind: str = "http"
    poll_s: float = attrs.field(default=5.0, validator=check_positive)


@attrs.frozen
class Settings:
    """The settings of one VM.

    :param name: the VM's name, unique among all VMs.
    :param address: its IP address, at which peers reach it.
    :param port: TCP port for callers; 0 lets the operating system choose.
    :param peer_port: port for peers, TCP and UDP; 0 lets the operating system
        choose.
    :param data_centre: the data centre in which the VM runs.
    :param region: the region of that data centre.
    :param object_api: the platform's object API.
    :param vm_list: the platform's list of VMs.
    :param deployment: the name of the whole system. VMs of another deployment
        are ignored, even if one took over an address of this deployment.
    :param operators: who may query and command the system.
    :param routing: the name of the routing policy.
    :param placement: the name of the placement policy, used while this VM is the
        planner.
    :param limits: limits that protect the VM from overload.
    :param logs: logging to standard error.
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

    @property
    def drain_s(self) -> float:
        """Return the longest time for a graceful shutdown, seconds."""
        return self.limits.drain_s


def load(path: pathlib.Path) -> result.Result[Settings, documents.DocumentError]:
    """Read and validate a settings file.

    :param path: the file, JSON with comments.
    :returns: the settings, or all problems found.
    """
    return documents.read_file(path).and_then(
        lambda text: documents.parse_as(text, Settings, str(path))
    )
