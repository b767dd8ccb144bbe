"""Endpoint speeds: estimates how fast the endpoints of one service are, relative to
each other.

Each answer gives a sample: the time to its first event, or its time per event. Answers
of different models cannot be compared, since larger models run slower. So each sample
is compared with the usual time of its kind, of its model and, for prompts, of its
length. An endpoint's speed is the weighted median of these ratios; the usual times are
in turn those of an endpoint of mean speed. So endpoints can be compared if they share
models, directly or by way of others; the speed of one that shares none is found only as
far as it changes.

A run that should have begun and has not counts as well: an endpoint that becomes slow
gives few samples until its slow runs begin. Its wait is a lower bound of its time, so
the median is that of Kaplan and Meier.

The estimator is pure. It reads no clock; callers pass the monotonic time.
"""

import collections
import math

import attrs

from mothworks_gateway import prefill_samples

#: Half-life of a sample's weight, seconds. A change of speed has to show within 2 s,
#: and the first slow samples arrive after 0.5 to 1 s. With a half-life of 1 s, half of
#: the changes took longer.
SAMPLE_HALF_LIFE_S = 0.5
#: Number of newer samples up to which a sample keeps half of its weight at least, so
#: that an endpoint with few requests is judged by more than its last one or two.
SAMPLE_HALF_LIFE = 2.0
#: Age from which a sample is not used, seconds: by then, the speed has begun to return
#: to 1.0, and the endpoint is to be judged anew.
MAX_SAMPLE_AGE_S = 10.0
#: Half-life with which the speed of an endpoint without samples returns to 1.0,
#: seconds, so that the endpoint is tried again.
IDLE_HALF_LIFE_S = 10.0
#: Weight of an overdue run; a sample has 1 at most. Samples of the time before a change
#: still arrive for seconds after it; with a weight of 1, most changes took 2 to 4 s.
OVERDUE_WEIGHT = 4.0
#: Time without samples after which a speed begins to return to 1.0, seconds.
IDLE_S = 2.0
#: Quantile of the overdue runs' waits that counts if most runs are overdue.
WAITING_QUANTILE = 0.75
#: Values of samples below this or above its inverse are implausible; their quotients
#: might have no logarithm.
MIN_VALUE = 1e-9
#: Lower bound of a sum of weights, above rounding errors.
MIN_WEIGHT = 1e-9
#: Weight of the estimate so far among the samples. Fewer samples than this change
#: nothing, so that one or two outliers don't.
PRIOR_WEIGHT = 2.0
#: Maximum number of samples per endpoint.
MAX_SAMPLES = 24
#: Minimum time between two estimates of all speeds, seconds: each estimate sorts the
#: samples.
REFRESH_INTERVAL_S = 0.25
#: Share of a sample in the usual time of its kind, after the first ones.
REFERENCE_SHARE = 0.2
#: Largest deviation of one sample, as a logarithm, that changes the usual time.
MAX_DEVIATION = 0.5
#: Bounds of a speed. Beyond, an endpoint is broken rather than slow, and it still has
#: to get samples.
MIN_SPEED = 0.1
MAX_SPEED = 10.0
#: Time to the first event that does not depend on the prompt, in tokens of prefill.
OVERHEAD_TOKENS = 512
#: Time after which an overdue run that is not reported again counts as begun, seconds.
OVERDUE_EXPIRY_S = 0.75
#: Difference up to which two times of sending are those of one run, seconds: one is
#: measured by the owner, the other by the VM that sent the run.
START_TOLERANCE_S = 0.1
#: Overdue runs of an endpoint that are kept.
MAX_OVERDUE = 64
#: Upper bounds of the state, for callers that never forget an endpoint or that use
#: ever new models. Endpoints added first, and what was not used for the longest time,
#: are evicted.
MAX_ENDPOINTS = 4096
MAX_REFERENCES = 4096
MAX_MODELS = 1024
#: Half-life of a run's weight in the mean run time, seconds.
RUN_HALF_LIFE_S = 15.0
#: Time after its last run for which a model counts as recent, seconds.
RECENT_RUN_S = 60.0
#: Prefill speed returned while there are too few samples, tokens per second.
DEFAULT_PREFILL_TOKENS_PER_S = 20_000.0
#: Prompts for the prefill speed of the service, and new ones before each estimate.
MAX_PROMPTS = 160
PROMPTS_PER_ESTIMATE = 64

#: Kind of a sample, its model and the class of its prompt's length.
_Reference = tuple[str, str, int]
#: What a run shows: the logarithm of the endpoint's speed, the run's weight, and
#: whether it is still waiting, so that the speed is an upper bound.
_Observation = tuple[float, float, bool]


@attrs.frozen
class _OverdueRun:
    """A run that has not begun in the time expected.

    :param speed: logarithm of the highest speed at which it would still be waiting.
    :param due_at: monotonic time at which it should have begun.
    :param reported_at: monotonic time of the last report.
    """

    speed: float
    due_at: float
    reported_at: float


@attrs.define
class _Usual:
    """The usual time of one kind of sample at an endpoint of speed 1.0.

    :param cost: logarithm of the seconds per unit of work.
    :param samples: number of samples so far.
    """

    cost: float
    samples: int = 1

    def add(self, cost: float) -> None:
        self.samples += 1
        deviation = min(MAX_DEVIATION, max(-MAX_DEVIATION, cost - self.cost))
        self.cost += deviation * max(REFERENCE_SHARE, 1.0 / self.samples)


@attrs.frozen
class _Sample:
    """One answer.

    :param usual: the usual time that it is compared with.
    :param cost: logarithm of its seconds per unit of work.
    :param at: monotonic time at which it ended or was due, if that was earlier.
    """

    usual: _Usual
    cost: float
    at: float


@attrs.define
class _Endpoint:
    """What is known about one endpoint.

    :param speed: logarithm of its speed as of ``updated_at``.
    :param updated_at: monotonic time of the last estimate; in the future while there
        are recent samples.
    :param has_news: whether there are samples since then.
    :param samples: the latest samples.
    :param overdue_by_start: overdue runs by the time at which they were sent.
    """

    updated_at: float
    speed: float = 0.0
    has_news: bool = False
    samples: collections.deque[_Sample] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    overdue_by_start: dict[float, _OverdueRun] = attrs.field(factory=dict)

    def speed_at(self, now: float) -> float:
        """Return the logarithm of the speed now."""
        idle_s = max(0.0, now - self.updated_at)
        return self.speed * 0.5 ** (idle_s / IDLE_HALF_LIFE_S)

    def remove_overdue(self, start: float) -> None:
        """Remove the overdue run that was sent at about a time, since it has begun."""
        nearest = min(
            self.overdue_by_start, key=lambda item: abs(item - start), default=None
        )
        if nearest is not None and abs(nearest - start) < START_TOLERANCE_S:
            del self.overdue_by_start[nearest]


@attrs.define
class _DecayingMean:
    """Mean of values whose weight halves every ``RUN_HALF_LIFE_S``."""

    total: float = 0.0
    weight: float = 0.0
    at: float = 0.0

    def add(self, value: float, now: float) -> None:
        decay = 0.5 ** (max(0.0, now - self.at) / RUN_HALF_LIFE_S)
        self.total = self.total * decay + value
        self.weight = self.weight * decay + 1.0
        self.at = now

    def mean(self) -> float:
        return self.total / self.weight


class SpeedEstimator:
    """Estimates the speeds of the endpoints of one service.

    Samples that are not plausible positive numbers are ignored.
    """

    def __init__(self):
        self._endpoint_by_id: dict[str, _Endpoint] = {}
        self._usual_by_reference: dict[_Reference, _Usual] = {}
        self._prompts: collections.deque[prefill_samples.Sample] = collections.deque(
            maxlen=MAX_PROMPTS
        )
        self._new_prompts = 0
        self._prefill_tokens_per_s: float | None = None
        self._run_by_model: dict[str, _DecayingMean] = {}
        self._run_of_service = _DecayingMean()
        self._refreshed_at = -math.inf

    def add_prefill(
        self, endpoint_id: str, model: str, tokens: float, seconds: float, now: float
    ) -> None:
        """Add the time to the first event of an answer.

        :param endpoint_id: the endpoint.
        :param model: the model that ran.
        :param tokens: length of the prompt, without the part that is cached.
        :param seconds: time from sending the request to the first event.
        :param now: monotonic time.
        """
        if not _are_positive(tokens, seconds):
            return
        length_class = int(tokens).bit_length() // 3
        cost = math.log(seconds / (tokens + OVERHEAD_TOKENS))
        reference = ("prefill", model, length_class)
        endpoint = self._add(endpoint_id, reference, cost, now, sent_at=now - seconds)
        self._add_prompt(tokens, seconds * math.exp(endpoint.speed_at(now)))

    def add_decode(
        self, endpoint_id: str, model: str, tokens: float, seconds: float, now: float
    ) -> None:
        """Add the decoding time of an answer, or the time of a plain answer.

        :param endpoint_id: the endpoint.
        :param model: the model that ran; empty for plain services.
        :param tokens: events after the first one; 1 for plain answers.
        :param seconds: time from the first event to the last one, or of the answer.
        :param now: monotonic time.
        """
        if _are_positive(tokens, seconds):
            cost = math.log(seconds / tokens)
            sent_at = None if model else now - seconds
            self._add(endpoint_id, ("decode", model, 0), cost, now, sent_at)

    def overdue(
        self, endpoint_id: str, expected_s: float, waited_s: float, now: float
    ) -> None:
        """Report a run that has not begun in the time expected.

        It has to be reported again at least twice a second until it begins. Only a run
        that shows that the endpoint is slower than estimated has an effect.

        :param endpoint_id: the endpoint.
        :param expected_s: time to the first event expected of an endpoint of speed 1.0.
        :param waited_s: time since the run was sent.
        :param now: monotonic time.
        """
        if not _are_positive(expected_s, waited_s):
            return
        speed = math.log(expected_s / waited_s)
        endpoint = self._endpoint(endpoint_id, now)
        if speed >= endpoint.speed_at(now):
            return
        # All reports of one run have the same time of sending, but for rounding.
        start = round(now - waited_s, 2)
        overdue_by_start = endpoint.overdue_by_start
        if start in overdue_by_start or len(overdue_by_start) < MAX_OVERDUE:
            due_at = now - waited_s + expected_s
            overdue_by_start[start] = _OverdueRun(speed, due_at, now)
        endpoint.has_news = True
        self._refresh(now)

    def add_run(self, model: str, seconds: float, now: float) -> None:
        """Add the time for which a run occupied a batch slot.

        :param model: the model that ran; empty for plain services.
        :param seconds: time from sending the request to the end of its answer.
        :param now: monotonic time.
        """
        if not _are_positive(seconds):
            return
        run = self._run_by_model.pop(model, None) or _DecayingMean()
        _evict_oldest(self._run_by_model, MAX_MODELS - 1)
        self._run_by_model[model] = run
        run.add(seconds, now)
        self._run_of_service.add(seconds, now)

    def mean_run_s(self, model: str, now: float) -> float | None:
        """Return the mean time for which a run of a model occupies a batch slot.

        For a model without runs, it is the mean of the service; None if unknown.

        :param model: the model.
        :param now: monotonic time.
        """
        run = self._run_by_model.get(model, self._run_of_service)
        return run.mean() if run.weight > 0 else None

    def speed(self, endpoint_id: str, now: float) -> float:
        """Return an endpoint's speed relative to the mean; 1.0 if unknown.

        :param endpoint_id: the endpoint.
        :param now: monotonic time.
        """
        self._refresh(now)
        endpoint = self._endpoint_by_id.get(endpoint_id)
        return math.exp(endpoint.speed_at(now)) if endpoint else 1.0

    def prefill_tokens_per_s(
        self,
        endpoint_id: str,
        now: float,
        default: float = DEFAULT_PREFILL_TOKENS_PER_S,
    ) -> float:
        """Return the speed at which an endpoint reads prompts, tokens per second.

        :param endpoint_id: the endpoint.
        :param now: monotonic time.
        :param default: speed of an endpoint of mean speed while there are too few
            samples.
        """
        mean = self._prefill_tokens_per_s or default
        return mean * self.speed(endpoint_id, now)

    def endpoint_ids(self) -> list[str]:
        """Return the endpoints with samples."""
        return list(self._endpoint_by_id)

    def recent_models(self, now: float) -> list[str]:
        """Return the models with recent runs.

        :param now: monotonic time.
        """
        oldest_at = now - RECENT_RUN_S
        return [key for key, run in self._run_by_model.items() if run.at >= oldest_at]

    def assume(self, endpoint_id: str, speed: float, now: float) -> None:
        """Start with a speed that a former estimator found.

        :param endpoint_id: the endpoint.
        :param speed: its speed.
        :param now: monotonic time.
        """
        if _are_positive(speed):
            self._endpoint(endpoint_id, now).speed = _within_bounds(math.log(speed))

    def forget(self, endpoint_id: str) -> None:
        """Remove an endpoint that is gone.

        :param endpoint_id: the endpoint.
        """
        self._endpoint_by_id.pop(endpoint_id, None)

    def _add(
        self,
        endpoint_id: str,
        reference: _Reference,
        cost: float,
        now: float,
        sent_at: float | None,
    ) -> _Endpoint:
        """Add a sample, and return its endpoint.

        If the run may have been overdue, it counts from when it was due, as it did
        while it was waiting. Otherwise slow runs would count more than others: there
        are more of them among those that wait.
        """
        endpoint = self._endpoint(endpoint_id, now)
        at_speed_1 = cost + endpoint.speed_at(now)
        usual = self._usual_by_reference.pop(reference, None)
        if usual is None:
            usual = _Usual(at_speed_1)
            _evict_oldest(self._usual_by_reference, MAX_REFERENCES - 1)
        else:
            usual.add(at_speed_1)
        self._usual_by_reference[reference] = usual
        at = now
        if sent_at is not None:
            endpoint.remove_overdue(sent_at)
            at = min(now, sent_at + (now - sent_at) * math.exp(usual.cost - cost))
        endpoint.samples.append(_Sample(usual, cost, at))
        endpoint.has_news = True
        self._refresh(now)
        return endpoint

    def _endpoint(self, endpoint_id: str, now: float) -> _Endpoint:
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            _evict_oldest(self._endpoint_by_id, MAX_ENDPOINTS - 1)
            endpoint = self._endpoint_by_id[endpoint_id] = _Endpoint(now)
        return endpoint

    def _add_prompt(self, tokens: float, seconds: float) -> None:
        self._prompts.append(prefill_samples.Sample(tokens, seconds))
        self._new_prompts += 1
        if self._new_prompts >= PROMPTS_PER_ESTIMATE:
            self._new_prompts = 0
            estimate = prefill_samples.estimate(list(self._prompts))
            self._prefill_tokens_per_s = estimate or self._prefill_tokens_per_s

    def _refresh(self, now: float) -> None:
        """Estimate all speeds, unless that was done recently."""
        if now < self._refreshed_at + REFRESH_INTERVAL_S:
            return
        self._refreshed_at = now
        changed = [item for item in self._endpoint_by_id.values() if item.has_news]
        for endpoint in changed:
            endpoint.speed = self._estimate(endpoint, now)
            endpoint.updated_at = now + IDLE_S
            endpoint.has_news = False
        if changed:
            self._normalise(now)

    def _normalise(self, now: float) -> None:
        """Shift all speeds so that their mean is 1.0, and the usual times with them."""
        endpoints = self._endpoint_by_id.values()
        mean = math.fsum(math.exp(item.speed_at(now)) for item in endpoints)
        shift = math.log(mean / len(endpoints))
        for endpoint in endpoints:
            endpoint.speed = _within_bounds(endpoint.speed_at(now) - shift)
            endpoint.updated_at = max(now, endpoint.updated_at)
        for usual in self._usual_by_reference.values():
            usual.cost -= shift

    def _estimate(self, endpoint: _Endpoint, now: float) -> float:
        """Return the logarithm of an endpoint's speed by its samples."""
        observations = [(endpoint.speed_at(now), PRIOR_WEIGHT, False)]
        while endpoint.samples and endpoint.samples[0].at < now - MAX_SAMPLE_AGE_S:
            endpoint.samples.popleft()
        for newer, sample in enumerate(reversed(endpoint.samples)):
            age = (now - sample.at) / SAMPLE_HALF_LIFE_S
            weight = 0.5 ** min(age, newer / SAMPLE_HALF_LIFE)
            observations.append((sample.usual.cost - sample.cost, weight, False))
        for start, run in list(endpoint.overdue_by_start.items()):
            if now - run.reported_at > OVERDUE_EXPIRY_S:
                del endpoint.overdue_by_start[start]
            else:
                age = (now - run.due_at) / SAMPLE_HALF_LIFE_S
                weight = OVERDUE_WEIGHT * 0.5 ** max(0.0, age)
                observations.append((run.speed, weight, True))
        return _within_bounds(_median(observations))


def _are_positive(*values: float) -> bool:
    return all(MIN_VALUE < value < 1.0 / MIN_VALUE for value in values)


def _within_bounds(speed: float) -> float:
    return min(math.log(MAX_SPEED), max(math.log(MIN_SPEED), speed))


def _median(observations: list[_Observation]) -> float:
    """Return the speed of which half of the weight is above, by Kaplan and Meier.

    A run that is still waiting counts among the slower ones up to the speed that it has
    shown; below, its weight is distributed among them. If most runs are still waiting,
    their bounds decide, except for the lowest quarter, which may be outliers.

    >>> ended = [(speed, 1.0, False) for speed in (0.2, 0.0, -0.2)]
    >>> _median(ended)
    0.0
    >>> _median([*ended, *[(speed, 1.0, True) for speed in (-0.5, -0.9, -0.9, -2.0)]])
    -0.9
    """
    fastest_first = sorted(observations, reverse=True)
    at_risk = sum(weight for _, weight, _ in observations)
    share_below = 1.0
    for speed, weight, is_waiting in fastest_first:
        if not is_waiting:
            share_below *= max(0.0, 1.0 - weight / at_risk)
            if share_below <= 0.5:
                return speed
        at_risk = max(MIN_WEIGHT, at_risk - weight)
    waiting = [speed for speed, _, is_waiting in fastest_first if is_waiting]
    return waiting[int(WAITING_QUANTILE * (len(waiting) - 1))]


def _evict_oldest(item_by_key: dict, most: int) -> None:
    """Remove the items added first until at most ``most`` remain."""
    while len(item_by_key) > most:
        del item_by_key[next(iter(item_by_key))]
