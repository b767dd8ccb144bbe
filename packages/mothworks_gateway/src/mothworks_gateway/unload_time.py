"""Unload time: learns how long endpoints take to unload a model.

An endpoint accepts an unload and refuses all orders until it is done, without reporting
when that is. When the load after an unload was sent at once and retried after 30 and 80
ms, it was refused twice: half of all orders were refused.
"""

#: Share of the difference by which the expected time rises when an unload took longer.
RISE_SHARE = 0.5
#: Factor by which the expected time falls with each order that is accepted at once: an
#: expectation that is too long delays loads, and nothing else would reveal it.
FALL_FACTOR = 0.97
#: Maximum expected time, seconds. A longer unload waits for running requests, which
#: says nothing about the next one.
MAX_EXPECTED_S = 0.25


class UnloadTime:
    """Expected time after an unload at which the endpoint accepts the next order.

    >>> unloads = UnloadTime()
    >>> unloads.accepted_after(0.1)
    >>> unloads.expected_s
    0.05
    """

    def __init__(self):
        self.expected_s = 0.0

    def accepted_after(self, seconds: float) -> None:
        """Record an order that was refused before it was accepted.

        :param seconds: time from the acceptance of the unload to that of the order.
        """
        excess_s = min(MAX_EXPECTED_S, seconds) - self.expected_s
        self.expected_s += RISE_SHARE * max(0.0, excess_s)

    def accepted_at_once(self) -> None:
        """Record an order that was accepted at once."""
        self.expected_s *= FALL_FACTOR
