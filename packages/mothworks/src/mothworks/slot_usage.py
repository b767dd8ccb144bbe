"""Recent use of one endpoint's slots: moving averages and a decaying peak.

From these the endpoint's owner estimates how long a request would wait, and
how many slots the requests that are not bulk are likely to need next.
"""

import collections.abc
import math

from mothworks import request_queue

#: Weight of a new sample in the exponentially weighted moving averages.
SAMPLE_WEIGHT = 0.1
#: Time constant of the exponential decay of the peak of requests in flight that
#: are not bulk, seconds.
PEAK_DECAY_S = 20.0


class Usage:
    """Statistics of the requests of one endpoint."""

    def __init__(self):
        #: Mean time that a request occupies its slot, by rank, seconds.
        self.slot_time_s_by_rank = [0.0] * (request_queue.BULK + 1)
        #: Mean time from sending to the first token of requests that are not
        #: bulk, seconds.
        self.first_token_s = 0.0
        self.non_bulk_peak = 0.0
        self.peak_updated_at = 0.0

    def add_sample(self, rank: int, slot_time_s: float, first_token_s: float) -> None:
        """Add the samples of a request that ended.

        :param rank: rank of its urgency class.
        :param slot_time_s: time that it occupied its slot, seconds.
        :param first_token_s: time from sending to its first token, seconds.
        """
        self.slot_time_s_by_rank[rank] = _moving_average(
            self.slot_time_s_by_rank[rank], slot_time_s
        )
        # The engine may have paused a bulk request, so its time to the first
        # token does not apply to other classes.
        if rank < request_queue.BULK:
            self.first_token_s = _moving_average(self.first_token_s, first_token_s)

    def slot_time_s(self, ranks: collections.abc.Sequence[int]) -> float:
        """Return the mean time that requests occupy their slots, seconds.

        :param ranks: ranks of the requests; the mean is 0 where there are none.
        """
        slot_times = [self.slot_time_s_by_rank[rank] for rank in ranks]
        return sum(slot_times) / len(slot_times) if slot_times else 0.0

    def update_peak(self, non_bulk: int, now: float) -> float:
        """Update and return the decaying peak of slots used by work other than bulk.

        :param non_bulk: number of slots that such work uses now.
        :param now: monotonic time, seconds.
        """
        decay = math.exp((self.peak_updated_at - now) / PEAK_DECAY_S)
        self.non_bulk_peak = max(self.non_bulk_peak * decay, float(non_bulk))
        self.peak_updated_at = now
        return self.non_bulk_peak


def _moving_average(average: float, sample: float) -> float:
    return sample if not average else average + SAMPLE_WEIGHT * (sample - average)
