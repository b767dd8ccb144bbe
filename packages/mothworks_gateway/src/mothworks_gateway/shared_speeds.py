"""Shared speeds: publishes the endpoints' speeds and the models' run times to all VMs.

The VM that owns the queue of a service sees all of its runs, and so it estimates how
fast the endpoints are (:mod:`endpoint_speeds`). All VMs use the estimates to select
endpoints, and the lease holder uses them to place models.

Rows are part of the heartbeats. What changed is published within a second, and
everything every few seconds, for VMs that started later and for messages that were
lost. What no owner publishes any more is forgotten. A restarted endpoint has a new id,
so that it starts without a speed.
"""

import collections.abc
import math
import time

import attrs
import logbook

from mothworks import kernel, logs
from mothworks_gateway import (
    discovery,
    endpoint_selection,
    endpoint_speeds,
    heartbeat,
    placement_candidates,
)

log = logbook.Logger("shared_speeds")

#: Relative change above which a speed is published before it is due. Selection and
#: placement do not distinguish smaller ones.
SPEED_CHANGE = 0.05
#: The same for a run time. The means of rarely used models change by a few hundredths
#: with each run.
RUN_TIME_CHANGE = 0.1
#: Time after which everything is published again, seconds.
REPUBLISH_S = 5.0
#: Time after which what was not published again is forgotten, seconds: two
#: publications may be lost.
EXPIRY_S = 15.0
#: Time between two checks for what has expired, seconds.
EXPIRY_INTERVAL_S = 1.0
#: Relative change of a speed above which it is logged, if two publications in a row
#: show it: with one, noise gave two lines a minute for each endpoint.
LOGGED_CHANGE = 0.2
#: Maximum number of endpoints in the metrics.
MAX_REPORTED_ENDPOINTS = 50
#: Maximum number of models with a run time.
MAX_RUN_TIMES = 4096


@attrs.frozen
class _Known:
    """What was last published about an endpoint.

    :param speed: its speed; 1.0 is the mean of its service.
    :param prefill_tokens_per_s: its prefill speed; 0 if unknown.
    :param at: monotonic time at which this VM received or published it.
    """

    speed: float
    prefill_tokens_per_s: float
    at: float


class NewestSpeeds:
    """Collects the latest rows of heartbeats, to be passed on."""

    def __init__(self):
        self.speed_by_id: dict[str, heartbeat.SpeedRow] = {}
        self.run_time_by_model: dict[tuple[str, str], heartbeat.RunTimeRow] = {}

    def add(self, received: heartbeat.Heartbeat) -> None:
        """Add the rows of a heartbeat.

        :param received: the heartbeat.
        """
        self.speed_by_id.update((row[0], row) for row in received.speeds)
        for row in received.run_times:
            service, model, _ = row
            self.run_time_by_model[service, model] = row

    def drain(self) -> dict[str, tuple]:
        """Return the rows as fields of a message, and remove them."""
        fields = {
            "speeds": tuple(self.speed_by_id.values()),
            "run_times": tuple(self.run_time_by_model.values()),
        }
        self.speed_by_id.clear()
        self.run_time_by_model.clear()
        return fields


class SharedSpeeds(kernel.Part):
    """Publishes the estimates of this VM, and stores those of all owners.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.registry = node_kernel.get(discovery.Discovery).registry
        self.registry.on_change.append(self._remove_gone)
        self.known_by_id: dict[str, _Known] = {}
        #: Run times, and when this VM received or published them, by service and model.
        self.run_time_by_model: dict[tuple[str, str], tuple[float, float]] = {}
        self.logged_by_id: dict[str, float] = {}
        #: Endpoints whose last speed differed from the one that was logged.
        self.deviating_ids: set[str] = set()
        #: What to publish in the next heartbeat.
        self.newest = NewestSpeeds()
        #: What this VM last published, to find what changed and what is due.
        self.published_by_id: dict[str, _Known] = {}
        self.published_run_by_model: dict[tuple[str, str], tuple[float, float]] = {}
        heartbeats = node_kernel.get(heartbeat.Heartbeats)
        heartbeats.field_providers.append(self.newest.drain)
        heartbeats.on_received.append(self._on_heartbeat)
        node_kernel.get(endpoint_selection.EndpointSelection).speed = self.speed
        placement = node_kernel.get(placement_candidates.Placement)
        placement.speed = self.speed
        placement.mean_run_s = self.mean_run_s
        self.speed_gauge = node_kernel.metrics.gauge(
            "endpoint_speed", "Speed of an endpoint relative to its service's mean."
        )

    def start(self) -> None:
        """Start to forget what is no longer published, and to update the metrics."""
        self.tasks.every(EXPIRY_INTERVAL_S, self._expire)

    def speed(self, endpoint_id: str) -> float:
        """Return an endpoint's speed relative to its service's mean; 1.0 if unknown.

        :param endpoint_id: the endpoint.
        """
        known = self.known_by_id.get(endpoint_id)
        return known.speed if known else 1.0

    def prefill_tokens_per_s(self, endpoint_id: str, default: float) -> float:
        """Return the speed at which an endpoint reads prompts, tokens per second.

        :param endpoint_id: the endpoint.
        :param default: the speed to return if it is unknown.
        """
        known = self.known_by_id.get(endpoint_id)
        return (known.prefill_tokens_per_s if known else 0.0) or default

    def mean_run_s(self, service: str, model: str) -> float | None:
        """Return the mean time for which a run of a model occupies a batch slot.

        For a model without recent runs, it is the mean of the service; None if unknown.

        :param service: the service.
        :param model: the model; empty for a service without models.
        """
        by_model = self.run_time_by_model
        found = by_model.get((service, model)) or by_model.get((service, ""))
        return found[0] if found else None

    def new_estimator(self, service: str, now: float) -> endpoint_speeds.SpeedEstimator:
        """Return an estimator that starts with what a former owner published.

        :param service: the service.
        :param now: monotonic time.
        """
        estimator = endpoint_speeds.SpeedEstimator()
        for endpoint in self.registry.of_service(service):
            if endpoint.id in self.known_by_id:
                estimator.assume(endpoint.id, self.speed(endpoint.id), now)
        return estimator

    def publish(
        self, service: str, estimator: endpoint_speeds.SpeedEstimator, now: float
    ) -> None:
        """Publish what changed or is due, in the next heartbeat.

        The owner of a service's queue calls it at most once a second. Endpoints that
        are gone are removed from the estimator.

        :param service: the service.
        :param estimator: what the owner knows about it.
        :param now: monotonic time.
        """
        for endpoint_id in estimator.endpoint_ids():
            if endpoint_id not in self.registry.by_id:
                estimator.forget(endpoint_id)
                continue
            speed = round(estimator.speed(endpoint_id, now), 3)
            prefill = estimator.prefill_tokens_per_s(endpoint_id, now, default=0.0)
            self._publish_speed(endpoint_id, _Known(speed, round(prefill), now))
        # The row with an empty model is the service's mean.
        for model in {"", *estimator.recent_models(now)}:
            seconds = estimator.mean_run_s(model, now)
            if seconds is not None:
                self._publish_run_time((service, model), round(seconds, 3), now)

    def _publish_speed(self, endpoint_id: str, known: _Known) -> None:
        self._log_change(endpoint_id, known)
        before = self.published_by_id.get(endpoint_id, _Known(1.0, 0.0, -math.inf))
        if (
            known.at < before.at + REPUBLISH_S
            and not _differs(known.speed, before.speed, SPEED_CHANGE)
            and not _differs(
                known.prefill_tokens_per_s, before.prefill_tokens_per_s, SPEED_CHANGE
            )
        ):
            return
        self.published_by_id[endpoint_id] = known
        self.known_by_id[endpoint_id] = known
        row = (endpoint_id, known.speed, known.prefill_tokens_per_s)
        self.newest.speed_by_id[endpoint_id] = row

    def _log_change(self, endpoint_id: str, known: _Known) -> None:
        logged = self.logged_by_id.get(endpoint_id, 1.0)
        if not _differs(known.speed, logged, LOGGED_CHANGE):
            self.deviating_ids.discard(endpoint_id)
        elif endpoint_id not in self.deviating_ids:
            self.deviating_ids.add(endpoint_id)
        else:
            self.deviating_ids.discard(endpoint_id)
            self.logged_by_id[endpoint_id] = known.speed
            logs.event(
                log,
                "endpoint speed",
                endpoint=endpoint_id,
                before=logged,
                prefill_tokens_per_s=known.prefill_tokens_per_s,
                outcome=known.speed,
            )

    def _publish_run_time(
        self, key: tuple[str, str], seconds: float, now: float
    ) -> None:
        before_s, published_at = self.published_run_by_model.get(key, (0.0, -math.inf))
        is_due = now >= published_at + REPUBLISH_S
        if is_due or _differs(seconds, before_s, RUN_TIME_CHANGE):
            self.published_run_by_model[key] = (seconds, now)
            self._store_run_time(key, seconds, now)
            self.newest.run_time_by_model[key] = (*key, seconds)

    def _on_heartbeat(self, vm: str, received: heartbeat.Heartbeat) -> None:
        # Heartbeats of this VM are passed in, too; their rows are stored already.
        if vm == self.kernel.settings.name:
            return
        now = time.monotonic()
        for endpoint_id, speed, prefill_tokens_per_s in received.speeds:
            if endpoint_id in self.registry.by_id and speed > 0:
                known = _Known(speed, prefill_tokens_per_s, now)
                self.known_by_id[endpoint_id] = known
        for service, model, seconds in received.run_times:
            if seconds > 0:
                self._store_run_time((service, model), seconds, now)

    def _store_run_time(self, key: tuple[str, str], seconds: float, now: float) -> None:
        if key in self.run_time_by_model or len(self.run_time_by_model) < MAX_RUN_TIMES:
            self.run_time_by_model[key] = (seconds, now)

    def _expire(self) -> None:
        oldest_at = time.monotonic() - EXPIRY_S
        _remove(self.known_by_id, lambda _, known: known.at < oldest_at)
        _remove(self.published_by_id, lambda _, known: known.at < oldest_at)
        _remove(self.run_time_by_model, lambda _, item: item[1] < oldest_at)
        _remove(self.published_run_by_model, lambda _, item: item[1] < oldest_at)
        _remove(self.logged_by_id, lambda key, _: key not in self.known_by_id)
        self.deviating_ids &= self.known_by_id.keys()
        self._update_gauge()

    def _remove_gone(self) -> None:
        """Remove the endpoints that are gone."""
        for by_id in (self.known_by_id, self.published_by_id, self.logged_by_id):
            _remove(by_id, lambda key, _: key not in self.registry.by_id)

    def _update_gauge(self) -> None:
        self.speed_gauge.values.clear()
        for endpoint_id in sorted(self.known_by_id)[:MAX_REPORTED_ENDPOINTS]:
            speed = self.known_by_id[endpoint_id].speed
            self.speed_gauge.set({"endpoint": endpoint_id}, speed)


def _differs(value: float, before: float, change: float) -> bool:
    """Return whether a value differs from the one before by more than a share of it.

    >>> _differs(0.94, 1.0, 0.05), _differs(0.96, 1.0, 0.05)
    (True, False)
    """
    return abs(value - before) > change * before


def _remove(item_by_key: dict, is_gone: collections.abc.Callable[..., bool]) -> None:
    """Remove the items of which a function of key and item is true."""
    for key in [key for key, item in item_by_key.items() if is_gone(key, item)]:
        del item_by_key[key]
