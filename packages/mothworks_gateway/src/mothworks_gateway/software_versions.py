"""Software versions: which versions of a service's software could have begun a stream.

A stream of an unknown origin may go on only if all endpoints that served while it can
have begun are of one version. A VM knows that once it has followed the registry for as
long as a stream lasts, or another VM that has says so. After a restart of all VMs, the
record of the lease says it, which its holder writes at each renewal anyway.
"""

import math
import time

import attrs
import gevent.lock

from mothworks import kernel
from mothworks_gateway import (
    boot_clock,
    discovery,
    feeding,
    lease,
    lease_record,
    watching,
)

#: Longest time from a stream's begin until it is taken up, seconds.
MAX_STREAM_S = 20.0
#: Interval at which the registry's versions are recorded, seconds.
RECORD_INTERVAL_S = 1.0
#: Age from which this VM's registry may lack endpoints that serve, seconds.
MAX_REGISTRY_AGE_S = 3.0
#: Longest time for which the registry may be outdated, seconds, without a new start.
MAX_GAP_S = 5.0
#: Shortest interval between two reads of the lease, seconds.
LEASE_READ_INTERVAL_S = 1.0


@attrs.frozen
class ObservedVersions:
    """The software versions of a service that a VM saw while a stream may have begun.

    :param versions: the versions.
    :param complete: whether the VM saw all that served in that time.
    """

    versions: frozenset[str]
    complete: bool


class SoftwareVersions(kernel.Part):
    """Records the software versions of all services.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.discovery = node_kernel.get(discovery.Discovery)
        self.registry = self.discovery.registry
        self.feeding = node_kernel.get(feeding.FeedFollowers)
        self.watching = node_kernel.get(watching.Watching)
        #: Time at which each version was last in the registry, by service and version,
        #: on the clock of :func:`boot_clock.now`.
        self.seen_at_by_version: dict[tuple[str, str], float] = {}
        self.lease = node_kernel.get(lease.Lease)
        self.lease.software_versions = self._for_lease
        self.lease.on_read.append(self._on_lease_read)
        self._lease_read_at = -math.inf
        #: Held while the lease is read, so that requests wait for the same read.
        self._lease_lock = gevent.lock.Semaphore()
        #: Services whose versions the lease's record contained.
        self.recorded_services: set[str] = set()
        #: Times since which this VM has followed the platform's registry, and since
        #: which its own may be outdated, on that clock.
        self.current_since = math.inf
        self.outdated_since = math.inf

    def start(self) -> None:
        """Start to record versions."""
        self.tasks.every(RECORD_INTERVAL_S, self.record)

    def record(self) -> None:
        """Record the versions that the registry has now."""
        now = boot_clock.now()
        self._record_currency(now)
        for endpoint in self.registry.by_id.values():
            key = endpoint.entry.service, endpoint.entry.software_version
            self.seen_at_by_version[key] = now
        for key, seen_at in list(self.seen_at_by_version.items()):
            if now - seen_at > MAX_STREAM_S:
                del self.seen_at_by_version[key]

    def observed(self, service: str) -> ObservedVersions:
        """Return the versions of a service that can have begun a running stream.

        :param service: the service.
        """
        self.record()
        return ObservedVersions(self._versions_of(service), self._is_complete(service))

    def read_lease(self) -> None:
        """Read the versions that the lease's record contains, unless just done."""
        with self._lease_lock:
            if boot_clock.now() - self._lease_read_at >= LEASE_READ_INTERVAL_S:
                self.lease.refresh()
                self._lease_read_at = boot_clock.now()

    def _versions_of(self, service: str) -> frozenset[str]:
        return frozenset(
            version for name, version in self.seen_at_by_version if name == service
        )

    def _is_complete(self, service: str) -> bool:
        """Return whether all versions are known that can have begun a stream."""
        if self.outdated_since != math.inf or self.current_since == math.inf:
            return False
        followed_s = boot_clock.now() - self.current_since
        return followed_s >= MAX_STREAM_S or service in self.recorded_services

    def _for_lease(self) -> tuple[lease_record.ServiceVersions, ...]:
        """Return what the lease stores: the services of which all is known."""
        self.record()
        services = sorted({service for service, _ in self.seen_at_by_version})
        return tuple(
            lease_record.ServiceVersions(
                service, tuple(sorted(self._versions_of(service)))
            )
            for service in services
            if self._is_complete(service)
        )

    def _on_lease_read(self, record: lease_record.Record) -> None:
        now = boot_clock.now()
        for item in record.software_versions:
            self.recorded_services.add(item.service)
            for version in item.versions:
                self.seen_at_by_version[item.service, version] = now

    def _record_currency(self, now: float) -> None:
        """Record since when this VM has followed the registry.

        A short gap does not count: what changed in it is applied afterwards, except for
        endpoints that came and went within it.
        """
        if not self._is_current():
            self.outdated_since = min(self.outdated_since, now)
            if now - self.outdated_since > MAX_GAP_S:
                self.current_since = math.inf
                self.recorded_services.clear()
            return
        self.outdated_since = math.inf
        self.current_since = min(self.current_since, now)

    def _is_current(self) -> bool:
        """Return whether this VM's registry follows the platform's."""
        if not self.discovery.loaded:
            return False
        follower = self.feeding.follower_by_name["endpoints"]
        if boot_clock.now() - follower.as_of <= MAX_REGISTRY_AGE_S:
            return True
        return bool(self.watching.election.healthy_watchers(time.monotonic()))
