"""Aggregation: a few collectors aggregate the heartbeats of all VMs.

Where the VMs are too many for each to send to all others, each sends its heartbeats to
one collector (:mod:`collectors`). The collectors send the sums of what they received to
each other and to the lease holder, and send their VMs the total that runs at each
endpoint.

When a collector fails, its VMs notice after 1.2 s and switch to another one. What it
had not forwarded yet is lost; until its last heartbeat is stale, running requests may
be counted twice.
"""

import collections
import time

import attrs

from mothworks import kernel, membership, messages, peers
from mothworks_gateway import (
    collectors,
    endpoint_limits,
    heartbeat,
    lease,
    ranking,
    running_requests,
    shared_health,
    shared_speeds,
)

#: Time after an endpoint's last error for which totals include its answers, seconds.
SUSPECT_RETENTION_S = 5.0


@messages.message(126)
@attrs.frozen
class Totals:
    """The aggregate that a collector sends to its VMs.

    :param running_by_endpoint: running requests of all VMs, by endpoint's id.
    :param declaration_version: version of the collector's declaration.
    :param registry_changed_at: cursor of the last change of its registry.
    :param holder: the lease holder, if a heartbeat of it arrived since the last
        totals; else empty.
    :param fence: the holder's fencing token.
    :param lease_version: stored version of the holder's last renewal.
    :param answers: answers to all VMs since the last totals, from endpoints with recent
        errors only.
    :param limits: limits that endpoints reported since the last totals.
    :param speeds: endpoints' speeds that were published since the last totals.
    :param run_times: the same for the run times of models.
    """

    running_by_endpoint: dict[str, int]
    declaration_version: int
    registry_changed_at: int
    holder: str = ""
    fence: int = 0
    lease_version: str = ""
    answers: tuple[heartbeat.AnswerRow, ...] = ()
    limits: tuple[heartbeat.LimitRow, ...] = ()
    speeds: tuple[heartbeat.SpeedRow, ...] = ()
    run_times: tuple[heartbeat.RunTimeRow, ...] = ()


class HeartbeatAggregate:
    """Aggregates the heartbeats of several VMs.

    Running requests are those of each VM's last heartbeat. Everything else comes from
    all heartbeats since the last aggregate.
    """

    def __init__(self):
        self.received_by_vm: dict[str, heartbeat.Received] = {}
        self.arrived: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self.tokens: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self.late: collections.Counter[tuple[str, str]] = collections.Counter()
        self.answers = shared_health.AnswerCounts()
        self.spent: collections.Counter[tuple[str, str]] = collections.Counter()
        self.limits = endpoint_limits.NewestLimits()
        self.speeds = shared_speeds.NewestSpeeds()

    def add(self, vm: str, received: heartbeat.Heartbeat, now: float) -> None:
        """Add a VM's heartbeat.

        :param vm: the VM.
        :param received: its heartbeat.
        :param now: monotonic time.
        """
        self.received_by_vm[vm] = heartbeat.Received(received, now)
        for service, model, adapter, count, tokens in received.arrived:
            self.arrived[service, model, adapter] += count
            self.tokens[service, model, adapter] += tokens
        for service, model, count in received.late:
            self.late[service, model] += count
        self.answers.add(received.answers)
        for budget, granter, units in received.spent:
            self.spent[budget, granter] += units
        self.limits.add(received.limits, now)
        self.speeds.add(received)

    def evict_stale(self, now: float) -> None:
        """Drop the running requests of VMs whose last heartbeat is stale.

        :param now: monotonic time.
        """
        oldest_at = now - heartbeat.STALE_S
        for vm, last_received in list(self.received_by_vm.items()):
            if last_received.at < oldest_at:
                del self.received_by_vm[vm]

    def drain(self, own: heartbeat.Heartbeat, now: float) -> heartbeat.Heartbeat:
        """Return the aggregate as a heartbeat, and reset all but the running requests.

        :param own: this VM's heartbeat, for the fields that are not aggregated.
        :param now: monotonic time.
        """
        running: collections.Counter[tuple[str, str, str]] = collections.Counter()
        for last_received in self.received_by_vm.values():
            for endpoint, model, adapter, count in last_received.heartbeat.running:
                running[endpoint, model, adapter] += count
        arrived = tuple(
            (*key, count, self.tokens[key]) for key, count in self.arrived.items()
        )
        late = tuple((*key, count) for key, count in self.late.items())
        spent = tuple((*key, units) for key, units in self.spent.items())
        self.arrived.clear()
        self.tokens.clear()
        self.late.clear()
        self.spent.clear()
        return attrs.evolve(
            own,
            running=tuple((*key, count) for key, count in running.items()),
            arrived=arrived,
            late=late,
            answers=self.answers.drain(),
            spent=spent,
            limits=self.limits.drain(now),
            is_aggregate=True,
            **self.speeds.drain(),
        )


class Aggregation(kernel.Part):
    """Sends this VM's heartbeats to a collector, and aggregates those of others.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.peers = node_kernel.get(peers.Peers)
        self.membership = node_kernel.get(membership.Membership)
        self.lease = node_kernel.get(lease.Lease)
        self.running_requests = node_kernel.get(running_requests.RunningRequests)
        self.heartbeats = node_kernel.get(heartbeat.Heartbeats)
        self.heartbeats.transmit = self._transmit
        self.heartbeats.on_received.append(self._on_heartbeat)
        self.aggregate = HeartbeatAggregate()
        self.ranking = ranking.Ranking(
            collectors.RANKING_KEY, self.name, self.membership
        )
        self.own_collector = collectors.OwnCollector(self.name)
        #: The holder's name and its last heartbeat that is not in any totals yet.
        self.holder_update: tuple[str, heartbeat.Heartbeat] | None = None
        self.shared_health = node_kernel.get(shared_health.SharedHealth)
        #: Answers of endpoints to all VMs, for the next totals.
        self.answers = shared_health.AnswerCounts()
        self.suspect_until_by_id: dict[str, float] = {}
        self.limits = node_kernel.get(endpoint_limits.EndpointLimits)
        #: Limits that endpoints reported, for the next totals.
        self.newest_limits = endpoint_limits.NewestLimits()
        #: Speeds and run times that were published, for the next totals.
        self.newest_speeds = shared_speeds.NewestSpeeds()
        self.peers.handle(Totals, self._on_totals)

    def _transmit(self, own: heartbeat.Heartbeat) -> None:
        """Send this VM's heartbeat to all peers, or by way of collectors."""
        self._send(own)
        # Rows that went into no totals are not kept: they are published again.
        self.newest_speeds.drain()

    def _send(self, own: heartbeat.Heartbeat) -> None:
        near = self.membership.region_peers()
        if collectors.is_full_mesh(near):
            self.shared_health.merge(own.answers)
            self.peers.send_to_region(own)
            return
        now = time.monotonic()
        collector_vms = collectors.select(self.ranking.vms)
        self.aggregate.evict_stale(now)
        reporting_vms = [vm for vm in self.aggregate.received_by_vm if vm != self.name]
        if self.name in collector_vms or reporting_vms or own.fence:
            self._publish_aggregate(own, collector_vms, reporting_vms)
        else:
            self.peers.send_nowait(self.own_collector.choose(collector_vms, now), own)

    def _publish_aggregate(
        self,
        own: heartbeat.Heartbeat,
        collector_vms: list[str],
        reporting_vms: list[str],
    ) -> None:
        """Send the aggregate to collectors and holder, and totals to reporting VMs.

        :param own: this VM's heartbeat.
        :param collector_vms: all collectors.
        :param reporting_vms: the VMs that report to this one.
        """
        self.shared_health.merge(own.answers)
        now = time.monotonic()
        self.aggregate.add(self.name, own, now)
        self.answers.add(own.answers)
        self.newest_limits.add(own.limits, now)
        self.newest_speeds.add(own)
        recipients = {*collector_vms, self.lease.holder()} - {self.name, ""}
        self.peers.multicast(recipients, self.aggregate.drain(own, now))
        if reporting_vms:
            self.peers.multicast(reporting_vms, self._make_totals(own))

    def _make_totals(self, own: heartbeat.Heartbeat) -> Totals:
        if own.fence:
            self.holder_update = (self.name, own)
        update, self.holder_update = self.holder_update, None
        totals = Totals(
            self.running_requests.running_by_endpoint(),
            own.declaration_version,
            own.registry_changed_at,
            answers=self._suspect_answers(),
            limits=self.newest_limits.drain(time.monotonic()),
            **self.newest_speeds.drain(),
        )
        if update is None:
            return totals
        vm, holder_heartbeat = update
        return attrs.evolve(
            totals,
            holder=vm,
            fence=holder_heartbeat.fence,
            lease_version=holder_heartbeat.lease_version,
        )

    def _suspect_answers(self) -> tuple[heartbeat.AnswerRow, ...]:
        """Return the answers of endpoints that had errors recently.

        Those of other endpoints would be most of the totals' size and affect no
        decision.
        """
        now = time.monotonic()
        rows = self.answers.drain()
        for endpoint_id, _, errors in rows:
            if errors:
                self.suspect_until_by_id[endpoint_id] = now + SUSPECT_RETENTION_S
        self.suspect_until_by_id = {
            endpoint_id: until
            for endpoint_id, until in self.suspect_until_by_id.items()
            if until > now
        }
        return tuple(row for row in rows if row[0] in self.suspect_until_by_id)

    def _on_heartbeat(self, vm: str, received: heartbeat.Heartbeat) -> None:
        if vm == self.name:
            return
        self.answers.add(received.answers)
        self.newest_limits.add(received.limits, time.monotonic())
        self.newest_speeds.add(received)
        if received.fence and not received.relayed:
            self.holder_update = (vm, received)
        if not (received.is_aggregate or received.relayed or self._is_full_mesh()):
            self.aggregate.add(vm, received, time.monotonic())

    def _is_full_mesh(self) -> bool:
        """Return whether VMs are few enough for each to send to all others."""
        return collectors.is_full_mesh(self.membership.region_peers())

    def _on_totals(self, vm: str, totals: Totals, _: peers.Reply) -> None:
        self.own_collector.on_totals(vm, time.monotonic())
        self.running_requests.set_totals(totals.running_by_endpoint)
        self.shared_health.merge(totals.answers)
        self.limits.merge(totals.limits, vm)
        versions = (totals.declaration_version, totals.registry_changed_at)
        relayed = heartbeat.Heartbeat(
            *versions,
            fence=0,
            relayed=True,
            speeds=totals.speeds,
            run_times=totals.run_times,
        )
        self.heartbeats.receive(vm, relayed)
        if totals.holder:
            holder_heartbeat = heartbeat.Heartbeat(
                0, 0, totals.fence, lease_version=totals.lease_version, relayed=True
            )
            self.heartbeats.receive(totals.holder, holder_heartbeat)
