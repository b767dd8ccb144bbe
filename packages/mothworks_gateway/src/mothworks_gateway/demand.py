"""Demand: requests, waiting callers and late answers, by model.

Every VM computes the rates from the heartbeats, so that the next lease holder knows
them already. Waiting callers are reported to the lease holder only.
"""

import time

import attrs

from mothworks import kernel
from mothworks_gateway import caller_request, heartbeat, residency

#: Time after which a VM's report of waiting callers expires, seconds.
REPORT_TTL_S = 0.6
#: Half-life of a model's request rate, seconds: demand moves to other models within a
#: few seconds.
HALF_LIFE_S = 5.0
#: Half-life of a second mean, seconds. Two seconds after demand moved to a model, the
#: first mean shows a quarter of the true rate and this one three quarters; the larger
#: of the two counts.
RECENT_HALF_LIFE_S = 1.0
#: Half-life of the rate of late answers, seconds.
LATE_HALF_LIFE_S = 2.0
#: Rate below which a target is forgotten, per second: callers may send any model name.
MIN_RATE_PER_S = 1e-4
#: Weight at which a :class:`_DecayingRate` resets it to 1: ten half-lives, so that
#: names that callers sent once are forgotten within a minute.
MAX_WEIGHT = 1024.0
#: Half-lives after which nothing is left of any rate. The largest float is less than 2
#: to the power of 1024.
MAX_HALF_LIVES = 1000.0
#: Natural logarithm of 2: converts a half-life to the rate of an exponential decay.
LN_2 = 0.693


@attrs.frozen
class UnmetDemand:
    """A model or adapter that callers wait for.

    :param target: the model or adapter.
    :param count: number of callers, on all VMs.
    :param urgency: rank of the most urgent of them.
    :param left_s: seconds until the first of them misses its latency objective.
    """

    target: caller_request.Target
    count: int
    urgency: int
    left_s: float


class _DecayingRate:
    """Events per second by target, as an exponentially decaying mean.

    It stores not the mean but the mean times a weight that grows as the mean decays,
    the same for all targets. So nothing needs updating as time passes, and the cost of
    a heartbeat depends on its own entries, not on the number of known targets.

    :param half_life_s: time after which an event counts half, seconds.
    """

    def __init__(self, half_life_s: float):
        self.half_life_s = half_life_s
        self.weighted_by_target: dict[caller_request.Target, float] = {}
        #: The weighted sum over all models; requests for adapters count once, as their
        #: model's.
        self.weighted_total = 0.0
        self.weight_set_at = time.monotonic()

    def add(self, target: caller_request.Target, count: float) -> None:
        weighted_count = count * LN_2 / self.half_life_s * self._weight()
        weighted_by_target = self.weighted_by_target
        weighted_by_target[target] = (
            weighted_by_target.get(target, 0.0) + weighted_count
        )
        if not target.adapter:
            self.weighted_total += weighted_count

    def rate(self, target: caller_request.Target) -> float:
        weight = self._weight()
        return self.weighted_by_target.get(target, 0.0) / weight

    def total(self) -> float:
        weight = self._weight()
        return self.weighted_total / weight

    def targets(self) -> list[caller_request.Target]:
        """Return the targets with recent events."""
        return self._above(MIN_RATE_PER_S * self._weight())

    def _above(self, minimum: float) -> list[caller_request.Target]:
        return [
            target
            for target, value in self.weighted_by_target.items()
            if value > minimum
        ]

    def _weight(self) -> float:
        half_lives = (time.monotonic() - self.weight_set_at) / self.half_life_s
        weight = 2.0 ** min(MAX_HALF_LIVES, half_lives)
        if weight < MAX_WEIGHT:
            return weight
        self._reset_weight(weight)
        return 1.0

    def _reset_weight(self, weight: float) -> None:
        """Reset the weight to 1, and forget targets with a negligible rate."""
        self.weighted_by_target = {
            target: self.weighted_by_target[target] / weight
            for target in self._above(MIN_RATE_PER_S * weight)
        }
        self.weighted_total = sum(
            value
            for target, value in self.weighted_by_target.items()
            if not target.adapter
        )
        self.weight_set_at = time.monotonic()


class _DemandRate:
    """Events per second by target; a rise shows within a second or two."""

    def __init__(self):
        self.steady = _DecayingRate(HALF_LIFE_S)
        self.recent = _DecayingRate(RECENT_HALF_LIFE_S)

    def add(self, target: caller_request.Target, count: float) -> None:
        self.steady.add(target, count)
        self.recent.add(target, count)

    def rate(self, target: caller_request.Target) -> float:
        return max(self.steady.rate(target), self.recent.rate(target))


class Demand(kernel.Part):
    """Aggregates the demand that all VMs report.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.requests = _DemandRate()
        self.prompt_tokens = _DemandRate()
        self.late = _DecayingRate(LATE_HALF_LIFE_S)
        self.report_by_source: dict[
            tuple[str, caller_request.Target], tuple[float, residency.WaitingCallers]
        ] = {}
        node_kernel.get(residency.Residency).on_waiting.append(self._on_waiting)
        node_kernel.get(heartbeat.Heartbeats).on_received.append(self._on_heartbeat)

    def rate(self, target: caller_request.Target) -> float:
        """Return the requests per second for a model or adapter.

        :param target: the model or adapter.
        """
        return self.requests.rate(target)

    def prompt_tokens_per_s(self, target: caller_request.Target) -> float:
        """Return the prompt tokens per second to prefill for a model.

        :param target: the model.
        """
        return self.prompt_tokens.rate(target)

    def total(self) -> float:
        """Return the requests per second for all models."""
        return self.requests.steady.total()

    def models(self) -> list[caller_request.Target]:
        """Return the recently requested models."""
        targets = self.requests.steady.targets()
        return [item for item in targets if not item.adapter]

    def unmet(self) -> list[UnmetDemand]:
        """Return what callers wait for now, the most urgent first."""
        expired_before = time.monotonic() - REPORT_TTL_S
        unmet_by_target: dict[caller_request.Target, UnmetDemand] = {}
        for source, (received_at, report) in list(self.report_by_source.items()):
            if received_at < expired_before:
                del self.report_by_source[source]
                continue
            unmet = UnmetDemand(
                report.target, report.count, report.urgency, report.left_s
            )
            existing = unmet_by_target.get(report.target)
            unmet_by_target[report.target] = (
                _merged(unmet, existing) if existing else unmet
            )
        return sorted(
            unmet_by_target.values(), key=lambda unmet: (unmet.urgency, unmet.left_s)
        )

    def _on_waiting(self, vm: str, waiting: residency.WaitingCallers) -> None:
        self.report_by_source[vm, waiting.target] = (time.monotonic(), waiting)

    def _on_heartbeat(self, _: str, message: heartbeat.Heartbeat) -> None:
        for service, model, adapter, count, tokens in message.arrived:
            target = caller_request.Target(service, model, adapter)
            for item in {target, target.base}:
                self.requests.add(item, count)
            self.prompt_tokens.add(target.base, tokens)
        for service, model, count in message.late:
            self.late.add(caller_request.Target(service, model), count)


def _merged(unmet: UnmetDemand, other: UnmetDemand) -> UnmetDemand:
    return UnmetDemand(
        unmet.target,
        unmet.count + other.count,
        min(unmet.urgency, other.urgency),
        min(unmet.left_s, other.left_s),
    )
