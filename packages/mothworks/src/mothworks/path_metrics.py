"""Metrics of the way of a request: replies, refusals, first tokens, tokens."""

import collections.abc

from mothworks import catalogue, metrics, outcomes, slots


class PathMetrics:
    """Counts what callers get; updated once a request, not once a chunk.

    :param node_metrics: the node's metrics.
    """

    def __init__(self, node_metrics: metrics.Metrics):
        self.replies_total = node_metrics.counter(
            "replies_total", "Replies to callers and operators by status."
        )
        self.refusals_total = node_metrics.counter(
            "refusals_total", "Refusals by code, and whether the request ran."
        )
        self.first_token_seconds = node_metrics.seconds(
            "first_token_seconds",
            "From a request's arrival to its answer's first bytes, by urgency.",
        )
        self.between_tokens_seconds = node_metrics.seconds(
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

    def replied(self, status: int, refusal: outcomes.Refusal | None) -> None:
        """Count a reply.

        :param status: its HTTP status.
        :param refusal: why it carries no answer, where it does not.
        """
        self.replies_total.inc({"status": str(status)})
        if refusal is not None:
            self.refusals_total.inc({"code": refusal.code, "ran": refusal.ran.value})

    def answered(self, urgency: catalogue.Urgency, waited_s: float) -> None:
        """Count an answer that the caller got, or the start of one.

        :param urgency: the caller's.
        :param waited_s: from arrival to the first bytes, seconds; below 0
            where none came.
        """
        if waited_s > 0:
            self.first_token_seconds.observe({"urgency": urgency.value}, waited_s)

    def ended(self, urgency: catalogue.Urgency, end: slots.End) -> None:
        """Count the end of an answer at an endpoint.

        :param urgency: the caller's.
        :param end: what was measured.
        """
        self.ends_total.inc({"outcome": end.outcome.name.lower()})
        by_urgency = {"urgency": urgency.value}
        if end.tokens:
            self.tokens_total.add(by_urgency, end.tokens)
        if end.tokens > 1:
            seconds = end.between_tokens_ms / 1000
            self.between_tokens_seconds.observe(by_urgency, seconds)

    def repeated(self, what: str) -> None:
        """Count a retry or a resumed stream.

        :param what: ``retried`` or ``resumed``.
        """
        self.repeats_total.inc({"what": what})

    def note_connections(self, open_now: collections.abc.Sized) -> None:
        """Note how many connections are open.

        :param open_now: the connections.
        """
        self.connections.set({}, len(open_now))
