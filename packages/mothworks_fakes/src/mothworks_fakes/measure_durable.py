"""Measures claims and configuration changes, which go through the object API.

``python -m mothworks_fakes.measure_durable claims`` sends orders with and
without an Idempotency-Key; ``configuration`` applies changes and waits until
they are in force on every node. The callers run in this process, and the service
and the nodes in processes of their own; so does the object API of ``claims``,
while that of ``configuration`` runs here.
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
#: Rates at which claims are measured, orders a second.
ORDER_RATES_PER_S = (20.0, 100.0, 200.0)
#: Time after a run in which the last outcomes are stored, seconds.
SETTLE_S = 1.0
#: Pause between two changes, so that each is measured on its own, seconds.
CHANGE_INTERVAL_S = 0.5
#: Time over which the control traffic of idle nodes is measured, seconds.
IDLE_S = 10.0
#: Matches a sample line of the metrics page; captures name and value, not labels.
METRIC_LINE = re.compile(r"^mothworks_(\w+)(?:\{[^}]*\})? (\S+)$", re.MULTILINE)


def claims(*, nodes: int = 4, seconds: float = 5.0) -> None:
    """Measure the latency that claims add, and the records per claim write.

    :param nodes: number of nodes.
    :param seconds: duration of a run.
    """
    object_api = measure_path.Program("mothworks_fakes", "object-api")
    service = measure_path.Program("mothworks_fakes", "application")
    with tempfile.TemporaryDirectory() as folder:
        bed = testbed.Testbed(pathlib.Path(folder))
        try:
            orders = _orders(service.port)
            _deploy(bed, orders, nodes, object_api.url)
            for rate in ORDER_RATES_PER_S:
                _measure_claims(bed, rate, seconds)
        finally:
            bed.stop()
            object_api.stop()
            service.stop()


def configuration(*, nodes: int = 10, changes: int = 20, outage: bool = False) -> None:
    """Measure the time until a change is in force on every node.

    :param nodes: number of nodes.
    :param changes: number of changes.
    :param outage: take the object API down once a change is accepted, until all
        nodes have it.
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
    bed: testbed.Testbed, orders: catalogue.Endpoint, nodes: int, object_api_url: str
) -> None:
    for number in range(nodes):
        bed.add_node(
            f"vm-{number}",
            "dc-1",
            "region-1",
            object_api=settings.ObjectApi(object_api_url),
        )
    bed.apply(_catalogue(orders, 0))
    processes.wait_until(lambda: bed.all_open(["orders-1"]), 60)


def _catalogue(orders: catalogue.Endpoint, change: int) -> catalogue.Catalogue:
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


def _read_metric(bed: testbed.Testbed, name: str) -> float:
    """Return the sum of a metric over all nodes and labels."""
    total = 0.0
    for node in bed.node_by_name.values():
        page = bytes(_client(node).get("/metrics").read()).decode()
        total += sum(
            float(value) for key, value in METRIC_LINE.findall(page) if key == name
        )
    return total


def _measure_claims(bed: testbed.Testbed, rate: float, seconds: float) -> None:
    clients = [_client(node) for node in bed.node_by_name.values()]
    unkeyed_ms = _send_orders(clients, rate, seconds, keyed=False)
    writes = _read_metric(bed, "claim_writes_total")
    records = _read_metric(bed, "claim_records_total")
    keyed_ms = _send_orders(clients, rate, seconds, keyed=True)
    gevent.sleep(SETTLE_S)
    writes = _read_metric(bed, "claim_writes_total") - writes
    records = _read_metric(bed, "claim_records_total") - records
    sent_orders = int(rate * seconds)
    print(
        f"{rate:g} orders/s: without key p50 {_percentile(unkeyed_ms, 50):.1f} ms "
        f"p99 {_percentile(unkeyed_ms, 99):.1f} ms "
        f"({len(unkeyed_ms)} of {sent_orders} answered); "
        f"with key p50 {_percentile(keyed_ms, 50):.1f} ms "
        f"p99 {_percentile(keyed_ms, 99):.1f} ms "
        f"({len(keyed_ms)} of {sent_orders} answered); "
        f"{writes / seconds:.0f} writes/s, {records / max(1, writes):.2f} claims "
        f"and outcomes to a write"
    )


def _send_orders(
    clients: list[geventhttpclient.HTTPClient], rate: float, seconds: float, keyed: bool
) -> list[float]:
    """Send orders at a fixed rate; return the latency of each success, in ms."""
    times_ms: list[float] = []
    pool = gevent.pool.Pool()
    numbers = itertools.count()
    started_s = time.monotonic()
    for number in range(int(rate * seconds)):
        gevent.sleep(max(0.0, started_s + number / rate - time.monotonic()))
        key = f"{rate}-{time.time_ns()}-{next(numbers)}"
        headers = {"Idempotency-Key": key} if keyed else {}
        pool.spawn(_send_order, clients[number % len(clients)], headers, times_ms)
    pool.join()
    return times_ms


def _send_order(
    client: geventhttpclient.HTTPClient, headers: dict[str, str], times_ms: list[float]
) -> None:
    started_s = time.monotonic()
    response = client.post(PATH, b"one tray", headers)
    body = response.read()
    if response.status_code != 200:
        print(response.status_code, bytes(body))
    else:
        times_ms.append((time.monotonic() - started_s) * 1000)


def _measure_configuration(
    bed: testbed.Testbed, orders: catalogue.Endpoint, changes: int, outage: bool
) -> None:
    idle_bytes = _read_metric(bed, "control_bytes")
    gevent.sleep(IDLE_S)
    idle_bytes_per_s = (_read_metric(bed, "control_bytes") - idle_bytes) / IDLE_S
    reads = bed.object_api.reads_by_kind["configuration"]
    control_bytes = _read_metric(bed, "control_bytes")
    started_s = time.monotonic()
    times_s = []
    for revision in range(1, changes + 1):
        new_catalogue = _catalogue(orders, revision)
        times_s.append(_time_change(bed, new_catalogue, revision, outage))
        gevent.sleep(CHANGE_INTERVAL_S)
    reads = bed.object_api.reads_by_kind["configuration"] - reads
    gevent.sleep(SETTLE_S)
    seconds = time.monotonic() - started_s
    control_bytes = (
        _read_metric(bed, "control_bytes") - control_bytes - idle_bytes_per_s * seconds
    )
    nodes = len(bed.node_by_name)
    print(
        f"{changes} changes on {nodes} nodes: in force everywhere after "
        f"p50 {statistics.median(times_s) * 1000:.0f} ms, "
        f"longest {max(times_s) * 1000:.0f} ms; "
        f"{reads / changes:.1f} reads of the object API a change, "
        f"{control_bytes / changes / nodes:.0f} bytes a change and node, both ways"
    )


def _time_change(
    bed: testbed.Testbed,
    new_catalogue: catalogue.Catalogue,
    revision: int,
    outage: bool,
) -> float:
    """Apply a change; return the time until it is in force everywhere, seconds."""
    bed.apply(new_catalogue, revision)
    bed.object_api.faults.outage = outage
    accepted_s = time.monotonic()
    pool = gevent.pool.Pool()
    for node in bed.node_by_name.values():
        pool.spawn(_wait_for_revision, bed, node, revision + 1)
    pool.join()
    elapsed_s = time.monotonic() - accepted_s
    bed.object_api.faults.outage = False
    return elapsed_s


def _wait_for_revision(
    bed: testbed.Testbed, node: processes.NodeProcess, revision: int
) -> None:
    client = bed.operator(node)
    while client.get("catalogue").unwrap()["revision"] < revision:
        gevent.sleep(0.005)


def _percentile(values: collections.abc.Sequence[float], percent: int) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


if __name__ == "__main__":
    defopt.run([claims, configuration])
