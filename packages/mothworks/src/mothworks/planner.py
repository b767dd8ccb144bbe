"""Planner: decides which models are resident on which endpoints of a region.

One VM of the region plans; every VM derives which one by hashing. While
membership views differ, two VMs may both plan. This is safe: each endpoint's
ledger rejects loads that do not fit, and owners drop moves without effect.
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
    """Plans moves while this VM is its region's planner.

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
        self.region_plan: region_plan.RegionPlan | None = None
        self.pass_seconds = node_kernel.metrics.duration_histogram(
            "planner_pass_seconds", "Processor time of one pass."
        )
        self.peers.handle(move_messages.Holdings, self._receive)
        self.orders.holdings_callbacks.append(self.update_holdings)

    def start(self) -> None:
        """Start periodic planning passes, active while this VM is the planner."""
        self.tasks.every(region_plan.PASS_INTERVAL_S, self._run_pass)

    def _update_role(self) -> bool:
        """Update this VM's planner role; return whether it is the planner."""
        region = self.kernel.settings.region
        planner = ownership.planner_of(region, self.membership.live())
        if planner is None or planner.name != self.kernel.settings.name:
            self.region_plan = None
        elif self.region_plan is None:
            policy = self.policy_class(self.configuration.index.catalogue.weights)
            self.region_plan = region_plan.RegionPlan(region, time.monotonic(), policy)
            self.demand.averages = demand.DemandAverages()
        return self.region_plan is not None

    def update_holdings(self, holdings: move_messages.Holdings) -> None:
        """Process an owner's report.

        :param holdings: the summary of an endpoint's ledger.
        """
        if self._update_role():
            self.region_plan.update_holdings(holdings)

    def _receive(
        self, _: str, holdings: move_messages.Holdings, __: peers.Reply
    ) -> None:
        self.update_holdings(holdings)

    def _run_pass(self) -> None:
        if not self._update_role():
            return
        index = self.configuration.index
        self.region_plan.apply_catalogue(
            self.configuration.revision, index, time.monotonic()
        )
        started_s = time.thread_time()
        moves = self.region_plan.plan(
            time.monotonic(), self.demand.averages, self._open_endpoints()
        )
        self.pass_seconds.add({}, time.thread_time() - started_s)
        for move in moves:
            self._send(move)

    def _open_endpoints(self) -> frozenset[str]:
        """Return the endpoints that may load models and whose replicas count."""
        names = self.placement.status_by_endpoint
        return frozenset(
            name for name in names if not self.placement.closed_reason(name)
        )

    def _send(self, move: move_messages.Move) -> None:
        endpoint = self.configuration.index.endpoint_by_name.get(move.endpoint)
        owner = self.health.owner(endpoint) if endpoint is not None else None
        if owner is None:
            return
        what = f"{move.kind} {move.name} {move.version}"
        self.audit.record(audit.Kind.MOVE, move.endpoint, what, move.why)
        if owner.name == self.kernel.settings.name:
            self.orders.queue_move(move)
        else:
            self.peers.send(owner.name, move)


def _policy_class(name: str) -> type[placement_policy.Policy]:
    policy_class = plugins.find(plugins.PLACEMENT, name)
    if policy_class is None:
        names = ", ".join(plugins.keys(plugins.PLACEMENT))
        raise ValueError(f"placement: expected one of {names}, found {name!r}")
    return policy_class
