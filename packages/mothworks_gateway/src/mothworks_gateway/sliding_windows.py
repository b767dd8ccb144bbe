"""Sliding windows: counts of events and sums of amounts over the last seconds."""

import collections
import time


class WindowedCount:
    """Counts events in a sliding window.

    Example::

        loads = WindowedCount(10.0)
        loads.add()
        loads.count()  # 1, and 0 after 10 s

    :param seconds: the window's length.
    """

    def __init__(self, seconds: float):
        self.seconds = seconds
        self.times: collections.deque[float] = collections.deque()

    def add(self) -> None:
        """Record an event at the current time."""
        self.times.append(time.monotonic())

    def count(self) -> int:
        """Return the number of events in the window that ends now."""
        cutoff = time.monotonic() - self.seconds
        while self.times and self.times[0] < cutoff:
            self.times.popleft()
        return len(self.times)


class WindowedSum:
    """Sums amounts in a sliding window.

    Example::

        tokens = WindowedSum(8.0)
        tokens.add(500)
        tokens.total()  # 500, and 0 after 8 s

    :param seconds: the window's length.
    """

    def __init__(self, seconds: float):
        self.seconds = seconds
        self.entries: collections.deque[tuple[float, float]] = collections.deque()
        self._total = 0.0

    def add(self, amount: float) -> None:
        """Add an amount at the current time.

        :param amount: the amount; a negative one reduces the total.
        """
        self._expire()
        self.entries.append((time.monotonic(), amount))
        self._total += amount

    def total(self) -> float:
        """Return the sum of the amounts in the window that ends now."""
        self._expire()
        return self._total

    def _expire(self) -> None:
        cutoff = time.monotonic() - self.seconds
        while self.entries and self.entries[0][0] < cutoff:
            self._total -= self.entries.popleft()[1]
        if not self.entries:
            self._total = 0.0
