"""Metrics of one node, served in Prometheus' text format."""

import aioprometheus
import aioprometheus.collectors

#: Upper bounds in seconds, around the targets of 35 ms and 1.6 s.
SECONDS_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.02, 0.035, 0.07, 0.15, 0.3, 0.6)
SECONDS_BUCKETS += (1.0, 1.6, 3.0, 6.0, 15.0, 60.0)


class Metrics:
    """Makes and renders metrics; the same name gives the same metric."""

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self.by_name: dict[str, aioprometheus.collectors.Collector] = {}

    def counter(self, name: str, doc: str) -> aioprometheus.Counter:
        """Return a counter.

        :param name: its name, without the prefix ``mothworks_``.
        :param doc: its help text.
        """
        return self._make(aioprometheus.Counter, name, doc)

    def gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        """Return a gauge.

        :param name: its name, without the prefix ``mothworks_``.
        :param doc: its help text.
        """
        return self._make(aioprometheus.Gauge, name, doc)

    def seconds(self, name: str, doc: str) -> aioprometheus.Histogram:
        """Return a histogram of durations.

        :param name: its name, without the prefix ``mothworks_``.
        :param doc: its help text.
        """
        return self._make(aioprometheus.Histogram, name, doc, buckets=SECONDS_BUCKETS)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the page of all metrics and its HTTP headers."""
        return aioprometheus.render(self.registry, [])

    def _make(self, kind: type, name: str, doc: str, **extra):
        if name not in self.by_name:
            full = f"mothworks_{name}"
            self.by_name[name] = kind(full, doc, registry=self.registry, **extra)
        return self.by_name[name]
