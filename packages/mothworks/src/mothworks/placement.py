"""The placement map: which endpoints serve a model now.

The owner of an endpoint announces each change of its state once to every VM of
its region. Every VM stores the newest announcement of each endpoint and an
index by model; :mod:`mothworks.placement_repair` supplies missed announcements.
"""

import collections.abc
import enum
import sys
import time

import attrs
import xxhash

from mothworks import configuration, kernel, membership, messages, peers, plugins

#: Number of buckets of the map's digest.
BUCKET_COUNT = 64
#: Low bits of a sequence that distinguish VMs.
VM_SEQUENCE_BITS = 16


class EndpointState(enum.StrEnum):
    """Whether an endpoint accepts new work."""

    OPEN = "open"
    DRAINING = "draining"
    DOWN = "down"


@messages.message(20)
@attrs.frozen
class EndpointStatus:
    """An owner's announcement about one endpoint.

    :param endpoint: its name.
    :param sequence: increases with each announcement, also across owners.
    :param state: an :class:`EndpointState`.
    :param models: names of its resident models and adapters.
    """

    endpoint: str
    sequence: int
    state: str
    models: tuple[str, ...] = attrs.field(converter=tuple)


class Digest:
    """Hashes of the map, equal on VMs that store the same announcements."""

    def __init__(self):
        self.hashes = [0] * BUCKET_COUNT

    def toggle(self, status: EndpointStatus) -> None:
        """Add an announcement to the digest, or remove it if it is included.

        :param status: the announcement.
        """
        value = xxhash.xxh64_intdigest(f"{status.endpoint}\0{status.sequence}".encode())
        self.hashes[bucket(status.endpoint)] ^= value

    def overall_hash(self) -> int:
        """Return a single hash of the whole map."""
        hash_bytes = b"".join(item.to_bytes(8) for item in self.hashes)
        return xxhash.xxh64_intdigest(hash_bytes)

    def differing_buckets(
        self, hashes: collections.abc.Sequence[int]
    ) -> frozenset[int]:
        """Return the buckets in which another VM's map differs.

        :param hashes: the other VM's hashes.
        """
        pairs = zip(self.hashes, hashes, strict=False)
        return frozenset(
            index for index, (own, other) in enumerate(pairs) if own != other
        )


def bucket(endpoint: str) -> int:
    """Return the bucket of the digest that an endpoint belongs to.

    :param endpoint: its name.
    """
    return xxhash.xxh32_intdigest(endpoint.encode()) % BUCKET_COUNT


@plugins.register(plugins.PART, "placement")
class Placement(kernel.Part):
    """Stores the newest status of every endpoint.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.membership = node_kernel.get(membership.Membership)
        self.peers = node_kernel.get(peers.Peers)
        self.status_by_endpoint: dict[str, EndpointStatus] = {}
        self.digest = Digest()
        self.endpoints_by_model: dict[str, set[str]] = {}
        self.peers.handle(EndpointStatus, self._handle_status)
        self.configuration.change_callbacks.append(self._remove_undeclared)

    def announce(
        self, endpoint: str, state: EndpointState, models: tuple[str, ...]
    ) -> None:
        """Announce an endpoint's status to every VM of the region, if it changed.

        :param endpoint: an endpoint that this VM owns.
        :param state: whether it accepts new work.
        :param models: names of its resident models and adapters.
        """
        current = self.status_by_endpoint.get(endpoint)
        if current is not None and (current.state, current.models) == (state, models):
            return
        status = EndpointStatus(endpoint, self._next_sequence(current), state, models)
        self.update(status)
        self.peers.send_to_region(status)

    def _next_sequence(self, current: EndpointStatus | None) -> int:
        """Return a sequence above the current one.

        A new owner may have missed the last announcement; wall time puts its
        sequence above that one. The maximum covers backward clock steps. If
        two VMs that both believe they own an endpoint announced in the same
        millisecond, equal sequences would hide the difference for good, so
        the low bits differ by VM.
        """
        floor = (current.sequence >> VM_SEQUENCE_BITS) + 1 if current else 0
        sequence_ms = max(floor, time.time_ns() // 1_000_000)
        vm_hash = xxhash.xxh32_intdigest(self.kernel.settings.name.encode())
        return (sequence_ms << VM_SEQUENCE_BITS) | (
            vm_hash & ((1 << VM_SEQUENCE_BITS) - 1)
        )

    def update(self, status: EndpointStatus) -> bool:
        """Store a status if it is newer than the stored one.

        :param status: an announcement.
        :returns: whether it was newer.
        """
        current = self.status_by_endpoint.get(status.endpoint)
        if current is not None and current.sequence >= status.sequence:
            return False
        if current is not None:
            self._remove(current)
        # Announcements repeat the same few names; interning them saves memory
        # with thousands of statuses.
        models = tuple(sys.intern(name) for name in status.models)
        status = attrs.evolve(
            status, endpoint=sys.intern(status.endpoint), models=models
        )
        for model in models:
            self.endpoints_by_model.setdefault(model, set()).add(status.endpoint)
        self.status_by_endpoint[status.endpoint] = status
        self.digest.toggle(status)
        return True

    def open_endpoints(self, target: str) -> list[str]:
        """Return the endpoints that accept new work for a target.

        :param target: a model, adapter or service.
        """
        names = self.endpoints_holding(target)
        return [name for name in names if not self.closed_reason(name, target)]

    def endpoints_holding(self, target: str) -> list[str]:
        """Return the endpoints that hold a target, whether open or not.

        :param target: a model, adapter or service.
        """
        by_service = self.configuration.index.endpoints_by_service
        if target in by_service:
            return [endpoint.name for endpoint in by_service[target]]
        return sorted(self.endpoints_by_model.get(target, ()))

    def closed_reason(self, name: str, target: str = "") -> str:
        """Return why an endpoint accepts no new work, or an empty text if it does.

        :param name: the endpoint's name.
        :param target: a model or adapter; an endpoint drained by an operator
            accepts work for it until it is loaded elsewhere.
        """
        status = self.status_by_endpoint.get(name)
        declared = self.configuration.index.endpoint_by_name.get(name)
        if declared is None:
            return "not declared"
        if declared.drain and not self._must_serve_while_draining(name, target):
            return "drained by an operator"
        if name in self.membership.leaving_endpoints:
            return "its VM is leaving"
        if status is None:
            return "no report from its owner yet"
        if status.state != EndpointState.OPEN:
            return status.state
        return ""

    def _must_serve_while_draining(self, name: str, target: str) -> bool:
        """Return whether a drained endpoint must serve a model for now.

        This holds while no other open endpoint serves the model and an open
        endpoint could load it. Without such an endpoint the drain takes effect
        at once. Services cannot be loaded, so their drained instances accept
        no work.
        """
        if not self.endpoints_by_model.get(target):
            return False
        holders = self.endpoints_holding(target)
        if any(not self.closed_reason(other) for other in holders if other != name):
            return False
        declared = self.configuration.index.catalogue.endpoints
        model_endpoints = [item.name for item in declared if item.memory_mb]
        return any(not self.closed_reason(other) for other in model_endpoints)

    def _remove(self, status: EndpointStatus) -> None:
        del self.status_by_endpoint[status.endpoint]
        self.digest.toggle(status)
        for model in status.models:
            names = self.endpoints_by_model[model]
            names.discard(status.endpoint)
            if not names:
                del self.endpoints_by_model[model]

    def _remove_undeclared(self) -> None:
        declared = self.configuration.index.endpoint_by_name
        for status in list(self.status_by_endpoint.values()):
            if status.endpoint not in declared:
                self._remove(status)

    def _handle_status(self, _: str, status: EndpointStatus, __: peers.Reply) -> None:
        self.update(status)
