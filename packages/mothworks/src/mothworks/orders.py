"""Orders: carries out the moves of the endpoints that this VM owns.

One task for each owned endpoint takes its steps from :mod:`mothworks.moves`.
The planner hands out moves; what an endpoint holds goes back to the planner
as :class:`Holdings`.
"""

import collections
import enum

import attrs
import gevent
import gevent.event
import logbook
import result

from mothworks import (
    audit,
    configuration,
    endpoints,
    health,
    kernel,
    ledger,
    ledger_store,
    members,
    membership,
    messages,
    moves,
    objects,
    ownership,
    peers,
    placement,
    plugins,
    row_classes,
    slots,
)

log = logbook.Logger("orders")

#: Seconds between comparisons of a ledger with the endpoint's own report.
RECONCILE_S = 5.0
#: Seconds between reports to the planner where nothing changed.
REPORT_S = 3.0
#: Pause after a step that failed, seconds.
RETRY_S = 0.5
#: Pause before a ledger that is not understood is read again, seconds.
UNREADABLE_S = 30.0
#: Pause before an order of unknown outcome is repeated, seconds.
REPEAT_S = 0.3
#: Time that entries need to hear that a model is not offered any more, seconds.
ANNOUNCE_S = 1.0
#: Pause between looks at the requests in flight, seconds.
IN_FLIGHT_S = 0.1
#: Most moves that wait for one endpoint.
QUEUE_LENGTH = 64


class MoveKind(enum.StrEnum):
    """What a move does."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@messages.message(72)
@attrs.frozen
class Move:
    """The planner asks an endpoint's owner for a load, an unload or a role.

    :param endpoint: the endpoint's name.
    :param kind: a :class:`MoveKind`.
    :param name: the model or adapter, or the new role.
    :param version: the model's version; empty for a role.
    :param why: the reason, for the audit trail.
    """

    endpoint: str
    kind: str
    name: str
    version: str
    why: str = ""


@messages.message(71)
@attrs.frozen
class Holdings:
    """An owner tells the planner what an endpoint's ledger holds.

    :param endpoint: the endpoint's name.
    :param fence: the ledger's fencing number; larger is newer.
    :param names: residents.
    :param versions: their versions, in the same order.
    :param reserved_mb: the memory kept for each of them, in the same order, MB.
    :param free_mb: memory that a load may take now, MB.
    :param pending_kind: kind of the order under way; empty for none.
    :param pending_name: the model or adapter that it loads or unloads.
    :param pending_version: its version.
    :param queued: moves that wait for it.
    """

    endpoint: str
    fence: int
    names: tuple[str, ...] = attrs.field(converter=tuple)
    versions: tuple[str, ...] = attrs.field(converter=tuple)
    reserved_mb: tuple[int, ...] = attrs.field(converter=tuple)
    free_mb: int
    pending_kind: str = ""
    pending_name: str = ""
    pending_version: str = ""
    queued: int = 0


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
        self.placement = node_kernel.get(placement.Placement)
        self.slots = node_kernel.get(slots.Slots)
        self.peers = node_kernel.get(peers.Peers)
        self.audit = node_kernel.get(audit.Audit)
        self.store = ledger_store.LedgerStore(node_kernel.get(objects.Objects).api)
        self.work_by_endpoint: dict[str, Work] = {}
        self.task_by_endpoint: dict[str, gevent.Greenlet] = {}
        #: Functions that take this VM's own :class:`Holdings`, where it plans.
        self.on_holdings: list = []
        self.moves_total = node_kernel.metrics.counter(
            "moves_total", "Orders carried out, by kind and outcome."
        )
        self.health.on_owned.append(self.assign)
        self.peers.handle(Move, self._receive)

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
            work = Work(self, name)
            self.work_by_endpoint[name] = work
            self.task_by_endpoint[name] = self.tasks.spawn(work.run)

    def take(self, move: Move) -> None:
        """Queue a move of an owned endpoint; one that is queued already is left.

        :param move: the planner's move.
        """
        work = self.work_by_endpoint.get(move.endpoint)
        if work is not None:
            work.add(move)

    def report(self, holdings: Holdings) -> None:
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

    def _receive(self, _: str, move: Move, __: peers.Answer) -> None:
        self.take(move)

    def _report_all(self) -> None:
        for work in list(self.work_by_endpoint.values()):
            work.report()


class Work:
    """The task of one endpoint.

    :param orders: the part that it belongs to.
    :param name: the endpoint's name.
    """

    def __init__(self, orders: Orders, name: str):
        self.orders = orders
        self.name = name
        index = orders.configuration.index
        declared = index.endpoint_by_name[name]
        adapter = orders.health.adapters.get(declared.kind)
        late_order_s = index.catalogue.weights.late_order_s
        self.mover = moves.Mover(declared, orders.store, adapter, late_order_s)
        self.queue: collections.deque[Move] = collections.deque()
        self.changed = gevent.event.Event()
        self.reconciled_at = float("-inf")
        self.quiet_for = ""

    def add(self, move: Move) -> None:
        """Queue a move, unless it is queued or the queue is full.

        :param move: the planner's move.
        """
        if move not in self.queue and len(self.queue) < QUEUE_LENGTH:
            self.queue.append(move)
            self.changed.set()

    def run(self) -> None:
        """Take steps until this VM no longer owns the endpoint."""
        while True:
            pause_s = self.take_step()
            if pause_s:
                self.changed.wait(pause_s)
                self.changed.clear()

    def report(self) -> None:
        """Tell the planner what the ledger holds, if it is known."""
        current = self.mover.current
        if current is None:
            return
        capacity_mb = self.mover.endpoint.memory_mb
        free_mb = capacity_mb - current.reserved_mb()
        intent = current.intent
        self.orders.report(
            Holdings(
                self.name,
                current.fence,
                [item.name for item in current.holdings],
                [item.version for item in current.holdings],
                [item.reserved_mb for item in current.holdings],
                free_mb,
                intent.kind if intent else "",
                intent.holding.name if intent else "",
                intent.holding.version if intent else "",
                len(self.queue),
            )
        )

    def under_way(self) -> list[row_classes.MoveRow]:
        """Return the order that was sent, and the moves that wait behind it."""
        owner = self.orders.kernel.settings.name
        rows = [
            row_classes.MoveRow(
                self.name, move.name, move.kind, "waiting", 0, owner, 0, move.why
            )
            for move in self.queue
        ]
        current = self.mover.current
        if current is not None and current.intent is not None:
            intent = current.intent
            sent = row_classes.MoveRow(
                self.name,
                intent.holding.name,
                intent.kind,
                "sent",
                intent.fence,
                owner,
                intent.holding.reserved_mb,
                "",
            )
            rows.insert(0, sent)
        return rows

    def take_step(self) -> float:
        """Take one step; return the pause before the next, seconds."""
        self._follow_catalogue()
        if self.mover.current is None:
            return self._pause_after(self.mover.look())
        if self.mover.current.intent is not None:
            return self._resolve()
        now = self.mover.clock.monotonic()
        if now - self.reconciled_at > RECONCILE_S or self._late_is_over():
            return self._reconcile(now)
        if self.queue:
            return self._begin(self.queue.popleft())
        late = self.mover.current.fenced_late()
        if late is not None:
            return self._free_late(late)
        return RECONCILE_S

    def _follow_catalogue(self) -> None:
        declared = self.orders.configuration.index.endpoint_by_name.get(self.name)
        if declared is not None:
            self.mover.endpoint = declared

    def _pause_after(self, step: result.Result) -> float:
        match step:
            case result.Ok(_):
                self.report()
                return 0.0
            case result.Err(ledger_store.Lost()):
                return 0.0
            case result.Err(ledger_store.Unreadable(reason)):
                log.warning("{}: no moves, {}", self.name, reason)
                return UNREADABLE_S
            case result.Err(problem):
                log.debug("{}: {}", self.name, problem)
                return RETRY_S

    def _reconcile(self, now: float) -> float:
        models = self.orders.configuration.index.model_by_name
        working = {name: model.working_mb for name, model in models.items()}
        step = self.mover.reconcile(working)
        if step.is_ok():
            self.reconciled_at = now
            if self.orders.health.withheld_by_endpoint.get(self.name):
                self._offer_all()
        return self._pause_after(step)

    def _late_is_over(self) -> bool:
        now = self.mover.clock.wall()
        return any(item.until <= now for item in self.mover.current.late)

    def _free_late(self, late: ledger.Holding) -> float:
        """Make a fencing endpoint refuse late copies of a load."""
        kind = endpoints.OrderKind.UNLOAD
        step = self.mover.intend(kind, late)
        if step.is_ok():
            why = "a copy of its load may be late"
            self._record(kind, late, why, self.mover.current.fence)
        return self._pause_after(step)

    def _begin(self, move: Move) -> float:
        kind = endpoints.OrderKind(move.kind)
        match kind:
            case endpoints.OrderKind.LOAD:
                holding = self.orders.holding(move.name, move.version)
            case endpoints.OrderKind.UNLOAD:
                holding = self.mover.current.holding(move.name, move.version)
            case endpoints.OrderKind.ROLE:
                holding = ledger.Holding(move.name, "", 0)
        if holding is None:
            return 0.0
        if kind is endpoints.OrderKind.UNLOAD:
            self._quiesce(holding)
            if self._is_last(holding):
                log.info("{}: {} is the last replica now", self.name, holding.name)
                self._offer_all()
                return 0.0
        step = self.mover.intend(kind, holding)
        match step:
            case result.Ok(_):
                self._record(kind, holding, move.why, self.mover.current.fence)
            case result.Err(problem):
                # The planner decides anew from the next report. Kept here, the
                # move would withhold its model while the object API is down.
                log.debug("{}: {} not begun: {}", self.name, move, problem)
                self._offer_all()
        return self._pause_after(step)

    def _is_last(self, holding: ledger.Holding) -> bool:
        """Return whether a declared model would answer nowhere without this.

        Two planners, in a partition that just ended, may each have given up
        the other's replica. Both owners have withheld the model by now and
        heard of each other, so that both see it here and keep it.
        """
        index = self.orders.configuration.index
        if holding.name not in index.model_by_name | index.adapter_by_name:
            return False
        if self._has_other_version(holding):
            return False
        answering = self.orders.placement.open_endpoints(holding.name)
        return not set(answering) - {self.name}

    def _has_other_version(self, holding: ledger.Holding) -> bool:
        return any(
            item.name == holding.name and item.version != holding.version
            for item in self.mover.current.holdings
        )

    def _resolve(self) -> float:
        intent = self.mover.current.intent
        if intent.kind is endpoints.OrderKind.UNLOAD and self.quiet_for != intent.id:
            # The owner that wrote this intent may be gone, and this one may
            # have offered the model since.
            self._quiesce(intent.holding)
            self.quiet_for = intent.id
        due = self.mover.due()
        if due is None:
            return 0.0
        outcome = self.mover.send(due)
        match outcome:
            case result.Err(endpoints.OrderUnknown(reason)):
                log.debug("{}: {} {}: {}", self.name, due.kind, due.id, reason)
                return REPEAT_S
        step = self.mover.settle(due, outcome)
        if step.is_ok():
            word = "done" if outcome.is_ok() else "refused"
            self.orders.moves_total.inc({"kind": due.kind, "outcome": word})
            if outcome.is_err():
                log.warning("{}: {}: {}", self.name, due, outcome.err())
            self._offer_all()
        return self._pause_after(step)

    def _quiesce(self, holding: ledger.Holding) -> None:
        """Wait until no request in flight needs a resident any more.

        Memory of a late load needs no wait: nothing can be running there.
        Where another version stays resident, new requests go to that one and
        only the requests of this moment are waited for.
        """
        if self.mover.current.holding(*holding.key) is None:
            return
        stays = self._has_other_version(holding)
        names = self._needing(holding)
        if stays:
            waited_for = self._running(names)
        else:
            self.orders.slots.withhold(self.name, names)
            gevent.sleep(ANNOUNCE_S)
            waited_for = None
        while True:
            running = self._running(names)
            if waited_for is not None:
                running &= waited_for
            if not running:
                return
            gevent.sleep(IN_FLIGHT_S)

    def _needing(self, holding: ledger.Holding) -> frozenset[str]:
        """Return the names whose requests need a resident."""
        adapters = self.orders.configuration.index.catalogue.adapters
        adapting = [item.name for item in adapters if item.model == holding.name]
        return frozenset([holding.name, *adapting])

    def _running(self, names: frozenset[str]) -> frozenset[str]:
        running = [self.orders.slots.running(self.name, name) for name in names]
        return frozenset().union(*running)

    def _offer_all(self) -> None:
        """Offer every resident, after a fresh look at what is resident.

        The last regular report may still name a model that was just
        unloaded; offering from that would send requests into refusals.
        """
        fresh = self.orders.health.refresh(self.name)
        if fresh and self.orders.health.withheld_by_endpoint.get(self.name):
            self.orders.slots.withhold(self.name, frozenset())

    def _record(
        self,
        kind: endpoints.OrderKind,
        holding: ledger.Holding,
        why: str,
        fence: int,
    ) -> None:
        what = f"{kind} {holding.name} {holding.version}".rstrip()
        self.orders.audit.record(
            audit.Kind.ORDER, self.name, what, why, before=fence - 1, after=fence
        )
