"""Estimates of the endpoint queue: durations of runs, expected waits, Retry-After."""

import collections.abc
import math

import attrs

from mothworks_gateway import endpoint_load, fair_shares, queue_order, queue_types

#: Mean duration of a run, and of the time to the first event, before the first sample,
#: seconds.
DEFAULT_RUN_S = 0.1
DEFAULT_FIRST_S = 0.05
#: Share of a new sample in a mean: 1 / number of samples, and at least this.
MIN_SAMPLE_SHARE = 0.05
#: Upper bound of a sample, seconds. A run whose end was lost must not count for more.
MAX_SAMPLE_S = 60.0
#: Upper bound of the number of classes (urgency, patient) with means of their own.
MAX_CLASSES = 32
#: A request counts as late once the time left is less than this many times the expected
#: time to its first event: with the mean itself, half of the requests that are granted
#: last would miss their objective.
FIRST_MARGIN = 1.1
#: Term for the load of an endpoint: added to its expected time to a first event, when
#: endpoints are compared, if all of its slots are in use, seconds. With 0.005, the
#: busiest of 45 endpoints of three speeds got 2.57 times the mean, with 0.3 2.21 times.
LOAD_S = 0.3
#: Half-life of the usage of endpoints by class, seconds. It follows a burst within a
#: few runs, and is long against the time between two runs.
USAGE_HALF_LIFE_S = 1.0
#: Upper bound of the number of classes whose usage is kept for each endpoint.
MAX_USAGE_CLASSES = 128
#: Interval at which the usage of an endpoint is computed anew, seconds.
USAGE_INTERVAL_S = 0.1
#: Usage below this has decayed and is not an active account's, seconds a second.
MIN_PER_S = 1e-3
#: Least share of the capacity that a request can count on: while more urgent requests
#: wait, one grant in ten goes to others.
MIN_SHARE = 0.1
#: Factors of the expected waits of patient and of late requests, which later requests
#: that are on time overtake. With 1.0, requests waited in vain until ``send_by``: 469
#: of 4,800 in a patient burst at four times the capacity, and 172 of 7,982 at 2.5
#: times the capacity.
PATIENT_MARGIN = 1.4
LATE_MARGIN = 3.0
#: Share of the capacity that is booked for callers that come back; the rest is left to
#: new requests. At 1.5 times the capacity, 910 of 4,774 callers were refused twice with
#: 1.0, 617 with 0.5; with 0.25, a burst of 3 s left capacity unused.
BOOKED_SHARE = 0.5
#: Bounds of Retry-After, seconds.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0

Class = tuple[int, bool]


class Mean:
    """Mean of the last samples.

    :param default: the mean before the first sample.
    """

    def __init__(self, default: float):
        self.value = default
        self._samples = 0

    def add(self, sample: float) -> None:
        """Add a sample.

        :param sample: the sample; one that is negative or not a number is ignored.
        """
        if not sample >= 0:
            return
        self._samples += 1
        share = max(MIN_SAMPLE_SHARE, 1.0 / self._samples)
        self.value += share * (min(sample, MAX_SAMPLE_S) - self.value)


class RunEstimates:
    """Learned durations of runs, at an endpoint of the service's mean speed."""

    def __init__(self):
        self.run = Mean(DEFAULT_RUN_S)
        self.first = Mean(DEFAULT_FIRST_S)
        self.memory = Mean(0.0)
        self._run_by_class: dict[Class, Mean] = {}
        self._first_by_class: dict[Class, Mean] = {}

    def add_run(self, request: queue_types.WaitingRequest, seconds: float) -> None:
        """Add the duration of a run at mean speed.

        :param request: the request that ran.
        :param seconds: the duration.
        """
        self.run.add(seconds)
        _mean_of(self._run_by_class, request, self.run).add(seconds)

    def add_first(self, request: queue_types.WaitingRequest, seconds: float) -> None:
        """Add the time from a grant to the first event, without the prompt.

        :param request: the request that began.
        :param seconds: the time at mean speed.
        """
        self.first.add(seconds)
        _mean_of(self._first_by_class, request, self.first).add(seconds)

    def run_s(self, request: queue_types.WaitingRequest) -> float:
        """Return the expected duration of a request's run at mean speed, seconds.

        :param request: the request.
        """
        mean = self._run_by_class.get((request.urgency, request.is_patient), self.run)
        return max(1e-3, mean.value)

    def first_s(self, request: queue_types.WaitingRequest) -> float:
        """Return the expected time to a first event at mean speed, seconds.

        The time to process the prompt is not included.

        :param request: the request.
        """
        key = request.urgency, request.is_patient
        return self._first_by_class.get(key, self.first).value

    def places(self, load: endpoint_load.EndpointLoad, now: float) -> float:
        """Return how many runs fit at an endpoint, with the mean memory of a run.

        :param load: the endpoint's load.
        :param now: the time.
        """
        # A place is idle for a round trip after each run, which the overlap makes up.
        overlap = load.slots * endpoint_load.ROUND_TRIP_S / max(1e-3, self.run.value)
        places = min(load.slots + overlap, float(load.limit(now)))
        if load.capacity.memory_tokens > 0 and self.memory.value > 0:
            places = min(places, load.capacity.memory_tokens / self.memory.value)
        return max(1.0, places)


class EndpointUsage:
    """What an endpoint's places were lately used for, and until when they are booked.

    :param booked_until: time until which capacity is booked for callers that were
        refused with a Retry-After.
    """

    def __init__(self):
        self.booked_until = -math.inf
        self._sums = fair_shares.FairShares(USAGE_HALF_LIFE_S, MAX_USAGE_CLASSES)
        self._used_by_rank: dict[tuple[bool, int], _UsedByRank] = {}
        self._updated_at = -math.inf

    def add(self, entry: queue_order.Entry, now: float) -> None:
        """Add a grant.

        :param entry: the request.
        :param now: the time.
        """
        is_late = entry.state is queue_order.State.LATE
        request = entry.request
        key = is_late, request.urgency, request.account
        self._sums.add(key, 1.0, entry.run_s, now)

    def first_per_s(
        self, is_late: bool, urgency: int, account: str, rate: float, now: float
    ) -> float:
        """Return the seconds of runs a second that go before a request's.

        These are the more urgent ones, and those of the same rank of other accounts up
        to their fair share.

        :param is_late: whether the request is late.
        :param urgency: its urgency.
        :param account: its account.
        :param rate: seconds of runs that the endpoint can do in a second.
        :param now: the time.
        """
        if not 0 <= now - self._updated_at < USAGE_INTERVAL_S:
            self._update(rate, now)
        rank = is_late, urgency
        used = self._used_by_rank.get(rank)
        if used is not None:
            own_per_s = used.per_s_by_account.get(account, 0.0)
            return used.first_per_s + used.fair_total - min(own_per_s, used.fair_per_s)
        return sum(
            sum(used.per_s_by_account.values())
            for other, used in self._used_by_rank.items()
            if other < rank
        )

    def _update(self, rate: float, now: float) -> None:
        self._updated_at = now
        self._used_by_rank.clear()
        for key, per_s in self._sums.per_s_by_account(now).items():
            if per_s > MIN_PER_S:
                is_late, urgency, account = key
                used = self._used_by_rank.setdefault((is_late, urgency), _UsedByRank())
                used.per_s_by_account[account] = per_s
        first_per_s = 0.0
        for _, used in sorted(self._used_by_rank.items(), key=lambda item: item[0]):
            per_s = used.per_s_by_account.values()
            used.first_per_s = first_per_s
            used.fair_per_s = max(0.0, rate - first_per_s) / len(per_s)
            used.fair_total = sum(min(item, used.fair_per_s) for item in per_s)
            first_per_s += sum(per_s)


@attrs.define(eq=False)
class _UsedByRank:
    """What the accounts of one rank used, seconds of runs a second.

    :param first_per_s: usage of all ranks before this one.
    :param fair_per_s: fair share of an account.
    :param fair_total: usage of all accounts up to their fair shares.
    """

    per_s_by_account: dict[str, float] = attrs.field(factory=dict)
    first_per_s: float = 0.0
    fair_per_s: float = 0.0
    fair_total: float = 0.0


@attrs.frozen
class EndpointView:
    """What estimates need of one endpoint.

    :param load: its load.
    :param order: the requests that wait there.
    :param usage: what it was lately used for.
    """

    load: endpoint_load.EndpointLoad
    order: queue_order.EndpointOrder
    usage: EndpointUsage


class Waits:
    """Expected waits at the endpoints of one request.

    :param entry: the request, which waits at the endpoints.
    :param views: its endpoints that accept requests.
    :param estimates: the learned durations.
    :param now: the time.
    """

    def __init__(
        self,
        entry: queue_order.Entry,
        views: collections.abc.Sequence[EndpointView],
        estimates: RunEstimates,
        now: float,
    ):
        self.entry = entry
        self.views = views
        self.now = now
        #: Seconds of runs that the endpoints can do in a second.
        self._rates = [
            estimates.places(view.load, now) * view.load.speed for view in views
        ]
        self.rate = sum(self._rates)

    def until_granted_s(self) -> float:
        """Return the expected time until the request is granted, seconds."""
        if not self.rate:
            return math.inf
        if self.entry.request.is_patient:
            # Promotion bounds its wait also if it becomes late.
            return PATIENT_MARGIN * self._wait_s(queue_order.State.ON_TIME)
        if self.entry.state is not queue_order.State.LATE:
            wait_s = self._wait_s(self.entry.state)
            if self.now + wait_s <= self.entry.late_at:
                return wait_s
        return LATE_MARGIN * self._wait_s(queue_order.State.LATE)

    def retry_after_s(self, excess_s: float) -> float:
        """Return when there will be room for the request, and book that time.

        :param excess_s: time by which the expected wait is too long, seconds.
        """
        if not self.rate:
            return MIN_RETRY_AFTER_S
        usage = min((view.usage for view in self.views), key=lambda i: i.booked_until)
        # All endpoints of the request work at the backlog, and each further refusal
        # books the time of one run at one of them.
        step_s = self.entry.run_s * len(self.views) / (self.rate * BOOKED_SHARE)
        soonest = self.now + max(MIN_RETRY_AFTER_S, excess_s)
        at = max(soonest, usage.booked_until + step_s)
        usage.booked_until = min(at, self.now + MAX_RETRY_AFTER_S)
        return min(MAX_RETRY_AFTER_S, at - self.now)

    def _wait_s(self, state: queue_order.State) -> float:
        request = self.entry.request
        rank = state, request.urgency
        ahead_s = 0.0
        first_per_s = 0.0
        is_late = state is queue_order.State.LATE
        for view, rate in zip(self.views, self._rates, strict=True):
            ahead_s += view.order.work_ahead_s(
                rank, request.is_patient, request.account
            )
            first_per_s += view.usage.first_per_s(
                is_late, request.urgency, request.account, rate, self.now
            )
        if self.entry.is_waiting:
            ahead_s -= self.entry.work_s * len(self.views)
        share = max(MIN_SHARE, 1.0 - first_per_s / self.rate)
        if request.is_patient:
            share = min(share, endpoint_load.PATIENT_SHARE)
        return max(0.0, ahead_s) / (self.rate * share)


def queued_s(
    entry: queue_order.Entry, load: endpoint_load.EndpointLoad, running: int
) -> float:
    """Return how long a request waits at an endpoint for the end of a run, seconds.

    :param entry: the request.
    :param load: the endpoint's load.
    :param running: requests that run or wait there before it.
    """
    excess = running + 1 - load.slots
    return excess * entry.run_s * load.fullness_per_run if excess > 0 else 0.0


def loaded_first_s(
    entry: queue_order.Entry, load: endpoint_load.EndpointLoad, prompt_s: float
) -> float:
    """Return the expected time to a first event at an endpoint as it is, seconds.

    :param entry: the request.
    :param load: the endpoint's load.
    :param prompt_s: prefill time of its prompt there, seconds.
    """
    running = load.running
    first_s = prompt_s + load.unread_s + entry.first_s / load.speed
    if running >= load.slots:
        first_s += queued_s(entry, load, running)
    return first_s


def full_first_s(
    entry: queue_order.Entry,
    load: endpoint_load.EndpointLoad,
    endpoint_id: str,
    now: float,
) -> float:
    """Return the expected time at the last place of an endpoint, with a margin.

    :param entry: the request.
    :param load: the endpoint's load.
    :param endpoint_id: the endpoint's id.
    :param now: the time.
    """
    return FIRST_MARGIN * (
        load.prompt_s(entry.request, endpoint_id)
        + entry.first_s / load.speed
        + queued_s(entry, load, load.limit(now) - 1)
    )


def _mean_of(
    mean_by_class: dict[Class, Mean],
    request: queue_types.WaitingRequest,
    overall: Mean,
) -> Mean:
    """Return the mean of a request's class, or the overall one if there are many."""
    key = request.urgency, request.is_patient
    mean = mean_by_class.get(key)
    if mean is None:
        if len(mean_by_class) >= MAX_CLASSES:
            return Mean(overall.value)
        mean = mean_by_class[key] = Mean(overall.value)
    return mean
