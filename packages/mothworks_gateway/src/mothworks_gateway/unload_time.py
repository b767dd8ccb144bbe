"""Unload time: how long endpoints take to drop a model, learnt from their answers.

An endpoint accepts an unload and refuses all orders until it is carried out, without
saying when. Sent at once and again after 30 and 80 ms, the load that follows an
unload was refused twice: half of all orders were.
"""

#: Part of the difference by which a longer time than expected is taken over at once.
RISE = 0.5
#: Factor by which the expectation falls with each order that was not refused: an
#: expectation that is too long would delay loads and never show.
FALL = 0.97
#: Longest expectation, seconds: a longer unload waits for requests that run, which
#: says nothing of the next one.
MOST_S = 0.25


class UnloadTime:
    """The time after an unload at which an endpoint takes the next order.

    >>> unloads = UnloadTime()
    >>> unloads.refused_until(0.1)
    >>> unloads.expected_s
    0.05
    """

    def __init__(self):
        self.expected_s = 0.0

    def refused_until(self, seconds: float) -> None:
        """Learn from an order that was refused before it was taken.

        :param seconds: time from the unload's acceptance until it was taken.
        """
        longer_s = min(MOST_S, seconds) - self.expected_s
        self.expected_s += RISE * max(0.0, longer_s)

    def taken_at_once(self) -> None:
        """Learn from an order that was not refused."""
        self.expected_s *= FALL
