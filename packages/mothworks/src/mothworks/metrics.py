"""Metrics of one node in the Prometheus text format."""

import aioprometheus.collectors
import aioprometheus.renderer

#: Upper bounds of the buckets, seconds. Among them are the default targets between
#: tokens (35 ms) and to the first token (1.6 s).
DURATION_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.02, 0.035, 0.07, 0.15, 0.3, 0.6)
DURATION_BUCKETS_S += (1.0, 1.6, 3.0, 6.0, 15.0, 60.0)


class Metrics:
    """Creates and renders metrics; a repeated name returns the existing metric."""

    def __init__(self):
        self.registry = aioprometheus.collectors.Registry()
        self.metric_by_name: dict[str, aioprometheus.collectors.Collector] = {}
        #: Callbacks without arguments that set values right before they are read.
        self.on_render: list = []

    def counter(self, name: str, doc: str) -> aioprometheus.collectors.Counter:
        """Return a counter.

        :param name: its name, without the prefix ``mothworks_``.
        :param doc: its help text.
        """
        return self._make(aioprometheus.collectors.Counter, name, doc)

    def gauge(self, name: str, doc: str) -> aioprometheus.collectors.Gauge:
        """Return a gauge.

        :param name: its name, without the prefix ``mothworks_``.
        :param doc: its help text.
        """
        return self._make(aioprometheus.collectors.Gauge, name, doc)

    def duration_histogram(
        self, name: str, doc: str
    ) -> aioprometheus.collectors.Histogram:
        """Return a histogram of durations in seconds.

        :param name: its name, without the prefix ``mothworks_``.
        :param doc: its help text.
        """
        return self._make(
            aioprometheus.collectors.Histogram, name, doc, buckets=DURATION_BUCKETS_S
        )

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the text of all metrics and its HTTP headers."""
        for callback in self.on_render:
            callback()
        return aioprometheus.renderer.render(self.registry, [])

    def _make(self, metric_class: type, name: str, doc: str, **options):
        if name not in self.metric_by_name:
            full_name = f"mothworks_{name}"
            self.metric_by_name[name] = metric_class(
                full_name, doc, registry=self.registry, **options
            )
        return self.metric_by_name[name]
