"""Heartbeats: the state that VMs publish to each other a few times a second.

Each VM publishes how many requests it runs at each endpoint, what its callers request,
and how new its declaration and registry are. A VM with older ones fetches them from a
peer, so that a VM that starts while the platform is unreachable still serves.
"""

import collections.abc
import random
import time

import attrs
import gevent
import logbook
import result

from mothworks import kernel, membership, messages, peers
from mothworks_gateway import declarations, discovery, feeding, spending_record

log = logbook.Logger("heartbeat")

#: Seconds between heartbeats.
INTERVAL_S = 0.25
#: Age from which a heartbeat is no longer used, seconds.
STALE_S = 2.0
#: Time that the platform has to deliver what a peer already knows, seconds.
CATCH_UP_DELAY_S = 0.35
#: Time for which a poll must have waited before a peer that knows more interrupts it,
#: seconds.
POLL_STUCK_S = 1.0
#: Time between fetches of peers' state while a VM starts, seconds.
STARTUP_FETCH_INTERVAL_S = 0.3
#: Timeout for a peer's state, seconds.
STATE_TIMEOUT_S = 1.0


#: An endpoint's id, the number of its answers that were not errors, and the number of
#: its errors.
AnswerRow = tuple[str, int, int]
#: An endpoint's id, the limit that it reported in requests per second or None, and the
#: ages of the request and of its answer, seconds.
LimitRow = tuple[str, float | None, float, float]
#: An endpoint's id, its speed relative to its service's mean, and its prefill speed in
#: tokens per second, 0 if unknown.
SpeedRow = tuple[str, float, float]
#: A service, a model, and the mean time for which a run occupies a batch slot, seconds.
#: An empty model stands for the service's mean.
RunTimeRow = tuple[str, str, float]
#: The seconds for which a VM's record of granted retries is complete, the peak of live
#: VMs or 0 if it is not known, and the record's rows; see :mod:`shared_retries`.
RetryRecord = tuple[float, int, tuple[spending_record.SpendingRow, ...]]


@messages.message(110)
@attrs.frozen
class Heartbeat:
    """The state that a VM publishes.

    :param declaration_version: version of the declaration in force at the VM.
    :param registry_changed_at: cursor of the last change of its registry.
    :param fence: fencing token of the lease that it holds, or 0.
    :param lease_version: stored version of its last lease renewal, or empty.
    :param running: number of running requests, by endpoint, model and adapter.
    :param arrived: requests that arrived since the last heartbeat, by service,
        model and adapter; see :meth:`running_requests.RunningRequests.count_arrival`
        for their weight. The last figure is the number of prompt tokens that other
        requests do not share.
    :param late: number of answers since the last heartbeat that were too slow, by
        service and model.
    :param is_aggregate: whether it is the aggregate of several VMs.
    :param relayed: whether another VM sent it on behalf of this one.
    :param answers: answers of endpoints since the last heartbeat.
    :param spent: units of shared budgets that were spent since the last heartbeat, by
        budget and granter; see :mod:`shared_budgets`.
    :param limits: limits that endpoints reported since the last heartbeat.
    :param blocked_digest: digest of the blocked requests; see
        :mod:`poison_replication`.
    :param speeds: endpoints' speeds that changed or are due; see :mod:`shared_speeds`.
    :param run_times: the same for the run times of models.
    :param retry_record: the retries that VMs granted recently; None from a VM of a
        version that grants none for others.
    :param store_loads: the loads from the weight store that VMs began recently.
    """

    declaration_version: int
    registry_changed_at: int
    fence: int
    running: tuple[tuple[str, str, str, int], ...] = ()
    arrived: tuple[tuple[str, str, str, float, int], ...] = ()
    late: tuple[tuple[str, str, int], ...] = ()
    lease_version: str = ""
    is_aggregate: bool = False
    relayed: bool = False
    answers: tuple[AnswerRow, ...] = ()
    spent: tuple[tuple[str, str, float], ...] = ()
    limits: tuple[LimitRow, ...] = ()
    blocked_digest: int = 0
    speeds: tuple[SpeedRow, ...] = ()
    run_times: tuple[RunTimeRow, ...] = ()
    retry_record: RetryRecord | None = None
    store_loads: tuple[spending_record.SpendingRow, ...] = ()


@messages.message(111)
@attrs.frozen
class StateRequest:
    """Requests a peer's declaration and registry where they are newer.

    :param declaration_version: version of the requesting VM's declaration.
    :param registry_cursor: cursor of the requesting VM's registry.
    """

    declaration_version: int
    registry_cursor: int


@messages.message(112)
@attrs.frozen
class State:
    """A peer's declaration and registry, as documents of the platform.

    :param declaration: the document; empty where it is not newer.
    :param registry_cursor: cursor of the registry.
    :param document_by_name: entries of the registry; empty where it is not newer.
    """

    declaration: bytes
    registry_cursor: int
    document_by_name: dict[str, bytes]


@attrs.define
class Received:
    """The last heartbeat of a peer.

    :param heartbeat: the heartbeat.
    :param at: monotonic time at which it was received.
    """

    heartbeat: Heartbeat
    at: float


class Heartbeats(kernel.Part):
    """Sends this VM's heartbeats and stores the last one of each peer.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.peers = node_kernel.get(peers.Peers)
        self.membership = node_kernel.get(membership.Membership)
        self.declarations = node_kernel.get(declarations.Declarations)
        self.discovery = node_kernel.get(discovery.Discovery)
        self.feeding = node_kernel.get(feeding.FeedFollowers)
        self.received_by_vm: dict[str, Received] = {}
        #: Functions that return fields of the next heartbeat, each as a dict.
        self.field_providers: list = []
        #: Functions to call with a VM's name and its heartbeat, this VM's included.
        self.on_received: list = []
        #: Transmits a heartbeat of this VM to peers.
        self.transmit: collections.abc.Callable[[Heartbeat], None] = (
            self.peers.send_to_region
        )
        self._is_fetching = False
        self.peers.handle(Heartbeat, lambda vm, received, _: self.receive(vm, received))
        self.peers.handle(StateRequest, self._serve_state)

    def start(self) -> None:
        """Start to send heartbeats, and fetch what is missing from peers."""
        self.tasks.every(INTERVAL_S, self.send)
        self.tasks.spawn(self._fetch_at_start)

    def fresh(self) -> dict[str, Heartbeat]:
        """Return the heartbeats of peers that are not stale, by VM."""
        oldest_at = time.monotonic() - STALE_S
        return {
            vm: received.heartbeat
            for vm, received in self.received_by_vm.items()
            if received.at >= oldest_at
        }

    def send(self) -> None:
        """Compose and send one heartbeat now."""
        fields = {}
        for provide in self.field_providers:
            fields.update(provide())
        heartbeat = Heartbeat(
            self.declarations.version,
            self.discovery.changed_at,
            **{"fence": 0, **fields},
        )
        for notify in self.on_received:
            notify(self.kernel.settings.name, heartbeat)
        self.transmit(heartbeat)

    def receive(self, vm: str, heartbeat: Heartbeat) -> None:
        """Process a heartbeat, sent by a peer itself or relayed by another one.

        :param vm: the VM that the heartbeat describes.
        :param heartbeat: the heartbeat.
        """
        self.received_by_vm[vm] = Received(heartbeat, time.monotonic())
        for notify in self.on_received:
            notify(vm, heartbeat)
        if self._is_behind(heartbeat):
            self.tasks.spawn(self._catch_up, vm, heartbeat)

    def _is_behind(self, heartbeat: Heartbeat) -> bool:
        return (
            heartbeat.declaration_version > self.declarations.version
            or heartbeat.registry_changed_at > self.discovery.registry.cursor
        )

    def _catch_up(self, vm: str, heartbeat: Heartbeat) -> None:
        """Obtain what a peer has and the platform does not deliver to this VM."""
        if self._is_fetching:
            return
        self._is_fetching = True
        try:
            gevent.sleep(CATCH_UP_DELAY_S)
            if not self._is_behind(heartbeat):
                return
            follower_by_name = self.feeding.follower_by_name
            if heartbeat.declaration_version > self.declarations.version:
                follower_by_name["declarations"].interrupt_if_behind(
                    heartbeat.registry_changed_at, CATCH_UP_DELAY_S
                )
            # The cursor also advances with unrelated writes, so the peer's last change
            # is compared.
            is_lost = follower_by_name["endpoints"].outage_since is not None
            is_stuck = heartbeat.registry_changed_at > self.discovery.registry.cursor
            if heartbeat.declaration_version > self.declarations.version or (
                is_lost and is_stuck
            ):
                self.fetch_state(vm)
            elif is_stuck:
                follower_by_name["endpoints"].interrupt_if_behind(
                    heartbeat.registry_changed_at, POLL_STUCK_S
                )
        finally:
            self._is_fetching = False

    def _fetch_at_start(self) -> None:
        """Fetch what the platform has not delivered yet, from one peer at a time.

        When all VMs started at once and each fetched from all others, the whole
        registry moved between every two VMs, and none served meanwhile.
        """
        while not (self.declarations.loaded.is_set() and self.discovery.loaded):
            gevent.sleep(STARTUP_FETCH_INTERVAL_S)
            near = self.membership.region_peers()
            if near:
                self.fetch_state(random.choice(near).name)

    def fetch_state(self, vm: str) -> None:
        """Fetch and apply a peer's declaration and registry where they are newer.

        :param vm: the peer.
        """
        request = StateRequest(
            self.declarations.version, self.discovery.registry.cursor
        )
        match self.peers.call(vm, request, STATE_TIMEOUT_S):
            case result.Ok(State(declaration, cursor, document_by_name)):
                if declaration:
                    self.declarations.apply_if_newer(declaration, f"peer {vm}")
                if document_by_name:
                    self.discovery.apply_peer_snapshot(cursor, document_by_name)

    def _serve_state(self, vm: str, request: StateRequest, answer) -> None:
        current = self.declarations.current
        is_newer = current and current.version > request.declaration_version
        cursor = self.discovery.registry.cursor
        document_by_name = {}
        if cursor > request.registry_cursor and self.discovery.loaded:
            document_by_name = self.discovery.documents()
        answer(State(current.document if is_newer else b"", cursor, document_by_name))
