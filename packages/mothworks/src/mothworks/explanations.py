"""Explanations: what ``why`` answers, gathered where it was decided.

Queues are asked of the endpoints' owners, the way of a request of the VM
that it reached.
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

#: Waiting requests that ``why model`` lists.
FIRST_WAITING = 10
#: Endpoints that ``why model`` lists as places, those with most memory first.
FIRST_PLACES = 20
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
        candidates = self._candidates(name)
        batches, waiting, moves, places = self._ask_of_model(name, candidates)
        replicas = self._replicas(candidates, batches)
        tables = [
            answers.Table("replicas", reason_rows.ReplicaRow, tuple(replicas)),
            answers.Table("waiting", row_classes.WaitingRow, _first(waiting.rows)),
            answers.Table("moves", row_classes.MoveRow, moves.rows),
        ]
        if item is not None:
            row = self.inventory.model(item)
            tables.insert(0, answers.Table("model", row_classes.ModelRow, (row,)))
            found = places.rows[:FIRST_PLACES]
            tables.append(answers.Table("places", reason_rows.PlaceRow, found))
        notes = _replica_notes(name, replicas)
        if len(waiting.rows) > FIRST_WAITING:
            more = len(waiting.rows) - FIRST_WAITING
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
        trace, steps, waiting = self.fan_out.ask_each(
            *(fan_out.Wanted(topic, request_id) for topic in topics)
        )
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

    def _candidates(self, name: str) -> list[catalogue.Endpoint]:
        by_name = self.configuration.index.endpoint_by_name
        found = self.placement.candidates(name)
        return [by_name[endpoint] for endpoint in found if endpoint in by_name]

    def _ask_of_model(
        self, name: str, candidates: list[catalogue.Endpoint]
    ) -> list[fan_out.Gathered]:
        """Ask owners for queues, and all VMs for orders and places."""
        rows = [self.inventory.endpoint(endpoint) for endpoint in candidates]
        owners = frozenset(row.owner for row in rows) - {""}
        topics = fan_out.Topic
        return self.fan_out.ask_each(
            fan_out.Wanted(topics.BATCHES, name, owners),
            fan_out.Wanted(topics.WAITING, name, owners),
            fan_out.Wanted(topics.MOVES, name),
            fan_out.Wanted(topics.PLACES, name),
        )

    def _replicas(
        self, candidates: list[catalogue.Endpoint], batches: fan_out.Gathered
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


def _first(
    waiting: tuple[row_classes.WaitingRow, ...],
) -> tuple[row_classes.WaitingRow, ...]:
    """Return the requests that are next, over all queues."""
    in_order = sorted(waiting, key=lambda row: (row.position, row.endpoint))
    return tuple(in_order[:FIRST_WAITING])
