"""Measures the way of a request: ``python -m mothworks_fakes.measure_path``.

Engine, node and, for comparison, a plain WSGI pass-through run as processes
of their own; the callers run here. Prints one line for each figure.
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
#: The end of a server-sent event.
EVENT_END = b"\n\n"
#: Time between an engine's tokens, milliseconds.
STEP_MS = 10


class Program:
    """One of this package's programs as a process.

    :param arguments: after ``python -m``.
    """

    def __init__(self, *arguments: str):
        self.process = subprocess.Popen(
            [sys.executable, "-m", *arguments], stdout=subprocess.PIPE
        )
        self.url = orjson.loads(self.process.stdout.readline())["url"]
        self.port = int(self.url.rpartition(":")[2])

    def stop(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.wait()


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, seconds.

    :param pid: its process id.
    """
    nanoseconds = pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()[0]
    return int(nanoseconds) / 1e9


def resident_mb(pid: int) -> float:
    """Return the memory of a process that is resident, MB of 2**20 bytes.

    :param pid: its process id.
    """
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"process {pid} has no VmRSS")


def deploy(bed: testbed.Testbed, engine: Program) -> processes.NodeProcess:
    """Start a node before one engine and wait until it routes there.

    :param bed: a fresh testbed.
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
    apply(node, declared)
    processes.wait_until(lambda: post(node.url, 1, False).status_code == 200)
    return node


def apply(node: processes.NodeProcess, declared: catalogue.Catalogue) -> None:
    """Put a first catalogue in force.

    :param node: any node.
    :param declared: the catalogue.
    """
    operator = client.Client(node.url, testbed.OPERATOR_KEY)
    change = {"revision": 0, "why": "", "catalogue": documents.plain(declared)}
    operator.put("catalogue", change).unwrap()


def post(url: str, tokens: int, stream: bool = True):
    """Send one completion and return the response, its head read.

    :param url: a node's, engine's or pass-through's.
    :param tokens: how many to ask for.
    :param stream: whether they are streamed.
    """
    body = {"model": MODEL, "prompt": "hi", "max_tokens": tokens, "stream": stream}
    http = geventhttpclient.HTTPClient.from_url(url, network_timeout=60)
    return http.post(PATH, orjson.dumps(body), HEADERS)


@attrs.frozen
class Spread:
    """Percentiles of a set of times, milliseconds.

    :param p50: the median.
    :param p99: exceeded by one in a hundred.
    """

    p50: float
    p99: float


def spread(times_s: list[float]) -> Spread:
    """Return percentiles.

    :param times_s: seconds.
    """
    ordered = sorted(times_s)
    last = len(ordered) - 1
    return Spread(*(1000 * ordered[round(last * share)] for share in (0.5, 0.99)))


def first_chunks(
    url_by_name: dict[str, str], per_s: float, seconds: float
) -> dict[str, Spread]:
    """Return the times to the first chunk, all servers asked in turn.

    :param url_by_name: the servers.
    :param per_s: requests a second to each, without waiting for answers.
    :param seconds: how long.
    """
    times_by_name = {name: [] for name in url_by_name}
    callers = gevent.pool.Group()
    body = {"model": MODEL, "prompt": "hi", "max_tokens": 3, "stream": True}
    wire = orjson.dumps(body)
    http_by_name = {
        name: geventhttpclient.HTTPClient.from_url(url, concurrency=256)
        for name, url in url_by_name.items()
    }

    def ask(name: str) -> None:
        begun = time.perf_counter()
        response = http_by_name[name].post(PATH, wire, HEADERS)
        response.readline(EVENT_END)
        times_by_name[name].append(time.perf_counter() - begun)
        response.read()

    pause = 1 / per_s / len(url_by_name)
    due = time.perf_counter()
    end = due + seconds
    while due < end:
        for name in url_by_name:
            gevent.sleep(max(0.0, due - time.perf_counter()))
            callers.spawn(ask, name)
            due += pause
    callers.join()
    return {name: spread(times) for name, times in times_by_name.items()}


def chunk_cost(url: str, pid: int, streams: int, tokens: int) -> tuple[float, float]:
    """Return processor time a chunk, microseconds, and chunks a second.

    :param url: the server.
    :param pid: its process.
    :param streams: answers at a time.
    :param tokens: chunks of each.
    """

    def read_all() -> int:
        return post(url, tokens).read().count(b"data: {")

    used = cpu_s(pid)
    begun = time.perf_counter()
    callers = [gevent.spawn(read_all) for _ in range(streams)]
    chunks = sum(caller.get() for caller in callers)
    taken = time.perf_counter() - begun
    if chunks != streams * tokens:
        print(f"  {chunks} of {streams * tokens} chunks arrived", file=sys.stderr)
    return (cpu_s(pid) - used) / chunks * 1e6, chunks / taken


def latency(*, per_s: float = 50.0, seconds: float = 20.0) -> None:
    """Measure the time that a node adds to the first chunk.

    :param per_s: requests a second, to the engine and to the node each.
    :param seconds: how long.
    """
    with tempfile.TemporaryDirectory() as folder:
        engine = _engine()
        bed = testbed.Testbed(pathlib.Path(folder))
        try:
            node = deploy(bed, engine)
            urls = {"direct": engine.url, "node": node.url}
            first_chunks(urls, per_s, 2.0)
            found = first_chunks(urls, per_s, seconds)
        finally:
            bed.stop()
            engine.stop()
    direct, through = found["direct"], found["node"]
    print(f"first chunk direct: p50 {direct.p50:.2f} ms, p99 {direct.p99:.2f} ms")
    print(f"first chunk by node: p50 {through.p50:.2f} ms, p99 {through.p99:.2f} ms")
    added = (through.p50 - direct.p50, through.p99 - direct.p99)
    print(f"added: p50 {added[0]:.2f} ms, p99 {added[1]:.2f} ms")


def chunks(*, streams: int = 64, tokens: int = 400, rounds: int = 3) -> None:
    """Measure the processor time of each chunk, beside a plain pass-through.

    :param streams: answers at a time, each with a chunk every 10 ms.
    :param tokens: chunks of each answer.
    :param rounds: measurements of each.
    """
    with tempfile.TemporaryDirectory() as folder:
        engine = _engine()
        plain = Program("mothworks_fakes.pass_through", str(engine.port))
        bed = testbed.Testbed(pathlib.Path(folder))
        try:
            node = deploy(bed, engine)
            servers = {
                "plain pass-through": (plain.url, plain.process.pid),
                "node": (node.url, node.process.pid),
            }
            for name in rounds * [*servers]:
                cost_us, per_s = chunk_cost(*servers[name], streams, tokens)
                print(f"{name}: {cost_us:.1f} us a chunk, {per_s:.0f} chunks/s")
        finally:
            bed.stop()
            plain.stop()
            engine.stop()


def memory(*, models: int = 720, endpoints: int = 4700) -> None:
    """Measure a node's resident memory, idle and with a large catalogue.

    :param models: models of the catalogue.
    :param endpoints: endpoints of the catalogue.
    """
    with tempfile.TemporaryDirectory() as folder:
        bed = testbed.Testbed(pathlib.Path(folder))
        try:
            node = bed.add_node("vm-1", "dc-1", "region-1")
            gevent.sleep(3)
            print(f"idle: {resident_mb(node.process.pid):.1f} MB")
            apply(node, large_catalogue(models, endpoints))
            gevent.sleep(10)
            print(f"large catalogue: {resident_mb(node.process.pid):.1f} MB")
        finally:
            bed.stop()


def large_catalogue(models: int, endpoints: int) -> catalogue.Catalogue:
    """Return a catalogue of many endpoints, each in its own data centre.

    Their data centre has no VM and their region neither, so that a single
    node does not ask all of them for their health.

    :param models: how many models.
    :param endpoints: how many endpoints.
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
        str(STEP_MS),
        "--batch",
        "4096",
    )


if __name__ == "__main__":
    defopt.run([latency, chunks, memory])
