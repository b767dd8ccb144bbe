"""Explanations: answers to ``why model`` and ``why request``.

The rows come from the VMs that made the decisions: queues from the owners of
the endpoints, the trace of a request from the VM that received it.
"""

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

#: Maximum number of queued requests that ``why model`` lists.
MAX_WAITING_LISTED = 10
#: Maximum number of endpoints that ``why model`` lists as load targets; each
#: planner sends those with the most free memory first.
MAX_LOAD_TARGETS_LISTED = 20
#: Batch of an endpoint whose owner responded without a row for it.
IDLE_BATCH = row_classes.BatchRow("", "", 0, 0, 0, 0, 0, 0, 0)
#: Batch of an endpoint that has no owner or whose owner did not respond.
UNKNOWN_BATCH = row_classes.BatchRow("", "", -1, -1, -1, -1, -1, -1, -1)


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

    def explain_model(self, name: str) -> answers.Outcome:
        """Return a model's replicas, whether they accept work, and their queues.

        :param name: the model, adapter or service.
        """
        index = self.configuration.index
        item = index.model_by_name.get(name) or index.adapter_by_name.get(name)
        if item is None and name not in index.service_by_name:
            message = f"no model, adapter or service is named {name!r:.80}"
            return result.Err(outcomes.invalid(message, "not_declared", 404))
        candidates = self._candidates(name)
        batches, waiting, moves, load_targets = self._query_model(name, candidates)
        replicas = self._replicas(candidates, batches)
        tables = [
            answers.Table("replicas", reason_rows.ReplicaRow, tuple(replicas)),
            answers.Table(
                "waiting", row_classes.WaitingRow, _next_waiting(waiting.rows)
            ),
            answers.Table("moves", row_classes.MoveRow, moves.rows),
        ]
        if item is not None:
            row = self.inventory.model(item)
            tables.insert(0, answers.Table("model", row_classes.ModelRow, (row,)))
            listed_targets = load_targets.rows[:MAX_LOAD_TARGETS_LISTED]
            tables.append(
                answers.Table("places", reason_rows.LoadTargetRow, listed_targets)
            )
        notes = _replica_notes(name, replicas)
        if len(waiting.rows) > MAX_WAITING_LISTED:
            omitted = len(waiting.rows) - MAX_WAITING_LISTED
            notes = (*notes, f"{omitted} more wait: show waiting where model = {name}")
        return result.Ok(
            answers.merge_results(
                self.configuration.revision, tables, [batches, waiting, moves], notes
            )
        )

    def explain_request(self, request_id: str) -> answers.Outcome:
        """Return a request's trace, its steps and its positions in queues.

        :param request_id: the request's ID.
        """
        topics = (fan_out.Topic.TRACE, fan_out.Topic.STEPS, fan_out.Topic.WAITING)
        trace, steps, waiting = self.fan_out.query_all(
            *(fan_out.Query(topic, request_id) for topic in topics)
        )
        if not trace.rows and not waiting.rows and not trace.unanswered:
            message = (
                f"no VM has a trace of request {request_id!r:.80}; each VM keeps "
                f"its last {decisions.MAX_ENDED_TRACES} and those that run or wait"
            )
            return result.Err(outcomes.invalid(message, "not_found", 404))
        tables = [
            answers.Table("request", reason_rows.TraceRow, trace.rows),
            answers.Table("steps", reason_rows.StepRow, steps.rows),
            answers.Table("waiting", row_classes.WaitingRow, waiting.rows),
        ]
        return result.Ok(
            answers.merge_results(
                self.configuration.revision, tables, [trace, steps, waiting]
            )
        )

    def _candidates(self, name: str) -> list[catalogue.Endpoint]:
        endpoint_by_name = self.configuration.index.endpoint_by_name
        names = self.placement.endpoints_holding(name)
        return [endpoint_by_name[item] for item in names if item in endpoint_by_name]

    def _query_model(
        self, name: str, candidates: list[catalogue.Endpoint]
    ) -> list[fan_out.QueryResult]:
        """Query owners for queues, and all VMs for orders and load targets."""
        rows = [self.inventory.endpoint(endpoint) for endpoint in candidates]
        owners = frozenset(row.owner for row in rows) - {""}
        topics = fan_out.Topic
        return self.fan_out.query_all(
            fan_out.Query(topics.BATCHES, name, owners),
            fan_out.Query(topics.WAITING, name, owners),
            fan_out.Query(topics.MOVES, name),
            fan_out.Query(topics.LOAD_TARGETS, name),
        )

    def _replicas(
        self, candidates: list[catalogue.Endpoint], batches: fan_out.QueryResult
    ) -> list[reason_rows.ReplicaRow]:
        batch_by_endpoint = {row.endpoint: row for row in batches.rows}
        return [
            self._replica(endpoint, batch_by_endpoint, batches.unanswered)
            for endpoint in candidates
        ]

    def _replica(
        self,
        item: catalogue.Endpoint,
        batch_by_endpoint: dict[str, row_classes.BatchRow],
        unanswered: tuple[str, ...],
    ) -> reason_rows.ReplicaRow:
        row = self.inventory.endpoint(item)
        batch_unknown = row.owner in unanswered or not row.owner
        batch = batch_by_endpoint.get(
            item.name, UNKNOWN_BATCH if batch_unknown else IDLE_BATCH
        )
        return reason_rows.ReplicaRow(
            endpoint=item.name,
            data_centre=item.data_centre,
            owner=row.owner,
            takes_work=self.placement.closed_reason(item.name) or "yes",
            running=batch.running,
            slots=batch.slots or item.slots,
            queued=batch.queued,
            longest_ms=batch.longest_ms,
        )


def _replica_notes(
    name: str, replicas: list[reason_rows.ReplicaRow]
) -> tuple[str, ...]:
    if not replicas:
        return (
            f"no endpoint serves {name!r}: requests for it are refused until one does",
        )
    if all(row.takes_work != "yes" for row in replicas):
        return (f"no endpoint that serves {name!r} takes new work",)
    return ()


def _next_waiting(
    waiting: tuple[row_classes.WaitingRow, ...],
) -> tuple[row_classes.WaitingRow, ...]:
    """Return the requests that are next to run, over all queues."""
    in_order = sorted(waiting, key=lambda row: (row.position, row.endpoint))
    return tuple(in_order[:MAX_WAITING_LISTED])
