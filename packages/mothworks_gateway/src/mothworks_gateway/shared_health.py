"""Shared outlier detection: ejects endpoints by the answers that all VMs received.

Each VM publishes in its heartbeats how endpoints answered its requests, and adds up the
counts of all VMs; see :mod:`error_rates`. An outlier is ejected as if it had failed
requests of this VM.
"""

import collections
import collections.abc

from mothworks import kernel
from mothworks_gateway import discovery, error_rates, health, heartbeat, registry

#: Reason of the ejection, for the log.
EJECTION_REASON = "high error rate over all VMs"


class AnswerCounts:
    """Counts the answers since the last :meth:`drain`, by endpoint's id."""

    def __init__(self):
        self.successes: collections.Counter[str] = collections.Counter()
        self.errors: collections.Counter[str] = collections.Counter()

    def add(self, rows: collections.abc.Iterable[heartbeat.AnswerRow]) -> None:
        """Add the counts of a heartbeat.

        :param rows: its rows.
        """
        for endpoint_id, successes, errors in rows:
            self.successes[endpoint_id] += successes
            self.errors[endpoint_id] += errors

    def drain(self) -> tuple[heartbeat.AnswerRow, ...]:
        """Return the counts, and reset them."""
        ids = self.successes.keys() | self.errors.keys()
        rows = tuple((key, self.successes[key], self.errors[key]) for key in ids)
        self.successes.clear()
        self.errors.clear()
        return rows


class SharedHealth(kernel.Part):
    """Publishes this VM's answer counts, and evaluates those of all VMs.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.health = node_kernel.get(health.Health)
        self.health.on_answer.append(self._record)
        self.registry = node_kernel.get(discovery.Discovery).registry
        self.registry.on_change.append(self._remove_gone)
        self.own_counts = AnswerCounts()
        self.error_rates = error_rates.ErrorRates()
        heartbeats = node_kernel.get(heartbeat.Heartbeats)
        heartbeats.field_providers.append(lambda: {"answers": self.own_counts.drain()})
        heartbeats.on_received.append(self._on_heartbeat)

    def _on_heartbeat(self, vm: str, received: heartbeat.Heartbeat) -> None:
        # Heartbeats of this VM are passed in, too; its counts are added when it sends
        # them, or with the totals of a collector.
        if vm != self.kernel.settings.name:
            self.merge(received.answers)

    def merge(self, rows: collections.abc.Iterable[heartbeat.AnswerRow]) -> None:
        """Add answer counts of one or several VMs, and eject the outliers.

        :param rows: the counts by endpoint.
        """
        for endpoint_id, successes, errors in rows:
            endpoint = self.registry.by_id.get(endpoint_id)
            if endpoint is None:
                continue
            self.error_rates.add(endpoint_id, endpoint.entry.service, successes, errors)
            if errors and self.error_rates.is_outlier(endpoint_id):
                self.health.eject(endpoint, EJECTION_REASON)

    def _record(self, endpoint: registry.Endpoint, succeeded: bool) -> None:
        self.own_counts.add([(endpoint.id, int(succeeded), int(not succeeded))])

    def _remove_gone(self) -> None:
        self.error_rates.retain(set(self.registry.by_id))
