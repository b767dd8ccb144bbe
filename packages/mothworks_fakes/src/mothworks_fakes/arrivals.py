"""Arrivals of an open-loop load: Poisson processes whose rate changes.

A schedule is drawn before the run from a seed, so that two runs with the
same seed send the same requests at the same times, however slow the system
under load is.
"""

import random

import attrs


@attrs.frozen
class Burst:
    """A time during which the rate is higher.

    :param start_s: its start, seconds from the run's start.
    :param length_s: how long it lasts, seconds.
    :param factor: what the rate is multiplied by.
    """

    start_s: float
    length_s: float
    factor: float


@attrs.frozen
class Traffic:
    """One kind of requests.

    :param name: its name in reports.
    :param key: the caller's key.
    :param model: the model or adapter.
    :param rate_per_s: mean requests a second outside bursts.
    :param tokens: tokens that each request generates.
    :param prompt_bytes: length of each prompt.
    :param bursts: times of higher rate.
    """

    name: str
    key: str
    model: str
    rate_per_s: float
    tokens: int = 16
    prompt_bytes: int = 400
    bursts: tuple[Burst, ...] = ()

    def rate_at(self, second: float) -> float:
        """Return the rate at a time.

        :param second: seconds from the run's start.
        """
        rate = self.rate_per_s
        for burst in self.bursts:
            if burst.start_s <= second < burst.start_s + burst.length_s:
                rate *= burst.factor
        return rate

    def highest_rate(self) -> float:
        """Return a rate that is never exceeded."""
        factors = [burst.factor for burst in self.bursts if burst.factor > 1]
        rate = self.rate_per_s
        for factor in factors:
            rate *= factor
        return rate


@attrs.frozen
class Arrival:
    """One request that is to be sent.

    :param number: unique in the run.
    :param due_s: when, seconds from the run's start.
    :param traffic: what kind.
    """

    number: int
    due_s: float
    traffic: Traffic


def schedule(traffics: tuple[Traffic, ...], seconds: float, seed: int) -> list[Arrival]:
    """Draw the arrivals of a run, in order of time.

    Each process is drawn at its highest rate and thinned, which gives a
    Poisson process of the changing rate.

    :param traffics: kinds of requests.
    :param seconds: length of the run.
    :param seed: the same seed gives the same schedule.

    >>> traffic = Traffic("chat", "key", "menu", rate_per_s=10)
    >>> schedule((traffic,), 5, seed=1) == schedule((traffic,), 5, seed=1)
    True
    """
    drawn = []
    for place, traffic in enumerate(traffics):
        source = random.Random(f"{seed}/{place}")
        highest = traffic.highest_rate()
        second = source.expovariate(highest)
        while second < seconds:
            if source.random() * highest < traffic.rate_at(second):
                drawn.append((second, traffic))
            second += source.expovariate(highest)
    drawn.sort(key=lambda item: item[0])
    return [
        Arrival(number, second, traffic)
        for number, (second, traffic) in enumerate(drawn)
    ]
