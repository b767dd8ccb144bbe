"""Explanations: what ``why`` answers, gathered where it was decided.

Queues are asked of the endpoints' owners, the way of a request of the VM
that it reached.
"""

import gevent
import result

from mothworks import (
    answers,
    catalogue,
    configuration,
    decisions,
    fan_out,
    inventory,
    kernel,
    outcomes,
    placement,
    reason_rows,
    row_classes,
)

#: Waiting requests that ``why model`` lists.
FIRST_WAITING = 10
#: What a batch row says of an endpoint that nobody asked its owner for.
IDLE = row_classes.BatchRow("", "", 0, 0, 0, 0, 0, 0, 0)
#: What a batch row says of an endpoint whose owner did not answer.
UNKNOWN = row_classes.BatchRow("", "", -1, -1, -1, -1, -1, -1, -1)


class Explanations(kernel.Part):
    """Answers ``why model`` and ``why request``.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.fan_out = node_kernel.get(fan_out.FanOut)
        self.inventory = node_kernel.get(inventory.Inventory)
        self.placement = node_kernel.get(placement.Placement)

    def model(self, name: str) -> answers.Outcome:
        """Say where a model is, why it takes work there or not, and what waits.

        :param name: the model, adapter or service.
        """
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
            answers.Table("replicas", reason_rows.ReplicaRow, tuple(replicas)),
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
        return result.Ok(
            answers.gathered(
                self.configuration.revision, tables, [batches, waiting, moves], notes
            )
        )

    def request(self, request_id: str) -> answers.Outcome:
        """Say where a request is and how that was decided.

        :param request_id: the request's id.
        """
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
            answers.Table("request", reason_rows.TraceRow, trace.rows),
            answers.Table("steps", reason_rows.StepRow, steps.rows),
            answers.Table("waiting", row_classes.WaitingRow, waiting.rows),
        ]
        return result.Ok(
            answers.gathered(
                self.configuration.revision, tables, [trace, steps, waiting]
            )
        )

    def _replica(
        self,
        item: catalogue.Endpoint,
        batch_by_endpoint: dict[str, row_classes.BatchRow],
        unanswered: tuple[str, ...],
    ) -> reason_rows.ReplicaRow:
        row = self.inventory.endpoint(item)
        unknown = row.owner in unanswered or not row.owner
        batch = batch_by_endpoint.get(item.name, UNKNOWN if unknown else IDLE)
        return reason_rows.ReplicaRow(
            endpoint=item.name,
            data_centre=item.data_centre,
            owner=row.owner,
            takes_work=self.placement.why_closed(item.name) or "yes",
            running=batch.running,
            slots=batch.slots or item.slots,
            queued=batch.queued,
            longest_ms=batch.longest_ms,
        )


def _replica_notes(
    name: str, replicas: list[reason_rows.ReplicaRow]
) -> tuple[str, ...]:
    if not replicas:
        return (f"no endpoint has {name!r}: its callers are refused until one does",)
    if all(row.takes_work != "yes" for row in replicas):
        return (f"no endpoint that has {name!r} takes new work",)
    return ()
