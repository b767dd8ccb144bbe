"""Retry budget: bounds the requests that are sent again, over all VMs.

Where endpoints fail, each request would be sent twice just when capacity is
short. The deployment allows a share of the recent requests of a service and
a fixed number beside it, for all VMs together. Each VM takes the share of its
own requests, and an equal part of the fixed number.
"""

import collections
import time

from mothworks import kernel
from mothworks_gateway import pulse

#: Part of the allowance that is used; the rest covers VMs that count each
#: other wrongly for a moment.
USED = 0.8


class _Window:
    """Times of events in a sliding window.

    :param seconds: the window's length.
    """

    def __init__(self, seconds: float):
        self.seconds = seconds
        self.times: collections.deque[float] = collections.deque()

    def add(self) -> None:
        self.times.append(time.monotonic())

    def count(self) -> int:
        oldest = time.monotonic() - self.seconds
        while self.times and self.times[0] < oldest:
            self.times.popleft()
        return len(self.times)


class Budget(kernel.Part):
    """Counts requests and repeats by service.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.pulses = node_kernel.get(pulse.Pulses)
        self.requests_by_service: dict[str, _Window] = {}
        self.repeats_by_service: dict[str, _Window] = {}

    def add_request(self, service: str) -> None:
        """Count a caller's request.

        :param service: the service that runs it.
        """
        self._window(self.requests_by_service, service).add()

    def take(self, service: str) -> bool:
        """Spend one repeat; returns whether there was one.

        :param service: the service that it is sent to.
        """
        repeats = self._window(self.repeats_by_service, service)
        requests = self._window(self.requests_by_service, service).count()
        bounds = self.kernel.settings.bounds
        slack = bounds.retry_slack / self.pulses.vms()
        allowed = USED * (bounds.retry_share * requests + slack)
        if repeats.count() + 1 > allowed:
            return False
        repeats.add()
        return True

    def _window(self, by_service: dict[str, _Window], service: str) -> _Window:
        window = by_service.get(service)
        if window is None:
            window = by_service[service] = _Window(
                self.kernel.settings.bounds.retry_window_s
            )
        return window
