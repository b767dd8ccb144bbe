"""Seen answers: how endpoints answered requests in the last seconds, by all VMs.

An endpoint that fails a third of its requests shows within a second, if its answers
are seen together. Each of 195 VMs sees it once in ten seconds, so none of them passed
it over by its own answers, and a lookup that failed there was sent to another
endpoint that also failed.

Only answers count here: success, or an error in the endpoint's own words. Whether a VM
reaches an endpoint is for that VM alone to judge.
"""

import math
import statistics
import time

import attrs

#: Half-life of what was seen, seconds: a fault shows within one or two, and an
#: endpoint that has recovered is used again within a few.
HALF_LIFE_S = 2.0
#: Errors of late below which an endpoint's share of errors is chance: requests may
#: cause single errors themselves.
LEAST_ERRORS = 3.0
#: Share of errors above that of the service's other endpoints at which one stands out.
EXCESS = 0.12


@attrs.define
class _Seen:
    """Answers of one endpoint, fading.

    :param service: its service.
    :param good: answers that were not errors.
    :param errors: errors.
    :param at: monotonic time as of which the two hold.
    """

    service: str
    good: float = 0.0
    errors: float = 0.0
    at: float = 0.0

    def fade(self, now: float) -> None:
        kept = math.exp2((self.at - now) / HALF_LIFE_S)
        self.good *= kept
        self.errors *= kept
        self.at = now

    @property
    def share(self) -> float:
        """Return the share of errors among its answers."""
        return self.errors / max(1.0, self.good + self.errors)


class SeenAnswers:
    """Answers of all endpoints, by endpoint's id.

    >>> seen = SeenAnswers()
    >>> seen.add("i-1", "lookups", good=50, errors=0)
    >>> seen.add("i-2", "lookups", good=30, errors=20)
    >>> seen.stands_out("i-1"), seen.stands_out("i-2")
    (False, True)
    """

    def __init__(self):
        self.seen_by_id: dict[str, _Seen] = {}

    def add(self, endpoint_id: str, service: str, good: int, errors: int) -> None:
        """Add answers that were seen just now.

        :param endpoint_id: whose.
        :param service: its service.
        :param good: answers that were not errors.
        :param errors: errors.
        """
        now = time.monotonic()
        seen = self.seen_by_id.setdefault(endpoint_id, _Seen(service, at=now))
        seen.fade(now)
        seen.good += good
        seen.errors += errors

    def stands_out(self, endpoint_id: str) -> bool:
        """Return whether an endpoint fails far more often than its neighbours.

        :param endpoint_id: the endpoint.
        """
        seen = self.seen_by_id.get(endpoint_id)
        if seen is None:
            return False
        seen.fade(time.monotonic())
        if seen.errors < LEAST_ERRORS:
            return False
        others = [
            item.share
            for other_id, item in self.seen_by_id.items()
            if other_id != endpoint_id and item.service == seen.service
        ]
        usual = statistics.median(others) if others else 0.0
        return seen.share > usual + EXCESS

    def forget(self, endpoint_ids: set[str]) -> None:
        """Drop endpoints that are gone.

        :param endpoint_ids: those that are still there.
        """
        for endpoint_id in self.seen_by_id.keys() - endpoint_ids:
            del self.seen_by_id[endpoint_id]
