"""Estimates of the endpoint queue: durations of runs, expected waits, Retry-After."""

import collections.abc
import math

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
#: Term for the load of an endpoint: added to its expected time to a first event if all
#: of its slots are in use, seconds. It decides between endpoints that are equal
#: otherwise.
LOAD_S = 0.005
#: Half-life of the usage of endpoints by class, seconds. It follows a burst within a
#: few runs, and is long against the time between two runs.
USAGE_HALF_LIFE_S = 1.0
#: Upper bound of the number of classes whose usage is kept for each endpoint.
MAX_USAGE_CLASSES = 128
#: Least share of the capacity that a request can count on: while more urgent requests
#: wait, one grant in ten goes to others.
MIN_SHARE = 0.1
#: Factors of the expected waits of patient and of late requests, which later requests
#: that are on time overtake. With 1.0, requests waited in vain until ``send_by``: 465
#: of 4,800 in a patient burst at four times the capacity, and 179 of 7,982 at 2.5
#: times the capacity.
PATIENT_MARGIN = 1.4
LATE_MARGIN = 3.0
#: Share of the capacity that is booked for callers that come back; the rest is left to
#: new requests. At 1.5 times the capacity, 969 of 4,774 callers were refused twice with
#: 1.0, 490 with 0.5; with 0.25, a burst of 3 s left capacity unused.
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

    def first_s(
        self,
        request: queue_types.WaitingRequest,
        load: endpoint_load.EndpointLoad,
        endpoint_id: str,
    ) -> float:
        """Return the expected time to a first event at an idle endpoint, seconds.

        :param request: the request.
        :param load: the endpoint's load.
        :param endpoint_id: the endpoint's id.
        """
        key = request.urgency, request.is_patient
        mean = self._first_by_class.get(key, self.first)
        return load.prompt_s(request, endpoint_id) + mean.value / load.speed

    def queued_s(
        self,
        request: queue_types.WaitingRequest,
        load: endpoint_load.EndpointLoad,
        running: int,
    ) -> float:
        """Return how long a request waits at an endpoint for the end of a run, seconds.

        :param request: the request.
        :param load: the endpoint's load.
        :param running: requests that run or wait there before it.
        """
        excess = running + 1 - load.slots
        if excess <= 0:
            return 0.0
        return excess * self.run_s(request) / (max(1, load.slots) * load.speed)

    def loaded_first_s(
        self,
        request: queue_types.WaitingRequest,
        load: endpoint_load.EndpointLoad,
        endpoint_id: str,
    ) -> float:
        """Return the expected time to a first event at an endpoint as it is, seconds.

        :param request: the request.
        :param load: the endpoint's load.
        :param endpoint_id: the endpoint's id.
        """
        return (
            self.first_s(request, load, endpoint_id)
            + load.unread_s
            + self.queued_s(request, load, load.running)
            + LOAD_S * load.fullness()
        )

    def full_first_s(
        self,
        request: queue_types.WaitingRequest,
        load: endpoint_load.EndpointLoad,
        endpoint_id: str,
        now: float,
    ) -> float:
        """Return the same for the last place of an endpoint, with a margin.

        :param request: the request.
        :param load: the endpoint's load.
        :param endpoint_id: the endpoint's id.
        :param now: the time.
        """
        running = load.limit(self.run.value, now) - 1
        return FIRST_MARGIN * (
            self.first_s(request, load, endpoint_id)
            + self.queued_s(request, load, running)
            + LOAD_S
        )

    def places(self, load: endpoint_load.EndpointLoad, now: float) -> float:
        """Return how many runs fit at an endpoint, with the mean memory of a run.

        :param load: the endpoint's load.
        :param now: the time.
        """
        # A place is idle for a round trip after each run, which the overlap makes up.
        overlap = load.slots * endpoint_load.ROUND_TRIP_S / max(1e-3, self.run.value)
        limit = load.limit(self.run.value, now)
        places = min(load.slots + overlap, float(limit))
        if load.capacity.memory_tokens > 0 and self.memory.value > 0:
            places = min(places, load.capacity.memory_tokens / self.memory.value)
        return max(1.0, places)


class UsageByClass:
    """What an endpoint's places were lately used for, and until when they are booked.

    :param booked_until: time until which callers were told to come back.
    """

    def __init__(self):
        self.sums = fair_shares.FairShares(USAGE_HALF_LIFE_S, MAX_USAGE_CLASSES)
        self.booked_until = -math.inf

    def add(self, entry: queue_order.Entry, cost: float, now: float) -> None:
        """Add a grant.

        :param entry: the request.
        :param cost: expected duration of its run at mean speed, seconds.
        :param now: the time.
        """
        is_late = entry.state is queue_order.State.LATE
        request = entry.request
        key = is_late, request.urgency, request.account
        self.sums.add(key, 1.0, cost, now)


class Waits:
    """Expected waits at the endpoints of one request.

    :param request: the request.
    :param rows: load, order and usage of each of its endpoints that accepts requests.
    :param estimates: the learned durations.
    :param now: the time.
    """

    def __init__(
        self,
        request: queue_types.WaitingRequest,
        rows: collections.abc.Sequence[
            tuple[endpoint_load.EndpointLoad, queue_order.EndpointOrder, UsageByClass]
        ],
        estimates: RunEstimates,
        now: float,
    ):
        self.request = request
        self.rows = rows
        self.now = now
        #: Seconds of runs that the endpoints can do in a second.
        self.rate = sum(estimates.places(load, now) * load.speed for load, *_ in rows)
        self.run_s = estimates.run_s(request)
        self._used = [usage.sums.per_s_by_account(now) for *_, usage in rows]

    def until_granted_s(self, entry: queue_order.Entry) -> float:
        """Return the expected time until a waiting request is granted, seconds.

        :param entry: the request, which waits at the endpoints.
        """
        if not self.rate:
            return math.inf
        if self.request.is_patient:
            # Promotion bounds its wait also if it becomes late.
            return PATIENT_MARGIN * self._wait_s(entry, queue_order.State.ON_TIME)
        if entry.state is not queue_order.State.LATE:
            wait_s = self._wait_s(entry, entry.state)
            if self.now + wait_s <= entry.late_at:
                return wait_s
        return LATE_MARGIN * self._wait_s(entry, queue_order.State.LATE)

    def retry_after_s(self, excess_s: float) -> float:
        """Return when there will be room for the request, and book that time.

        :param excess_s: time by which the expected wait is too long, seconds.
        """
        if not self.rate:
            return MIN_RETRY_AFTER_S
        load, _, usage = min(self.rows, key=lambda row: row[2].booked_until)
        # All endpoints of the request work at the backlog, and each further refusal
        # books the time of one run at one of them.
        step_s = self.run_s * len(self.rows) / (self.rate * BOOKED_SHARE)
        soonest = self.now + max(MIN_RETRY_AFTER_S, excess_s)
        at = max(soonest, usage.booked_until + step_s)
        usage.booked_until = min(at, self.now + MAX_RETRY_AFTER_S)
        return min(MAX_RETRY_AFTER_S, at - self.now)

    def _wait_s(self, entry: queue_order.Entry, state: queue_order.State) -> float:
        ahead_s = -entry.work_s * len(self.rows)
        for _, order, _ in self.rows:
            for bucket in order.bucket_by_key.values():
                if bucket.key == queue_order.bucket_key(entry) or self._precedes(
                    bucket, state
                ):
                    ahead_s += bucket.work_s
        return max(0.0, ahead_s) / (self.rate * self._share(state))

    def _precedes(self, bucket: queue_order.Bucket, state: queue_order.State) -> bool:
        """Return whether a bucket's requests are granted before this one."""
        request = self.request
        if request.is_patient and bucket.is_patient:
            return bucket.account == request.account
        if (bucket.state, bucket.urgency) != (state, request.urgency):
            return (bucket.state, bucket.urgency) < (state, request.urgency)
        # Other accounts of the same rank are a part of the share.
        is_later = bucket.is_patient and not request.is_patient
        return bucket.account == request.account and not is_later

    def _share(self, state: queue_order.State) -> float:
        """Return the share of the capacity left by requests that go first.

        Other accounts of the same rank go first until they have their fair share.
        """
        is_late = state is queue_order.State.LATE
        rank = is_late, self.request.urgency
        first_per_s = 0.0
        per_s_by_account: dict[str, float] = {}
        for used in self._used:
            for (used_late, urgency, account), per_s in used.items():
                if (used_late, urgency) < rank:
                    first_per_s += per_s
                elif (used_late, urgency) == rank and account != self.request.account:
                    per_s_by_account[account] = (
                        per_s_by_account.get(account, 0.0) + per_s
                    )
        # Usage that has decayed to almost nothing is not an active account's.
        active = [per_s for per_s in per_s_by_account.values() if per_s > 1e-3]
        fair_per_s = max(0.0, self.rate - first_per_s) / (1 + len(active))
        first_per_s += sum(min(per_s, fair_per_s) for per_s in active)
        share = max(MIN_SHARE, 1.0 - first_per_s / self.rate)
        if self.request.is_patient:
            share = min(share, endpoint_load.PATIENT_SHARE)
        return share


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
