"""Measures what nodes spend on control as their number grows.

``python -m mothworks_fakes.slopes --nodes 4 8 16 32`` starts the nodes as
processes with one engine each, measures them idle, then under load by each
routing policy, then kills nodes and measures how soon all others know.
"""

import datetime
import os
import pathlib
import re
import sys
import tempfile
import time

import attrs
import defopt
import gevent
import geventhttpclient
import orjson

from mothworks import catalogue
from mothworks_fakes import arrivals, engine, load, processes, testbed

REGION = "region-1"
MODEL = "menu"
KEY = "urgent-key"
#: Time for links and news of the start to settle, seconds.
SETTLE_S = 30.0
#: Clock ticks a second in the kernel's counts.
TICKS = os.sysconf("SC_CLK_TCK")
CONTROL_BYTES = re.compile(rb'mothworks_control_bytes\{transport="(\w+)"\} ([0-9.e+]+)')


@attrs.frozen
class Slope:
    """One figure, as the capacity page reads it.

    :param name: what was measured.
    :param value: the figure.
    :param unit: its unit.
    :param command: what measures it again.
    :param date: when it was measured.
    :param note: conditions.
    """

    name: str
    value: float
    unit: str
    command: str
    date: str
    note: str


@attrs.frozen
class Spent:
    """What all nodes together have spent so far.

    :param at: monotonic time, seconds.
    :param cpu_s: processor time, seconds.
    :param tcp: bytes between nodes over TCP.
    :param udp: bytes between nodes over UDP.
    """

    at: float
    cpu_s: float
    tcp: float
    udp: float


class Run:
    """One number of nodes.

    :param nodes: how many.
    :param policy: their routing policy.
    :param folder: where settings and logs go.
    """

    def __init__(self, nodes: int, policy: str, folder: pathlib.Path):
        self.bed = testbed.Testbed(folder)
        speed = engine.Speed(step_s=0.001)
        endpoints = tuple(self._add_engine(place, speed) for place in range(nodes))
        for place in range(nodes):
            self.bed.add_node(f"vm-{place}", "dc-1", REGION, routing=policy)
        caller = catalogue.Caller(
            "urgent", testbed.key_hash(KEY), catalogue.Urgency.URGENT
        )
        self.bed.apply(
            catalogue.Catalogue(
                data_centres=(catalogue.DataCentre("dc-1", REGION),),
                models=(catalogue.Model(MODEL, 16_000, replicas=nodes),),
                callers=(caller,),
                endpoints=endpoints,
            )
        )
        names = [endpoint.name for endpoint in endpoints]
        processes.wait_until(self.bed.all_know_all, 60)
        processes.wait_until(lambda: self.bed.all_open(names), 60)

    def spent(self) -> Spent:
        """Return what the nodes have spent so far."""
        nodes = self.bed.node_by_name.values()
        cpu_s = sum(_cpu_s(node.process.pid) for node in nodes)
        total = {b"tcp": 0.0, b"udp": 0.0}
        for node in nodes:
            client = geventhttpclient.HTTPClient.from_url(node.url)
            page = bytes(client.get("/metrics").read())
            for transport, value in CONTROL_BYTES.findall(page):
                total[transport] += float(value)
        return Spent(time.monotonic(), cpu_s, total[b"tcp"], total[b"udp"])

    def idle(self, seconds: float) -> tuple[Spent, Spent]:
        """Return what was spent before and after a time without requests.

        :param seconds: how long.
        """
        before = self.spent()
        gevent.sleep(seconds)
        return before, self.spent()

    def loaded(self, rate: float, seconds: float) -> tuple[Spent, Spent, int]:
        """Return what was spent before and after requests, and their number.

        :param rate: requests a second at all nodes together.
        :param seconds: how long.
        """
        sender = load.Load([node.url for node in self.bed.node_by_name.values()])
        traffic = arrivals.Traffic("urgent", KEY, MODEL, rate, tokens=2)
        before = self.spent()
        sender.run((traffic,), seconds)
        gevent.sleep(2.0)
        after = self.spent()
        failed = [item.error for item in sender.records if not item.complete]
        if failed:
            print(f"{len(failed)} requests failed, first: {failed[0]}")
        return before, after, len(sender.records)

    def kill_one(self) -> float:
        """Kill a node; return the time until all others know, seconds."""
        name, node = self.bed.node_by_name.popitem()
        self.bed.vm_list.vm_by_name.pop(name)
        started = time.monotonic()
        node.kill()
        processes.wait_until(self.bed.all_know_all, 60)
        return time.monotonic() - started

    def _add_engine(self, place: int, speed: engine.Speed) -> catalogue.Endpoint:
        declared = testbed.engine_endpoint(f"engine-{place}", "dc-1")
        started = self.bed.add_engine(declared, speed)
        self.bed.fake_by_endpoint[declared.name].place(MODEL, 16_000)
        return started


def run(
    *,
    nodes: list[int],
    rate: float = 40.0,
    seconds: float = 15.0,
    kills: int = 3,
    out: pathlib.Path | None = None,
) -> None:
    """Measure each number of nodes and print the figures.

    :param nodes: numbers of nodes.
    :param rate: requests a second at all nodes together.
    :param seconds: length of each measurement.
    :param kills: nodes killed for the time of detection.
    :param out: file for the figures as JSON.
    """
    slopes: list[Slope] = []
    for count in nodes:
        printed = len(slopes)
        for policy in ("random", "owner"):
            with tempfile.TemporaryDirectory() as folder:
                measured = Run(count, policy, pathlib.Path(folder))
                try:
                    slopes += _measure(measured, count, policy, rate, seconds, kills)
                finally:
                    measured.bed.stop()
        for slope in slopes[printed:]:
            print(f"{slope.name}: {slope.value} {slope.unit}", flush=True)
    if out is not None:
        out.parent.mkdir(exist_ok=True)
        rows = [attrs.asdict(item) for item in slopes]
        out.write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2) + b"\n")


def _measure(
    measured: Run, count: int, policy: str, rate: float, seconds: float, kills: int
) -> list[Slope]:
    gevent.sleep(SETTLE_S)
    start, end = measured.idle(seconds)
    node_s = (end.at - start.at) * count
    cpu_rate = (end.cpu_s - start.cpu_s) / node_s
    tcp_rate = (end.tcp - start.tcp) / node_s
    udp_rate = (end.udp - start.udp) / node_s
    before, after, requests = measured.loaded(rate, seconds)
    node_s = (after.at - before.at) * count
    cpu = (after.cpu_s - before.cpu_s - cpu_rate * node_s) / requests
    tcp = (after.tcp - before.tcp - tcp_rate * node_s) / requests
    figures = {
        "idle udp bytes": (udp_rate, "B/s a node, in and out"),
        "idle tcp bytes": (tcp_rate, "B/s a node, in and out"),
        "idle processor time": (cpu_rate * 1000, "ms/s a node"),
        "control bytes per request": (tcp, "B, counted at both ends"),
        "processor time per request": (cpu * 1e6, "us, all nodes together"),
    }
    if policy == "owner":
        times = [measured.kill_one() for _ in range(min(kills, count - 2))]
        figures["detection of a dead node, longest"] = (max(times), "s")
    return [
        _slope(f"{name}, {count} nodes, {policy}", value, unit, rate)
        for name, (value, unit) in figures.items()
    ]


def _slope(name: str, value: float, unit: str, rate: float) -> Slope:
    command = "python -m mothworks_fakes.slopes " + " ".join(sys.argv[1:])
    today = datetime.date.today().isoformat()
    note = f"one engine a node, {rate:g} requests/s in all, loopback"
    return Slope(name, round(value, 3), unit, command, today, note)


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


if __name__ == "__main__":
    defopt.run(run)
