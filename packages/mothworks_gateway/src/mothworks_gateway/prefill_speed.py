"""Prefill speed: estimates how fast endpoints prefill, tokens per second.

The speed is learned from answers, since it differs several times between deployments
and is not declared. The time to the first token grows with the prompt's length; its
other components (network, the endpoint's overhead) do not depend on it. So the
difference between long and short prompts, among those that hardly queued, gives the
speed.
"""

import collections
import statistics

import attrs
import logbook

from mothworks import kernel, logs
from mothworks_gateway import caller_request

log = logbook.Logger("reading")

#: Prefill speed assumed until there are enough samples, tokens per second: half of that
#: of current accelerators.
DEFAULT_TOKENS_PER_S = 20_000.0
#: Bounds of the estimate, tokens per second. Below, endpoints could not meet the
#: objective of any known route; above, prompts hardly matter.
MIN_TOKENS_PER_S = 4_000.0
MAX_TOKENS_PER_S = 80_000.0
#: Maximum number of samples per service, and the minimum for an estimate.
MAX_SAMPLES = 160
MIN_SAMPLES = 32
#: Samples between two estimates: each estimate sorts all samples.
SAMPLES_PER_ESTIMATE = 16
#: Relative change of the speed above which it is logged.
LOGGED_CHANGE = 0.1
#: Quantile of the answer times that stands for requests that hardly queued: the lower
#: quartile.
QUICK_QUANTILE = 0.25


@attrs.frozen
class _Sample:
    """One answer.

    :param tokens: prompt tokens that no other request shares.
    :param seconds: time to the first token.
    """

    tokens: int
    seconds: float


class PrefillSpeed(kernel.Part):
    """Estimates the speed at which endpoints prefill prompts.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.speed_by_service: dict[str, float] = {}
        self.samples_by_service: collections.defaultdict[
            str, collections.deque[_Sample]
        ] = collections.defaultdict(lambda: collections.deque(maxlen=MAX_SAMPLES))
        self.new_samples_by_service: collections.Counter[str] = collections.Counter()

    def tokens_per_s(
        self, service: str, default: float = DEFAULT_TOKENS_PER_S
    ) -> float:
        """Return the prefill speed of one endpoint of a service, tokens per second.

        :param service: the service.
        :param default: the speed assumed until there are enough samples.
        """
        return self.speed_by_service.get(service, default)

    def add_sample(self, request: caller_request.CallerRequest, seconds: float) -> None:
        """Add a sample from an answer that began.

        :param request: the request.
        :param seconds: time from sending it until then.
        """
        if request.unshared_tokens <= 0:
            return
        service = request.target.service
        samples = self.samples_by_service[service]
        samples.append(_Sample(request.unshared_tokens, seconds))
        self.new_samples_by_service[service] += 1
        enough = len(samples) >= MIN_SAMPLES
        if enough and self.new_samples_by_service[service] >= SAMPLES_PER_ESTIMATE:
            self.new_samples_by_service[service] = 0
            speed = estimate(list(samples))
            if speed is not None:
                self._set_speed(service, speed, len(samples))

    def _set_speed(self, service: str, speed: float, samples: int) -> None:
        before = self.tokens_per_s(service)
        self.speed_by_service[service] = speed
        if abs(speed - before) > LOGGED_CHANGE * before:
            logs.event(
                log,
                "reading speed",
                service=service,
                before=round(before),
                samples=samples,
                outcome=round(speed),
            )


def estimate(samples: list[_Sample]) -> float | None:
    """Return the prefill speed that samples show; None if they show none.

    >>> short, long = _Sample(100, 0.10), _Sample(2100, 0.20)
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


def _mean_tokens(samples: list[_Sample]) -> float:
    return statistics.fmean(sample.tokens for sample in samples)


def _quick_s(samples: list[_Sample]) -> float:
    seconds = sorted(sample.seconds for sample in samples)
    return seconds[int(QUICK_QUANTILE * len(seconds))]
