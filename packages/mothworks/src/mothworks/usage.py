"""How one endpoint's slots were used lately: running means and a peak.

From these its owner estimates how long a request would wait, and how many
slots urgent work is likely to need next.
"""

import collections.abc
import math

from mothworks import queues

#: Weight of a new sample in running means.
WEIGHT = 0.1
#: Time in which the peak of urgent requests in flight fades, seconds.
FADE_S = 20.0


class Usage:
    """What the requests of one endpoint took."""

    def __init__(self):
        #: Mean time that a request holds its slot, by rank, seconds.
        self.hold_s_by_rank = [0.0] * (queues.BULK + 1)
        #: Mean time from sending to the first token of urgent work, seconds.
        self.first_token_s = 0.0
        self.urgent_peak = 0.0
        self.peak_at = 0.0

    def note(self, rank: int, hold_s: float, first_token_s: float) -> None:
        """Note a request that ended.

        :param rank: rank of its urgency.
        :param hold_s: time that it held its slot, seconds.
        :param first_token_s: time from sending to its first token, seconds.
        """
        self.hold_s_by_rank[rank] = _mean(self.hold_s_by_rank[rank], hold_s)
        # The engine may have paused bulk work, which says nothing of others.
        if rank < queues.BULK:
            self.first_token_s = _mean(self.first_token_s, first_token_s)

    def hold_s(self, ranks: collections.abc.Sequence[int]) -> float:
        """Return the mean time that some requests hold their slots, seconds.

        :param ranks: their ranks; 0 is returned for none.
        """
        times = [self.hold_s_by_rank[rank] for rank in ranks]
        return sum(times) / len(times) if times else 0.0

    def peak(self, urgent: int, now: float) -> float:
        """Return how many slots urgent work used at most lately.

        :param urgent: how many it uses now.
        :param now: monotonic seconds.
        """
        fade = math.exp((self.peak_at - now) / FADE_S)
        self.urgent_peak = max(self.urgent_peak * fade, float(urgent))
        self.peak_at = now
        return self.urgent_peak


def _mean(known: float, sample: float) -> float:
    return sample if not known else known + WEIGHT * (sample - known)
