"""The task of one owned endpoint: takes its moves, one step after the other.

A step that cannot be taken now is tried again after a pause; the task may be
stopped at any step, since the ledger tells the next owner how to go on.
"""

import collections
import typing

import gevent.event
import logbook
import result

from mothworks import (
    audit,
    endpoints,
    ledger,
    ledger_store,
    move_messages,
    moves,
    offering,
    row_classes,
)

if typing.TYPE_CHECKING:
    from mothworks import orders

log = logbook.Logger("orders")

#: Seconds between comparisons of a ledger with the endpoint's own report.
RECONCILE_S = 5.0
#: Pause after a step that failed, seconds.
RETRY_S = 0.5
#: Pause before a ledger that is not understood is read again, seconds.
UNREADABLE_S = 30.0
#: Pause before an order of unknown outcome is repeated, seconds.
REPEAT_S = 0.3
#: Most moves that wait for one endpoint.
QUEUE_LENGTH = 64


class EndpointTask:
    """The task of one endpoint.

    :param part: the part that it belongs to.
    :param name: the endpoint's name.
    """

    def __init__(self, part: "orders.Orders", name: str):
        self.part = part
        self.name = name
        index = part.configuration.index
        declared = index.endpoint_by_name[name]
        adapter = part.health.adapters.get(declared.kind)
        late_order_s = index.catalogue.weights.late_order_s
        self.mover = moves.Mover(declared, part.store, adapter, late_order_s)
        self.offering = offering.Offering(part.kernel, name)
        self.queue: collections.deque[move_messages.Move] = collections.deque()
        self.changed = gevent.event.Event()
        self.reconciled_at = float("-inf")
        #: The unload that requests in flight were waited for, by its id.
        self.quiet_for = ""
        self.reported: move_messages.Holdings | None = None

    def add(self, move: move_messages.Move) -> None:
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

    def report(self, again: bool = True) -> None:
        """Tell the planner what the ledger holds, if it is known.

        :param again: also where nothing changed since the last report.
        """
        current = self.mover.current
        if current is None:
            return
        holdings = self._holdings(current)
        if again or holdings != self.reported:
            self.reported = holdings
            self.part.report(holdings)

    def _holdings(self, current: ledger.Ledger) -> move_messages.Holdings:
        capacity_mb = self.mover.endpoint.memory_mb
        free_mb = capacity_mb - current.reserved_mb()
        intent = current.intent
        return move_messages.Holdings(
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

    def under_way(self) -> list[row_classes.MoveRow]:
        """Return the order that was sent, and the moves that wait behind it."""
        owner = self.part.kernel.settings.name
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
        index = self.part.configuration.index
        declared = index.endpoint_by_name.get(self.name)
        if declared is not None:
            self.mover.endpoint = declared
            self.mover.late_order_s = index.catalogue.weights.late_order_s

    def _pause_after(self, step: result.Result) -> float:
        match step:
            case result.Ok(_):
                self.report(again=False)
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
        models = self.part.configuration.index.model_by_name
        working = {name: model.working_mb for name, model in models.items()}
        step = self.mover.reconcile(working)
        if step.is_ok():
            self.reconciled_at = now
            if self.offering.is_reduced():
                self.offering.restore()
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

    def _begin(self, move: move_messages.Move) -> float:
        # The wire brings the kind as text.
        kind = endpoints.OrderKind(move.kind)
        match kind:
            case endpoints.OrderKind.LOAD:
                holding = self.part.make_holding(move.name, move.version)
            case endpoints.OrderKind.UNLOAD:
                holding = self.mover.current.holding(move.name, move.version)
            case endpoints.OrderKind.ROLE:
                holding = ledger.Holding(move.name, "", 0)
        if holding is None:
            return 0.0
        if kind is endpoints.OrderKind.UNLOAD:
            self.offering.withhold(self.mover.current, holding)
            if self.offering.is_last(self.mover.current, holding):
                log.info("{}: {} is the last replica now", self.name, holding.name)
                self.offering.restore()
                return 0.0
        step = self.mover.intend(kind, holding)
        match step:
            case result.Ok(_):
                self._record(kind, holding, move.why, self.mover.current.fence)
            case result.Err(problem):
                # The planner decides anew from the next report. Kept here, the
                # move would withhold its model while the object API is down.
                log.debug("{}: {} not begun: {}", self.name, move, problem)
                self.offering.restore()
        return self._pause_after(step)

    def _resolve(self) -> float:
        intent = self.mover.current.intent
        if intent.kind is endpoints.OrderKind.UNLOAD and self.quiet_for != intent.id:
            # The owner that wrote this intent may be gone, and this one may
            # have offered the model since.
            self.offering.withhold(self.mover.current, intent.holding)
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
            self.part.moves_total.inc({"kind": due.kind, "outcome": word})
            if outcome.is_err():
                log.warning("{}: {}: {}", self.name, due, outcome.err())
            self.offering.restore()
        return self._pause_after(step)

    def _record(
        self,
        kind: endpoints.OrderKind,
        holding: ledger.Holding,
        why: str,
        fence: int,
    ) -> None:
        what = f"{kind} {holding.name} {holding.version}".rstrip()
        self.part.audit.record(
            audit.Kind.ORDER, self.name, what, why, before=fence - 1, after=fence
        )
