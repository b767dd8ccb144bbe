"""Health: passive outlier detection by the answers of endpoints.

Active probes cost as much as requests, and miss an endpoint that fails only a part of
its requests while its health check succeeds. Instead, every answer is evaluated:
consecutive failures, or a failure rate far above that of the service's other endpoints,
eject an endpoint from selection for a while. If most endpoints of a service are
ejected, all of them are used.
"""

import random
import time

import attrs
import logbook

from mothworks import kernel, logs
from mothworks_gateway import discovery, registry

log = logbook.Logger("health")

#: Consecutive failures after which an endpoint is ejected.
MAX_CONSECUTIVE_FAILURES = 3
#: Weight of the newest answer in the moving averages.
SMOOTHING = 0.15
#: Failure rate above the median of the service's other endpoints at which an endpoint
#: is ejected.
EXCESS_FAILURE_RATE = 0.3
#: Answers that an endpoint must have given before its failure rate is evaluated.
MIN_ANSWERS = 6
#: First and longest time for which an endpoint is ejected, seconds.
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 6.0
#: Share of the candidate endpoints that may be ejected at a time.
MAX_EJECTED_SHARE = 0.5


@attrs.define
class EndpointRecord:
    """Statistics of the answers of one endpoint.

    :param service: the endpoint's service.
    :param answers: answers and failures so far.
    :param consecutive_failures: failures since the last success.
    :param failure_rate: moving average of the share of failures.
    :param answer_s: moving average of the time until an answer begins, seconds.
    :param ejected_at: monotonic time of its last ejection.
    :param ejected_until: monotonic time until which it is ejected.
    :param ejection_s: length of its last ejection, seconds.
    """

    service: str
    answers: int = 0
    consecutive_failures: int = 0
    failure_rate: float = 0.0
    answer_s: float = 0.0
    ejected_at: float = 0.0
    ejected_until: float = 0.0
    ejection_s: float = 0.0


class Health(kernel.Part):
    """Ejects endpoints whose answers show that they fail.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.record_by_id: dict[str, EndpointRecord] = {}
        self.registry = node_kernel.get(discovery.Discovery).registry
        self.registry.on_change.append(self._remove_gone)
        #: Functions to call with an endpoint that answered, and whether the answer was
        #: a success; otherwise it was an error that the endpoint itself returned.
        self.on_answer: list = []

    def record(self, endpoint: registry.Endpoint) -> EndpointRecord:
        """Return the record of an endpoint, which is created if it is missing.

        :param endpoint: the endpoint.
        """
        endpoint_record = self.record_by_id.get(endpoint.id)
        if endpoint_record is None:
            endpoint_record = EndpointRecord(endpoint.entry.service)
            self.record_by_id[endpoint.id] = endpoint_record
        return endpoint_record

    def record_success(self, endpoint: registry.Endpoint, answer_s: float) -> None:
        """Record a success.

        :param endpoint: the endpoint that answered.
        :param answer_s: time until the answer began, seconds.
        """
        record = self.record(endpoint)
        record.answers += 1
        record.consecutive_failures = 0
        record.failure_rate *= 1 - SMOOTHING
        if record.answers == 1:
            record.answer_s = answer_s
        record.answer_s += (answer_s - record.answer_s) * SMOOTHING
        if record.failure_rate < EXCESS_FAILURE_RATE / 2:
            record.ejection_s = 0.0
        for notify in self.on_answer:
            notify(endpoint, True)

    def record_failure(
        self,
        endpoint: registry.Endpoint,
        reason: str,
        weight: float = 1.0,
        consecutive_failures: int = 1,
    ) -> None:
        """Record a failure that is attributed to the endpoint.

        :param endpoint: the endpoint that failed.
        :param reason: what failed, for the log.
        :param weight: weight in the failure rate; below 1 for errors that may be
            caused by the request.
        :param consecutive_failures: number of consecutive failures it counts as; more
            than one if no connection could be opened.
        """
        record = self.record(endpoint)
        record.answers += 1
        record.failure_rate += (weight - record.failure_rate) * SMOOTHING
        if weight >= 1:
            record.consecutive_failures += consecutive_failures
        else:
            for notify in self.on_answer:
                notify(endpoint, False)
        if record.consecutive_failures >= MAX_CONSECUTIVE_FAILURES or self._is_outlier(
            endpoint, record
        ):
            self.eject(endpoint, reason)

    def healthy(self, candidates: list[registry.Endpoint]) -> list[registry.Endpoint]:
        """Return the candidates that are not ejected now.

        :param candidates: endpoints of one service.
        :returns: all of them if most are ejected: then the cause is elsewhere.
        """
        now = time.monotonic()
        healthy = [
            item for item in candidates if self.record(item).ejected_until <= now
        ]
        if len(healthy) < len(candidates) * (1 - MAX_EJECTED_SHARE):
            return candidates
        return healthy or candidates

    def readmit(self, since: float) -> None:
        """Readmit all endpoints ejected since a moment, and forget their failures.

        :param since: monotonic time.
        """
        for record in self.record_by_id.values():
            if record.ejected_at >= since:
                record.ejected_until = record.ejection_s = 0.0
                record.consecutive_failures = 0
                record.failure_rate = 0.0

    def _remove_gone(self) -> None:
        """Remove the records of endpoints that are gone."""
        for endpoint_id in self.record_by_id.keys() - self.registry.by_id.keys():
            del self.record_by_id[endpoint_id]

    def _is_outlier(self, endpoint: registry.Endpoint, record: EndpointRecord) -> bool:
        if record.answers < MIN_ANSWERS:
            return False
        other_failure_rates = [
            item.failure_rate
            for key, item in self.record_by_id.items()
            if key != endpoint.id
            and item.service == record.service
            and item.answers >= MIN_ANSWERS
        ]
        median_failure_rate = (
            sorted(other_failure_rates)[len(other_failure_rates) // 2]
            if other_failure_rates
            else 0.0
        )
        return record.failure_rate > median_failure_rate + EXCESS_FAILURE_RATE

    def eject(self, endpoint: registry.Endpoint, reason: str) -> None:
        """Eject an endpoint from selection for a while, longer each time.

        :param endpoint: the endpoint.
        :param reason: the cause, for the log.
        """
        record = self.record(endpoint)
        now = time.monotonic()
        if record.ejected_until > now:
            return
        record.ejected_at = now
        record.ejection_s = min(
            MAX_EJECTION_S, max(MIN_EJECTION_S, 2 * record.ejection_s)
        )
        # Jitter keeps the VMs from all trying it again at the same moment.
        record.ejected_until = now + record.ejection_s * random.uniform(0.8, 1.2)
        record.consecutive_failures = MAX_CONSECUTIVE_FAILURES - 1
        logs.event(
            log,
            "endpoint passed over",
            endpoint=endpoint.id,
            reason=reason[:120],
            failing=round(record.failure_rate, 2),
            answers=record.answers,
            outcome=f"for {record.ejection_s:g} s",
        )
