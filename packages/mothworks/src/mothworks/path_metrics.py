"""Metrics of the request path: replies, refusals, token latencies and counts."""

import collections.abc

from mothworks import catalogue, metrics, outcomes, slots


class PathMetrics:
    """Measures responses to callers.

    The metrics are updated once per request, not once per chunk.

    :param node_metrics: the node's metrics.
    """

    def __init__(self, node_metrics: metrics.Metrics):
        self.replies_total = node_metrics.counter(
            "replies_total", "Replies to callers and operators by status."
        )
        self.refusals_total = node_metrics.counter(
            "refusals_total", "Refusals by code, and whether the request ran."
        )
        self.first_token_seconds = node_metrics.duration_histogram(
            "first_token_seconds",
            "From a request's arrival to its answer's first bytes, by urgency.",
        )
        self.between_tokens_seconds = node_metrics.duration_histogram(
            "between_tokens_seconds",
            "Mean time between the tokens of a stream, by urgency.",
        )
        self.tokens_total = node_metrics.counter(
            "tokens_total", "Streamed tokens by urgency."
        )
        self.ends_total = node_metrics.counter(
            "ends_total", "Answers by how they ended at their endpoint."
        )
        self.repeats_total = node_metrics.counter(
            "repeats_total", "Requests sent again, and streams resumed."
        )
        self.connections = node_metrics.gauge(
            "connections", "Open connections of callers."
        )

    def count_reply(self, status: int, refusal: outcomes.Refusal | None) -> None:
        """Count a reply.

        :param status: its HTTP status.
        :param refusal: the refusal that it carries; None for any other reply.
        """
        self.replies_total.inc({"status": str(status)})
        if refusal is not None:
            self.refusals_total.inc({"code": refusal.code, "ran": refusal.ran.value})

    def observe_first_token(self, urgency: catalogue.Urgency, waited_s: float) -> None:
        """Record the time to the first bytes of a response.

        :param urgency: the caller's urgency class.
        :param waited_s: time from arrival to the first bytes, seconds; below 0
            if no bytes arrived, which is not recorded.
        """
        if waited_s > 0:
            self.first_token_seconds.observe({"urgency": urgency.value}, waited_s)

    def count_answer_end(
        self, urgency: catalogue.Urgency, end: slots.RequestEnd
    ) -> None:
        """Record the end of an endpoint's response.

        :param urgency: the caller's urgency class.
        :param end: its outcome and measurements.
        """
        self.ends_total.inc({"outcome": end.outcome.name.lower()})
        labels = {"urgency": urgency.value}
        if end.tokens:
            self.tokens_total.add(labels, end.tokens)
        if end.tokens > 1:
            seconds = end.between_tokens_ms / 1000
            self.between_tokens_seconds.observe(labels, seconds)

    def count_repeat(self, what: str) -> None:
        """Count a retry or a resumed stream.

        :param what: ``retried`` or ``resumed``.
        """
        self.repeats_total.inc({"what": what})

    def set_connections(self, open_connections: collections.abc.Sized) -> None:
        """Set the gauge of open connections.

        :param open_connections: the connections.
        """
        self.connections.set({}, len(open_connections))
