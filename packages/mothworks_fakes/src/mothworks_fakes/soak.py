"""Soak test: many callers, random faults in real processes, checked histories.

``python -m mothworks_fakes.soak --seconds 120 --seed 1`` prints each fault when
it is injected, and at the end every violation; it exits with 1 if there is
one. The seed determines the faults but not their timing relative to the
requests, so a failed run shows the history of a request but is not exactly
reproducible.
"""

import collections
import itertools
import pathlib
import random
import sys
import tempfile
import time

import attrs
import defopt
import gevent

from mothworks import catalogue
from mothworks_fakes import callers, history, processes, testbed

CALLER_KEY = "caller-key"
REGION = "region-1"
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
MODELS = ("menu", "ticket", "status")
SERVICE = "orders"
NODES = 6
ENGINES = 4
INSTANCES = 2
#: Number of callers, each with one request at a time.
CALLERS = 24
#: Pause between a caller's requests, seconds.
THINK_TIME_S = 0.05
#: Minimum and maximum time between faults, seconds.
FAULT_INTERVAL_S = (0.5, 3.0)
#: Minimum and maximum duration of a fault, seconds.
FAULT_DURATION_S = (0.5, 4.0)
#: Minimum number of nodes without a fault, so that callers can reach one.
MIN_HEALTHY_NODES = 2
#: Interval of polling every node's revision, seconds.
REVISION_POLL_S = 0.25
#: Fraction of requests that are orders.
ORDER_FRACTION = 0.4


class Soak:
    """One run of the soak test.

    :param bed: an unused testbed; the nodes and endpoints are added to it.
    :param seed: seed of faults and requests.
    """

    def __init__(self, bed: testbed.Testbed, seed: int):
        self.bed = bed
        self.random = random.Random(seed)
        self.numbers = itertools.count(1)
        self.histories: list[callers.RequestHistory] = []
        self.revisions_by_start: dict[str, list[int]] = collections.defaultdict(list)
        self.starts = itertools.count(1)
        self.start_by_vm: dict[str, int] = {}
        self.faulty_vms: set[str] = set()
        self.declared = self._declare()
        self.revision = 0
        self.stopping = False

    def run(self, seconds: float) -> list[str]:
        """Run for a time and return every violation.

        :param seconds: duration of the fault injection, seconds.
        """
        for index in range(NODES):
            self._start(f"vm-{index}")
        self.revision = self.bed.apply(self.declared)
        self._settle()
        senders = [gevent.spawn(self._send_requests) for _ in range(CALLERS)]
        watcher = gevent.spawn(self._watch_revisions)
        injector = gevent.spawn(self._inject_faults, time.monotonic() + seconds)
        injector.get()
        self.stopping = True
        gevent.joinall(senders, raise_error=True)
        self._settle()
        watcher.kill()
        violations = [
            violation
            for request_history in self.histories
            for violation in request_history.check()
        ]
        engines = list(self.bed.engines())
        return [
            *violations,
            *history.check_revisions(self.revisions_by_start),
            *history.check_memory(engines),
        ]

    def _send_requests(self) -> None:
        caller = callers.Caller(CALLER_KEY)
        while not self.stopping:
            order = self.random.random() < ORDER_FRACTION
            kind = callers.Kind.ORDER if order else callers.Kind.STREAM
            target = SERVICE if order else self.random.choice(MODELS)
            request_history = callers.RequestHistory(
                callers.Request(kind, target, next(self.numbers))
            )
            self.histories.append(request_history)
            caller.send_until_final(request_history, self._any_url, self.bed.count_runs)
            gevent.sleep(THINK_TIME_S)

    def _any_url(self) -> str:
        return self.random.choice(list(self.bed.node_by_name.values())).url

    def _watch_revisions(self) -> None:
        while True:
            for name, node in list(self.bed.node_by_name.items()):
                start = f"{name}/{self.start_by_vm[name]}"
                shown = self.bed.operator(node).get("catalogue")
                if shown.is_ok():
                    self.revisions_by_start[start].append(shown.ok()["revision"])
            gevent.sleep(REVISION_POLL_S)

    def _inject_faults(self, deadline: float) -> None:
        injectors = (
            self._kill_node,
            self._kill_node,
            self._pause_node,
            self._stop_node,
            self._break_endpoint,
            self._fail_api,
            self._lose_replies,
            self._slow_api,
            self._change_configuration,
        )
        while time.monotonic() < deadline:
            injector = self.random.choice(injectors)
            gevent.spawn(injector)
            gevent.sleep(self.random.uniform(*FAULT_INTERVAL_S))
        processes.wait_until(lambda: not self.faulty_vms, timeout_s=120.0)

    def _kill_node(self) -> None:
        with _FaultTarget(self) as name:
            if name:
                _log(f"kill {name}")
                self.bed.node_by_name[name].kill()
                self._wait_fault()
                self._start(name)

    def _pause_node(self) -> None:
        with _FaultTarget(self) as name:
            if name:
                _log(f"pause {name}")
                self.bed.node_by_name[name].pause()
                self._wait_fault()
                self.bed.node_by_name[name].resume()

    def _stop_node(self) -> None:
        with _FaultTarget(self) as name:
            if name:
                _log(f"stop {name}")
                code = self.bed.node_by_name[name].stop()
                _log(f"{name} ended with code {code}")
                self._start(name)

    def _break_endpoint(self) -> None:
        name = self.random.choice(sorted(self.bed.fake_by_endpoint))
        _log(f"break connections of {name}")
        self.bed.fake_by_endpoint[name].break_connections()

    def _fail_api(self) -> None:
        _log("object API outage")
        self._with_api_faults(outage=True)

    def _lose_replies(self) -> None:
        _log("object API loses replies")
        self._with_api_faults(lost_reply=0.4)

    def _slow_api(self) -> None:
        _log("object API is slow")
        self._with_api_faults(delay_s=0.3)

    def _with_api_faults(self, **faults) -> None:
        api = self.bed.object_api
        no_faults = {"outage": False, "lost_reply": 0.0, "delay_s": 0.0}
        api.faults = attrs.evolve(api.faults, **faults)
        self._wait_fault()
        api.faults = attrs.evolve(
            api.faults, **{name: no_faults[name] for name in faults}
        )

    def _change_configuration(self) -> None:
        _log("change of configuration")
        share = round(self.random.uniform(0.5, 1.0), 3)
        changed_callers = tuple(
            attrs.evolve(item, share=share) for item in self.declared.callers
        )
        self.declared = attrs.evolve(self.declared, callers=changed_callers)
        node = self.bed.node_by_name["vm-0"]
        current = self.bed.operator(node).get("catalogue")
        if current.is_ok():
            self.bed.put_catalogue(node, self.declared, current.ok()["revision"])

    def _wait_fault(self) -> None:
        gevent.sleep(self.random.uniform(*FAULT_DURATION_S))

    def _start(self, name: str) -> None:
        data_centre = _data_centre(int(name.removeprefix("vm-")))
        self.start_by_vm[name] = next(self.starts)
        self.bed.add_node(name, data_centre, REGION)

    def _settle(self) -> None:
        names = [item.name for item in self.declared.endpoints]
        processes.wait_until(
            lambda: (
                self.bed.all_know_all()
                and self.bed.all_open(names)
                and self.bed.all_resident(self.declared)
            ),
            timeout_s=120.0,
        )

    def _declare(self) -> catalogue.Catalogue:
        engines = [
            testbed.engine_endpoint(
                f"engine-{index}", _data_centre(index), fencing=index % 2 == 0
            )
            for index in range(ENGINES)
        ]
        instances = [
            testbed.service_endpoint(f"orders-{index}", _data_centre(index), SERVICE)
            for index in range(INSTANCES)
        ]
        return catalogue.Catalogue(
            data_centres=tuple(
                catalogue.DataCentre(name, REGION) for name in DATA_CENTRES
            ),
            models=tuple(catalogue.Model(name, 16_000, 4_000) for name in MODELS),
            services=(catalogue.Service(SERVICE),),
            callers=(
                catalogue.Caller(
                    "caller", testbed.key_hash(CALLER_KEY), catalogue.Urgency.URGENT
                ),
            ),
            endpoints=tuple(map(self.bed.add, (*engines, *instances))),
        )


class _FaultTarget:
    """Reserves a node for one fault, so that no other fault affects it.

    Entering returns the node's name, or None if too few nodes are healthy.

    :param soak: the run.
    """

    def __init__(self, soak: Soak):
        self.soak = soak
        self.name: str | None = None

    def __enter__(self) -> str | None:
        healthy_vms = sorted(set(self.soak.bed.node_by_name) - self.soak.faulty_vms)
        if len(healthy_vms) > MIN_HEALTHY_NODES:
            self.name = self.soak.random.choice(healthy_vms)
            self.soak.faulty_vms.add(self.name)
        return self.name

    def __exit__(self, *_) -> None:
        self.soak.faulty_vms.discard(self.name)


def run(*, seconds: float = 60.0, seed: int = 1) -> None:
    """Run the soak test and print the violations.

    :param seconds: duration of the fault injection, seconds.
    :param seed: seed of faults and requests.
    """
    with tempfile.TemporaryDirectory() as folder:
        bed = testbed.Testbed(pathlib.Path(folder))
        soak = Soak(bed, seed)
        try:
            violations = soak.run(seconds)
        finally:
            bed.stop()
    _report(soak, violations)
    sys.exit(1 if violations else 0)


def _report(soak: Soak, violations: list[str]) -> None:
    attempts = sum(len(request_history.attempts) for request_history in soak.histories)
    unknown = sum(
        request_history.attempts[-1].ran == "unknown"
        for request_history in soak.histories
        if request_history.attempts
    )
    print(
        f"{len(soak.histories)} requests, {attempts} attempts, {unknown} orders with "
        f"an unknown outcome, {len(violations)} violations"
    )
    for violation in violations:
        print("VIOLATION", violation)


def _data_centre(index: int) -> str:
    return DATA_CENTRES[index % len(DATA_CENTRES)]


def _log(text: str) -> None:
    print(f"{time.strftime('%H:%M:%S')} {text}", flush=True)


if __name__ == "__main__":
    defopt.run(run)
