"""Strategies for requests whose endpoint wants none from their VM for a time.

Run as a program, it prints the table in ``docs/design/endpoint-backoff.md``.
"""

import enum
import heapq
import itertools
import random

import attrs

#: Time for which the endpoint asks a VM to back off, seconds.
BACKOFF_S = 3.0
#: Time until its refusal arrives, seconds.
REFUSAL_S = 0.03
#: Requests that the endpoint runs concurrently, and for how long, seconds.
SLOTS = 32
RUN_S = 1.5
#: Time that callers allow for an answer, and share of the remaining time for which they
#: wait before they retry.
DEADLINE_S = 12.0
MAX_WAIT_SHARE = 1 / 3
MAX_RETRIES = 1
#: Longest wait at a VM where it waits only briefly, seconds.
MAX_WAIT_S = 1.0
#: Times at which callers' requests begin and end, seconds.
START_S, END_S = 0.0, 24.0


class Strategy(enum.Enum):
    """What a VM does with a request during a backoff."""

    WAIT = "waits at the VM"
    WAIT_BRIEFLY = "waits for the last second, else refused with a whole backoff"
    SOON = "refused, Retry-After 0.3 s"
    AT_END = "refused, Retry-After when the backoff ends"
    IN_ORDER = "refused, Retry-After of a whole backoff"


@attrs.frozen
class Load:
    """What callers send, and how the endpoint fails.

    :param per_s: requests per second.
    :param refused_share: share of the requests that the endpoint refuses while failing.
    :param failing_until: time until which it fails, seconds.
    :param burst_per_s: requests per second while it fails.
    """

    per_s: float
    refused_share: float
    failing_until: float
    burst_per_s: float


@attrs.define
class _Request:
    id: int
    sent_at: float
    retries: int = 0


class Trial:
    """Callers of a model that a single endpoint holds, through several VMs.

    :param strategy: the strategy.
    :param load: the load.
    :param vms: number of VMs; each attempt goes to a random one.
    """

    def __init__(self, strategy: Strategy, load: Load, vms: int):
        self.strategy = strategy
        self.load = load
        self.rng = random.Random(1)
        self.backoff_until = [0.0] * vms
        self.running = 0
        #: Pending events as (time, order, function, arguments).
        self.events = []
        self.order = itertools.count()
        self.latencies = []
        self.sent = self.refused_by_endpoint = 0
        self._start_callers()
        while self.events:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)

    @property
    def served_share(self) -> float:
        """Return the share of the requests that were served before their deadline."""
        return len(self.latencies) / self.sent

    @property
    def mean_latency_s(self) -> float:
        """Return the mean time until the answer of served requests, seconds."""
        return sum(self.latencies) / max(1, len(self.latencies))

    def _start_callers(self) -> None:
        at = START_S
        while at < END_S:
            per_s = self.load.per_s
            if at < self.load.failing_until:
                per_s = self.load.burst_per_s
            at += self.rng.expovariate(per_s)
            self.sent += 1
            self._at(at, self._attempt, _Request(self.sent, at))

    def _at(self, at, function, *arguments) -> None:
        heapq.heappush(self.events, (at, next(self.order), function, arguments))

    def _attempt(self, request: _Request) -> None:
        self._send(request, self.rng.randrange(len(self.backoff_until)))

    def _send(self, request: _Request, vm: int) -> None:
        if self.now >= request.sent_at + DEADLINE_S:
            return
        if self.now < self.backoff_until[vm]:
            self._handle_backoff(request, vm)
            return
        failing = self.now < self.load.failing_until
        refuses = failing and self.rng.random() < self.load.refused_share
        if refuses or self.running >= SLOTS:
            self.refused_by_endpoint += 1
            self._at(self.now + REFUSAL_S, self._begin_backoff, request, vm)
            return
        self.running += 1
        self._at(self.now + RUN_S, self._finish, request)

    def _begin_backoff(self, request: _Request, vm: int) -> None:
        self.backoff_until[vm] = self.now + BACKOFF_S
        self._handle_backoff(request, vm)

    def _finish(self, request: _Request) -> None:
        self.running -= 1
        if self.now <= request.sent_at + DEADLINE_S:
            self.latencies.append(self.now - request.sent_at)

    def _handle_backoff(self, request: _Request, vm: int) -> None:
        left_s = self.backoff_until[vm] - self.now
        match self.strategy:
            case Strategy.WAIT:
                self._at(self.backoff_until[vm], self._send, request, vm)
            case Strategy.WAIT_BRIEFLY if left_s <= MAX_WAIT_S:
                self._at(self.backoff_until[vm], self._send, request, vm)
            case Strategy.SOON:
                self._refuse(request, 0.3)
            case Strategy.AT_END:
                self._refuse(request, left_s)
            case Strategy.IN_ORDER | Strategy.WAIT_BRIEFLY:
                self._refuse(request, BACKOFF_S)

    def _refuse(self, request: _Request, retry_after_s: float) -> None:
        left_s = request.sent_at + DEADLINE_S - self.now
        if request.retries < MAX_RETRIES:
            request.retries += 1
            wait_s = min(retry_after_s, left_s * MAX_WAIT_SHARE)
            self._at(self.now + wait_s, self._attempt, request)


LOAD_BY_NAME = {
    "refuses all for 6 s": Load(12.0, 1.0, 6.0, 12.0),
    "refuses 4 in 10 for 9 s": Load(12.0, 0.4, 9.0, 12.0),
    "twice its capacity for 8 s": Load(12.0, 0.0, 8.0, 43.0),
}


def main() -> None:
    """Print the table."""
    print("| load | VMs | strategy | served | mean latency, s | refused by it |")
    print("|---|---|---|---|---|---|")
    for name, vms in itertools.product(LOAD_BY_NAME, (8, 60)):
        for strategy in Strategy:
            trial = Trial(strategy, LOAD_BY_NAME[name], vms)
            print(
                f"| {name} | {vms} | {strategy.value} | {trial.served_share:.2f} "
                f"| {trial.mean_latency_s:.2f} | {trial.refused_by_endpoint} |"
            )


if __name__ == "__main__":
    main()
