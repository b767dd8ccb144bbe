"""One case of the fault matrix: a request, a step, and the faults injected there.

A gate in a fake blocks the request at the step, the faults are injected,
the gate opens, and the caller retries the request through other VMs until it
has a final answer.
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
NODE_MODULE = "mothworks_fakes.cut_node"
ENTRY = "vm-entry"
OWNER = "vm-owner"
OTHER = "vm-other"
DATA_CENTRE_BY_VM = {ENTRY: "dc-entry", OWNER: "dc-owner", OTHER: "dc-other"}
ENGINES = ("engine-1", "engine-2")
INSTANCE = "orders-1"
#: Maximum time for the request to reach the step, seconds.
STEP_TIMEOUT_S = 20.0
#: Maximum time for the deployment to recover, seconds.
RECOVERY_TIMEOUT_S = 60.0
#: Duration of a VM's pause and of an object API fault, seconds.
FAULT_DURATION_S = 1.5
#: Duration of a network partition, long enough that a VM is declared dead, seconds.
PARTITION_DURATION_S = 6.0

Repair = collections.abc.Callable[[], object]


class Fault(enum.StrEnum):
    """A fault to inject."""

    KILL_ENTRY = "kill entry"
    KILL_OWNER = "kill owner"
    PAUSE_ENTRY = "pause entry"
    PAUSE_OWNER = "pause owner"
    STOP_ENTRY = "stop entry"
    STOP_OWNER = "stop owner"
    #: Entry and owner cannot reach each other; both reach the third VM.
    CUT_ENTRY_OWNER = "cut entry from owner"
    #: The owner reaches no other VM, but still reaches endpoints and object API.
    ISOLATE_OWNER = "isolate owner"
    CRASH_ENDPOINT = "crash endpoint"
    OBJECT_API_OUTAGE = "object api outage"
    OBJECT_API_LOST_REPLY = "object api lost reply"
    OBJECT_API_SLOW = "object api slow"


class Trial:
    """A small deployment that runs the cases of the fault matrix in turn.

    :param bed: an unused testbed; the nodes and endpoints are added to it.
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
        """Wait until every node is ready and shows every peer, endpoint and model."""
        nodes = self.bed.node_by_name
        names = [item.name for item in self.declared.endpoints]
        processes.wait_until(
            lambda: (
                all(node.is_ready() for node in nodes.values())
                and self.bed.all_know_all()
                and self.bed.all_open(names)
                and self.bed.all_resident(self.declared)
            ),
            timeout_s=RECOVERY_TIMEOUT_S,
        )

    def run_case(
        self, kind: callers.Kind, step: gates.Step, faults: tuple[Fault, ...]
    ) -> callers.RequestHistory:
        """Run one case and repair the deployment afterwards.

        :param kind: the kind of the request.
        :param step: the step at which the faults are injected.
        :param faults: the faults, all injected at this step.
        :returns: the history of the request.
        """
        target = SERVICE if kind is callers.Kind.ORDER else MODEL
        request_history = callers.RequestHistory(
            callers.Request(kind, target, next(self.numbers))
        )
        gate = self._close_gate(kind, step)
        vms = itertools.cycle((ENTRY, OTHER, OWNER))
        sender = gevent.spawn(
            self.caller.send_until_final,
            request_history,
            lambda: self.bed.node_by_name[next(vms)].url,
            self.bed.count_runs,
        )
        with gevent.Timeout(STEP_TIMEOUT_S, TimeoutError(f"{step} was not reached")):
            gate.reached.wait()
        repairs = [self._inject(fault) for fault in faults]
        gate.opened.set()
        for repair in repairs:
            repair()
        sender.get()
        self._restart_missing()
        self.settle()
        return request_history

    def _close_gate(self, kind: callers.Kind, step: gates.Step) -> gates.Gate:
        if step in (gates.Step.BEFORE_CLAIM, gates.Step.AFTER_CLAIM):
            return self.bed.object_api.gates.close(step)
        if kind is callers.Kind.ORDER:
            return self.bed.fake_by_endpoint[INSTANCE].gates.close(step)
        # Either engine may receive the request, so both share one gate.
        gate = gates.Gate()
        for name in ENGINES:
            self.bed.fake_by_endpoint[name].gates.gate_by_step[step] = gate
        return gate

    def _inject(self, fault: Fault) -> Repair:
        """Inject a fault and return the function that repairs it."""
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
                return _no_repair
            case Fault.OBJECT_API_OUTAGE:
                api.faults.outage = True
            case Fault.OBJECT_API_LOST_REPLY:
                api.faults.lost_reply = 0.5
            case Fault.OBJECT_API_SLOW:
                api.faults.delay_s = 0.5
        return self._repair_api

    def _cut(self, vm: str, others: list[str]) -> Repair:
        node_by_name = self.bed.node_by_name
        node_by_name[vm].cut(others)
        for other in others:
            node_by_name[other].cut([vm])

        def repair() -> None:
            gevent.sleep(PARTITION_DURATION_S)
            for name in (vm, *others):
                if node_by_name[name].is_running():
                    node_by_name[name].cut([])

        return repair

    def _repair_api(self) -> None:
        gevent.sleep(FAULT_DURATION_S)
        self.bed.object_api.faults = attrs.evolve(
            self.bed.object_api.faults, outage=False, lost_reply=0.0, delay_s=0.0
        )

    def _restart_missing(self) -> None:
        for name, node in list(self.bed.node_by_name.items()):
            if not node.is_running():
                self._start(name)

    def _start(self, name: str) -> None:
        self.bed.add_node(name, DATA_CENTRE_BY_VM[name], REGION, module=NODE_MODULE)

    def _engine(self, name: str) -> catalogue.Endpoint:
        declared = testbed.engine_endpoint(name, DATA_CENTRE_BY_VM[OWNER])
        started = self.bed.add_engine(declared)
        self.bed.fake_by_endpoint[name].place(MODEL, 16_000)
        return started

    def _instance(self) -> catalogue.Endpoint:
        data_centre = DATA_CENTRE_BY_VM[OWNER]
        declared = testbed.service_endpoint(INSTANCE, data_centre, SERVICE)
        return self.bed.add_application(declared)


def _kill(node: processes.NodeProcess) -> Repair:
    node.kill()
    return _no_repair


def _pause(node: processes.NodeProcess) -> Repair:
    node.pause()

    def repair() -> None:
        gevent.sleep(FAULT_DURATION_S)
        node.resume()

    return repair


def _no_repair() -> None:
    """Repair nothing: the fault is already over, or a restart repairs it."""
