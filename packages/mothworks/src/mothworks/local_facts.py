"""Rows that this VM contributes to fan-out queries, by topic.

Rows of queues and orders cover the endpoints that the VM owns. Traces cover
the requests that it received from callers.
"""

import time

from mothworks import (
    attainment,
    decisions,
    dispatch,
    fan_out,
    fleet,
    kernel,
    orders,
    placement,
    planner,
    plugins,
    reason_rows,
    row_classes,
    slot_owner,
    slot_rows,
)


@plugins.register(plugins.PART, "local_facts")
class LocalFacts(kernel.Part):
    """Returns this VM's rows for every :class:`fan_out.Topic`.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.attainment = node_kernel.get(attainment.Attainment)
        self.decisions = node_kernel.get(decisions.Decisions)
        self.dispatch = node_kernel.get(dispatch.Dispatch)
        self.orders = node_kernel.get(orders.Orders)
        self.placement = node_kernel.get(placement.Placement)
        self.planner = node_kernel.get(planner.Planner)
        self.slots = node_kernel.get(slot_owner.SlotOwner)
        topics = fan_out.Topic
        register = node_kernel.get(fan_out.FanOut).register
        register(topics.WAITING, row_classes.WaitingRow, self._waiting_rows)
        register(topics.BATCHES, row_classes.BatchRow, self._batch_rows)
        register(topics.ATTAINMENT, reason_rows.CountRow, self._attainment_rows)
        register(topics.MOVES, row_classes.MoveRow, self._order_rows)
        register(topics.LOAD_TARGETS, reason_rows.LoadTargetRow, self._load_target_rows)
        register(topics.TRACE, reason_rows.TraceRow, self._trace_rows)
        register(topics.STEPS, reason_rows.StepRow, self._step_rows)

    def _waiting_rows(self, argument: str) -> list[row_classes.WaitingRow]:
        """Return queued requests with a request ID or model; all if none is given."""
        return [
            row
            for row in slot_rows.queued_rows(self.slots)
            if argument in ("", row.request, row.model)
        ]

    def _batch_rows(self, target: str) -> list[row_classes.BatchRow]:
        """Return the batch rows of a model's endpoints; all if none is given."""
        rows = slot_rows.batch_rows(self.slots)
        if not target:
            return rows
        names = frozenset(self.placement.endpoints_holding(target))
        return [row for row in rows if row.endpoint in names]

    def _attainment_rows(self, _: str) -> list[reason_rows.CountRow]:
        counts = self.attainment.last_minute()
        return [
            reason_rows.CountRow(urgency, verdict.value, count)
            for (urgency, verdict), count in sorted(counts.items())
        ]

    def _order_rows(self, target: str) -> list[row_classes.MoveRow]:
        """Return unfinished orders of a model; all if none is given."""
        return [
            row for row in self.orders.unfinished_moves() if target in ("", row.model)
        ]

    def _load_target_rows(self, model: str) -> list[reason_rows.LoadTargetRow]:
        """Return where a model could be loaded; empty on VMs that do not plan.

        Endpoints with the most free memory come first.
        """
        state = self.planner.region_plan
        model_demand = state.fleet.demand_by_name.get(model) if state else None
        if model_demand is None:
            return []
        views = sorted(
            state.fleet.view_by_name.values(), key=lambda item: -item.free_mb
        )
        return [
            reason_rows.LoadTargetRow(
                endpoint=view.name,
                planner=self.kernel.settings.name,
                free_mb=view.free_mb,
                needed_mb=model_demand.spec.required_mb,
                verdict=load_verdict(view, model_demand.spec),
            )
            for view in views
        ]

    def _trace_rows(self, request_id: str) -> list[reason_rows.TraceRow]:
        trace = self.decisions.find(request_id)
        if trace is None:
            return []
        now = time.monotonic()
        row = reason_rows.TraceRow(
            request=trace.id,
            entry=self.kernel.settings.name,
            caller=trace.caller,
            urgency=trace.urgency,
            model=trace.target,
            state=trace.outcome or "running",
            age_ms=round((now - trace.received_at) * 1000),
            deadline_ms=round((trace.deadline - now) * 1000),
        )
        return [row]

    def _step_rows(self, request_id: str) -> list[reason_rows.StepRow]:
        trace = self.decisions.find(request_id)
        if trace is None:
            return []
        rows = [
            reason_rows.StepRow(
                round((step.at - trace.received_at) * 1000), step.endpoint, step.what
            )
            for step in trace.steps
        ]
        if not trace.outcome:
            rows += self._candidate_rows(trace)
        return rows

    def _candidate_rows(self, trace: decisions.Trace) -> list[reason_rows.StepRow]:
        """Return the present state of the endpoints that the request may use."""
        now_ms = round((time.monotonic() - trace.received_at) * 1000)
        running_by_endpoint = self.dispatch.policy.running_by_endpoint
        rows = []
        for name in self.placement.endpoints_holding(trace.target):
            reason = self.placement.closed_reason(name)
            running = running_by_endpoint[name]
            what = reason or f"open; runs {running} of this VM's requests"
            rows.append(reason_rows.StepRow(now_ms, name, f"now {what}"))
        return rows


def load_verdict(view: fleet.EndpointView, spec: fleet.ModelSpec) -> str:
    """Return why a planner would not load a model on an endpoint, or ``fits``.

    :param view: the endpoint, as its planner sees it.
    :param spec: the model, with the memory that it requires.
    """
    if spec.key in view.loading:
        return "is being loaded there"
    if spec.key in view.unloading:
        return "is being unloaded there"
    if spec.key in view.memory_by_key:
        return "is resident there"
    if not view.open:
        return "takes no new work"
    if view.memory_mb < spec.required_mb:
        return f"never fits: {view.memory_mb} MB in all"
    if view.free_mb < spec.required_mb:
        return f"{spec.required_mb - view.free_mb} MB are missing"
    return "fits"
