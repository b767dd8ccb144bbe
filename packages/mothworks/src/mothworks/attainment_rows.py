"""Sums the attainment counts of all VMs."""

import collections
import collections.abc

from mothworks import attainment, catalogue, reason_rows, row_classes

#: Value of ``urgency`` in the row that sums all classes.
ALL_CLASSES = "all"


def sum_counts(
    counts: collections.abc.Iterable[reason_rows.CountRow], accelerators: int
) -> tuple[row_classes.AttainmentRow, ...]:
    """Return one row for each class and one for all classes.

    :param counts: the counts of all VMs.
    :param accelerators: accelerators of the endpoints that accept new work.
    """
    counts_by_urgency: dict[str, collections.Counter[str]] = {
        name: collections.Counter() for name in (*catalogue.Urgency, ALL_CLASSES)
    }
    for row in counts:
        for name in (row.urgency, ALL_CLASSES):
            counts_by_urgency[name][row.verdict] += row.count
    return tuple(
        _row(name, class_counts, accelerators)
        for name, class_counts in counts_by_urgency.items()
    )


def _row(
    urgency: str, counts: collections.Counter[str], accelerators: int
) -> row_classes.AttainmentRow:
    verdicts = attainment.Verdict
    met = counts[verdicts.MET]
    not_cancelled = counts.total() - counts[verdicts.CANCELLED]
    return row_classes.AttainmentRow(
        urgency=str(urgency),
        requests=counts.total(),
        met=met,
        late=counts[verdicts.LATE],
        failed=counts[verdicts.FAILED],
        refused=counts[verdicts.REFUSED],
        cancelled=counts[verdicts.CANCELLED],
        in_target=round(met / not_cancelled, 4) if not_cancelled else 1.0,
        accelerators=accelerators,
        met_a_minute=round(met / accelerators, 2) if accelerators else 0.0,
    )
