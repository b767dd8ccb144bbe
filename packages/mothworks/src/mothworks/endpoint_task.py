"""The task of one owned endpoint: executes its moves step by step.

A step that fails is retried after a pause. The task may be stopped at any
step, since the next owner continues from the ledger.
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
    model_drain,
    move_messages,
    order_execution,
    row_classes,
)

if typing.TYPE_CHECKING:
    from mothworks import orders

log = logbook.Logger("orders")

#: Interval between comparisons of a ledger with the endpoint's report, seconds.
RECONCILE_S = 5.0
#: Pause after a failed step, seconds.
RETRY_S = 0.5
#: Pause before an unreadable ledger is read again, seconds.
UNREADABLE_S = 30.0
#: Pause before an order with an unknown outcome is repeated, seconds.
REPEAT_S = 0.3
#: Maximum moves queued for one endpoint.
QUEUE_LENGTH = 64


class EndpointTask:
    """Executes the moves of one endpoint.

    :param part: the part that runs the task.
    :param name: the endpoint's name.
    """

    def __init__(self, part: "orders.Orders", name: str):
        self.part = part
        self.name = name
        index = part.configuration.index
        declared = index.endpoint_by_name[name]
        adapter = part.health.adapters.get(declared.kind)
        late_order_s = index.catalogue.weights.late_order_s
        self.executor = order_execution.OrderExecutor(
            declared, part.store, adapter, late_order_s
        )
        self.model_drain = model_drain.ModelDrain(part.kernel, name)
        self.queue: collections.deque[move_messages.Move] = collections.deque()
        self.wakeup = gevent.event.Event()
        self.reconciled_at = float("-inf")
        #: ID of the unload order whose model was drained last.
        self.drained_order_id = ""
        self.last_report: move_messages.Holdings | None = None

    def add(self, move: move_messages.Move) -> None:
        """Queue a move, unless it is queued already or the queue is full.

        :param move: the planner's move.
        """
        if move not in self.queue and len(self.queue) < QUEUE_LENGTH:
            self.queue.append(move)
            self.wakeup.set()

    def run(self) -> None:
        """Execute steps until the task is stopped."""
        while True:
            pause_s = self.take_step()
            if pause_s:
                self.wakeup.wait(pause_s)
                self.wakeup.clear()

    def report(self, force: bool = True) -> None:
        """Report the ledger's content to the planner, if it has been read.

        :param force: report even if nothing changed since the last report.
        """
        current = self.executor.current
        if current is None:
            return
        holdings = self._holdings(current)
        if force or holdings != self.last_report:
            self.last_report = holdings
            self.part.report(holdings)

    def _holdings(self, current: ledger.Ledger) -> move_messages.Holdings:
        capacity_mb = self.executor.endpoint.memory_mb
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

    def unfinished_moves(self) -> list[row_classes.MoveRow]:
        """Return the order in progress and the moves queued behind it."""
        owner = self.part.kernel.settings.name
        rows = [
            row_classes.MoveRow(
                self.name, move.name, move.kind, "waiting", 0, owner, 0, move.why
            )
            for move in self.queue
        ]
        current = self.executor.current
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
        """Execute one step; return the pause before the next, seconds."""
        self._update_declaration()
        if self.executor.current is None:
            return self._pause_s_after(self.executor.read_ledger())
        if self.executor.current.intent is not None:
            return self._resolve_order()
        now = self.executor.clock.monotonic()
        if now - self.reconciled_at > RECONCILE_S or self._late_load_expired():
            return self._reconcile(now)
        if self.queue:
            return self._start_move(self.queue.popleft())
        late = self.executor.current.fenceable_late_load()
        if late is not None:
            return self._fence_late_load(late)
        return RECONCILE_S

    def _update_declaration(self) -> None:
        index = self.part.configuration.index
        declared = index.endpoint_by_name.get(self.name)
        if declared is not None:
            self.executor.endpoint = declared
            self.executor.late_order_s = index.catalogue.weights.late_order_s

    def _pause_s_after(self, step: result.Result) -> float:
        match step:
            case result.Ok(_):
                self.report(force=False)
                return 0.0
            case result.Err(ledger_store.WriteConflict()):
                return 0.0
            case result.Err(ledger_store.Unreadable(reason)):
                log.warning(
                    "{}: moves paused, ledger unreadable: {}", self.name, reason
                )
                return UNREADABLE_S
            case result.Err(problem):
                log.debug("{}: {}", self.name, problem)
                return RETRY_S

    def _reconcile(self, now: float) -> float:
        models = self.part.configuration.index.model_by_name
        working_mb_by_name = {name: model.working_mb for name, model in models.items()}
        step = self.executor.reconcile(working_mb_by_name)
        if step.is_ok():
            self.reconciled_at = now
            if self.model_drain.has_withheld():
                self.model_drain.restore()
        return self._pause_s_after(step)

    def _late_load_expired(self) -> bool:
        now = self.executor.clock.wall()
        return any(item.until <= now for item in self.executor.current.late)

    def _fence_late_load(self, late: ledger.Holding) -> float:
        """Unload again, so that a fencing endpoint rejects late copies of a load."""
        kind = endpoints.OrderKind.UNLOAD
        step = self.executor.write_intent(kind, late)
        if step.is_ok():
            why = "a copy of its load may be late"
            self._record_audit(kind, late, why, self.executor.current.fence)
        return self._pause_s_after(step)

    def _start_move(self, move: move_messages.Move) -> float:
        # The kind arrives as text in the message.
        kind = endpoints.OrderKind(move.kind)
        match kind:
            case endpoints.OrderKind.LOAD:
                holding = self.part.make_holding(move.name, move.version)
            case endpoints.OrderKind.UNLOAD:
                holding = self.executor.current.holding(move.name, move.version)
            case endpoints.OrderKind.ROLE:
                holding = ledger.Holding(move.name, "", 0)
        if holding is None:
            return 0.0
        if kind is endpoints.OrderKind.UNLOAD:
            self.model_drain.drain(self.executor.current, holding)
            if self.model_drain.is_last_replica(self.executor.current, holding):
                log.info(
                    "{}: unload dropped; {} is the last replica",
                    self.name,
                    holding.name,
                )
                self.model_drain.restore()
                return 0.0
        step = self.executor.write_intent(kind, holding)
        match step:
            case result.Ok(_):
                self._record_audit(kind, holding, move.why, self.executor.current.fence)
            case result.Err(problem):
                # The planner replans from the next report. Retrying the move here
                # would withhold its model during an outage of the object API.
                log.debug("{}: {} not started: {}", self.name, move, problem)
                self.model_drain.restore()
        return self._pause_s_after(step)

    def _resolve_order(self) -> float:
        intent = self.executor.current.intent
        if (
            intent.kind is endpoints.OrderKind.UNLOAD
            and self.drained_order_id != intent.id
        ):
            # Another owner may have written this intent, and this VM may have
            # announced the model since.
            self.model_drain.drain(self.executor.current, intent.holding)
            self.drained_order_id = intent.id
        sendable = self.executor.sendable_intent()
        if sendable is None:
            return 0.0
        outcome = self.executor.send(sendable)
        match outcome:
            case result.Err(endpoints.OrderUnknown(reason)):
                log.debug(
                    "{}: {} {}: {}",
                    self.name,
                    sendable.kind,
                    sendable.id,
                    reason,
                )
                return REPEAT_S
        step = self.executor.write_outcome(sendable, outcome)
        if step.is_ok():
            outcome_label = "done" if outcome.is_ok() else "refused"
            self.part.moves_total.inc({"kind": sendable.kind, "outcome": outcome_label})
            if outcome.is_err():
                log.warning("{}: {}: {}", self.name, sendable, outcome.err())
            self.model_drain.restore()
        return self._pause_s_after(step)

    def _record_audit(
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
