"""Health: which endpoints' answers can be relied on, from answers alone.

Probes cost as much as requests and miss an endpoint that fails only part of
its requests while its health check is good. So each answer counts: failures
in a row, or a share of failures far above that of its neighbours, take an
endpoint out for a while. If most of a service are bad, all are used.
"""

import random
import time

import attrs
import logbook

from mothworks import kernel, logs
from mothworks_gateway import discovery, registry

log = logbook.Logger("health")

#: Failures in a row after which an endpoint is passed over.
FAILURES_IN_A_ROW = 3
#: Weight of the newest answer in the moving share of failures.
SMOOTHING = 0.15
#: Share of failures above the service's others at which it is passed over.
EXCESS = 0.3
#: Answers before the share of failures means something.
LEAST_ANSWERS = 6
#: First and longest time for which an endpoint is passed over, seconds.
PAUSE_S = 1.0
MOST_PAUSE_S = 6.0
#: Share of a service's endpoints that may be passed over at a time.
MOST_SHARE = 0.5


@attrs.define
class Record:
    """What answers have shown of one endpoint.

    :param service: the endpoint's service.
    :param answers: answers and failures so far.
    :param in_a_row: failures since the last good answer.
    :param failing: moving share of failures.
    :param seconds: moving mean of the time to an answer, seconds.
    :param until: monotonic time until which it is passed over.
    :param pause_s: length of its last pause, seconds.
    """

    service: str
    answers: int = 0
    in_a_row: int = 0
    failing: float = 0.0
    seconds: float = 0.0
    until: float = 0.0
    pause_s: float = 0.0


class Health(kernel.Part):
    """Judges endpoints by their answers.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.record_by_id: dict[str, Record] = {}
        self.registry = node_kernel.get(discovery.Discovery).registry
        self.registry.on_change.append(self._forget)
        #: Functions to call with an endpoint that answered, and whether the answer
        #: was good or an error in the endpoint's own words.
        self.on_answer: list = []

    def record(self, endpoint: registry.Endpoint) -> Record:
        """Return what is known of an endpoint.

        :param endpoint: the endpoint.
        """
        known = self.record_by_id.get(endpoint.id)
        if known is None:
            known = Record(endpoint.entry.service)
            self.record_by_id[endpoint.id] = known
        return known

    def succeeded(self, endpoint: registry.Endpoint, seconds: float) -> None:
        """Count a good answer.

        :param endpoint: who answered.
        :param seconds: time until the answer began.
        """
        record = self.record(endpoint)
        record.answers += 1
        record.in_a_row = 0
        record.failing *= 1 - SMOOTHING
        if record.answers == 1:
            record.seconds = seconds
        record.seconds += (seconds - record.seconds) * SMOOTHING
        if record.failing < EXCESS / 2:
            record.pause_s = 0.0
        for notify in self.on_answer:
            notify(endpoint, True)

    def failed(
        self,
        endpoint: registry.Endpoint,
        reason: str,
        weight: float = 1.0,
        in_a_row: int = 1,
    ) -> None:
        """Count a failure that the endpoint is to blame for.

        :param endpoint: who failed.
        :param reason: how, for the log.
        :param weight: below 1 for errors that requests may cause themselves.
        :param in_a_row: how many failures it counts as, where they are counted
            in a row: more where no connection opened at all.
        """
        record = self.record(endpoint)
        record.answers += 1
        record.failing += (weight - record.failing) * SMOOTHING
        if weight >= 1:
            record.in_a_row += in_a_row
        else:
            for notify in self.on_answer:
                notify(endpoint, False)
        if record.in_a_row >= FAILURES_IN_A_ROW or self._stands_out(endpoint, record):
            self.pass_over(endpoint, reason)

    def usable(self, candidates: list[registry.Endpoint]) -> list[registry.Endpoint]:
        """Return the candidates that are not passed over now.

        :param candidates: endpoints of one service.
        :returns: all of them where most are bad, since then something else is.
        """
        now = time.monotonic()
        good = [item for item in candidates if self.record(item).until <= now]
        if len(good) < len(candidates) * (1 - MOST_SHARE):
            return candidates
        return good or candidates

    def _forget(self) -> None:
        """Drop what is known of endpoints that are gone."""
        for endpoint_id in self.record_by_id.keys() - self.registry.by_id.keys():
            del self.record_by_id[endpoint_id]

    def _stands_out(self, endpoint: registry.Endpoint, record: Record) -> bool:
        if record.answers < LEAST_ANSWERS:
            return False
        others = [
            item.failing
            for key, item in self.record_by_id.items()
            if key != endpoint.id
            and item.service == record.service
            and item.answers >= LEAST_ANSWERS
        ]
        usual = sorted(others)[len(others) // 2] if others else 0.0
        return record.failing > usual + EXCESS

    def pass_over(self, endpoint: registry.Endpoint, reason: str) -> None:
        """Use an endpoint no more for a while; longer each time.

        :param endpoint: the endpoint.
        :param reason: why, for the log.
        """
        record = self.record(endpoint)
        now = time.monotonic()
        if record.until > now:
            return
        record.pause_s = min(MOST_PAUSE_S, max(PAUSE_S, 2 * record.pause_s))
        # VMs must not all try it again at the same moment.
        record.until = now + record.pause_s * random.uniform(0.8, 1.2)
        record.in_a_row = FAILURES_IN_A_ROW - 1
        logs.event(
            log,
            "endpoint passed over",
            endpoint=endpoint.id,
            reason=reason[:120],
            failing=round(record.failing, 2),
            answers=record.answers,
            outcome=f"for {record.pause_s:g} s",
        )
