"""Prefill speed: estimates how fast endpoints prefill, tokens per second.

The speed is learned from answers, since it differs several times between deployments
and is not declared. The time to the first token grows with the prompt's length; its
other components (network, the endpoint's overhead) do not depend on it. So the
difference between long and short prompts, among those that hardly queued, gives the
speed.
"""

import collections

import logbook

from mothworks import kernel, logs
from mothworks_gateway import caller_request, prefill_samples

log = logbook.Logger("reading")

#: Prefill speed assumed until there are enough samples, tokens per second: half of that
#: of current accelerators.
DEFAULT_TOKENS_PER_S = 20_000.0
#: Maximum number of samples per service, and the minimum for an estimate.
MAX_SAMPLES = 160
MIN_SAMPLES = 32
#: Samples between two estimates: each estimate sorts all samples.
SAMPLES_PER_ESTIMATE = 16
#: Relative change of the speed above which it is logged.
LOGGED_CHANGE = 0.1


class PrefillSpeed(kernel.Part):
    """Estimates the speed at which endpoints prefill prompts.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.speed_by_service: dict[str, float] = {}
        self.samples_by_service: collections.defaultdict[
            str, collections.deque[prefill_samples.Sample]
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
        samples.append(prefill_samples.Sample(request.unshared_tokens, seconds))
        self.new_samples_by_service[service] += 1
        enough = len(samples) >= MIN_SAMPLES
        if enough and self.new_samples_by_service[service] >= SAMPLES_PER_ESTIMATE:
            self.new_samples_by_service[service] = 0
            speed = prefill_samples.estimate(list(samples))
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
