"""Orders: executes the moves of the endpoints that this VM owns.

One task per owned endpoint executes moves step by step; see
:mod:`mothworks.order_execution`. The planner sends the moves and receives reports of
the endpoints' ledgers as :class:`move_messages.Holdings`.
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

#: Interval between reports to the planner without changes, seconds. At the
#: target size a VM owns 14 endpoints; each report takes about 250 bytes.
REPORT_INTERVAL_S = 6.0


@plugins.register(plugins.PART, "orders")
class Orders(kernel.Part):
    """Runs one task for each owned endpoint that accepts orders.

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
        self.endpoint_task_by_name: dict[str, endpoint_task.EndpointTask] = {}
        self.greenlet_by_endpoint: dict[str, gevent.Greenlet] = {}
        #: Functions called with this VM's own reports if it is the planner.
        self.holdings_callbacks: list = []
        self.moves_total = node_kernel.metrics.counter(
            "moves_total", "Orders carried out, by kind and outcome."
        )
        self.planner_name = ""
        self.health.on_owned_changed.append(self.update_tasks)
        self.membership.on_change.append(self._update_planner)
        self.peers.handle(move_messages.Move, self._receive)

    def start(self) -> None:
        """Start the tasks of owned endpoints and periodic reports to the planner."""
        self.update_tasks()
        self.tasks.every(REPORT_INTERVAL_S, self._report_all)

    def update_tasks(self) -> None:
        """Start and stop tasks to match the endpoints that this VM owns.

        A task may be stopped at any step: the next owner continues from the
        ledger.
        """
        owned = {name for name in self.health.owned() if self._accepts_orders(name)}
        for name in self.greenlet_by_endpoint.keys() - owned:
            self.greenlet_by_endpoint.pop(name).kill(block=False)
            self.endpoint_task_by_name.pop(name, None)
        for name in owned - self.greenlet_by_endpoint.keys():
            task = endpoint_task.EndpointTask(self, name)
            self.endpoint_task_by_name[name] = task
            self.greenlet_by_endpoint[name] = self.tasks.spawn(task.run)

    def queue_move(self, move: move_messages.Move) -> None:
        """Queue a move of an owned endpoint, unless it is queued already.

        :param move: the planner's move.
        """
        task = self.endpoint_task_by_name.get(move.endpoint)
        if task is not None:
            task.add(move)

    def report(self, holdings: move_messages.Holdings) -> None:
        """Report an endpoint's holdings to its region's planner.

        :param holdings: the summary of the endpoint's ledger.
        """
        planner = self.planner(holdings.endpoint)
        if planner is None:
            return
        if planner.name == self.kernel.settings.name:
            for callback in self.holdings_callbacks:
                callback(holdings)
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

    def make_holding(self, name: str, version: str) -> ledger.Holding | None:
        """Return a declared model or adapter as a holding to load, or None.

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

    def unfinished_moves(self) -> list[row_classes.MoveRow]:
        """Return the sent and queued orders of owned endpoints."""
        return [
            row
            for _, task in sorted(self.endpoint_task_by_name.items())
            for row in task.unfinished_moves()
        ]

    def _accepts_orders(self, name: str) -> bool:
        declared = self.configuration.index.endpoint_by_name.get(name)
        return declared is not None and declared.memory_mb > 0

    def _receive(self, _: str, move: move_messages.Move, __: peers.Reply) -> None:
        self.queue_move(move)

    def _update_planner(self) -> None:
        """Report to a new planner immediately, which shortens its initial wait."""
        region = self.kernel.settings.region
        planner = ownership.planner_of(region, self.membership.live())
        name = planner.name if planner is not None else ""
        if name != self.planner_name:
            self.planner_name = name
            self._report_all()

    def _report_all(self) -> None:
        for task in list(self.endpoint_task_by_name.values()):
            task.report()
