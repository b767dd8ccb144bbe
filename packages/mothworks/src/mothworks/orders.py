"""Orders: carries out the moves of the endpoints that this VM owns.

One task for each owned endpoint takes its steps from :mod:`mothworks.moves`.
The planner hands out moves; what an endpoint holds goes back to the planner
as :class:`move_messages.Holdings`.
"""

import gevent

from mothworks import (
    audit,
    configuration,
    endpoint_task,
    health,
    kernel,
    ledger,
    ledger_store,
    members,
    membership,
    move_messages,
    objects,
    ownership,
    peers,
    plugins,
    row_classes,
)

#: Seconds between reports to the planner where nothing changed. At the target
#: size a VM owns 14 endpoints and sends some 250 bytes for each.
REPORT_S = 6.0


@plugins.register(plugins.PART, "orders")
class Orders(kernel.Part):
    """Runs one task for each owned endpoint that takes orders.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.membership = node_kernel.get(membership.Membership)
        self.health = node_kernel.get(health.Health)
        self.peers = node_kernel.get(peers.Peers)
        self.audit = node_kernel.get(audit.Audit)
        self.store = ledger_store.LedgerStore(node_kernel.get(objects.Objects).api)
        self.work_by_endpoint: dict[str, endpoint_task.EndpointTask] = {}
        self.task_by_endpoint: dict[str, gevent.Greenlet] = {}
        #: Functions that take this VM's own holdings, where it plans.
        self.on_holdings: list = []
        self.moves_total = node_kernel.metrics.counter(
            "moves_total", "Orders carried out, by kind and outcome."
        )
        self.planner_name = ""
        self.health.on_owned.append(self.assign)
        self.membership.on_change.append(self._follow_planner)
        self.peers.handle(move_messages.Move, self._receive)

    def start(self) -> None:
        """Start the tasks of what this VM owns, and report to the planner."""
        self.assign()
        self.tasks.every(REPORT_S, self._report_all)

    def assign(self) -> None:
        """Start and stop tasks so that they fit what this VM owns.

        A task may be stopped at any step: the ledger tells the next owner
        how to go on.
        """
        owned = {name for name in self.health.owned() if self._takes_orders(name)}
        for name in self.task_by_endpoint.keys() - owned:
            self.task_by_endpoint.pop(name).kill(block=False)
            self.work_by_endpoint.pop(name, None)
        for name in owned - self.task_by_endpoint.keys():
            work = endpoint_task.EndpointTask(self, name)
            self.work_by_endpoint[name] = work
            self.task_by_endpoint[name] = self.tasks.spawn(work.run)

    def take(self, move: move_messages.Move) -> None:
        """Queue a move of an owned endpoint; one that is queued already is left.

        :param move: the planner's move.
        """
        work = self.work_by_endpoint.get(move.endpoint)
        if work is not None:
            work.add(move)

    def report(self, holdings: move_messages.Holdings) -> None:
        """Tell the region's planner what an endpoint holds.

        :param holdings: the endpoint's ledger in short.
        """
        planner = self.planner(holdings.endpoint)
        if planner is None:
            return
        if planner.name == self.kernel.settings.name:
            for notify in self.on_holdings:
                notify(holdings)
        else:
            self.peers.send(planner.name, holdings)

    def planner(self, endpoint: str) -> members.Member | None:
        """Return the VM that plans for an endpoint.

        :param endpoint: the endpoint's name.
        """
        index = self.configuration.index
        declared = index.endpoint_by_name.get(endpoint)
        if declared is None:
            return None
        region = index.region_by_data_centre[declared.data_centre]
        return ownership.planner_of(region, self.membership.live())

    def holding(self, name: str, version: str) -> ledger.Holding | None:
        """Return a model or adapter as it is to be loaded, or None.

        :param name: the model or adapter.
        :param version: the model's version.
        """
        index = self.configuration.index
        model = index.model_by_name.get(name)
        if model is not None:
            return ledger.Holding(name, version, model.memory_mb, model.working_mb)
        adapter = index.adapter_by_name.get(name)
        if adapter is not None:
            return ledger.Holding(name, version, adapter.memory_mb, base=adapter.model)
        return None

    def under_way(self) -> list[row_classes.MoveRow]:
        """Return the orders of owned endpoints that are sent or wait."""
        return [
            row
            for _, work in sorted(self.work_by_endpoint.items())
            for row in work.under_way()
        ]

    def _takes_orders(self, name: str) -> bool:
        declared = self.configuration.index.endpoint_by_name.get(name)
        return declared is not None and declared.memory_mb > 0

    def _receive(self, _: str, move: move_messages.Move, __: peers.Answer) -> None:
        self.take(move)

    def _follow_planner(self) -> None:
        """Report to a new planner at once, so that it need not wait long."""
        region = self.kernel.settings.region
        planner = ownership.planner_of(region, self.membership.live())
        name = planner.name if planner is not None else ""
        if name != self.planner_name:
            self.planner_name = name
            self._report_all()

    def _report_all(self) -> None:
        for work in list(self.work_by_endpoint.values()):
            work.report()
