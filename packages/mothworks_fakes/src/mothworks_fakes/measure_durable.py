"""Measures what goes through the object API.

``python -m mothworks_fakes.measure_durable claims`` sends orders with and
without an Idempotency-Key; ``configuration`` applies changes and waits until
they are in force on every node. All programs but the callers run as
processes of their own, in ``configuration`` the stand-ins run here.
"""

import collections.abc
import itertools
import pathlib
import re
import statistics
import tempfile
import time

import defopt
import gevent
import gevent.pool
import geventhttpclient

from mothworks import catalogue, settings
from mothworks_fakes import measure_path, processes, testbed

KEY = "caller-key"
PATH = "/services/orders/confirm"
#: Rates of orders that are measured, a second.
RATES = (20.0, 100.0, 200.0)
#: Time after a run for the last outcomes to be stored, seconds.
SETTLE_S = 1.0
#: Pause between changes, so that each is measured by itself, seconds.
PAUSE_S = 0.5
#: Time over which the nodes' idle exchange is measured, seconds.
IDLE_S = 10.0
#: A line of the metrics page, its labels left out.
METRIC = re.compile(r"^mothworks_(\w+)(?:\{[^}]*\})? (\S+)$", re.MULTILINE)


def claims(*, nodes: int = 4, seconds: float = 5.0) -> None:
    """Measure claims: latency that they add, and records to one write.

    :param nodes: number of nodes.
    :param seconds: length of a run.
    """
    object_api = measure_path.Program("mothworks_fakes", "object-api")
    service = measure_path.Program("mothworks_fakes", "application")
    with tempfile.TemporaryDirectory() as folder:
        bed = testbed.Testbed(pathlib.Path(folder))
        try:
            orders = _orders(service.port)
            _deploy(bed, orders, nodes, object_api.url)
            for rate in RATES:
                _measure_claims(bed, rate, seconds)
        finally:
            bed.stop()
            object_api.stop()
            service.stop()


def configuration(*, nodes: int = 10, changes: int = 20, outage: bool = False) -> None:
    """Measure the time until a change is in force on every node.

    :param nodes: number of nodes.
    :param changes: how many changes.
    :param outage: the object API goes down as each change is accepted.
    """
    service = measure_path.Program("mothworks_fakes", "application")
    with tempfile.TemporaryDirectory() as folder:
        bed = testbed.Testbed(pathlib.Path(folder))
        try:
            orders = _orders(service.port)
            _deploy(bed, orders, nodes, bed.object_api.url)
            _measure_configuration(bed, orders, changes, outage)
        finally:
            bed.stop()
            service.stop()


def _orders(port: int) -> catalogue.Endpoint:
    return catalogue.Endpoint(
        "orders-1",
        "application",
        "127.0.0.1",
        port,
        "dc-1",
        service="orders",
        slots=256,
    )


def _deploy(
    bed: testbed.Testbed, orders: catalogue.Endpoint, nodes: int, object_api: str
) -> None:
    for number in range(nodes):
        bed.add_node(
            f"vm-{number}",
            "dc-1",
            "region-1",
            object_api=settings.ObjectApi(object_api),
        )
    bed.apply(_declared(orders, 0))
    processes.wait_until(lambda: bed.all_open(["orders-1"]), 60)


def _declared(orders: catalogue.Endpoint, change: int) -> catalogue.Catalogue:
    return catalogue.Catalogue(
        data_centres=(catalogue.DataCentre("dc-1", "region-1"),),
        services=(catalogue.Service("orders"), catalogue.Service(f"change-{change}")),
        callers=(catalogue.Caller("desk", testbed.key_hash(KEY)),),
        endpoints=(orders,),
    )


def _client(node: processes.NodeProcess) -> geventhttpclient.HTTPClient:
    return geventhttpclient.HTTPClient.from_url(
        node.url,
        headers={"Authorization": f"Bearer {KEY}"},
        concurrency=200,
        network_timeout=30.0,
    )


def _metric(bed: testbed.Testbed, name: str) -> float:
    """Return the sum of a metric over all nodes and labels."""
    total = 0.0
    for node in bed.node_by_name.values():
        page = bytes(_client(node).get("/metrics").read()).decode()
        total += sum(float(value) for key, value in METRIC.findall(page) if key == name)
    return total


def _measure_claims(bed: testbed.Testbed, rate: float, seconds: float) -> None:
    clients = [_client(node) for node in bed.node_by_name.values()]
    plain = _send_orders(clients, rate, seconds, keyed=False)
    writes = _metric(bed, "claim_writes_total")
    records = _metric(bed, "claim_records_total")
    keyed = _send_orders(clients, rate, seconds, keyed=True)
    gevent.sleep(SETTLE_S)
    writes = _metric(bed, "claim_writes_total") - writes
    records = _metric(bed, "claim_records_total") - records
    sent = int(rate * seconds)
    print(
        f"{rate:g} orders/s: without key p50 {_quantile(plain, 50):.1f} ms "
        f"p99 {_quantile(plain, 99):.1f} ms ({len(plain)} of {sent} answered); "
        f"with key p50 {_quantile(keyed, 50):.1f} ms "
        f"p99 {_quantile(keyed, 99):.1f} ms ({len(keyed)} of {sent} answered); "
        f"{writes / seconds:.0f} writes/s, {records / max(1, writes):.2f} claims "
        f"and outcomes to a write"
    )


def _send_orders(
    clients: list[geventhttpclient.HTTPClient], rate: float, seconds: float, keyed: bool
) -> list[float]:
    """Send orders at a rate; returns how long each took, milliseconds."""
    times: list[float] = []
    pool = gevent.pool.Pool()
    numbers = itertools.count()
    start = time.monotonic()
    for number in range(int(rate * seconds)):
        gevent.sleep(max(0.0, start + number / rate - time.monotonic()))
        key = f"{rate}-{time.time_ns()}-{next(numbers)}"
        headers = {"Idempotency-Key": key} if keyed else {}
        pool.spawn(_send_order, clients[number % len(clients)], headers, times)
    pool.join()
    return times


def _send_order(
    client: geventhttpclient.HTTPClient, headers: dict[str, str], times: list[float]
) -> None:
    began = time.monotonic()
    reply = client.post(PATH, b"one tray", headers)
    body = reply.read()
    if reply.status_code != 200:
        print(reply.status_code, bytes(body))
    else:
        times.append((time.monotonic() - began) * 1000)


def _measure_configuration(
    bed: testbed.Testbed, orders: catalogue.Endpoint, changes: int, outage: bool
) -> None:
    idle_bytes = _metric(bed, "control_bytes")
    gevent.sleep(IDLE_S)
    idle_bytes_per_s = (_metric(bed, "control_bytes") - idle_bytes) / IDLE_S
    reads = bed.object_api.reads_by_kind["configuration"]
    sent = _metric(bed, "control_bytes")
    began = time.monotonic()
    times = []
    for revision in range(1, changes + 1):
        changed = _declared(orders, revision)
        times.append(_time_change(bed, changed, revision, outage))
        gevent.sleep(PAUSE_S)
    reads = bed.object_api.reads_by_kind["configuration"] - reads
    gevent.sleep(SETTLE_S)
    seconds = time.monotonic() - began
    sent = _metric(bed, "control_bytes") - sent - idle_bytes_per_s * seconds
    nodes = len(bed.node_by_name)
    print(
        f"{changes} changes on {nodes} nodes: in force everywhere after "
        f"p50 {statistics.median(times) * 1000:.0f} ms, "
        f"longest {max(times) * 1000:.0f} ms; "
        f"{reads / changes:.1f} reads of the object API a change, "
        f"{sent / changes / nodes:.0f} bytes a change and node, both ways"
    )


def _time_change(
    bed: testbed.Testbed, changed: catalogue.Catalogue, revision: int, outage: bool
) -> float:
    """Apply a change; returns the seconds until all nodes have it."""
    bed.apply(changed, revision)
    bed.object_api.faults.outage = outage
    accepted = time.monotonic()
    pool = gevent.pool.Pool()
    for node in bed.node_by_name.values():
        pool.spawn(_wait_for, bed, node, revision + 1)
    pool.join()
    taken = time.monotonic() - accepted
    bed.object_api.faults.outage = False
    return taken


def _wait_for(bed: testbed.Testbed, node: processes.NodeProcess, revision: int) -> None:
    client = bed.operator(node)
    while client.get("catalogue").unwrap()["revision"] < revision:
        gevent.sleep(0.005)


def _quantile(values: collections.abc.Sequence[float], percent: int) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


if __name__ == "__main__":
    defopt.run([claims, configuration])
