"""Measures the request path: ``python -m mothworks_fakes.measure_path``.

The engine, the node and, for comparison, a plain WSGI pass-through run as separate
processes; the callers run in this one. Prints one line per figure.
"""

import pathlib
import subprocess
import sys
import tempfile
import time

import attrs
import defopt
import gevent
import gevent.pool
import geventhttpclient
import orjson

from mothctl import client
from mothworks import catalogue, documents
from mothworks_fakes import processes, testbed

MODEL = "menu"
KEY = "caller-key"
PATH = "/v1/completions"
HEADERS = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
#: Ends a server-sent event.
EVENT_SEPARATOR = b"\n\n"
#: Time between two tokens of the engine, milliseconds.
TOKEN_INTERVAL_MS = 10


class Program:
    """Runs one of this package's programs as a process.

    :param arguments: arguments after ``python -m``.
    """

    def __init__(self, *arguments: str):
        self.process = subprocess.Popen(
            [sys.executable, "-m", *arguments], stdout=subprocess.PIPE
        )
        self.url = orjson.loads(self.process.stdout.readline())["url"]
        self.port = int(self.url.rpartition(":")[2])

    def stop(self) -> None:
        """Kill the process and wait for it to exit."""
        self.process.kill()
        self.process.wait()


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, seconds.

    :param pid: its process id.
    """
    nanoseconds = pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()[0]
    return int(nanoseconds) / 1e9


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, MB of 2**20 bytes.

    :param pid: its process id.
    """
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"process {pid} has no VmRSS")


def deploy(bed: testbed.Testbed, engine: Program) -> processes.NodeProcess:
    """Start a node in front of one engine and wait until it routes there.

    :param bed: an unused testbed.
    :param engine: the engine's process.
    """
    endpoint = catalogue.Endpoint(
        "engine-1",
        "vllm",
        "127.0.0.1",
        engine.port,
        "dc-1",
        memory_mb=80_000,
        slots=4096,
    )
    declared = catalogue.Catalogue(
        data_centres=(catalogue.DataCentre("dc-1", "region-1"),),
        models=(catalogue.Model(MODEL, 1000),),
        callers=(catalogue.Caller("caller", testbed.key_hash(KEY)),),
        endpoints=(endpoint,),
    )
    node = bed.add_node("vm-1", "dc-1", "region-1")
    apply_catalogue(node, declared)
    processes.wait_until(lambda: post(node.url, 1, False).status_code == 200)
    return node


def apply_catalogue(node: processes.NodeProcess, declared: catalogue.Catalogue) -> None:
    """Apply the first catalogue of a deployment.

    :param node: a node of the deployment.
    :param declared: the catalogue.
    """
    operator = client.Client(node.url, testbed.OPERATOR_KEY)
    change = {"revision": 0, "why": "", "catalogue": documents.to_plain(declared)}
    operator.put("catalogue", change).unwrap()


def post(url: str, tokens: int, stream: bool = True):
    """Send one completion request and return its response once the head is read.

    :param url: URL of a node, an engine or the pass-through.
    :param tokens: number of tokens to request.
    :param stream: whether the answer is streamed.
    """
    body = {"model": MODEL, "prompt": "hi", "max_tokens": tokens, "stream": stream}
    http = geventhttpclient.HTTPClient.from_url(url, network_timeout=60)
    return http.post(PATH, orjson.dumps(body), HEADERS)


@attrs.frozen
class Percentiles:
    """Percentiles of a set of durations, milliseconds.

    :param p50: the median.
    :param p99: the 99th percentile.
    """

    p50: float
    p99: float


def percentiles(times_s: list[float]) -> Percentiles:
    """Return the percentiles of some durations.

    :param times_s: durations, seconds.
    """
    ordered = sorted(times_s)
    last = len(ordered) - 1
    return Percentiles(*(1000 * ordered[round(last * share)] for share in (0.5, 0.99)))


def measure_first_chunks(
    url_by_name: dict[str, str], per_s: float, seconds: float
) -> dict[str, Percentiles]:
    """Measure the time to the first chunk, with requests to all servers in rotation.

    :param url_by_name: URLs of the servers.
    :param per_s: requests a second to each server, sent without waiting for answers.
    :param seconds: duration of the measurement.
    """
    times_by_name = {name: [] for name in url_by_name}
    callers = gevent.pool.Group()
    body = {"model": MODEL, "prompt": "hi", "max_tokens": 3, "stream": True}
    payload = orjson.dumps(body)
    http_by_name = {
        name: geventhttpclient.HTTPClient.from_url(url, concurrency=256)
        for name, url in url_by_name.items()
    }

    def send_request(name: str) -> None:
        started_s = time.perf_counter()
        response = http_by_name[name].post(PATH, payload, HEADERS)
        response.readline(EVENT_SEPARATOR)
        times_by_name[name].append(time.perf_counter() - started_s)
        response.read()

    interval_s = 1 / per_s / len(url_by_name)
    next_send_s = time.perf_counter()
    end_s = next_send_s + seconds
    while next_send_s < end_s:
        for name in url_by_name:
            gevent.sleep(max(0.0, next_send_s - time.perf_counter()))
            callers.spawn(send_request, name)
            next_send_s += interval_s
    callers.join()
    return {name: percentiles(times) for name, times in times_by_name.items()}


def measure_chunk_cost(
    url: str, pid: int, streams: int, tokens: int
) -> tuple[float, float]:
    """Measure processor time per chunk, microseconds, and chunks a second.

    :param url: URL of the server.
    :param pid: process id of the server.
    :param streams: number of concurrent streamed answers.
    :param tokens: chunks per answer.
    """

    def read_all() -> int:
        return post(url, tokens).read().count(b"data: {")

    cpu_before_s = cpu_s(pid)
    started_s = time.perf_counter()
    callers = [gevent.spawn(read_all) for _ in range(streams)]
    chunks = sum(caller.get() for caller in callers)
    elapsed_s = time.perf_counter() - started_s
    if chunks != streams * tokens:
        print(f"  {chunks} of {streams * tokens} chunks arrived", file=sys.stderr)
    return (cpu_s(pid) - cpu_before_s) / chunks * 1e6, chunks / elapsed_s


def latency(*, per_s: float = 50.0, seconds: float = 20.0) -> None:
    """Measure the time that a node adds to the first chunk.

    :param per_s: requests a second to each of the engine and the node.
    :param seconds: duration of the measurement.
    """
    with tempfile.TemporaryDirectory() as folder:
        engine = _engine()
        bed = testbed.Testbed(pathlib.Path(folder))
        try:
            node = deploy(bed, engine)
            url_by_name = {"direct": engine.url, "node": node.url}
            measure_first_chunks(url_by_name, per_s, 2.0)
            percentiles_by_name = measure_first_chunks(url_by_name, per_s, seconds)
        finally:
            bed.stop()
            engine.stop()
    direct, via_node = percentiles_by_name["direct"], percentiles_by_name["node"]
    print(f"first chunk direct: p50 {direct.p50:.2f} ms, p99 {direct.p99:.2f} ms")
    print(f"first chunk by node: p50 {via_node.p50:.2f} ms, p99 {via_node.p99:.2f} ms")
    added_ms = (via_node.p50 - direct.p50, via_node.p99 - direct.p99)
    print(f"added: p50 {added_ms[0]:.2f} ms, p99 {added_ms[1]:.2f} ms")


def chunks(*, streams: int = 64, tokens: int = 400, rounds: int = 3) -> None:
    """Measure the processor time per chunk of a node and of a plain pass-through.

    :param streams: concurrent answers, each with a chunk every 10 ms.
    :param tokens: chunks per answer.
    :param rounds: measurements of each server.
    """
    with tempfile.TemporaryDirectory() as folder:
        engine = _engine()
        plain = Program("mothworks_fakes.pass_through", str(engine.port))
        bed = testbed.Testbed(pathlib.Path(folder))
        try:
            node = deploy(bed, engine)
            server_by_name = {
                "plain pass-through": (plain.url, plain.process.pid),
                "node": (node.url, node.process.pid),
            }
            for name in rounds * [*server_by_name]:
                cost_us, per_s = measure_chunk_cost(
                    *server_by_name[name], streams, tokens
                )
                print(f"{name}: {cost_us:.1f} us a chunk, {per_s:.0f} chunks/s")
        finally:
            bed.stop()
            plain.stop()
            engine.stop()


def memory(*, models: int = 720, endpoints: int = 4700) -> None:
    """Measure a node's resident memory, idle and with a large catalogue.

    :param models: number of models in the catalogue.
    :param endpoints: number of endpoints in the catalogue.
    """
    with tempfile.TemporaryDirectory() as folder:
        bed = testbed.Testbed(pathlib.Path(folder))
        try:
            node = bed.add_node("vm-1", "dc-1", "region-1")
            gevent.sleep(3)
            print(f"idle: {resident_mb(node.process.pid):.1f} MB")
            apply_catalogue(node, large_catalogue(models, endpoints))
            gevent.sleep(10)
            print(f"large catalogue: {resident_mb(node.process.pid):.1f} MB")
        finally:
            bed.stop()


def large_catalogue(models: int, endpoints: int) -> catalogue.Catalogue:
    """Return a catalogue of many endpoints in a data centre without VMs.

    Their region has no VM either, so the single node does not check the health of
    all endpoints.

    :param models: number of models.
    :param endpoints: number of endpoints.
    """
    far = catalogue.DataCentre("dc-far", "region-far")
    return catalogue.Catalogue(
        data_centres=(catalogue.DataCentre("dc-1", "region-1"), far),
        models=tuple(
            catalogue.Model(f"model-{number}", 16_000) for number in range(models)
        ),
        callers=(catalogue.Caller("caller", testbed.key_hash(KEY)),),
        endpoints=tuple(
            catalogue.Endpoint(
                f"engine-{number}",
                "vllm",
                f"10.0.{number // 250}.{number % 250}",
                8000,
                "dc-far",
                memory_mb=80_000,
                accelerators=4,
            )
            for number in range(endpoints)
        ),
    )


def _engine() -> Program:
    return Program(
        "mothworks_fakes",
        "engine",
        "--model",
        MODEL,
        "--step-ms",
        str(TOKEN_INTERVAL_MS),
        "--batch",
        "4096",
    )


if __name__ == "__main__":
    defopt.run([latency, chunks, memory])
