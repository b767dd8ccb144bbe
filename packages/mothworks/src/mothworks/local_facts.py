"""Local facts: what this VM tells others that ask, topic by topic.

Queues and orders come from what the VM owns, traces from its callers'
requests.
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
    """Serves every topic of :class:`fan_out.Topic`.

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
        serve = node_kernel.get(fan_out.FanOut).serve
        serve(topics.WAITING, row_classes.WaitingRow, self._waiting)
        serve(topics.BATCHES, row_classes.BatchRow, self._batches)
        serve(topics.ATTAINMENT, reason_rows.CountRow, self._counts)
        serve(topics.MOVES, row_classes.MoveRow, self._moves)
        serve(topics.PLACES, reason_rows.LoadTargetRow, self._places)
        serve(topics.TRACE, reason_rows.TraceRow, self._trace)
        serve(topics.STEPS, reason_rows.StepRow, self._steps)

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

    def _counts(self, _: str) -> list[reason_rows.CountRow]:
        counts = self.attainment.last_minute()
        return [
            reason_rows.CountRow(urgency, verdict.value, count)
            for (urgency, verdict), count in sorted(counts.items())
        ]

    def _moves(self, target: str) -> list[row_classes.MoveRow]:
        """Return unfinished orders; the argument is empty or a model."""
        return [row for row in self.orders.under_way() if target in ("", row.model)]

    def _places(self, model: str) -> list[reason_rows.LoadTargetRow]:
        """Return where a model could be loaded; empty on VMs that do not plan."""
        state = self.planner.state
        wanted = state.fleet.demanded_by_name.get(model) if state else None
        if wanted is None:
            return []
        sites = sorted(
            state.fleet.site_by_name.values(), key=lambda item: -item.free_mb
        )
        return [
            reason_rows.LoadTargetRow(
                endpoint=site.name,
                planner=self.kernel.settings.name,
                free_mb=site.free_mb,
                needed_mb=wanted.need.room_mb,
                verdict=verdict(site, wanted.need),
            )
            for site in sites
        ]

    def _trace(self, request_id: str) -> list[reason_rows.TraceRow]:
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
            age_ms=round((now - trace.arrived) * 1000),
            deadline_ms=round((trace.deadline - now) * 1000),
        )
        return [row]

    def _steps(self, request_id: str) -> list[reason_rows.StepRow]:
        trace = self.decisions.find(request_id)
        if trace is None:
            return []
        rows = [
            reason_rows.StepRow(
                round((step.at - trace.arrived) * 1000), step.endpoint, step.what
            )
            for step in trace.steps
        ]
        if not trace.outcome:
            rows += self._considered(trace)
        return rows

    def _considered(self, trace: decisions.Trace) -> list[reason_rows.StepRow]:
        """Return how a running request's endpoints look to its entry now."""
        now_ms = round((time.monotonic() - trace.arrived) * 1000)
        running_by_endpoint = self.dispatch.policy.running_by_endpoint
        rows = []
        for name in self.placement.candidates(trace.target):
            closed = self.placement.why_closed(name)
            running = running_by_endpoint[name]
            what = closed or f"open; {running} of this VM's requests are there"
            rows.append(reason_rows.StepRow(now_ms, name, f"now {what}"))
        return rows


def verdict(site: fleet.Site, need: fleet.Need) -> str:
    """Return why a planner would not load a model at an endpoint now.

    :param site: the endpoint as its planner sees it.
    :param need: the model.
    """
    if need.key in site.loading:
        return "is being loaded there"
    if need.key in site.leaving:
        return "is being unloaded there"
    if need.key in site.memory_by_key:
        return "is resident there"
    if not site.open:
        return "takes no new work"
    if site.memory_mb < need.room_mb:
        return f"never fits: {site.memory_mb} MB in all"
    if site.free_mb < need.room_mb:
        return f"{need.room_mb - site.free_mb} MB are missing"
    return "fits"
