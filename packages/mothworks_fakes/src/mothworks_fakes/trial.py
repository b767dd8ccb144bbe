"""One cell of the fault matrix: a request, a step, and the faults made there.

The request is stopped at a step by a gate in a stand-in, the faults are
made, the gate opens, and the caller sends the request again through other
VMs until it has a final answer.
"""

import collections.abc
import enum
import itertools

import attrs
import gevent

from mothworks import catalogue
from mothworks_fakes import callers, gates, processes, testbed

CALLER_KEY = "caller-key"
MODEL = "menu"
SERVICE = "orders"
REGION = "region-1"
MODULE = "mothworks_fakes.cut_node"
ENTRY = "vm-entry"
OWNER = "vm-owner"
OTHER = "vm-other"
DATA_CENTRE_BY_VM = {ENTRY: "dc-entry", OWNER: "dc-owner", OTHER: "dc-other"}
ENGINES = ("engine-1", "engine-2")
INSTANCE = "orders-1"
#: Longest wait for a step to be reached, seconds.
REACH_S = 20.0
#: Longest wait for the deployment to be whole again, seconds.
SETTLE_S = 60.0
#: Time that a paused VM stays paused, and an outage lasts, seconds.
FAULT_S = 1.5
#: Time that a cut lasts, seconds: enough for a VM to be declared dead.
CUT_S = 6.0

Mend = collections.abc.Callable[[], object]


class Fault(enum.StrEnum):
    """What goes wrong."""

    KILL_ENTRY = "kill entry"
    KILL_OWNER = "kill owner"
    PAUSE_ENTRY = "pause entry"
    PAUSE_OWNER = "pause owner"
    STOP_ENTRY = "stop entry"
    STOP_OWNER = "stop owner"
    #: Entry and owner cannot reach each other; both reach the third VM.
    CUT_ENTRY_OWNER = "cut entry from owner"
    #: The owner reaches no other VM, but endpoints and object API.
    ISOLATE_OWNER = "isolate owner"
    CRASH_ENDPOINT = "crash endpoint"
    OBJECT_API_OUTAGE = "object api outage"
    OBJECT_API_LOST_REPLY = "object api lost reply"
    OBJECT_API_SLOW = "object api slow"


class Trial:
    """A small deployment in which one cell after another is tried.

    :param bed: the stand-ins; nodes are added here.
    """

    __test__ = False

    def __init__(self, bed: testbed.Testbed):
        self.bed = bed
        self.numbers = itertools.count(1)
        self.caller = callers.Caller(CALLER_KEY)
        self.declared = catalogue.Catalogue(
            data_centres=tuple(
                catalogue.DataCentre(name, REGION)
                for name in DATA_CENTRE_BY_VM.values()
            ),
            models=(catalogue.Model(MODEL, 16_000, replicas=2),),
            services=(catalogue.Service(SERVICE),),
            callers=(
                catalogue.Caller(
                    "caller", testbed.key_hash(CALLER_KEY), catalogue.Urgency.URGENT
                ),
            ),
            endpoints=(*map(self._engine, ENGINES), self._instance()),
        )
        for name in DATA_CENTRE_BY_VM:
            self._start(name)
        bed.apply(self.declared)
        self.settle()

    def settle(self) -> None:
        """Wait until every node serves every endpoint again."""
        nodes = self.bed.node_by_name
        names = [item.name for item in self.declared.endpoints]
        processes.wait_until(
            lambda: (
                all(node.is_ready() for node in nodes.values())
                and self.bed.all_know_all()
                and self.bed.all_open(names)
                and self.bed.all_resident(self.declared)
            ),
            timeout_s=SETTLE_S,
        )

    def play(
        self, kind: callers.Kind, step: gates.Step, faults: tuple[Fault, ...]
    ) -> callers.Story:
        """Try one cell and mend the deployment afterwards.

        :param kind: what is asked for.
        :param step: where the faults are made.
        :param faults: what goes wrong there, all at once.
        """
        target = SERVICE if kind is callers.Kind.ORDER else MODEL
        story = callers.Story(callers.Ask(kind, target, next(self.numbers)))
        gate = self._close_gate(kind, step)
        vms = itertools.cycle((ENTRY, OTHER, OWNER))
        asking = gevent.spawn(
            self.caller.ask,
            story,
            lambda: self.bed.node_by_name[next(vms)].url,
            self.bed.count_runs,
        )
        with gevent.Timeout(REACH_S, TimeoutError(f"{step} was not reached")):
            gate.reached.wait()
        mends = [self._make(fault) for fault in faults]
        gate.opened.set()
        for mend in mends:
            mend()
        asking.get()
        self._restart_missing()
        self.settle()
        return story

    def _close_gate(self, kind: callers.Kind, step: gates.Step) -> gates.Gate:
        if step in (gates.Step.BEFORE_CLAIM, gates.Step.AFTER_CLAIM):
            return self.bed.object_api.gates.close(step)
        if kind is callers.Kind.ORDER:
            return self.bed.fake_by_endpoint[INSTANCE].gates.close(step)
        # Either engine may get the request, so one gate stands at both.
        gate = gates.Gate()
        for name in ENGINES:
            self.bed.fake_by_endpoint[name].gates.gate_by_step[step] = gate
        return gate

    def _make(self, fault: Fault) -> Mend:
        """Make a fault and return the function that mends it."""
        node_by_name = self.bed.node_by_name
        api = self.bed.object_api
        match fault:
            case Fault.KILL_ENTRY:
                return _kill(node_by_name[ENTRY])
            case Fault.KILL_OWNER:
                return _kill(node_by_name[OWNER])
            case Fault.PAUSE_ENTRY:
                return _pause(node_by_name[ENTRY])
            case Fault.PAUSE_OWNER:
                return _pause(node_by_name[OWNER])
            case Fault.STOP_ENTRY:
                return gevent.spawn(node_by_name[ENTRY].stop).get
            case Fault.STOP_OWNER:
                return gevent.spawn(node_by_name[OWNER].stop).get
            case Fault.CUT_ENTRY_OWNER:
                return self._cut(OWNER, [ENTRY])
            case Fault.ISOLATE_OWNER:
                return self._cut(OWNER, [ENTRY, OTHER])
            case Fault.CRASH_ENDPOINT:
                for fake in self.bed.fake_by_endpoint.values():
                    fake.break_connections()
                return _nothing
            case Fault.OBJECT_API_OUTAGE:
                api.faults.outage = True
            case Fault.OBJECT_API_LOST_REPLY:
                api.faults.lost_reply = 0.5
            case Fault.OBJECT_API_SLOW:
                api.faults.delay_s = 0.5
        return self._mend_api

    def _cut(self, vm: str, others: list[str]) -> Mend:
        node_by_name = self.bed.node_by_name
        node_by_name[vm].cut(others)
        for other in others:
            node_by_name[other].cut([vm])

        def mend() -> None:
            gevent.sleep(CUT_S)
            for name in (vm, *others):
                if node_by_name[name].is_running():
                    node_by_name[name].cut([])

        return mend

    def _mend_api(self) -> None:
        gevent.sleep(FAULT_S)
        self.bed.object_api.faults = attrs.evolve(
            self.bed.object_api.faults, outage=False, lost_reply=0.0, delay_s=0.0
        )

    def _restart_missing(self) -> None:
        for name, node in list(self.bed.node_by_name.items()):
            if not node.is_running():
                self._start(name)

    def _start(self, name: str) -> None:
        self.bed.add_node(name, DATA_CENTRE_BY_VM[name], REGION, module=MODULE)

    def _engine(self, name: str) -> catalogue.Endpoint:
        declared = testbed.engine_endpoint(name, DATA_CENTRE_BY_VM[OWNER])
        started = self.bed.add_engine(declared)
        self.bed.fake_by_endpoint[name].place(MODEL, 16_000)
        return started

    def _instance(self) -> catalogue.Endpoint:
        data_centre = DATA_CENTRE_BY_VM[OWNER]
        declared = testbed.service_endpoint(INSTANCE, data_centre, SERVICE)
        return self.bed.add_application(declared)


def _kill(node: processes.NodeProcess) -> Mend:
    node.kill()
    return _nothing


def _pause(node: processes.NodeProcess) -> Mend:
    node.pause()

    def mend() -> None:
        gevent.sleep(FAULT_S)
        node.resume()

    return mend


def _nothing() -> None:
    """Mend nothing: the fault is over at once, or a restart mends it."""
