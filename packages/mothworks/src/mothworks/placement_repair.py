"""Repair of the placement map: what announcements missed, by comparison.

An announcement is lost on a VM that joins later, was cut off, or lost the
connection: it would never route to the endpoint, or go on routing to one
that drains. Two VMs compare one hash; where it differs, hashes of parts; and
only in parts that differ the numbers of single announcements.
"""

import random

import attrs
import result

from mothworks import kernel, membership, messages, peers, placement, plugins

#: Seconds between comparisons with a random VM of the region.
REPAIR_S = 2.0
#: Seconds between comparisons of a linking VM with another region.
LINK_S = 5.0
#: Time for a reply, seconds.
REPLY_S = 2.0


@messages.message(21)
@attrs.frozen
class MapDigest:
    """Asks a VM for the hashes of its map, unless it is the sender's.

    :param whole: see :meth:`placement.Digest.whole`.
    """

    whole: int


@messages.message(22)
@attrs.frozen
class MapHashes:
    """The parts of a map's digest; none where the maps are equal.

    :param hashes: see :class:`placement.Digest`.
    """

    hashes: tuple[int, ...] = attrs.field(converter=tuple)


@messages.message(23)
@attrs.frozen
class MapVersions:
    """The announcements that a VM knows in the parts that differ.

    :param buckets: the parts.
    :param endpoints: names of endpoints.
    :param sequences: the sequence of each one's announcement.
    """

    buckets: tuple[int, ...] = attrs.field(converter=tuple)
    endpoints: tuple[str, ...] = attrs.field(converter=tuple)
    sequences: tuple[int, ...] = attrs.field(converter=tuple)


@messages.message(24)
@attrs.frozen
class MapRows:
    """What the sender of :class:`MapVersions` lacks, and what it is to send.

    :param rows: the fields of newer announcements.
    :param wanted: endpoints whose announcement is older here.
    """

    rows: tuple[tuple, ...] = attrs.field(converter=tuple)
    wanted: tuple[str, ...] = attrs.field(converter=tuple)


@plugins.register(plugins.PART, "placement repair")
class PlacementRepair(kernel.Part):
    """Compares the placement map with other VMs.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.membership = node_kernel.get(membership.Membership)
        self.peers = node_kernel.get(peers.Peers)
        self.placement = node_kernel.get(placement.Placement)
        self.joined = False
        self.membership.on_change.append(self._join)
        self.peers.handle(MapDigest, self._serve_digest)
        self.peers.handle(MapVersions, self._serve_versions)

    def start(self) -> None:
        """Start to compare."""
        self.tasks.every(REPAIR_S, self.repair)
        self.tasks.every(LINK_S, self.link_regions)

    def repair(self) -> None:
        """Compare with a random VM of the region."""
        near = self.membership.near()
        if near:
            self.compare(random.choice(near).name)

    def link_regions(self) -> None:
        """Compare with other regions, if this VM links, and pass on the news."""
        for member in self.membership.far():
            for status in self.compare(member.name):
                self.peers.send_all(status)

    def compare(self, vm: str) -> list[placement.EndpointStatus]:
        """Bring this VM's map and another's up to date.

        :param vm: the other VM's name.
        :returns: what was new here.
        """
        digest = self.placement.digest
        match self.peers.call(vm, MapDigest(digest.whole()), REPLY_S):
            case result.Ok(MapHashes(hashes)) if hashes:
                buckets = digest.differing(hashes)
            case _:
                return []
        match self.peers.call(vm, self._versions(buckets), REPLY_S):
            case result.Ok(MapRows(rows, wanted)):
                self._send(vm, wanted)
                return self._take(rows)
        return []

    def _join(self) -> None:
        """Get the map as soon as there is another VM to get it from."""
        if not self.joined and self.membership.near():
            self.joined = True
            self.tasks.spawn(self.repair)

    def _versions(self, buckets: frozenset[int]) -> MapVersions:
        known = self._in_buckets(buckets)
        return MapVersions(
            sorted(buckets),
            [status.endpoint for status in known],
            [status.sequence for status in known],
        )

    def _in_buckets(self, buckets: frozenset[int]) -> list[placement.EndpointStatus]:
        return [
            status
            for status in self.placement.status_by_endpoint.values()
            if placement.bucket(status.endpoint) in buckets
        ]

    def _take(self, rows: tuple[tuple, ...]) -> list[placement.EndpointStatus]:
        statuses = [placement.EndpointStatus(*row) for row in rows]
        return [status for status in statuses if self.placement.take(status)]

    def _send(self, vm: str, endpoints: tuple[str, ...]) -> None:
        for endpoint in endpoints:
            status = self.placement.status_by_endpoint.get(endpoint)
            if status is not None:
                self.peers.send(vm, status)

    def _serve_digest(self, _: str, asked: MapDigest, answer: peers.Answer) -> None:
        digest = self.placement.digest
        answer(MapHashes(() if asked.whole == digest.whole() else digest.hashes))

    def _serve_versions(self, _: str, asked: MapVersions, answer: peers.Answer) -> None:
        pairs = zip(asked.endpoints, asked.sequences, strict=False)
        sequence_by_endpoint = dict(pairs)
        rows = []
        for status in self._in_buckets(frozenset(asked.buckets)):
            theirs = sequence_by_endpoint.pop(status.endpoint, 0)
            if theirs < status.sequence:
                rows.append(attrs.astuple(status))
            elif theirs > status.sequence:
                sequence_by_endpoint[status.endpoint] = theirs
        answer(MapRows(rows, list(sequence_by_endpoint)))
