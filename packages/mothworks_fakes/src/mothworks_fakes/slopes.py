"""Measures control traffic, processor time and failure detection per cluster size.

``python -m mothworks_fakes.slopes --nodes 4 8 16 32`` starts the nodes as
processes with one engine each. For each routing policy it measures them idle and
under load; with the owner policy it also kills nodes and measures how soon all
others detect the failure.
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
#: Time after the start for links and updates between nodes to settle, seconds.
SETTLE_S = 30.0
#: Clock ticks a second in which the kernel counts processor time.
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CONTROL_BYTES_LINE = re.compile(
    rb'mothworks_control_bytes\{transport="(\w+)"\} ([0-9.e+]+)'
)


@attrs.frozen
class Slope:
    """One measured figure, as slope files store it for the capacity page.

    :param name: name of the quantity and its conditions.
    :param value: the figure.
    :param unit: unit of the value.
    :param command: command that repeats the measurement.
    :param date: ISO date of the measurement.
    :param note: conditions of the measurement.
    """

    name: str
    value: float
    unit: str
    command: str
    date: str
    note: str


@attrs.frozen
class Usage:
    """Resources that all nodes together have used so far.

    :param at_s: monotonic time of the reading, seconds.
    :param cpu_s: processor time, seconds.
    :param tcp_bytes: control bytes between nodes over TCP.
    :param udp_bytes: control bytes between nodes over UDP.
    """

    at_s: float
    cpu_s: float
    tcp_bytes: float
    udp_bytes: float


class Cluster:
    """A cluster of nodes with one engine each.

    :param nodes: number of nodes.
    :param policy: their routing policy.
    :param folder: folder for settings and logs.
    """

    def __init__(self, nodes: int, policy: str, folder: pathlib.Path):
        self.bed = testbed.Testbed(folder)
        speed = engine.Speed(step_s=0.001)
        endpoints = tuple(self._add_engine(number, speed) for number in range(nodes))
        for number in range(nodes):
            self.bed.add_node(f"vm-{number}", "dc-1", REGION, routing=policy)
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

    def usage(self) -> Usage:
        """Return the resources that the nodes have used so far."""
        nodes = self.bed.node_by_name.values()
        cpu_s = sum(_cpu_s(node.process.pid) for node in nodes)
        bytes_by_transport = {b"tcp": 0.0, b"udp": 0.0}
        for node in nodes:
            client = geventhttpclient.HTTPClient.from_url(node.url)
            page = bytes(client.get("/metrics").read())
            for transport, value in CONTROL_BYTES_LINE.findall(page):
                bytes_by_transport[transport] += float(value)
        return Usage(
            time.monotonic(),
            cpu_s,
            bytes_by_transport[b"tcp"],
            bytes_by_transport[b"udp"],
        )

    def measure_idle(self, seconds: float) -> tuple[Usage, Usage]:
        """Return the usage before and after a period without requests.

        :param seconds: length of the period.
        """
        before = self.usage()
        gevent.sleep(seconds)
        return before, self.usage()

    def measure_load(self, rate: float, seconds: float) -> tuple[Usage, Usage, int]:
        """Return the usage before and after a period of load, and its requests.

        :param rate: requests a second over all nodes.
        :param seconds: length of the period.
        """
        load_generator = load.Load(
            [node.url for node in self.bed.node_by_name.values()]
        )
        traffic = arrivals.Traffic("urgent", KEY, MODEL, rate, tokens=2)
        before = self.usage()
        load_generator.run((traffic,), seconds)
        gevent.sleep(2.0)
        after = self.usage()
        errors = [item.error for item in load_generator.records if not item.complete]
        if errors:
            print(f"{len(errors)} requests failed, first: {errors[0]}")
        return before, after, len(load_generator.records)

    def time_detection(self) -> float:
        """Kill a node; return the time until all others have detected it, seconds."""
        name, node = self.bed.node_by_name.popitem()
        self.bed.vm_list.vm_by_name.pop(name)
        killed_at_s = time.monotonic()
        node.kill()
        processes.wait_until(self.bed.all_know_all, 60)
        return time.monotonic() - killed_at_s

    def _add_engine(self, number: int, speed: engine.Speed) -> catalogue.Endpoint:
        declared = testbed.engine_endpoint(f"engine-{number}", "dc-1")
        endpoint = self.bed.add_engine(declared, speed)
        self.bed.fake_by_endpoint[declared.name].place(MODEL, 16_000)
        return endpoint


def run(
    *,
    nodes: list[int],
    rate: float = 40.0,
    seconds: float = 15.0,
    kills: int = 3,
    out: pathlib.Path | None = None,
) -> None:
    """Measure clusters of several sizes and print the figures.

    :param nodes: sizes of the clusters, in nodes.
    :param rate: requests a second over all nodes.
    :param seconds: length of each measurement.
    :param kills: nodes to kill to measure detection.
    :param out: file for the figures as JSON.
    """
    slopes: list[Slope] = []
    for count in nodes:
        printed_count = len(slopes)
        for policy in ("random", "owner"):
            with tempfile.TemporaryDirectory() as folder:
                cluster = Cluster(count, policy, pathlib.Path(folder))
                try:
                    slopes += _measure_cluster(
                        cluster, count, policy, rate, seconds, kills
                    )
                finally:
                    cluster.bed.stop()
        for slope in slopes[printed_count:]:
            print(f"{slope.name}: {slope.value} {slope.unit}", flush=True)
    if out is not None:
        out.parent.mkdir(exist_ok=True)
        rows = [attrs.asdict(item) for item in slopes]
        out.write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2) + b"\n")


def _measure_cluster(
    cluster: Cluster, count: int, policy: str, rate: float, seconds: float, kills: int
) -> list[Slope]:
    gevent.sleep(SETTLE_S)
    idle_start, idle_end = cluster.measure_idle(seconds)
    node_seconds = (idle_end.at_s - idle_start.at_s) * count
    idle_cpu_rate = (idle_end.cpu_s - idle_start.cpu_s) / node_seconds
    idle_tcp_rate = (idle_end.tcp_bytes - idle_start.tcp_bytes) / node_seconds
    idle_udp_rate = (idle_end.udp_bytes - idle_start.udp_bytes) / node_seconds
    load_start, load_end, requests = cluster.measure_load(rate, seconds)
    node_seconds = (load_end.at_s - load_start.at_s) * count
    cpu_s_per_request = (
        load_end.cpu_s - load_start.cpu_s - idle_cpu_rate * node_seconds
    ) / requests
    tcp_bytes_per_request = (
        load_end.tcp_bytes - load_start.tcp_bytes - idle_tcp_rate * node_seconds
    ) / requests
    figures = {
        "idle udp bytes": (idle_udp_rate, "B/s a node, in and out"),
        "idle tcp bytes": (idle_tcp_rate, "B/s a node, in and out"),
        "idle processor time": (idle_cpu_rate * 1000, "ms/s a node"),
        "control bytes per request": (tcp_bytes_per_request, "B, counted at both ends"),
        "processor time per request": (
            cpu_s_per_request * 1e6,
            "us, all nodes together",
        ),
    }
    if policy == "owner":
        detection_s = [cluster.time_detection() for _ in range(min(kills, count - 2))]
        figures["detection of a dead node, longest"] = (max(detection_s), "s")
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
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


if __name__ == "__main__":
    defopt.run(run)
