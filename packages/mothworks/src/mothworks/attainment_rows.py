"""Sums of attainment over VMs, in the terms that users measure."""

import collections
import collections.abc

from mothworks import attainment, catalogue, reason_rows, row_classes

#: Name of the row over all classes.
ALL = "all"


def summed(
    counts: collections.abc.Iterable[reason_rows.CountRow], accelerators: int
) -> tuple[row_classes.AttainmentRow, ...]:
    """Return one row for each class and one for all.

    :param counts: what all VMs counted.
    :param accelerators: accelerators of the endpoints that take work.
    """
    counts_by_urgency: dict[str, collections.Counter[str]] = {
        name: collections.Counter() for name in (*catalogue.Urgency, ALL)
    }
    for row in counts:
        for name in (row.urgency, ALL):
            counts_by_urgency[name][row.verdict] += row.count
    return tuple(
        _row(name, found, accelerators) for name, found in counts_by_urgency.items()
    )


def _row(
    urgency: str, counts: collections.Counter[str], accelerators: int
) -> row_classes.AttainmentRow:
    verdicts = attainment.Verdict
    met = counts[verdicts.MET]
    judged = counts.total() - counts[verdicts.CANCELLED]
    return row_classes.AttainmentRow(
        urgency=str(urgency),
        requests=counts.total(),
        met=met,
        late=counts[verdicts.LATE],
        failed=counts[verdicts.FAILED],
        refused=counts[verdicts.REFUSED],
        cancelled=counts[verdicts.CANCELLED],
        in_target=round(met / judged, 4) if judged else 1.0,
        accelerators=accelerators,
        met_a_minute=round(met / accelerators, 2) if accelerators else 0.0,
    )
