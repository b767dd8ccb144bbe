"""Error rates: the recent answers of endpoints to the requests of all VMs.

The answers to all VMs together show within a second that an endpoint fails a third of
its requests. Each of 195 VMs alone gets an answer from it once in ten seconds: no VM
ejected it, and a lookup that failed there was retried at another endpoint that failed,
too.

Only answers count here, successes and errors that the endpoint itself returned. Whether
an endpoint is reachable is evaluated by each VM on its own.
"""

import math
import statistics
import time

import attrs

#: Half-life of the counts, seconds: a fault is detected within one or two seconds, and
#: an endpoint that has recovered is used again within a few.
HALF_LIFE_S = 2.0
#: Recent errors below which an endpoint's error rate is not significant: single errors
#: may be caused by the requests.
MIN_ERRORS = 3.0
#: Error rate above the median of the service's other endpoints at which an endpoint is
#: an outlier.
EXCESS_ERROR_RATE = 0.12


@attrs.define
class _DecayingCounts:
    """Exponentially decaying counts of the answers of one endpoint.

    :param service: its service.
    :param successes: answers that were not errors.
    :param errors: errors.
    :param updated_at: monotonic time of the last decay.
    """

    service: str
    successes: float = 0.0
    errors: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        factor = math.exp2((self.updated_at - now) / HALF_LIFE_S)
        self.successes *= factor
        self.errors *= factor
        self.updated_at = now

    @property
    def error_rate(self) -> float:
        """Return the share of errors among the answers."""
        return self.errors / max(1.0, self.successes + self.errors)


class ErrorRates:
    """Error rates of all endpoints.

    >>> error_rates = ErrorRates()
    >>> error_rates.add("i-1", "lookups", successes=50, errors=0)
    >>> error_rates.add("i-2", "lookups", successes=30, errors=20)
    >>> error_rates.is_outlier("i-1"), error_rates.is_outlier("i-2")
    (False, True)
    """

    def __init__(self):
        self.counts_by_id: dict[str, _DecayingCounts] = {}

    def add(self, endpoint_id: str, service: str, successes: int, errors: int) -> None:
        """Add answers that have just been received.

        :param endpoint_id: the endpoint that answered.
        :param service: its service.
        :param successes: answers that were not errors.
        :param errors: errors.
        """
        now = time.monotonic()
        counts = self.counts_by_id.setdefault(
            endpoint_id, _DecayingCounts(service, updated_at=now)
        )
        counts.decay(now)
        counts.successes += successes
        counts.errors += errors

    def is_outlier(self, endpoint_id: str) -> bool:
        """Return whether an endpoint's error rate is far above that of its service.

        :param endpoint_id: the endpoint.
        """
        counts = self.counts_by_id.get(endpoint_id)
        if counts is None:
            return False
        counts.decay(time.monotonic())
        if counts.errors < MIN_ERRORS:
            return False
        other_rates = [
            item.error_rate
            for other_id, item in self.counts_by_id.items()
            if other_id != endpoint_id and item.service == counts.service
        ]
        median_rate = statistics.median(other_rates) if other_rates else 0.0
        return counts.error_rate > median_rate + EXCESS_ERROR_RATE

    def retain(self, endpoint_ids: set[str]) -> None:
        """Remove the counts of endpoints that are gone.

        :param endpoint_ids: the endpoints whose counts are kept.
        """
        for endpoint_id in self.counts_by_id.keys() - endpoint_ids:
            del self.counts_by_id[endpoint_id]
