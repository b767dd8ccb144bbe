"""Arrivals of an open-loop load: Poisson processes with a varying rate.

The schedule is drawn from a seed before the run, so that two runs with the
same seed send the same requests at the same times, however slow the system
under test is.
"""

import random

import attrs


@attrs.frozen
class Burst:
    """A period during which the rate is multiplied.

    :param start_s: its start, seconds from the run's start.
    :param length_s: its duration, seconds.
    :param factor: factor of the rate.
    """

    start_s: float
    length_s: float
    factor: float


@attrs.frozen
class Traffic:
    """A class of requests and its arrival rate.

    :param name: its name in reports.
    :param key: the caller's key.
    :param model: the model or adapter.
    :param rate_per_s: mean number of requests per second outside bursts.
    :param tokens: tokens that each request generates.
    :param prompt_bytes: length of each prompt, bytes.
    :param bursts: periods of another rate.
    """

    name: str
    key: str
    model: str
    rate_per_s: float
    tokens: int = 16
    prompt_bytes: int = 400
    bursts: tuple[Burst, ...] = ()

    def rate_at(self, second: float) -> float:
        """Return the rate at a time, requests per second.

        :param second: seconds from the run's start.
        """
        rate = self.rate_per_s
        for burst in self.bursts:
            if burst.start_s <= second < burst.start_s + burst.length_s:
                rate *= burst.factor
        return rate

    def max_rate(self) -> float:
        """Return an upper bound of the rate, requests per second."""
        factors = [burst.factor for burst in self.bursts if burst.factor > 1]
        rate = self.rate_per_s
        for factor in factors:
            rate *= factor
        return rate


@attrs.frozen
class Arrival:
    """A scheduled request.

    :param number: unique in the run.
    :param due_s: scheduled time, seconds from the run's start.
    :param traffic: its class of requests.
    """

    number: int
    due_s: float
    traffic: Traffic


def schedule(traffics: tuple[Traffic, ...], seconds: float, seed: int) -> list[Arrival]:
    """Draw the arrivals of a run, in chronological order.

    Each process is drawn at an upper bound of its rate and then thinned, which
    gives a Poisson process with the varying rate.

    :param traffics: the classes of requests.
    :param seconds: duration of the run, seconds.
    :param seed: the same seed gives the same schedule.

    >>> traffic = Traffic("chat", "key", "menu", rate_per_s=10)
    >>> schedule((traffic,), 5, seed=1) == schedule((traffic,), 5, seed=1)
    True
    """
    drawn = []
    for index, traffic in enumerate(traffics):
        rng = random.Random(f"{seed}/{index}")
        max_rate = traffic.max_rate()
        time_s = rng.expovariate(max_rate)
        while time_s < seconds:
            if rng.random() * max_rate < traffic.rate_at(time_s):
                drawn.append((time_s, traffic))
            time_s += rng.expovariate(max_rate)
    drawn.sort(key=lambda item: item[0])
    return [
        Arrival(number, time_s, traffic)
        for number, (time_s, traffic) in enumerate(drawn)
    ]
