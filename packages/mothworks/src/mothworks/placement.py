"""The placement map: which endpoints answer for a model now.

Each endpoint's owner announces its state when it changes, once to each VM of
its region. Every VM keeps the newest announcement of each endpoint and an
index by model; :mod:`mothworks.placement_repair` brings what was missed.
"""

import collections.abc
import enum
import sys
import time

import attrs
import xxhash

from mothworks import configuration, kernel, membership, messages, peers, plugins

#: Parts into which the map's digest is divided.
BUCKETS = 64
#: Bits of a sequence that tell VMs apart.
VM_BITS = 16


class EndpointState(enum.StrEnum):
    """Whether an endpoint takes new work."""

    OPEN = "open"
    DRAINING = "draining"
    DOWN = "down"


@messages.message(20)
@attrs.frozen
class EndpointStatus:
    """An owner's announcement about one endpoint.

    :param endpoint: its name.
    :param sequence: larger is newer, also across owners.
    :param state: an :class:`EndpointState`.
    :param models: names of its resident models and adapters.
    """

    endpoint: str
    sequence: int
    state: str
    models: tuple[str, ...] = attrs.field(converter=tuple)


class Digest:
    """Hashes of the map, equal on two VMs that know the same announcements."""

    def __init__(self):
        self.hashes = [0] * BUCKETS

    def change(self, status: EndpointStatus) -> None:
        """Take an announcement into the digest, or out of it again.

        :param status: the announcement.
        """
        value = xxhash.xxh64_intdigest(f"{status.endpoint}\0{status.sequence}".encode())
        self.hashes[bucket(status.endpoint)] ^= value

    def whole(self) -> int:
        """Return one hash of the whole map."""
        joined = b"".join(item.to_bytes(8) for item in self.hashes)
        return xxhash.xxh64_intdigest(joined)

    def differing(self, hashes: collections.abc.Sequence[int]) -> frozenset[int]:
        """Return the buckets in which another VM's map differs.

        :param hashes: the other's hashes.
        """
        pairs = zip(self.hashes, hashes, strict=False)
        return frozenset(
            place for place, (own, other) in enumerate(pairs) if own != other
        )


def bucket(endpoint: str) -> int:
    """Return the part of the digest that an endpoint belongs to.

    :param endpoint: its name.
    """
    return xxhash.xxh32_intdigest(endpoint.encode()) % BUCKETS


@plugins.register(plugins.PART, "placement")
class Placement(kernel.Part):
    """Keeps the newest status of every endpoint.

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
        self.peers.handle(EndpointStatus, self._receive)
        self.configuration.on_change.append(self._forget_undeclared)

    def announce(
        self, endpoint: str, state: EndpointState, models: tuple[str, ...]
    ) -> None:
        """Tell every VM about an endpoint, if anything changed.

        :param endpoint: an endpoint that this VM owns.
        :param state: whether it takes new work.
        :param models: names of its resident models and adapters.
        """
        known = self.status_by_endpoint.get(endpoint)
        if known is not None and (known.state, known.models) == (state, models):
            return
        status = EndpointStatus(endpoint, self._sequence(known), state, models)
        self.take(status)
        self.peers.send_all(status)

    def _sequence(self, known: EndpointStatus | None) -> int:
        """Return a sequence above all that this VM knows of.

        Wall time lets a new owner, which may not have heard the last
        announcement, go on above it; the maximum covers clock steps. Where
        two VMs both believe they own an endpoint and announce in the same
        millisecond, equal sequences would never be told apart again; the
        last bits differ by VM.
        """
        floor = (known.sequence >> VM_BITS) + 1 if known else 0
        number = max(floor, time.time_ns() // 1_000_000)
        vm = xxhash.xxh32_intdigest(self.kernel.settings.name.encode())
        return (number << VM_BITS) | (vm & ((1 << VM_BITS) - 1))

    def take(self, status: EndpointStatus) -> bool:
        """Keep a status if it is newer than the one known.

        :param status: an announcement.
        :returns: whether it was newer.
        """
        known = self.status_by_endpoint.get(status.endpoint)
        if known is not None and known.sequence >= status.sequence:
            return False
        if known is not None:
            self._forget(known)
        # The same few names come with every announcement; one copy of each
        # keeps thousands of statuses small.
        models = tuple(sys.intern(name) for name in status.models)
        status = attrs.evolve(
            status, endpoint=sys.intern(status.endpoint), models=models
        )
        for model in models:
            self.endpoints_by_model.setdefault(model, set()).add(status.endpoint)
        self.status_by_endpoint[status.endpoint] = status
        self.digest.change(status)
        return True

    def open_endpoints(self, target: str) -> list[str]:
        """Return the endpoints that take new work for a target.

        :param target: a model, adapter or service.
        """
        names = self.candidates(target)
        return [name for name in names if not self.why_closed(name, target)]

    def candidates(self, target: str) -> list[str]:
        """Return the endpoints that have a target, open or not.

        :param target: a model, adapter or service.
        """
        by_service = self.configuration.index.endpoints_by_service
        if target in by_service:
            return [endpoint.name for endpoint in by_service[target]]
        return sorted(self.endpoints_by_model.get(target, ()))

    def why_closed(self, name: str, target: str = "") -> str:
        """Return why an endpoint takes no new work; empty where it does.

        :param name: the endpoint's name.
        :param target: a model or adapter; an endpoint that an operator drains
            takes work for it until it is loaded elsewhere.
        """
        status = self.status_by_endpoint.get(name)
        declared = self.configuration.index.endpoint_by_name.get(name)
        if declared is None:
            return "not declared"
        if declared.drain and not self._is_last(name, target):
            return "drained by an operator"
        if name in self.membership.leaving_endpoints:
            return "its VM is leaving"
        if status is None:
            return "no report from its owner yet"
        if status.state != EndpointState.OPEN:
            return status.state
        return ""

    def _is_last(self, name: str, target: str) -> bool:
        """Return whether a model waits to be loaded elsewhere.

        That is so while no other endpoint answers for it, and one is open that
        could load it. Where none is, a drain closes the endpoint all the same.
        A service cannot be loaded; its drained instances take nothing.
        """
        if not self.endpoints_by_model.get(target):
            return False
        holding = self.candidates(target)
        if any(not self.why_closed(other) for other in holding if other != name):
            return False
        declared = self.configuration.index.catalogue.endpoints
        engines = [item.name for item in declared if item.memory_mb]
        return any(not self.why_closed(other) for other in engines)

    def _forget(self, status: EndpointStatus) -> None:
        del self.status_by_endpoint[status.endpoint]
        self.digest.change(status)
        for model in status.models:
            names = self.endpoints_by_model[model]
            names.discard(status.endpoint)
            if not names:
                del self.endpoints_by_model[model]

    def _forget_undeclared(self) -> None:
        declared = self.configuration.index.endpoint_by_name
        for status in list(self.status_by_endpoint.values()):
            if status.endpoint not in declared:
                self._forget(status)

    def _receive(self, _: str, status: EndpointStatus, __: peers.Answer) -> None:
        self.take(status)
