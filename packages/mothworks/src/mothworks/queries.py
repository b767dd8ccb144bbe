"""Runs operators' queries: ``show`` lists rows, ``why`` returns explanations.

Rows that every VM has are read locally. The others are queried from all VMs.
"""

import datetime

import attrs
import result

from mothworks import (
    answers,
    attainment_rows,
    audit,
    audit_reading,
    configuration,
    explanations,
    fan_out,
    inventory,
    kernel,
    membership,
    outcomes,
    plugins,
    row_classes,
    row_filters,
    statements,
    suspects,
)

#: Days of the audit trail that are read unless a condition reaches further back.
DEFAULT_AUDIT_DAYS = 2
#: Maximum number of days of the audit trail that one query reads.
MAX_AUDIT_DAYS = 31


@plugins.register(plugins.PART, "questions")
class Queries(kernel.Part):
    """Runs read-only statements.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.audit = node_kernel.get(audit.Audit)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.explanations = node_kernel.get(explanations.Explanations)
        self.fan_out = node_kernel.get(fan_out.FanOut)
        self.inventory = node_kernel.get(inventory.Inventory)
        self.membership = node_kernel.get(membership.Membership)
        self.suspects = node_kernel.get(suspects.Suspects)

    def answer(self, statement: statements.Query) -> answers.Outcome:
        """Run a read-only statement.

        :param statement: the statement.
        """
        match statement:
            case statements.Show(collection, conditions):
                return self._show(collection, conditions)
            case statements.WhyModel(name):
                return self.explanations.explain_model(name)
            case statements.WhyRequest(request_id):
                return self.explanations.explain_request(request_id)

    def _show(
        self,
        collection: statements.Collection,
        conditions: tuple[statements.Condition, ...],
    ) -> answers.Outcome:
        match self._collect_rows(collection, conditions):
            case result.Ok(collected):
                pass
            case error:
                return error
        row_class = row_classes.row_class(collection)
        return row_filters.filter_rows(collected.rows, conditions).map(
            lambda rows: answers.merge_results(
                self.configuration.revision,
                [answers.Table(collection, row_class, rows)],
                [collected],
            )
        )

    def _collect_rows(
        self,
        collection: statements.Collection,
        conditions: tuple[statements.Condition, ...],
    ) -> result.Result[fan_out.QueryResult, outcomes.Refusal]:
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
                return result.Ok(self.fan_out.query(fan_out.Topic.WAITING))
            case statements.Collection.QUEUES:
                return result.Ok(self.fan_out.query(fan_out.Topic.BATCHES))
            case statements.Collection.ATTAINMENT:
                return result.Ok(self._attainment())
            case statements.Collection.MOVES:
                return result.Ok(self.fan_out.query(fan_out.Topic.MOVES))
            case statements.Collection.AUDIT:
                return self._audit(conditions)
            case statements.Collection.QUARANTINE:
                rows = self._quarantine()
        return result.Ok(fan_out.QueryResult(tuple(rows)))

    def _audit(
        self, conditions: tuple[statements.Condition, ...]
    ) -> result.Result[fan_out.QueryResult, outcomes.Refusal]:
        live = frozenset(member.name for member in self.membership.live())
        trail_result = audit_reading.read(self.audit.api, live, _audit_days(conditions))
        match trail_result:
            case result.Ok(trail):
                # A pending entry may be stored already while this VM waits for
                # the reply. It must not be listed twice.
                stored_ids = {
                    (entry.vm, entry.at, entry.number) for entry in trail.entries
                }
                pending = [
                    entry
                    for entry in self.audit.pending
                    if (entry.vm, entry.at, entry.number) not in stored_ids
                ]
                rows = (*trail.entries, *pending)
                return result.Ok(
                    fan_out.QueryResult(rows, left_out=len(trail.skipped_keys))
                )
            case result.Err(unavailable):
                message = f"the object API does not answer: {unavailable.reason}"
                return result.Err(outcomes.overloaded(message, 5.0, "object_api"))

    def _quarantine(self) -> list[row_classes.QuarantineRow]:
        return [
            row_classes.QuarantineRow(
                suspect=item.fingerprint.hex(),
                state="quarantined" if item.quarantined else "suspect",
                points=item.points,
                caller=item.caller,
                model=item.target,
                at=_iso(item.when_ms),
            )
            for item in self.suspects.listed()
        ]

    def _attainment(self) -> fan_out.QueryResult:
        collected = self.fan_out.query(fan_out.Topic.ATTAINMENT)
        rows = attainment_rows.sum_counts(collected.rows, self.inventory.accelerators())
        return attrs.evolve(collected, rows=rows)


def _audit_days(conditions: tuple[statements.Condition, ...]) -> int:
    """Return the number of days, up to today, that conditions on ``at`` cover."""
    days = DEFAULT_AUDIT_DAYS
    today = datetime.datetime.now(datetime.UTC).date()
    for condition in conditions:
        if condition.field == "at":
            try:
                day = datetime.date.fromisoformat(condition.value[:10])
            except ValueError:
                continue
            days = max(days, (today - day).days + 1)
    return min(days, MAX_AUDIT_DAYS)


def _iso(unix_ms: int) -> str:
    """Return Unix time in milliseconds as ISO time, UTC."""
    at = datetime.datetime.fromtimestamp(unix_ms / 1000, datetime.UTC)
    return at.isoformat(timespec="milliseconds")
