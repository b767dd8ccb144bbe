"""Windows: events counted over the last seconds."""

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
