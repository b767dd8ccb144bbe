"""Settings of one VM, read from JSON with comments."""

import collections.abc
import ipaddress
import math
import pathlib
import typing

import attrs
import result

from mothworks import documents, settings as node_settings

#: Fields that take effect at SIGHUP. The others take effect at the next start: parts
#: size their windows, pools and listeners by them, or all VMs have to agree on them.
RELOADED = frozenset(
    (
        "seeds",
        "bounds.retry_share",
        "bounds.retry_slack",
        "bounds.leave_ms",
        "bounds.load_factor",
        "bounds.stop_s",
        "bounds.revoke_ms",
        "bounds.cap_over",
        "bounds.cap_slack",
    )
)
#: Time before the process is killed at which it exits by itself, seconds, and the most
#: of the time to stop that it may take.
EXIT_MARGIN_S = 0.9
MAX_EXIT_SHARE = 0.12
#: File descriptors reserved for files, listeners and connections to peers.
SPARE_DESCRIPTORS = 300


def _check_address(_: object, attribute: attrs.Attribute, value: str) -> None:
    host, colon, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host)
        valid = colon and 0 <= int(port) <= 65535
    except ValueError:
        valid = False
    if not valid:
        raise ValueError(
            f"{attribute.name}: expected an IP number and a port, found {value!r}"
        )


def _check_not_negative(_: object, attribute: attrs.Attribute, value: float) -> None:
    if not 0 <= value < math.inf:
        raise ValueError(f"{attribute.name}: expected 0 or more, found {value!r}")


def split_address(value: str) -> tuple[str, int]:
    """Split a validated address into IP number and port.

    :param value: IP number and port, separated by a colon.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = value.rpartition(":")
    return host, int(port)


@attrs.frozen
class Platform:
    """The platform's metadata store.

    :param address: its IP number and port.
    """

    address: str = attrs.field(validator=_check_address)


@attrs.frozen
class Bounds:
    """Limits that the deployment guarantees or requires, in its own units.

    :param retry_share: maximum number of retries as a share of all requests of a
        service, over all VMs.
    :param retry_window_s: window over which that share is counted, seconds.
    :param retry_slack: retries that are allowed in addition to the share.
    :param lease_ms: time within which at most one VM may order endpoints, milliseconds.
    :param fenced: whether endpoints reject orders with an old fencing token.
    :param leave_ms: time after which an endpoint that reported that it is leaving must
        get no more requests, milliseconds.
    :param load_window_s: window over which loads from the weight store are counted,
        seconds.
    :param load_factor: maximum number of loads in that window, as a multiple of the
        store's rate.
    :param stop_s: time from the stop signal until the process is killed, seconds.
    :param revoke_ms: time after which a revoked key must not work on any VM, even if
        the VM can't reach the platform, milliseconds; 0 for no limit.
    :param cap_window_s: window over which usage caps are checked, seconds.
    :param cap_over: share of a cap by which all VMs together may exceed it in that
        window.
    :param cap_slack: units by which they may exceed it in addition to that share.
    """

    retry_share: float = 0.1
    retry_window_s: float = attrs.field(
        default=10.0, validator=node_settings.check_positive
    )
    retry_slack: float = 20.0
    lease_ms: float = attrs.field(
        default=3000.0, validator=node_settings.check_positive
    )
    fenced: bool = False
    leave_ms: float = attrs.field(
        default=2000.0, validator=node_settings.check_positive
    )
    load_window_s: float = attrs.field(
        default=5.0, validator=node_settings.check_positive
    )
    load_factor: float = 1.0
    stop_s: float = attrs.field(default=8.0, validator=node_settings.check_positive)
    revoke_ms: float = attrs.field(default=0.0, validator=_check_not_negative)
    cap_window_s: float = attrs.field(
        default=10.0, validator=node_settings.check_positive
    )
    cap_over: float = attrs.field(default=0.0, validator=_check_not_negative)
    cap_slack: float = attrs.field(default=0.0, validator=_check_not_negative)


@attrs.frozen
class VmListSource:
    """The plug-in that lists the VMs, and how often the list is read.

    :param kind: the plug-in's key.
    :param node: the settings of the VM that reads the list.
    :param poll_s: seconds between reads.
    """

    kind: str
    node: "Settings"
    poll_s: float = 1.0


@attrs.frozen
class Settings:
    """The settings of one VM.

    :param name: the VM's name, unique among all VMs.
    :param address: its IP number, as peers reach it.
    :param front: IP number and port for callers.
    :param ready: IP number and port for the balancer's readiness checks.
    :param peer_port: port for peers, both TCP and UDP, the same on all VMs.
    :param forwarding_port: port for requests that peers forward; None for the one after
        `peer_port`, 0 to let the operating system choose.
    :param metrics_port: port that serves metrics; 0 for none.
    :param data_centre: the data centre in which the VM runs.
    :param region: the region of that data centre.
    :param adapter: the platform adapter: a module to import, which registers plug-ins
        under its own name.
    :param platform: the platform's metadata store.
    :param seeds: addresses of possible peers; they may be outdated.
    :param bounds: limits that the deployment guarantees or requires.
    :param limits: limits that protect the VM.
    :param descriptors: maximum number of file descriptors of the process.
    :param log_lines_per_s: maximum log lines per second; further lines are dropped and
        counted.
    :param logs: how it logs.
    :param deployment: the name of the deployment.
    :param endpoint_queue: whether requests wait in one queue of their service instead
        of at endpoints: ``on``, ``off``, or ``auto`` for a declaration with patient
        routes.
    """

    name: str
    address: str = attrs.field(validator=node_settings.check_ip_address)
    front: str = attrs.field(validator=_check_address)
    ready: str = attrs.field(validator=_check_address)
    peer_port: int = attrs.field(validator=node_settings.check_port)
    data_centre: str
    region: str
    adapter: str
    platform: Platform
    forwarding_port: int | None = None
    metrics_port: int = attrs.field(default=0, validator=node_settings.check_port)
    seeds: tuple[str, ...] = ()
    bounds: Bounds = Bounds()
    limits: node_settings.Limits = node_settings.Limits()
    descriptors: int = attrs.field(default=4096, validator=node_settings.check_positive)
    log_lines_per_s: float = attrs.field(
        default=200.0, validator=node_settings.check_positive
    )
    logs: node_settings.Logs = node_settings.Logs()
    deployment: str = "mothworks"
    endpoint_queue: str = attrs.field(
        default="auto", validator=attrs.validators.in_(("auto", "on", "off"))
    )

    @property
    def port(self) -> int:
        """Return the port for callers."""
        return split_address(self.front)[1]

    @property
    def forwarding_port_or_default(self) -> int:
        """Return the port for forwarded requests."""
        if self.forwarding_port is not None:
            return self.forwarding_port
        return self.peer_port + 1 if self.peer_port else 0

    @property
    def drain_s(self) -> float:
        """Return the longest time for a graceful shutdown, seconds."""
        stop_s = self.bounds.stop_s
        return stop_s - min(EXIT_MARGIN_S, MAX_EXIT_SHARE * stop_s)

    @property
    def vm_list(self) -> VmListSource:
        """Return the source of the list of VMs, which is the platform adapter."""
        return VmListSource(self.adapter, self)


@attrs.frozen
class Reload:
    """What a settings file changes while the process runs.

    :param settings: the settings that are in force from now on.
    :param changed: names of the fields that take effect.
    :param needs_restart: names of the fields that differ and take effect at the next
        start.
    """

    settings: Settings
    changed: tuple[str, ...]
    needs_restart: tuple[str, ...]


def reload(current: Settings, read: Settings) -> Reload:
    """Return what a settings file that was read again changes.

    :param current: the settings in force.
    :param read: the settings as read.
    """
    names = list(_differing_fields(current, read))
    changed = [name for name in names if name in RELOADED]
    bounds = {
        field: getattr(read.bounds, field)
        for parent, _, field in (name.rpartition(".") for name in changed)
        if parent == "bounds"
    }
    seeds = read.seeds if "seeds" in changed else current.seeds
    return Reload(
        attrs.evolve(
            current, seeds=seeds, bounds=attrs.evolve(current.bounds, **bounds)
        ),
        tuple(changed),
        tuple(name for name in names if name not in RELOADED),
    )


def _differing_fields(
    current: typing.Any, read: typing.Any, prefix: str = ""
) -> collections.abc.Iterator[str]:
    """Yield the names of the fields that differ, with those of the classes around."""
    for field in attrs.fields(type(current)):
        before, after = getattr(current, field.name), getattr(read, field.name)
        if attrs.has(type(before)) and type(before) is type(after):
            yield from _differing_fields(before, after, f"{prefix}{field.name}.")
        elif before != after:
            yield prefix + field.name


def load(path: pathlib.Path) -> result.Result[Settings, documents.DocumentError]:
    """Read and validate a settings file.

    :param path: the file, JSON with comments.
    :returns: the settings, or all validation errors.
    """
    return documents.read_file(path).and_then(
        lambda text: documents.parse_as(text, Settings, str(path))
    )
