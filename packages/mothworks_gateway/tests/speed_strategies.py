"""A simulated service whose endpoints differ in speed, and alternative estimators.

Run as a program, it prints the tables in ``docs/design/endpoint-speeds.md``.
"""

import heapq
import itertools
import random
import statistics

from mothworks_gateway import endpoint_speeds

#: Prefill and decoding at an endpoint of speed 1 and a model of size 1.
OVERHEAD_S, PREFILL_TOKENS_PER_S, EVENT_S = 0.02, 25_000.0, 0.03
#: Share of samples that take longer, and by how much.
OUTLIER_SHARE, OUTLIER_FACTOR = 0.15, 2.5
#: Standard deviation of the logarithm of all other samples.
NOISE = 0.2
POLL_S = 0.25


class DecayingMean(endpoint_speeds.SpeedEstimator):
    """The same comparison, but with the mean of the samples instead of the median."""

    def _estimate(self, endpoint, now):
        total, weight = endpoint.speed_at(now), 1.0
        for sample in endpoint.samples:
            share = 0.5 ** ((now - sample.at) / endpoint_speeds.SAMPLE_HALF_LIFE_S)
            total += share * (sample.usual.cost - sample.cost)
            weight += share
        for run in endpoint.overdue_by_start.values():
            total, weight = total + run.speed, weight + 1.0
        endpoint.overdue_by_start.clear()
        return total / weight


STRATEGIES = {
    "median by model": endpoint_speeds.SpeedEstimator,
    "mean by model": DecayingMean,
}


class Service:
    """Runs requests at endpoints, and feeds an estimator with what is observed.

    :param estimator: the estimator.
    :param speed_by_id: the endpoints' true speeds, which a test may change.
    :param per_s: requests per second of each endpoint.
    :param models: number of models; the largest is four times as slow as the smallest.
    :param scale: factor of all times.
    :param seed: seed of the random numbers.
    """

    def __init__(self, estimator, speed_by_id, per_s=8.0, models=12, scale=1.0, seed=1):
        self.random = random.Random(seed)
        self.estimator = estimator
        self.speed_by_id = speed_by_id
        self.per_s = per_s
        self.size_by_model = {
            f"m-{n}": scale * (1 + 3 * n / models) for n in range(models)
        }
        self.models_by_id = {endpoint_id: [] for endpoint_id in speed_by_id}
        for model in self.size_by_model:
            for endpoint_id in self.random.sample(list(speed_by_id), 2):
                self.models_by_id[endpoint_id].append(model)
        self.now = 100.0
        self.polled_at = self.now
        self.numbers = itertools.count()
        self.events = []
        self.waiting_by_number = {}
        for endpoint_id in speed_by_id:
            self._schedule(self.random.random(), self._send, endpoint_id)

    def run(self, seconds):
        """Run for some time, and return the speeds found at every poll."""
        found, until = [], self.now + seconds
        while self.now < until:
            self.polled_at += POLL_S
            while self.events and self.events[0][0] <= self.polled_at:
                self.now, _, action, arguments = heapq.heappop(self.events)
                action(*arguments)
            self.now = self.polled_at
            for endpoint_id, sent_at, expected_s in self.waiting_by_number.values():
                waited_s = self.now - sent_at
                self.estimator.overdue(endpoint_id, expected_s, waited_s, self.now)
            found.append(self.relative())
        return found

    def slow_down(self, endpoint_id, factor):
        """Make an endpoint slower, for the rest of its runs and all later ones."""
        self.speed_by_id[endpoint_id] /= factor
        for event in self.events[:]:
            at, number, action, arguments = event
            if endpoint_id in arguments and action != self._send:
                self.events.remove(event)
                extra_s = (at - self.now) * (factor - 1.0)
                *others, seconds = arguments
                arguments = (*others, seconds + extra_s)
                self.events.append((at + extra_s, number, action, arguments))
        heapq.heapify(self.events)

    def seconds_to_notice(self, endpoint_id):
        """Return the time until an endpoint that turns three times slower is noticed.

        Its speed is then less than 0.6 of its former one, or of the mean if that is
        lower; 10 s if that takes longer.
        """
        before = min(1.0, self.estimator.speed(endpoint_id, self.now))
        self.slow_down(endpoint_id, 3.0)
        changed_at = self.now
        while self.now < changed_at + 10.0:
            self.run(POLL_S)
            if self.estimator.speed(endpoint_id, self.now) < 0.6 * before:
                break
        return self.now - changed_at

    def relative(self):
        """Return the speeds found, divided by the true ones."""
        mean = statistics.fmean(self.speed_by_id.values())
        return [
            self.estimator.speed(endpoint_id, self.now) * mean / speed
            for endpoint_id, speed in self.speed_by_id.items()
        ]

    def _schedule(self, delay_s, action, *arguments):
        event = (self.now + delay_s, next(self.numbers), action, arguments)
        heapq.heappush(self.events, event)

    def _noise(self):
        factor = OUTLIER_FACTOR if self.random.random() < OUTLIER_SHARE else 1.0
        return factor * self.random.lognormvariate(0.0, NOISE)

    def _send(self, endpoint_id):
        delay_s = self.random.expovariate(self.per_s)
        self._schedule(delay_s, self._send, endpoint_id)
        model = self.random.choice(self.models_by_id[endpoint_id])
        tokens = self.random.randint(200, 4_000)
        expected_s = OVERHEAD_S + tokens / PREFILL_TOKENS_PER_S
        expected_s *= self.size_by_model[model]
        seconds = expected_s * self._noise() / self.speed_by_id[endpoint_id]
        number = next(self.numbers)
        self.waiting_by_number[number] = (endpoint_id, self.now, expected_s)
        arguments = (number, endpoint_id, model, tokens, seconds)
        self._schedule(seconds, self._begin, *arguments)

    def _begin(self, number, endpoint_id, model, tokens, seconds):
        del self.waiting_by_number[number]
        self.estimator.add_prefill(endpoint_id, model, tokens, seconds, self.now)
        events = self.random.randint(10, 80)
        seconds = events * EVENT_S * self.size_by_model[model] * self._noise()
        seconds /= self.speed_by_id[endpoint_id]
        self._schedule(seconds, self._end, endpoint_id, model, events, seconds)

    def _end(self, endpoint_id, model, events, seconds):
        self.estimator.add_decode(endpoint_id, model, events, seconds, self.now)


def speeds(count):
    """Return speeds of some endpoints as in deployment A: 0.7, 0.7, 1.7 times."""
    return {f"i-{n}": (0.7, 0.7, 1.7)[n % 3] for n in range(count)}


def trial(strategy, count, per_s, models, seed):
    """Return what the table shows for one strategy.

    :returns: the relative errors from 20 to 40 s, and the seconds until an endpoint
        that turns three times slower has less than 0.6 of its former speed.
    """
    service = Service(STRATEGIES[strategy](), speeds(count), per_s, models, seed=seed)
    service.run(20.0)
    errors = [abs(item - 1.0) for row in service.run(20.0) for item in row]
    return errors, service.seconds_to_notice("i-0")


if __name__ == "__main__":
    print("| endpoints | models | requests/s | estimator | median | 95% | seconds |")
    print("|---|---|---|---|---|---|---|")
    for count, per_s, models in ((3, 8.0, 12), (45, 8.0, 147), (45, 2.0, 147)):
        for strategy in STRATEGIES:
            trials = [trial(strategy, count, per_s, models, n) for n in range(7)]
            centiles = statistics.quantiles(
                (item for row, _ in trials for item in row), n=100
            )
            seconds = sorted(seconds for _, seconds in trials)
            print(
                f"| {count} | {models} | {per_s:g} | {strategy} | {centiles[49]:.2f}"
                f" | {centiles[94]:.2f} | {seconds[3]:.2f}, {seconds[-1]:.2f} |"
            )
