"""Reading: how many prompt tokens a second the endpoints of a service read.

Learnt from answers, since it differs several times between deployments and nobody
declares it. The time to the first piece of an answer grows with the prompt's
length; what it has beside that (the way, the endpoint's own overhead) is the same
for short prompts. So the difference between long and short prompts, of those
that hardly waited, shows the speed.
"""

import collections
import statistics

import attrs
import logbook

from mothworks import kernel, logs
from mothworks_gateway import asked

log = logbook.Logger("reading")

#: Tokens a second that are assumed before enough answers came: half of what
#: current accelerators read.
USUAL_TOKENS_PER_S = 20_000.0
#: Bounds of what is believed: below, endpoints could not meet the objectives of
#: any route known; above, prompts hardly matter.
LEAST_TOKENS_PER_S = 4_000.0
MOST_TOKENS_PER_S = 80_000.0
#: Answers that are remembered for a service, and the fewest that say something.
SAMPLES = 160
LEAST_SAMPLES = 32
#: Answers between two estimates: each sorts all samples.
ESTIMATE_EVERY = 16
#: Change of the speed, as a share, from which on it is logged.
NOTABLE = 0.1
#: Part of the answers, by their time, that hardly waited: the lower quartile.
HARDLY_WAITED = 0.25


@attrs.frozen
class _Sample:
    """One answer.

    :param tokens: tokens of its prompt that no other request shares.
    :param seconds: time from sending it to its first piece.
    """

    tokens: int
    seconds: float


class Reading(kernel.Part):
    """Learns the speed at which endpoints read prompts.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.speed_by_service: dict[str, float] = {}
        self.samples_by_service: collections.defaultdict[
            str, collections.deque[_Sample]
        ] = collections.defaultdict(lambda: collections.deque(maxlen=SAMPLES))
        self.unused_by_service: collections.Counter[str] = collections.Counter()

    def tokens_per_s(self, service: str, usual: float = USUAL_TOKENS_PER_S) -> float:
        """Return how fast one endpoint of a service reads.

        :param service: the service.
        :param usual: what is assumed before enough answers came.
        """
        return self.speed_by_service.get(service, usual)

    def note(self, request: asked.Asked, seconds: float) -> None:
        """Learn from an answer that began.

        :param request: the request.
        :param seconds: time from sending it until then.
        """
        if request.own_tokens <= 0:
            return
        service = request.target.service
        samples = self.samples_by_service[service]
        samples.append(_Sample(request.own_tokens, seconds))
        self.unused_by_service[service] += 1
        enough = len(samples) >= LEAST_SAMPLES
        if enough and self.unused_by_service[service] >= ESTIMATE_EVERY:
            self.unused_by_service[service] = 0
            speed = estimate(list(samples))
            if speed is not None:
                self._learn(service, speed, len(samples))

    def _learn(self, service: str, speed: float, samples: int) -> None:
        before = self.tokens_per_s(service)
        self.speed_by_service[service] = speed
        if abs(speed - before) > NOTABLE * before:
            logs.event(
                log,
                "reading speed",
                service=service,
                before=round(before),
                samples=samples,
                outcome=round(speed),
            )


def estimate(samples: list[_Sample]) -> float | None:
    """Return the tokens a second that answers show; None if they show none.

    >>> short, long = _Sample(100, 0.10), _Sample(2100, 0.20)
    >>> round(estimate([short] * 20 + [long] * 20))
    20000
    """
    by_length = sorted(samples, key=lambda sample: sample.tokens)
    third = len(by_length) // 3
    short, long = by_length[:third], by_length[-third:]
    more_tokens = _mean_tokens(long) - _mean_tokens(short)
    more_s = _quick_s(long) - _quick_s(short)
    if more_tokens <= 0 or more_s <= 0:
        return None
    return min(MOST_TOKENS_PER_S, max(LEAST_TOKENS_PER_S, more_tokens / more_s))


def _mean_tokens(samples: list[_Sample]) -> float:
    return statistics.fmean(sample.tokens for sample in samples)


def _quick_s(samples: list[_Sample]) -> float:
    seconds = sorted(sample.seconds for sample in samples)
    return seconds[int(HARDLY_WAITED * len(seconds))]
