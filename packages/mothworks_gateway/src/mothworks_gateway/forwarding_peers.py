"""Forwarding peers: the VMs that can run requests for this VM now.

While this VM needs them, it asks a few peers again and again. An offer is valid only
for a short time, so a peer that is stopped, suspended, partitioned from this VM or of a
build without forwarding gets no requests. While no VM needs them, no message is sent.
"""

import collections
import random
import time

import attrs
import gevent
import gevent.event
import result

from mothworks import kernel, membership, peers
from mothworks_gateway import endpoint_paths, forwarding_messages, running_requests

#: Number of peers that are asked at a time.
MAX_QUERIED = 8
#: Interval between queries, and timeout of one, seconds.
QUERY_INTERVAL_S = 0.3
QUERY_TIMEOUT_S = 0.25
#: Age from which an offer is no longer valid, seconds.
OFFER_VALID_S = 0.8
#: Time after the last need for peers until which they are queried, seconds.
NEEDED_S = 2.0
#: Load, in requests, by which a peer in another data centre must be below one in this
#: VM's: traffic between data centres is billed.
REMOTE_MARGIN = 4


@attrs.frozen
class ForwardingPeer:
    """A peer that accepts requests.

    :param vm: its name.
    :param address: IP address and port.
    :param running: number of requests that it ran when it replied.
    :param is_local: whether it is in this VM's data centre.
    :param heeds_versions: whether it heeds the software version that a request needs.
    :param at: monotonic time of its reply.
    """

    vm: str
    address: tuple[str, int]
    running: int
    is_local: bool
    heeds_versions: bool
    at: float


class ForwardingPeers(kernel.Part):
    """Queries peers while this VM needs them, and answers their queries.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.peers = node_kernel.get(peers.Peers)
        self.membership = node_kernel.get(membership.Membership)
        self.paths = node_kernel.get(endpoint_paths.EndpointPaths)
        self.running_requests = node_kernel.get(running_requests.RunningRequests)
        #: Port of this VM's forwarding server, which sets it once it accepts requests.
        self.port = 0
        self.peer_by_vm: dict[str, ForwardingPeer] = {}
        #: Requests of this VM that each peer runs now.
        self.forwarded_by_vm: collections.Counter[str] = collections.Counter()
        self._needed_at = float("-inf")
        #: Set once a round of queries has ended, until peers are no longer needed.
        self._queried = gevent.event.Event()
        self._wake = gevent.event.Event()
        self.paths.on_change.append(self._wake_if_needed)
        self.paths.on_cannot_open.append(self._wake_if_needed)
        self.peers.handle(forwarding_messages.ForwardingQuery, self._serve_query)

    def start(self) -> None:
        """Start to query peers whenever they are needed."""
        self.tasks.spawn(self._query_while_needed)

    def choose(self, excluded: set[str], needs_version: bool) -> ForwardingPeer | None:
        """Return a peer for one request, the less loaded of two random ones.

        The first call waits for the replies to the first queries.

        :param excluded: names of peers that are left out.
        :param needs_version: whether the request needs one software version.
        """
        self._needed_at = time.monotonic()
        self._wake.set()
        self._queried.wait(QUERY_TIMEOUT_S + QUERY_INTERVAL_S)
        usable = [
            peer
            for peer in self.offers()
            if peer.vm not in excluded and (peer.heeds_versions or not needs_version)
        ]
        if not usable:
            return None
        return min(random.sample(usable, min(2, len(usable))), key=self._load)

    def offers(self) -> list[ForwardingPeer]:
        """Return the peers whose offers are valid."""
        oldest_at = time.monotonic() - OFFER_VALID_S
        return [peer for peer in self.peer_by_vm.values() if peer.at >= oldest_at]

    def _load(self, peer: ForwardingPeer) -> int:
        margin = 0 if peer.is_local else REMOTE_MARGIN
        return peer.running + self.forwarded_by_vm[peer.vm] + margin

    def _is_needed(self) -> bool:
        is_cut = self.paths.lost or self.paths.cannot_open
        return is_cut or time.monotonic() - self._needed_at < NEEDED_S

    def _wake_if_needed(self) -> None:
        if self._is_needed():
            self._wake.set()

    def _query_while_needed(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._is_needed():
                self._query_some()
                self._queried.set()
                gevent.sleep(QUERY_INTERVAL_S)
            self._queried.clear()
            self.peer_by_vm.clear()

    def _query_some(self) -> None:
        """Query the peers with an offer, and random others in place of the rest."""
        members = [
            item
            for item in self.membership.region_peers()
            if not item.leaving and self.membership.is_alive(item.name)
        ]
        known = [item for item in members if item.name in self.peer_by_vm]
        others = [item for item in members if item.name not in self.peer_by_vm]
        count = max(1, MAX_QUERIED - len(known))
        queried = known + random.sample(others, min(count, len(others)))
        tasks = [self.tasks.spawn(self._query, item) for item in queried]
        gevent.joinall(tasks, timeout=QUERY_TIMEOUT_S)

    def _query(self, member) -> None:
        query = forwarding_messages.ForwardingQuery()
        match self.peers.call(member.name, query, QUERY_TIMEOUT_S):
            case result.Ok(forwarding_messages.ForwardingOffer() as offer) if (
                offer.port
            ):
                data_centre = self.kernel.settings.data_centre
                self.peer_by_vm[member.name] = ForwardingPeer(
                    member.name,
                    (member.address, offer.port),
                    offer.running,
                    member.data_centre == data_centre,
                    offer.heeds_versions,
                    time.monotonic(),
                )
            case result.Ok(_):
                self.peer_by_vm.pop(member.name, None)
            case _:
                # A late reply says nothing; the last offer ends with its validity.
                pass

    def _serve_query(self, _: str, __, reply: peers.Reply) -> None:
        accepts = not (self.paths.lost or self.kernel.draining)
        running = sum(self.running_requests.running.by_endpoint.values())
        port = self.port if accepts else 0
        reply(forwarding_messages.ForwardingOffer(port, running, heeds_versions=True))
