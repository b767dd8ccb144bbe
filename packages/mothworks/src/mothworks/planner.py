"""Planner: decides which models are resident where, for one region.

One VM of the region plans; every VM knows which by hashing. Two that both
believe it, while membership is stale, do no harm: each endpoint's ledger
refuses what does not fit, and an owner drops a move that changes nothing.
"""

import time

import logbook

from mothworks import (
    audit,
    configuration,
    demand,
    health,
    kernel,
    membership,
    move_messages,
    orders,
    ownership,
    peers,
    placement,
    placement_policy,
    plugins,
    region_plan,
)

log = logbook.Logger("planner")


@plugins.register(plugins.PART, "planner")
class Planner(kernel.Part):
    """Plans while this VM is its region's planner.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.membership = node_kernel.get(membership.Membership)
        self.placement = node_kernel.get(placement.Placement)
        self.health = node_kernel.get(health.Health)
        self.demand = node_kernel.get(demand.Demand)
        self.orders = node_kernel.get(orders.Orders)
        self.peers = node_kernel.get(peers.Peers)
        self.audit = node_kernel.get(audit.Audit)
        self.policy_class = _policy_class(node_kernel.settings.placement)
        self.state: region_plan.RegionPlan | None = None
        self.pass_seconds = node_kernel.metrics.seconds(
            "planner_pass_seconds", "Processor time of one pass."
        )
        self.peers.handle(move_messages.Holdings, self._receive)
        self.orders.on_holdings.append(self.take)

    def start(self) -> None:
        """Start to plan whenever this VM is the planner."""
        self.tasks.every(region_plan.PERIOD_S, self._pass)

    def _follow_role(self) -> bool:
        """Begin or end to plan with the membership; return whether this VM plans."""
        region = self.kernel.settings.region
        planner = ownership.planner_of(region, self.membership.live())
        if planner is None or planner.name != self.kernel.settings.name:
            self.state = None
        elif self.state is None:
            policy = self.policy_class(self.configuration.index.catalogue.weights)
            self.state = region_plan.RegionPlan(region, time.monotonic(), policy)
            self.demand.book = demand.Book()
        return self.state is not None

    def take(self, holdings: move_messages.Holdings) -> None:
        """Take an owner's report.

        :param holdings: what an endpoint's ledger holds.
        """
        if self._follow_role():
            self.state.take(holdings)

    def _receive(
        self, _: str, holdings: move_messages.Holdings, __: peers.Answer
    ) -> None:
        self.take(holdings)

    def _pass(self) -> None:
        if not self._follow_role():
            return
        index = self.configuration.index
        self.state.follow(self.configuration.revision, index, time.monotonic())
        began = time.thread_time()
        moves = self.state.plan(
            time.monotonic(), self.demand.book, self._open_endpoints()
        )
        self.pass_seconds.add({}, time.thread_time() - began)
        for move in moves:
            self._hand_out(move)

    def _open_endpoints(self) -> frozenset[str]:
        """Return the endpoints that may get loads and whose replicas count."""
        names = self.placement.status_by_endpoint
        return frozenset(name for name in names if not self.placement.why_closed(name))

    def _hand_out(self, move: move_messages.Move) -> None:
        endpoint = self.configuration.index.endpoint_by_name.get(move.endpoint)
        owner = self.health.owner(endpoint) if endpoint is not None else None
        if owner is None:
            return
        what = f"{move.kind} {move.name} {move.version}"
        self.audit.record(audit.Kind.MOVE, move.endpoint, what, move.why)
        if owner.name == self.kernel.settings.name:
            self.orders.take(move)
        else:
            self.peers.send(owner.name, move)


def _policy_class(name: str) -> type[placement_policy.Policy]:
    found = plugins.find(plugins.PLACEMENT, name)
    if found is None:
        known = ", ".join(plugins.keys(plugins.PLACEMENT))
        raise ValueError(f"placement: expected one of {known}, found {name!r}")
    return found
