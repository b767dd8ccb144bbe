"""Windows: events and amounts, counted over the last seconds."""

import collections
import time


class Window:
    """Times of events in a sliding window.

    Example::

        loads = Window(10.0)
        loads.add()
        loads.count()  # 1, and 0 after 10 s

    :param seconds: the window's length.
    """

    def __init__(self, seconds: float):
        self.seconds = seconds
        self.times: collections.deque[float] = collections.deque()

    def add(self) -> None:
        """Count an event now."""
        self.times.append(time.monotonic())

    def count(self) -> int:
        """Return the events in the window that ends now."""
        oldest = time.monotonic() - self.seconds
        while self.times and self.times[0] < oldest:
            self.times.popleft()
        return len(self.times)


class Amounts:
    """Amounts in a sliding window.

    Example::

        tokens = Amounts(8.0)
        tokens.add(500)
        tokens.total()  # 500, and 0 after 8 s

    :param seconds: the window's length.
    """

    def __init__(self, seconds: float):
        self.seconds = seconds
        self.entries: collections.deque[tuple[float, float]] = collections.deque()
        self._total = 0.0

    def add(self, amount: float) -> None:
        """Count an amount now; one below 0 takes away.

        :param amount: the amount.
        """
        self._forget_old()
        self.entries.append((time.monotonic(), amount))
        self._total += amount

    def total(self) -> float:
        """Return the sum of the amounts in the window that ends now."""
        self._forget_old()
        return self._total

    def _forget_old(self) -> None:
        oldest = time.monotonic() - self.seconds
        while self.entries and self.entries[0][0] < oldest:
            self._total -= self.entries.popleft()[1]
        if not self.entries:
            self._total = 0.0
