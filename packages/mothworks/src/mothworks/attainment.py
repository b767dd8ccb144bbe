"""Attainment: counts ended requests by whether they met their latency targets.

On the request path only counters are incremented; a task copies them to the
metrics. Time buckets retain the last minute for ``show attainment``.
"""

import collections
import enum
import time

from mothworks import kernel, plugins, progress, requests, slots

#: Length of one time bucket, seconds.
BUCKET_S = 10
#: Number of buckets retained: those of the last minute and the current one.
BUCKET_COUNT = 7
#: Interval between updates of the metrics, seconds.
METRICS_INTERVAL_S = 5.0


class Verdict(enum.StrEnum):
    """Verdict on an ended request."""

    #: A complete response within the targets.
    MET = "met"
    #: A complete response that missed a target.
    LATE = "late"
    #: The response was interrupted, or none was received although the request
    #: may have run.
    FAILED = "failed"
    #: Refused without having run.
    REFUSED = "refused"
    #: The caller disconnected.
    CANCELLED = "cancelled"


#: Key of a count: urgency class and verdict.
CountKey = tuple[str, Verdict]


@plugins.register(plugins.PART, "attainment")
class Attainment(kernel.Part):
    """Counts the requests that this VM received from callers, by verdict.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.total: collections.Counter[CountKey] = collections.Counter()
        self.counts_by_bucket: dict[int, collections.Counter[CountKey]] = {}
        self.requests_total = node_kernel.metrics.counter(
            "requests_total", "Ended requests by urgency and whether in target."
        )

    def start(self) -> None:
        """Start the task that updates the metrics."""
        self.tasks.every(METRICS_INTERVAL_S, self._update_metrics)

    def count_answer(
        self,
        request: requests.Request,
        outcome: slots.Outcome,
        answer_progress: progress.AnswerProgress,
    ) -> None:
        """Count a request whose response had started.

        :param request: the request.
        :param outcome: the outcome of its response.
        :param answer_progress: arrival times and number of the response's events.
        """
        match outcome:
            case slots.Outcome.OK:
                met = _in_target(request, answer_progress)
                verdict = Verdict.MET if met else Verdict.LATE
            case slots.Outcome.CANCELLED:
                verdict = Verdict.CANCELLED
            case _:
                verdict = Verdict.FAILED
        self._count(request, verdict)

    def count_refusal(self, request: requests.Request, ran: bool) -> None:
        """Count a request that received no response from an endpoint.

        :param request: the request.
        :param ran: whether an endpoint may have run it.
        """
        self._count(request, Verdict.FAILED if ran else Verdict.REFUSED)

    def last_minute(self) -> collections.Counter[CountKey]:
        """Return the counts of the last minute, without the current bucket."""
        now = int(time.monotonic() // BUCKET_S)
        counts: collections.Counter[CountKey] = collections.Counter()
        for bucket, bucket_counts in self.counts_by_bucket.items():
            if now - BUCKET_COUNT < bucket < now:
                counts += bucket_counts
        return counts

    def _count(self, request: requests.Request, verdict: Verdict) -> None:
        key = (request.caller.urgency.value, verdict)
        self.total[key] += 1
        bucket = int(time.monotonic() // BUCKET_S)
        counts = self.counts_by_bucket.get(bucket)
        if counts is None:
            counts = self.counts_by_bucket[bucket] = collections.Counter()
            for expired in [
                item for item in self.counts_by_bucket if item <= bucket - BUCKET_COUNT
            ]:
                del self.counts_by_bucket[expired]
        counts[key] += 1

    def _update_metrics(self) -> None:
        for (urgency, verdict), count in self.total.items():
            labels = {"urgency": urgency, "verdict": verdict.value}
            self.requests_total.set(labels, count)


def _in_target(
    request: requests.Request, answer_progress: progress.AnswerProgress
) -> bool:
    """Return whether a complete response met its caller's targets.

    The time to the first token is measured from the request's arrival at this
    VM, so that it includes the time in queues, which callers notice most.
    """
    if answer_progress.caller_first_token_at > request.first_token_deadline:
        return False
    gaps = answer_progress.event_count - 1
    if gaps < 1:
        return True
    between_ms = (
        (answer_progress.last_token_at - answer_progress.caller_first_token_at)
        * 1000
        / gaps
    )
    return between_ms <= request.caller.between_tokens_ms
