"""One cell of the fault matrix: a request, a step, and the faults made there.

The request is stopped at a step by a gate in a stand-in, the faults are
made, the gate opens, and the caller does what callers do: it sends the
request again through another VM where it got no answer or may retry.
"""

import enum
import hashlib

import attrs
import gevent
import geventhttpclient
import geventhttpclient.response
import orjson

from mothworks import catalogue
from mothworks_fakes import gates, history, processes, testbed

CALLER_KEY = "caller-key"
MODEL = "menu"
SERVICE = "orders"
REGION = "region-1"
ENTRY = "vm-entry"
OWNER = "vm-owner"
OTHER = "vm-other"
DATA_CENTRE_BY_VM = {ENTRY: "dc-entry", OWNER: "dc-owner", OTHER: "dc-other"}
ENGINE = "engine-1"
SECOND_ENGINE = "engine-2"
INSTANCE = "orders-1"
TOKENS = 8
#: Times that a caller sends the same request.
MOST_SENDS = 30
#: Pause of a caller before it sends again, seconds.
RESEND_S = 0.3
#: Longest silence that a caller accepts, seconds.
PATIENCE_S = 20.0
#: Time that a paused VM stays paused, and an outage lasts, seconds.
FAULT_S = 1.5

_BROKEN = (OSError, geventhttpclient.response.HTTPParseError)


class Fault(enum.StrEnum):
    """What goes wrong."""

    KILL_ENTRY = "kill entry"
    KILL_OWNER = "kill owner"
    PAUSE_ENTRY = "pause entry"
    PAUSE_OWNER = "pause owner"
    STOP_ENTRY = "stop entry"
    STOP_OWNER = "stop owner"
    CRASH_ENDPOINT = "crash endpoint"
    OBJECT_API_OUTAGE = "object api outage"
    OBJECT_API_LOST_REPLY = "object api lost reply"
    OBJECT_API_SLOW = "object api slow"


class Kind(enum.StrEnum):
    """What is asked for."""

    STREAM = "stream"
    ORDER = "order"


@attrs.define
class Answer:
    """What the caller got from one sending.

    :param vm: the VM asked.
    :param status: the HTTP status; 0 where the connection broke.
    :param ran: what a refusal said about running.
    :param body: the body as far as it came.
    """

    vm: str
    status: int
    ran: str
    body: bytes


@attrs.define
class Story:
    """What happened in one cell.

    :param answers: the caller's answers, in order.
    :param runs_at_refusal: for each refusal with ``ran: no``, runs so far.
    """

    answers: list[Answer] = attrs.field(factory=list)
    runs_at_refusal: list[int] = attrs.field(factory=list)


class Trial:
    """A small deployment in which one cell after another is tried.

    :param bed: the stand-ins; nodes are added here.
    """

    __test__ = False

    def __init__(self, bed: testbed.Testbed):
        self.bed = bed
        self.number = 0
        engines = [
            self._engine(ENGINE, DATA_CENTRE_BY_VM[OWNER]),
            self._engine(SECOND_ENGINE, DATA_CENTRE_BY_VM[OWNER]),
        ]
        instance = bed.add_application(
            catalogue.Endpoint(
                name=INSTANCE,
                kind="application",
                address="127.0.0.1",
                port=0,
                data_centre=DATA_CENTRE_BY_VM[OWNER],
                service=SERVICE,
            )
        )
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
            endpoints=(*engines, instance),
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
                and self._all_know_all()
                and self.bed.all_open(names)
            ),
            timeout_s=60.0,
        )

    def play(self, kind: Kind, step: gates.Step, faults: tuple[Fault, ...]) -> Story:
        """Try one cell and mend the deployment afterwards.

        :param kind: what is asked for.
        :param step: where the faults are made.
        :param faults: what goes wrong there, all at once.
        """
        self.number += 1
        story = Story()
        gate = self._gates(kind, step)
        caller = gevent.spawn(self._ask, kind, story)
        with gevent.Timeout(PATIENCE_S, TimeoutError(f"{step} was not reached")):
            gate.reached.wait()
        mending = [self._make(fault) for fault in faults]
        gate.opened.set()
        for mend in mending:
            mend()
        caller.get()
        self._restart_missing()
        self.settle()
        return story

    def body(self) -> bytes:
        """Return the body of the present cell's request."""
        messages = [{"role": "user", "content": f"cell {self.number}"}]
        return orjson.dumps(
            {
                "model": MODEL,
                "messages": messages,
                "max_tokens": TOKENS,
                "stream": True,
            }
        )

    def runs(self, kind: Kind) -> int:
        """Return how often the present cell's request began to run.

        :param kind: what was asked for.
        """
        body = self.body()
        if kind is Kind.ORDER:
            return self.bed.fake_by_endpoint[INSTANCE].calls_by_body[body]
        digest = hashlib.sha256(body).hexdigest()[:12]
        return sum(
            run.body_hash == digest
            for name in (ENGINE, SECOND_ENGINE)
            for run in self.bed.fake_by_endpoint[name].runs
        )

    def check(self, kind: Kind, story: Story) -> list[str]:
        """Return what the cell's history violates.

        :param kind: what was asked for.
        :param story: what happened.
        """
        violations = []
        last = story.answers[-1]
        for answer, runs in zip(story.answers, story.runs_at_refusal, strict=True):
            if answer.ran == "no" and runs:
                violations.append(f"{answer.vm} said ran: no after {runs} runs")
        match kind:
            case Kind.ORDER:
                if self.runs(kind) > 1:
                    violations.append(f"the order ran {self.runs(kind)} times")
                if last.status != 200 and last.ran != "unknown":
                    violations.append(f"no final answer: {last}")
                if last.status == 200 and self.runs(kind) != 1:
                    violations.append("an answer without a run")
            case Kind.STREAM:
                violations += self._check_stream(last)
        return violations

    def _check_stream(self, answer: Answer) -> list[str]:
        body = self.body()
        record = history.Record(
            number=self.number,
            traffic="cell",
            url=answer.vm,
            digest=hashlib.sha256(body).hexdigest()[:12],
            due_s=0.0,
            wanted_tokens=TOKENS,
            status=answer.status,
        )
        record.take_stream(answer.body)
        violations = history.check_answers([record])
        if not record.complete:
            violations.append(f"no complete answer: {answer}")
        return violations

    def _ask(self, kind: Kind, story: Story) -> None:
        vms = [ENTRY, OTHER, OWNER]
        for place in range(MOST_SENDS):
            answer = self._send(kind, vms[place % len(vms)])
            story.answers.append(answer)
            story.runs_at_refusal.append(self.runs(kind))
            if self._is_final(kind, answer):
                return
            gevent.sleep(RESEND_S)

    def _is_final(self, kind: Kind, answer: Answer) -> bool:
        if kind is Kind.ORDER:
            return answer.status == 200 or answer.ran == "unknown"
        return answer.status == 200 and answer.body.endswith(b"[DONE]\n\n")

    def _send(self, kind: Kind, vm: str) -> Answer:
        node = self.bed.node_by_name[vm]
        path = f"/services/{SERVICE}/confirm"
        if kind is Kind.STREAM:
            path = "/v1/chat/completions"
        headers = {"Authorization": f"Bearer {CALLER_KEY}"}
        if kind is Kind.ORDER:
            headers["Idempotency-Key"] = f"cell-{self.number}"
        http = geventhttpclient.HTTPClient.from_url(
            node.url, network_timeout=PATIENCE_S
        )
        answer = Answer(vm, 0, "", b"")
        try:
            reply = http.post(path, self.body(), headers)
            answer.ran = reply.get("mothworks-ran", "")
            answer.body = bytes(reply.read())
            answer.status = reply.status_code
        except _BROKEN:
            pass
        finally:
            http.close()
        return answer

    def _gates(self, kind: Kind, step: gates.Step) -> gates.Gate:
        if step in (gates.Step.BEFORE_CLAIM, gates.Step.AFTER_CLAIM):
            return self.bed.object_api.gates.close(step)
        if kind is Kind.ORDER:
            return self.bed.fake_by_endpoint[INSTANCE].gates.close(step)
        # Either engine may get the request; one gate stands at both.
        gate = self.bed.fake_by_endpoint[ENGINE].gates.close(step)
        self.bed.fake_by_endpoint[SECOND_ENGINE].gates.gate_by_step[step] = gate
        return gate

    def _make(self, fault: Fault):
        """Make a fault and return the function that mends it."""
        nodes = self.bed.node_by_name
        api = self.bed.object_api
        match fault:
            case Fault.KILL_ENTRY:
                return self._kill(ENTRY)
            case Fault.KILL_OWNER:
                return self._kill(OWNER)
            case Fault.PAUSE_ENTRY:
                return self._pause(nodes[ENTRY])
            case Fault.PAUSE_OWNER:
                return self._pause(nodes[OWNER])
            case Fault.STOP_ENTRY:
                return self._stop(ENTRY)
            case Fault.STOP_OWNER:
                return self._stop(OWNER)
            case Fault.CRASH_ENDPOINT:
                for name in (ENGINE, SECOND_ENGINE, INSTANCE):
                    self.bed.fake_by_endpoint[name].break_connections()
                return _nothing
            case Fault.OBJECT_API_OUTAGE:
                api.faults.outage = True
            case Fault.OBJECT_API_LOST_REPLY:
                api.faults.lost_reply = 0.5
            case Fault.OBJECT_API_SLOW:
                api.faults.delay_s = 0.5
        return self._mend_api

    def _kill(self, vm: str):
        self.bed.node_by_name[vm].kill()
        return _nothing

    def _pause(self, node: processes.NodeProcess):
        node.pause()

        def mend() -> None:
            gevent.sleep(FAULT_S)
            node.resume()

        return mend

    def _stop(self, vm: str):
        stopping = gevent.spawn(self.bed.node_by_name[vm].stop)
        return stopping.get

    def _mend_api(self) -> None:
        gevent.sleep(FAULT_S)
        faults = self.bed.object_api.faults
        self.bed.object_api.faults = attrs.evolve(
            faults, outage=False, lost_reply=0.0, delay_s=0.0
        )

    def _restart_missing(self) -> None:
        for name, node in list(self.bed.node_by_name.items()):
            if node.process.poll() is not None:
                self._start(name)

    def _start(self, name: str) -> None:
        self.bed.add_node(name, DATA_CENTRE_BY_VM[name], REGION)

    def _all_know_all(self) -> bool:
        names = set(self.bed.node_by_name)
        for node in self.bed.node_by_name.values():
            shown = self.bed.operator(node).get("show/peers").unwrap_or([])
            if {row["name"] for row in shown} != names:
                return False
        return True

    def _engine(self, name: str, data_centre: str) -> catalogue.Endpoint:
        started = self.bed.add_engine(
            catalogue.Endpoint(
                name=name,
                kind="vllm",
                address="127.0.0.1",
                port=0,
                data_centre=data_centre,
                memory_mb=80_000,
                accelerators=1,
            )
        )
        self.bed.fake_by_endpoint[name].place(MODEL, 16_000)
        return started


def _nothing() -> None:
    """Mend nothing: the fault is over at once, or a restart mends it."""
