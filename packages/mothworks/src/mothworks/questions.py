"""Questions: what ``show`` and ``why`` answer, gathered where it is decided.

Queues are asked of the endpoints' owners, the way of a request of the VM
that it reached; what every VM knows is answered from this one.
"""

import datetime
import time

import attrs
import gevent
import result

from mothworks import (
    answers,
    attainment,
    attainment_rows,
    audit,
    audit_reading,
    catalogue,
    configuration,
    decisions,
    dispatch,
    fan_out,
    inventory,
    kernel,
    membership,
    orders,
    outcomes,
    placement,
    plugins,
    row_classes,
    row_filters,
    slot_rows,
    slots,
    statements,
)

#: Days of the audit trail that are read where no condition says more.
AUDIT_DAYS = 2
#: Most days of the audit trail read for one question.
MOST_AUDIT_DAYS = 31
#: Waiting requests that ``why model`` lists.
FIRST_WAITING = 10
#: What a batch row says of an endpoint that nobody asked its owner for.
IDLE = row_classes.BatchRow("", "", 0, 0, 0, 0, 0, 0, 0)
#: What a batch row says of an endpoint whose owner did not answer.
UNKNOWN = row_classes.BatchRow("", "", -1, -1, -1, -1, -1, -1, -1)

Outcome = result.Result[answers.Answer, outcomes.Refusal]


@plugins.register(plugins.PART, "questions")
class Questions(kernel.Part):
    """Answers statements that change nothing.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.attainment = node_kernel.get(attainment.Attainment)
        self.audit = node_kernel.get(audit.Audit)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.decisions = node_kernel.get(decisions.Decisions)
        self.dispatch = node_kernel.get(dispatch.Dispatch)
        self.fan_out = node_kernel.get(fan_out.FanOut)
        self.inventory = node_kernel.get(inventory.Inventory)
        self.membership = node_kernel.get(membership.Membership)
        self.placement = node_kernel.get(placement.Placement)
        self.orders = node_kernel.get(orders.Orders)
        self.slots = node_kernel.get(slots.Slots)
        topics = fan_out.Topic
        serve = self.fan_out.serve
        serve(topics.WAITING, row_classes.WaitingRow, self._waiting)
        serve(topics.BATCHES, row_classes.BatchRow, self._batches)
        serve(topics.ATTAINMENT, row_classes.CountRow, self._counts)
        serve(topics.MOVES, row_classes.MoveRow, self._moves)
        serve(topics.TRACE, row_classes.TraceRow, self._trace)
        serve(topics.STEPS, row_classes.StepRow, self._steps)

    def answer(self, statement: statements.Question) -> Outcome:
        """Answer a statement.

        :param statement: the statement.
        """
        match statement:
            case statements.Show(collection, conditions):
                return self._show(collection, conditions)
            case statements.WhyModel(name):
                return self._why_model(name)
            case statements.WhyRequest(request_id):
                return self._why_request(request_id)

    def _show(
        self,
        collection: statements.Collection,
        conditions: tuple[statements.Condition, ...],
    ) -> Outcome:
        match self._gather(collection, conditions):
            case result.Ok(gathered):
                pass
            case error:
                return error
        row_class = row_classes.row_class(collection)
        return row_filters.keep(gathered.rows, conditions).map(
            lambda rows: self._answer(
                [answers.Table(collection, row_class, rows)], [gathered]
            )
        )

    def _gather(
        self,
        collection: statements.Collection,
        conditions: tuple[statements.Condition, ...],
    ) -> result.Result[fan_out.Gathered, outcomes.Refusal]:
        match collection:
            case statements.Collection.MODELS:
                rows = self.inventory.models()
            case statements.Collection.ENDPOINTS:
                rows = self.inventory.endpoints()
            case statements.Collection.CALLERS:
                rows = self.inventory.callers()
            case statements.Collection.PEERS:
                rows = self.inventory.peers()
            case statements.Collection.WAITING:
                return result.Ok(self.fan_out.ask(fan_out.Topic.WAITING))
            case statements.Collection.QUEUES:
                return result.Ok(self.fan_out.ask(fan_out.Topic.BATCHES))
            case statements.Collection.ATTAINMENT:
                return result.Ok(self._attainment())
            case statements.Collection.MOVES:
                return result.Ok(self.fan_out.ask(fan_out.Topic.MOVES))
            case statements.Collection.AUDIT:
                return self._audit(conditions)
            case _:
                message = f"{collection} can't be shown by this version yet"
                return result.Err(outcomes.invalid(message, "not_available", 501))
        return result.Ok(fan_out.Gathered(tuple(rows)))

    def _audit(
        self, conditions: tuple[statements.Condition, ...]
    ) -> result.Result[fan_out.Gathered, outcomes.Refusal]:
        live = frozenset(member.name for member in self.membership.live())
        read = audit_reading.read(self.audit.api, live, _audit_days(conditions))
        match read:
            case result.Ok(trail):
                rows = (*trail.entries, *self.audit.pending)
                return result.Ok(fan_out.Gathered(rows, left_out=len(trail.unread)))
            case result.Err(unavailable):
                message = f"the object API does not answer: {unavailable.reason}"
                return result.Err(outcomes.overloaded(message, 5.0, "object_api"))

    def _attainment(self) -> fan_out.Gathered:
        gathered = self.fan_out.ask(fan_out.Topic.ATTAINMENT)
        rows = attainment_rows.summed(gathered.rows, self.inventory.accelerators())
        return attrs.evolve(gathered, rows=rows)

    def _counts(self, _: str) -> list[row_classes.CountRow]:
        counts = self.attainment.last_minute()
        return [
            row_classes.CountRow(urgency, verdict.value, count)
            for (urgency, verdict), count in sorted(counts.items())
        ]

    def _why_model(self, name: str) -> Outcome:
        index = self.configuration.index
        item = index.model_by_name.get(name) or index.adapter_by_name.get(name)
        if item is None and name not in index.service_by_name:
            message = f"no model, adapter or service is named {name!r:.80}"
            return result.Err(outcomes.invalid(message, "not_declared", 404))
        candidates = [
            index.endpoint_by_name[endpoint]
            for endpoint in self.placement.candidates(name)
            if endpoint in index.endpoint_by_name
        ]
        owners = {row.owner for row in map(self.inventory.endpoint, candidates)} - {""}
        batches = self.fan_out.ask(fan_out.Topic.BATCHES, name, owners)
        waiting = self.fan_out.ask(fan_out.Topic.WAITING, name, owners)
        batch_by_endpoint = {row.endpoint: row for row in batches.rows}
        moves = self.fan_out.ask(fan_out.Topic.MOVES, name)
        in_order = sorted(waiting.rows, key=lambda row: (row.position, row.endpoint))
        first = tuple(in_order[:FIRST_WAITING])
        replicas = [
            self._replica(endpoint, batch_by_endpoint, batches.unanswered)
            for endpoint in candidates
        ]
        tables = [
            answers.Table("replicas", row_classes.ReplicaRow, tuple(replicas)),
            answers.Table("waiting", row_classes.WaitingRow, first),
            answers.Table("moves", row_classes.MoveRow, moves.rows),
        ]
        if item is not None:
            row = self.inventory.model(item)
            tables.insert(0, answers.Table("model", row_classes.ModelRow, (row,)))
        notes = _replica_notes(name, replicas)
        if len(first) < len(waiting.rows):
            more = len(waiting.rows) - len(first)
            notes = (*notes, f"{more} more wait: show waiting where model = {name}")
        return result.Ok(self._answer(tables, [batches, waiting, moves], notes))

    def _replica(
        self,
        item: catalogue.Endpoint,
        batch_by_endpoint: dict[str, row_classes.BatchRow],
        unanswered: tuple[str, ...],
    ) -> row_classes.ReplicaRow:
        row = self.inventory.endpoint(item)
        unknown = row.owner in unanswered or not row.owner
        batch = batch_by_endpoint.get(item.name, UNKNOWN if unknown else IDLE)
        return row_classes.ReplicaRow(
            endpoint=item.name,
            data_centre=item.data_centre,
            owner=row.owner,
            takes_work=self.placement.why_closed(item.name) or "yes",
            running=batch.running,
            slots=batch.slots or item.slots,
            queued=batch.queued,
            longest_ms=batch.longest_ms,
        )

    def _why_request(self, request_id: str) -> Outcome:
        topics = (fan_out.Topic.TRACE, fan_out.Topic.STEPS, fan_out.Topic.WAITING)
        asked = [gevent.spawn(self.fan_out.ask, topic, request_id) for topic in topics]
        gevent.joinall(asked, raise_error=True)
        trace, steps, waiting = (task.value for task in asked)
        if not trace.rows and not waiting.rows and not trace.unanswered:
            message = (
                f"no VM remembers a request {request_id!r:.80}; each VM remembers "
                f"its last {decisions.RECENT} and what runs or waits"
            )
            return result.Err(outcomes.invalid(message, "not_found", 404))
        tables = [
            answers.Table("request", row_classes.TraceRow, trace.rows),
            answers.Table("steps", row_classes.StepRow, steps.rows),
            answers.Table("waiting", row_classes.WaitingRow, waiting.rows),
        ]
        return result.Ok(self._answer(tables, [trace, steps, waiting]))

    def _answer(
        self,
        tables: list[answers.Table],
        gathered: list[fan_out.Gathered],
        notes: tuple[str, ...] = (),
    ) -> answers.Answer:
        unanswered = sorted({vm for part in gathered for vm in part.unanswered})
        left_out = sum(part.left_out for part in gathered)
        if left_out:
            notes = (*notes, f"{left_out} more were left out; narrow the question")
        return answers.Answer(
            self.configuration.revision, tuple(tables), notes, tuple(unanswered)
        )

    def _waiting(self, argument: str) -> list[row_classes.WaitingRow]:
        """Return queued requests; the argument is empty, a request or a model."""
        return [
            row
            for row in slot_rows.waiting(self.slots)
            if argument in ("", row.request, row.model)
        ]

    def _batches(self, target: str) -> list[row_classes.BatchRow]:
        """Return endpoints' queues; the argument is empty or a model."""
        rows = slot_rows.running(self.slots)
        if not target:
            return rows
        names = frozenset(self.placement.candidates(target))
        return [row for row in rows if row.endpoint in names]

    def _moves(self, target: str) -> list[row_classes.MoveRow]:
        """Return unfinished orders; the argument is empty or a model."""
        return [row for row in self.orders.under_way() if target in ("", row.model)]

    def _trace(self, request_id: str) -> list[row_classes.TraceRow]:
        trace = self.decisions.find(request_id)
        if trace is None:
            return []
        now = time.monotonic()
        row = row_classes.TraceRow(
            request=trace.id,
            entry=self.kernel.settings.name,
            caller=trace.caller,
            urgency=trace.urgency,
            model=trace.target,
            state=trace.outcome or "running",
            age_ms=round((now - trace.arrived) * 1000),
            deadline_ms=round((trace.deadline - now) * 1000),
        )
        return [row]

    def _steps(self, request_id: str) -> list[row_classes.StepRow]:
        trace = self.decisions.find(request_id)
        if trace is None:
            return []
        rows = [
            row_classes.StepRow(
                round((step.at - trace.arrived) * 1000), step.endpoint, step.what
            )
            for step in trace.steps
        ]
        if not trace.outcome:
            rows += self._considered(trace)
        return rows

    def _considered(self, trace: decisions.Trace) -> list[row_classes.StepRow]:
        """Return how a running request's endpoints look to its entry now."""
        now_ms = round((time.monotonic() - trace.arrived) * 1000)
        running_by_endpoint = self.dispatch.policy.running_by_endpoint
        rows = []
        for name in self.placement.candidates(trace.target):
            closed = self.placement.why_closed(name)
            running = running_by_endpoint[name]
            what = closed or f"open; {running} of this VM's requests are there"
            rows.append(row_classes.StepRow(now_ms, name, f"now {what}"))
        return rows


def _audit_days(conditions: tuple[statements.Condition, ...]) -> int:
    """Return how many days back the conditions on ``at`` reach."""
    days = AUDIT_DAYS
    today = datetime.datetime.now(datetime.UTC).date()
    for condition in conditions:
        if condition.field == "at":
            try:
                day = datetime.date.fromisoformat(condition.value[:10])
            except ValueError:
                continue
            days = max(days, (today - day).days + 1)
    return min(days, MOST_AUDIT_DAYS)


def _replica_notes(
    name: str, replicas: list[row_classes.ReplicaRow]
) -> tuple[str, ...]:
    if not replicas:
        return (f"no endpoint has {name!r}: its callers are refused until one does",)
    if all(row.takes_work != "yes" for row in replicas):
        return (f"no endpoint that has {name!r} takes new work",)
    return ()
