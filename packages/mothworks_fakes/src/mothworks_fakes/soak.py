"""Soak: many callers, random faults on real processes, checked histories.

``python -m mothworks_fakes.soak --seconds 120 --seed 1`` prints each fault as
it is made, and at the end every broken promise; it exits with 1 if there is
one. The faults come from the seed; how they meet the requests does not, so
a red run names a story and not an exact repetition.
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
#: Callers that each have one request under way.
CALLERS = 24
#: Pause between a caller's requests, seconds.
THINK_S = 0.05
#: Shortest and longest time between faults, seconds.
BETWEEN_FAULTS_S = (0.5, 3.0)
#: Shortest and longest time that a fault lasts, seconds.
FAULT_S = (0.5, 4.0)
#: Nodes that stay untouched, so that callers always find one.
SPARED = 2
#: Seconds between reads of every node's revision.
WATCH_S = 0.25
#: Share of requests that are orders.
ORDER_SHARE = 0.4


class Soak:
    """One run.

    :param bed: the stand-ins; nodes are added here.
    :param seed: seed of faults and requests.
    """

    def __init__(self, bed: testbed.Testbed, seed: int):
        self.bed = bed
        self.random = random.Random(seed)
        self.numbers = itertools.count(1)
        self.stories: list[callers.Story] = []
        self.revisions_by_start: dict[str, list[int]] = collections.defaultdict(list)
        self.starts = itertools.count(1)
        self.start_by_vm: dict[str, int] = {}
        self.hurt: set[str] = set()
        self.declared = self._declare()
        self.revision = 0
        self.over = False

    def run(self, seconds: float) -> list[str]:
        """Run for a time and return every violation.

        :param seconds: how long faults are made.
        """
        for place in range(NODES):
            self._start(f"vm-{place}")
        self.revision = self.bed.apply(self.declared)
        self._settle()
        asking = [gevent.spawn(self._ask_on) for _ in range(CALLERS)]
        watching = gevent.spawn(self._watch_revisions)
        faults = gevent.spawn(self._make_faults, time.monotonic() + seconds)
        faults.get()
        self.over = True
        gevent.joinall(asking, raise_error=True)
        self._settle()
        watching.kill()
        violations = [
            violation for story in self.stories for violation in story.check()
        ]
        engines = list(self.bed.engines())
        return [
            *violations,
            *history.check_revisions(self.revisions_by_start),
            *history.check_memory(engines),
        ]

    def _ask_on(self) -> None:
        caller = callers.Caller(CALLER_KEY)
        while not self.over:
            order = self.random.random() < ORDER_SHARE
            kind = callers.Kind.ORDER if order else callers.Kind.STREAM
            target = SERVICE if order else self.random.choice(MODELS)
            story = callers.Story(callers.Ask(kind, target, next(self.numbers)))
            self.stories.append(story)
            caller.ask(story, self._any_url, self.bed.count_runs)
            gevent.sleep(THINK_S)

    def _any_url(self) -> str:
        return self.random.choice(list(self.bed.node_by_name.values())).url

    def _watch_revisions(self) -> None:
        while True:
            for name, node in list(self.bed.node_by_name.items()):
                start = f"{name}/{self.start_by_vm[name]}"
                shown = self.bed.operator(node).get("catalogue")
                if shown.is_ok():
                    self.revisions_by_start[start].append(shown.ok()["revision"])
            gevent.sleep(WATCH_S)

    def _make_faults(self, until: float) -> None:
        makers = (
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
        while time.monotonic() < until:
            maker = self.random.choice(makers)
            gevent.spawn(maker)
            gevent.sleep(self.random.uniform(*BETWEEN_FAULTS_S))
        processes.wait_until(lambda: not self.hurt, timeout_s=120.0)

    def _kill_node(self) -> None:
        with _Hurt(self) as name:
            if name:
                _say(f"kill {name}")
                self.bed.node_by_name[name].kill()
                self._wait()
                self._start(name)

    def _pause_node(self) -> None:
        with _Hurt(self) as name:
            if name:
                _say(f"pause {name}")
                self.bed.node_by_name[name].pause()
                self._wait()
                self.bed.node_by_name[name].resume()

    def _stop_node(self) -> None:
        with _Hurt(self) as name:
            if name:
                _say(f"stop {name}")
                code = self.bed.node_by_name[name].stop()
                _say(f"{name} ended with code {code}")
                self._start(name)

    def _break_endpoint(self) -> None:
        name = self.random.choice(sorted(self.bed.fake_by_endpoint))
        _say(f"break connections of {name}")
        self.bed.fake_by_endpoint[name].break_connections()

    def _fail_api(self) -> None:
        _say("object API outage")
        self._with_api_faults(outage=True)

    def _lose_replies(self) -> None:
        _say("object API loses replies")
        self._with_api_faults(lost_reply=0.4)

    def _slow_api(self) -> None:
        _say("object API is slow")
        self._with_api_faults(delay_s=0.3)

    def _with_api_faults(self, **knobs) -> None:
        api = self.bed.object_api
        calm = {"outage": False, "lost_reply": 0.0, "delay_s": 0.0}
        api.faults = attrs.evolve(api.faults, **knobs)
        self._wait()
        api.faults = attrs.evolve(api.faults, **{name: calm[name] for name in knobs})

    def _change_configuration(self) -> None:
        _say("change of configuration")
        share = round(self.random.uniform(0.5, 1.0), 3)
        changed_callers = tuple(
            attrs.evolve(item, share=share) for item in self.declared.callers
        )
        self.declared = attrs.evolve(self.declared, callers=changed_callers)
        node = self.bed.node_by_name["vm-0"]
        current = self.bed.operator(node).get("catalogue")
        if current.is_ok():
            self.bed.put_catalogue(node, self.declared, current.ok()["revision"])

    def _wait(self) -> None:
        gevent.sleep(self.random.uniform(*FAULT_S))

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
                f"engine-{place}", _data_centre(place), fencing=place % 2 == 0
            )
            for place in range(ENGINES)
        ]
        instances = [
            testbed.service_endpoint(f"orders-{place}", _data_centre(place), SERVICE)
            for place in range(INSTANCES)
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


class _Hurt:
    """Holds one node that is hurt, so that no other fault touches it.

    :param soak: the run.
    """

    def __init__(self, soak: Soak):
        self.soak = soak
        self.name: str | None = None

    def __enter__(self) -> str | None:
        whole = sorted(set(self.soak.bed.node_by_name) - self.soak.hurt)
        if len(whole) > SPARED:
            self.name = self.soak.random.choice(whole)
            self.soak.hurt.add(self.name)
        return self.name

    def __exit__(self, *_) -> None:
        self.soak.hurt.discard(self.name)


def run(*, seconds: float = 60.0, seed: int = 1) -> None:
    """Run the soak and print what it found.

    :param seconds: how long faults are made.
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
    sends = sum(len(story.answers) for story in soak.stories)
    unknown = sum(
        story.answers[-1].ran == "unknown" for story in soak.stories if story.answers
    )
    print(
        f"{len(soak.stories)} requests, {sends} sendings, {unknown} orders ended "
        f"as unknown, {len(violations)} violations"
    )
    for violation in violations:
        print("VIOLATION", violation)


def _data_centre(place: int) -> str:
    return DATA_CENTRES[place % len(DATA_CENTRES)]


def _say(text: str) -> None:
    print(f"{time.strftime('%H:%M:%S')} {text}", flush=True)


if __name__ == "__main__":
    defopt.run(run)
