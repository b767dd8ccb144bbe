"""Repairs the placement map by comparison between VMs (anti-entropy).

A VM misses announcements sent before it joined or while it was partitioned or
disconnected. It would then never route to an endpoint, or still route to one
that drains. Two VMs first compare one hash of their maps; if it differs, the
hashes of all buckets; and for differing buckets the sequences of announcements.
"""

import random

import attrs
import result

from mothworks import kernel, membership, messages, peers, placement, plugins

#: Interval between comparisons with a random VM of the region, seconds.
REPAIR_INTERVAL_S = 2.0
#: Interval between comparisons of a linking VM with other regions, seconds.
BRIDGE_INTERVAL_S = 5.0
#: Timeout for a reply, seconds.
REPLY_TIMEOUT_S = 2.0


@messages.message(21)
@attrs.frozen
class MapDigest:
    """Requests the bucket hashes of a VM's map if the maps differ.

    :param overall_hash: see :meth:`placement.Digest.overall_hash`.
    """

    overall_hash: int


@messages.message(22)
@attrs.frozen
class MapHashes:
    """The bucket hashes of a map's digest; empty if the maps are equal.

    :param hashes: see :class:`placement.Digest`.
    """

    hashes: tuple[int, ...] = attrs.field(converter=tuple)


@messages.message(23)
@attrs.frozen
class MapVersions:
    """The announcements that a VM stores in the differing buckets.

    :param buckets: the differing buckets.
    :param endpoints: names of endpoints.
    :param sequences: the sequence of each one's announcement.
    """

    buckets: tuple[int, ...] = attrs.field(converter=tuple)
    endpoints: tuple[str, ...] = attrs.field(converter=tuple)
    sequences: tuple[int, ...] = attrs.field(converter=tuple)


@messages.message(24)
@attrs.frozen
class MapRows:
    """Announcements that the sender of :class:`MapVersions` lacks or must send.

    :param rows: the fields of newer announcements.
    :param requested: endpoints whose stored announcement is older here.
    """

    rows: tuple[tuple, ...] = attrs.field(converter=tuple)
    requested: tuple[str, ...] = attrs.field(converter=tuple)


@plugins.register(plugins.PART, "placement repair")
class PlacementRepair(kernel.Part):
    """Compares the placement map with other VMs and repairs both.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.membership = node_kernel.get(membership.Membership)
        self.peers = node_kernel.get(peers.Peers)
        self.placement = node_kernel.get(placement.Placement)
        self.joined = False
        self.membership.on_change.append(self._repair_after_join)
        self.peers.handle(MapDigest, self._serve_digest)
        self.peers.handle(MapVersions, self._serve_versions)

    def start(self) -> None:
        """Start the periodic comparisons."""
        self.tasks.every(REPAIR_INTERVAL_S, self.repair)
        self.tasks.every(BRIDGE_INTERVAL_S, self.bridge_regions)

    def repair(self) -> None:
        """Compare with a random VM of the region."""
        near = self.membership.region_peers()
        if near:
            self.compare(random.choice(near).name)

    def bridge_regions(self) -> None:
        """Compare with other regions, if this VM links them, and relay updates."""
        for member in self.membership.bridge_peers():
            for status in self.compare(member.name):
                self.peers.send_to_region(status)

    def compare(self, vm: str) -> list[placement.EndpointStatus]:
        """Update this VM's map and another VM's from each other.

        :param vm: the other VM's name.
        :returns: the announcements that were new here.
        """
        digest = self.placement.digest
        match self.peers.call(vm, MapDigest(digest.overall_hash()), REPLY_TIMEOUT_S):
            case result.Ok(MapHashes(hashes)) if hashes:
                buckets = digest.differing_buckets(hashes)
            case _:
                return []
        match self.peers.call(vm, self._make_versions(buckets), REPLY_TIMEOUT_S):
            case result.Ok(MapRows(rows, requested)):
                self._send(vm, requested)
                return self._apply_rows(rows)
        return []

    def _repair_after_join(self) -> None:
        """Fetch the map as soon as the region has another VM."""
        if not self.joined and self.membership.region_peers():
            self.joined = True
            self.tasks.spawn(self.repair)

    def _make_versions(self, buckets: frozenset[int]) -> MapVersions:
        statuses = self._in_buckets(buckets)
        return MapVersions(
            sorted(buckets),
            [status.endpoint for status in statuses],
            [status.sequence for status in statuses],
        )

    def _in_buckets(self, buckets: frozenset[int]) -> list[placement.EndpointStatus]:
        return [
            status
            for status in self.placement.status_by_endpoint.values()
            if placement.bucket(status.endpoint) in buckets
        ]

    def _apply_rows(self, rows: tuple[tuple, ...]) -> list[placement.EndpointStatus]:
        statuses = [placement.EndpointStatus(*row) for row in rows]
        return [status for status in statuses if self.placement.update(status)]

    def _send(self, vm: str, endpoints: tuple[str, ...]) -> None:
        for endpoint in endpoints:
            status = self.placement.status_by_endpoint.get(endpoint)
            if status is not None:
                self.peers.send(vm, status)

    def _serve_digest(self, _: str, request: MapDigest, respond: peers.Reply) -> None:
        digest = self.placement.digest
        respond(
            MapHashes(
                () if request.overall_hash == digest.overall_hash() else digest.hashes
            )
        )

    def _serve_versions(
        self, _: str, request: MapVersions, respond: peers.Reply
    ) -> None:
        pairs = zip(request.endpoints, request.sequences, strict=False)
        sequence_by_endpoint = dict(pairs)
        rows = []
        for status in self._in_buckets(frozenset(request.buckets)):
            peer_sequence = sequence_by_endpoint.pop(status.endpoint, 0)
            if peer_sequence < status.sequence:
                rows.append(attrs.astuple(status))
            elif peer_sequence > status.sequence:
                sequence_by_endpoint[status.endpoint] = peer_sequence
        respond(MapRows(rows, list(sequence_by_endpoint)))
