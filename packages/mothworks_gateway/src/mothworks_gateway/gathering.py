"""Gathering: what all VMs tell in their heartbeats is added up by a few of them.

Where VMs are more than can tell each other, each tells one collector
(:mod:`collectors`). The collectors tell each other, and the holder, the sum of those
that they heard, and tell the latter what runs at each endpoint in all.

A collector that dies costs its VMs 1.2 s until they tell another one. What it had
not yet told on is lost; until its last word is too old, what runs may count twice.
"""

import collections
import time

import attrs

from mothworks import kernel, membership, messages, peers
from mothworks_gateway import (
    collectors,
    endpoint_limits,
    evidence,
    heartbeat,
    lease,
    load,
    ranking,
)

#: Time after an endpoint's last error for which its answers are told, seconds.
SUSPECT_S = 5.0


@messages.message(126)
@attrs.frozen
class Totals:
    """Tells a VM what its collector has added up.

    :param running_by_endpoint: requests that run, from all VMs, by endpoint's id.
    :param declaration_version: the newest declaration that it has.
    :param registry_changed_at: revision of the last change in its registry.
    :param holder: the VM that holds the lease, if it was heard since the last
        totals; else empty.
    :param fence: that VM's fencing token.
    :param lease_version: the stored version of that VM's last renewal.
    :param answers: how endpoints answered all VMs since the last totals, of those
        that made errors in the last seconds.
    :param limits: what endpoints said of their limits since the last totals.
    """

    running_by_endpoint: dict[str, int]
    declaration_version: int
    registry_changed_at: int
    holder: str = ""
    fence: int = 0
    lease_version: str = ""
    answers: tuple[heartbeat.AnswerRow, ...] = ()
    limits: tuple[heartbeat.LimitRow, ...] = ()


class HeartbeatSum:
    """Adds up heartbeats: what runs, of the last of each VM; what arrived or was
    spent, of all.
    """

    def __init__(self):
        self.member_by_vm: dict[str, heartbeat.Received] = {}
        self.arrived: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self.tokens: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self.late: collections.Counter[tuple[str, str]] = collections.Counter()
        self.answers = evidence.AnswerCounts()
        self.spent: collections.Counter[tuple[str, str]] = collections.Counter()
        self.limits = endpoint_limits.NewestLimits()

    def add(self, vm: str, told: heartbeat.Heartbeat, now: float) -> None:
        """Add a VM's heartbeat.

        :param vm: the VM.
        :param told: its heartbeat.
        :param now: monotonic time.
        """
        self.member_by_vm[vm] = heartbeat.Received(told, now)
        for service, model, adapter, count, tokens in told.arrived:
            self.arrived[service, model, adapter] += count
            self.tokens[service, model, adapter] += tokens
        for service, model, count in told.late:
            self.late[service, model] += count
        self.answers.add(told.answers)
        for budget, lender, units in told.spent:
            self.spent[budget, lender] += units
        self.limits.add(told.limits, now)

    def forget_old(self, now: float) -> None:
        """Forget what VMs ran that have not told for too long.

        :param now: monotonic time.
        """
        oldest = now - heartbeat.STALE_S
        for vm, member in list(self.member_by_vm.items()):
            if member.at < oldest:
                del self.member_by_vm[vm]

    def take(self, own: heartbeat.Heartbeat, now: float) -> heartbeat.Heartbeat:
        """Return the sum as a heartbeat, and begin to count anew what arrives.

        :param own: this VM's heartbeat, which tells what is not added up.
        :param now: monotonic time.
        """
        running: collections.Counter[tuple[str, str, str]] = collections.Counter()
        for member in self.member_by_vm.values():
            for endpoint, model, adapter, count in member.heartbeat.running:
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
            answers=self.answers.take(),
            spent=spent,
            limits=self.limits.take(now),
            sums=True,
        )


class Gathering(kernel.Part):
    """Sends this VM's heartbeats where they are added up, and adds up those of others.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.peers = node_kernel.get(peers.Peers)
        self.membership = node_kernel.get(membership.Membership)
        self.lease = node_kernel.get(lease.Lease)
        self.load = node_kernel.get(load.Load)
        self.heartbeats = node_kernel.get(heartbeat.Heartbeats)
        self.heartbeats.spread = self._spread
        self.heartbeats.on_received.append(self._on_heartbeat)
        self.sum = HeartbeatSum()
        self.ranking = ranking.Ranking(
            collectors.RANKING_KEY, self.name, self.membership
        )
        self.own = collectors.OwnCollector(self.name)
        #: The holder's last heartbeat that was not told on yet, with its name.
        self.holder_update: tuple[str, heartbeat.Heartbeat] | None = None
        self.evidence = node_kernel.get(evidence.Evidence)
        #: How endpoints answered all VMs, to be told with the next totals.
        self.answers = evidence.AnswerCounts()
        self.suspect_until_by_id: dict[str, float] = {}
        self.limits = node_kernel.get(endpoint_limits.EndpointLimits)
        #: What endpoints said of their limits, to be told with the next totals.
        self.newest_limits = endpoint_limits.NewestLimits()
        self.peers.handle(Totals, self._on_totals)

    def _spread(self, told: heartbeat.Heartbeat) -> None:
        """Send a heartbeat of this VM."""
        near = self.membership.near()
        if collectors.are_few(near):
            self.evidence.receive(told.answers)
            self.peers.send_all(told)
            return
        now = time.monotonic()
        collecting = collectors.select(self.ranking.vms)
        self.sum.forget_old(now)
        members = [vm for vm in self.sum.member_by_vm if vm != self.name]
        if self.name in collecting or members or told.fence:
            self._tell_sums(told, collecting, members)
        else:
            self.peers.post(self.own.choose(collecting, now), told)

    def _tell_sums(
        self, told: heartbeat.Heartbeat, collecting: list[str], members: list[str]
    ) -> None:
        """Tell collectors and holder the sum, and members what runs in all."""
        self.evidence.receive(told.answers)
        now = time.monotonic()
        self.sum.add(self.name, told, now)
        self.answers.add(told.answers)
        self.newest_limits.add(told.limits, now)
        hearing = {*collecting, self.lease.holder()} - {self.name, ""}
        self.peers.post_all(hearing, self.sum.take(told, now))
        if members:
            self.peers.post_all(members, self._totals(told))

    def _totals(self, told: heartbeat.Heartbeat) -> Totals:
        if told.fence:
            self.holder_update = (self.name, told)
        update, self.holder_update = self.holder_update, None
        totals = Totals(
            self.load.running_by_endpoint(),
            told.declaration_version,
            told.registry_changed_at,
            answers=self._suspect_answers(),
            limits=self.newest_limits.take(time.monotonic()),
        )
        if update is None:
            return totals
        vm, of_holder = update
        return attrs.evolve(
            totals,
            holder=vm,
            fence=of_holder.fence,
            lease_version=of_holder.lease_version,
        )

    def _suspect_answers(self) -> tuple[heartbeat.AnswerRow, ...]:
        """Return the answers of endpoints that made errors of late.

        The others' would be most of what a VM is told, and decide nothing.
        """
        now = time.monotonic()
        rows = self.answers.take()
        for endpoint_id, _, errors in rows:
            if errors:
                self.suspect_until_by_id[endpoint_id] = now + SUSPECT_S
        self.suspect_until_by_id = {
            endpoint_id: until
            for endpoint_id, until in self.suspect_until_by_id.items()
            if until > now
        }
        return tuple(row for row in rows if row[0] in self.suspect_until_by_id)

    def _on_heartbeat(self, vm: str, told: heartbeat.Heartbeat) -> None:
        if vm == self.name:
            return
        self.answers.add(told.answers)
        self.newest_limits.add(told.limits, time.monotonic())
        if told.fence and not told.relayed:
            self.holder_update = (vm, told)
        if not (told.sums or told.relayed or self._is_mesh()):
            self.sum.add(vm, told, time.monotonic())

    def _is_mesh(self) -> bool:
        """Return whether VMs are few enough to tell each other."""
        return collectors.are_few(self.membership.near())

    def _on_totals(self, vm: str, totals: Totals, _: peers.Answer) -> None:
        self.own.on_totals(vm, time.monotonic())
        self.load.take_totals(totals.running_by_endpoint)
        self.evidence.receive(totals.answers)
        self.limits.receive(totals.limits, vm)
        versions = (totals.declaration_version, totals.registry_changed_at)
        self.heartbeats.receive(
            vm, heartbeat.Heartbeat(*versions, fence=0, relayed=True)
        )
        if totals.holder:
            of_holder = heartbeat.Heartbeat(
                0, 0, totals.fence, lease_version=totals.lease_version, relayed=True
            )
            self.heartbeats.receive(totals.holder, of_holder)
