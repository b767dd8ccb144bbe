"""The adaptive concurrency limit of one endpoint's batch.

A larger batch serves more requests at once, but slows down the tokens of each.
The limit follows the ratio of the measured time between tokens to the callers'
target: it increases additively while the batch is full and fast, and decreases
in proportion to the excess while the batch is too slow. It never exceeds the
engine's slots. It is not persisted: a new owner starts anew.

A new limit is in slow start: bulk work gets a quarter of the slots, doubled by
each adjustment that finds the batch full and fast, so that a batch full of bulk
does not delay the first urgent requests. Work more urgent than bulk may use all
slots of the engine.
"""

import math

#: Ratio of the mean time between tokens to the target that a decrease aims at; it
#: is below 1 because 95 in 100 requests must meet the target.
TARGET_RATIO = 0.82
#: Ratio to the target above which the limit decreases.
DECREASE_ABOVE = 0.9
#: Ratio to the target below which the limit of a full batch increases.
INCREASE_BELOW = 0.78
#: Share of the engine's slots at which slow start begins.
INITIAL_SHARE = 0.25
#: Smallest factor by which one adjustment decreases the limit.
MIN_DECREASE_FACTOR = 0.6
#: Maximum number of samples per adjustment.
MAX_SAMPLES = 8


class ConcurrencyLimit:
    """The number of requests that an endpoint may run at once.

    :param maximum: the engine's slots.
    """

    def __init__(self, maximum: int):
        self.maximum = maximum
        self.value = math.ceil(maximum * INITIAL_SHARE)
        self.slow_start = True
        self.samples = 0
        self.ratio_sum = 0.0
        self.running_sum = 0
        self.unmeasured = 0
        self.was_full = False
        self.adjusted_at = -math.inf

    def value_for(self, non_bulk: bool) -> int:
        """Return how many requests may run at once.

        :param non_bulk: whether the work is more urgent than bulk.
        """
        return self.maximum if self.slow_start and non_bulk else self.value

    def mark_full(self) -> None:
        """Record that a request found no free slot."""
        self.was_full = True

    def observe(self, ratio: float, running: int, since: float, now: float) -> None:
        """Add a request's token rate as a sample, and adjust when there are enough.

        Requests that began before the last adjustment ran under the previous limit
        and are ignored: they would decrease the limit repeatedly for the same
        overload.

        :param ratio: mean time between the request's tokens, divided by the target.
        :param running: number of requests in the batch.
        :param since: when the request began, monotonic seconds.
        :param now: monotonic seconds.
        """
        if since < self.adjusted_at:
            return
        self.samples += 1
        self.ratio_sum += ratio
        self.running_sum += running
        if self.samples >= min(MAX_SAMPLES, max(2, self.value)):
            self._adjust(self.ratio_sum / self.samples, self.running_sum / self.samples)
            self.samples = self.running_sum = 0
            self.ratio_sum = 0.0
            self.was_full = False
            self.adjusted_at = now

    def count_unmeasured(self) -> None:
        """Count a request whose time between tokens could not be measured.

        If no responses are streamed, there are no samples to end slow start; a full
        batch then doubles its limit after :data:`MAX_SAMPLES` such requests, up to
        the engine's slots.
        """
        self.unmeasured += 1
        if self.slow_start and self.was_full and self.unmeasured >= MAX_SAMPLES:
            self.value = min(self.maximum, self.value * 2)
            self.unmeasured = 0

    def _adjust(self, ratio: float, running: float) -> None:
        if ratio > DECREASE_ABOVE:
            # The slow batch may have been smaller than the limit, or larger during
            # slow start, so the new limit derives from its actual size.
            reduced = running * max(MIN_DECREASE_FACTOR, TARGET_RATIO / ratio)
            self.value = max(1, min(self.maximum, math.floor(reduced)))
            self.slow_start = False
        elif ratio < INCREASE_BELOW and self.was_full:
            step = self.value if self.slow_start else 1
            self.value = min(self.maximum, self.value + step)
        elif self.was_full:
            self.slow_start = False
