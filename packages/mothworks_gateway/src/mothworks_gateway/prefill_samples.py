"""Prefill samples: what the times to the first token say about the prefill speed.

The time to the first token grows with the prompt's length; its other components
(network, the endpoint's overhead) do not depend on it. So the difference between long
and short prompts, among those that hardly queued, gives the speed.
"""

import statistics

import attrs

#: Bounds of the estimate, tokens per second. Below, endpoints could not meet the
#: objective of any known route; above, prompts hardly matter.
MIN_TOKENS_PER_S = 4_000.0
MAX_TOKENS_PER_S = 80_000.0
#: Quantile of the answer times that stands for requests that hardly queued: the lower
#: quartile.
QUICK_QUANTILE = 0.25


@attrs.frozen
class Sample:
    """One answer.

    :param tokens: prompt tokens that no other request shares.
    :param seconds: time to the first token.
    """

    tokens: int
    seconds: float


def estimate(samples: list[Sample]) -> float | None:
    """Return the prefill speed that samples show; None if they show none.

    >>> short, long = Sample(100, 0.10), Sample(2100, 0.20)
    >>> round(estimate([short] * 20 + [long] * 20))
    20000
    """
    by_length = sorted(samples, key=lambda sample: sample.tokens)
    third = len(by_length) // 3
    short, long = by_length[:third], by_length[-third:]
    extra_tokens = _mean_tokens(long) - _mean_tokens(short)
    extra_s = _quick_s(long) - _quick_s(short)
    if extra_tokens <= 0 or extra_s <= 0:
        return None
    return min(MAX_TOKENS_PER_S, max(MIN_TOKENS_PER_S, extra_tokens / extra_s))


def _mean_tokens(samples: list[Sample]) -> float:
    return statistics.fmean(sample.tokens for sample in samples)


def _quick_s(samples: list[Sample]) -> float:
    seconds = sorted(sample.seconds for sample in samples)
    return seconds[int(QUICK_QUANTILE * len(seconds))]
