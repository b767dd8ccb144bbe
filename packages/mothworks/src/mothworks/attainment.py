"""Attainment: requests that meet their caller's targets, counted as they end.

Counting is plain arithmetic on the request's path; a task writes the counts
to the metrics. The last minute is kept in buckets for ``show attainment``.
"""

import collections
import enum
import time

from mothworks import kernel, plugins, progress, requests, slots

#: Length of one bucket of the last minute, seconds.
BUCKET_S = 10
#: Buckets kept: the last minute, and the one that is being filled.
BUCKETS = 7
#: Seconds between updates of the metrics.
METRICS_S = 5.0


class Verdict(enum.StrEnum):
    """How a request ended, for the attainment."""

    #: A whole answer within the targets.
    MET = "met"
    #: A whole answer, but later than a target.
    LATE = "late"
    #: The answer broke off, or the endpoint failed.
    FAILED = "failed"
    #: Refused without having run.
    REFUSED = "refused"
    #: The caller left.
    CANCELLED = "cancelled"


#: Names a count.
Key = tuple[str, Verdict]


@plugins.register(plugins.PART, "attainment")
class Attainment(kernel.Part):
    """Counts this VM's requests.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.total: collections.Counter[Key] = collections.Counter()
        self.counts_by_bucket: dict[int, collections.Counter[Key]] = {}
        self.requests_total = node_kernel.metrics.counter(
            "requests_total", "Ended requests by urgency and whether in target."
        )

    def start(self) -> None:
        """Start to update the metrics."""
        self.tasks.every(METRICS_S, self._write_metrics)

    def ended(
        self,
        request: requests.Request,
        outcome: slots.Outcome,
        seen: progress.Progress,
    ) -> None:
        """Count a request whose answer had begun.

        :param request: the request.
        :param outcome: how it ended.
        :param seen: when its bytes came.
        """
        match outcome:
            case slots.Outcome.OK:
                met = _in_target(request, seen)
                verdict = Verdict.MET if met else Verdict.LATE
            case slots.Outcome.CANCELLED:
                verdict = Verdict.CANCELLED
            case _:
                verdict = Verdict.FAILED
        self._count(request, verdict)

    def refused(self, request: requests.Request, ran: bool) -> None:
        """Count a request that got no answer.

        :param request: the request.
        :param ran: whether an endpoint may have run it.
        """
        self._count(request, Verdict.FAILED if ran else Verdict.REFUSED)

    def last_minute(self) -> collections.Counter[Key]:
        """Return the counts of the last full minute."""
        now = int(time.monotonic() // BUCKET_S)
        counts: collections.Counter[Key] = collections.Counter()
        for bucket, found in self.counts_by_bucket.items():
            if now - BUCKETS < bucket < now:
                counts += found
        return counts

    def _count(self, request: requests.Request, verdict: Verdict) -> None:
        key = (request.caller.urgency.value, verdict)
        self.total[key] += 1
        bucket = int(time.monotonic() // BUCKET_S)
        counts = self.counts_by_bucket.get(bucket)
        if counts is None:
            counts = self.counts_by_bucket[bucket] = collections.Counter()
            for old in [
                item for item in self.counts_by_bucket if item <= bucket - BUCKETS
            ]:
                del self.counts_by_bucket[old]
        counts[key] += 1

    def _write_metrics(self) -> None:
        for (urgency, verdict), count in self.total.items():
            labels = {"urgency": urgency, "verdict": verdict.value}
            self.requests_total.set(labels, count)


def _in_target(request: requests.Request, seen: progress.Progress) -> bool:
    """Return whether a whole answer met its caller's targets.

    The first token counts from the request's arrival here, since the time in
    a queue is what its caller notices most.
    """
    if seen.begun > request.first_token_deadline:
        return False
    gaps = seen.events - 1
    if gaps < 1:
        return True
    between_ms = (seen.last - seen.begun) * 1000 / gaps
    return between_ms <= request.caller.between_tokens_ms
