"""A small deployment for the scripts of the second review.

It starts the node with the command of deploy/system.toml as separate processes on
loopback addresses, before a store and servers of this project's own stand-ins
(platform/tests/fakes.py). The stand-ins run in this process.
"""

import gevent.monkey

gevent.monkey.patch_all()

import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import gevent

ROOT = pathlib.Path(__file__).resolve().parents[2]
for folder in (
    "packages/mothworks/src",
    "packages/mothworks_gateway/src",
    "platform/src",
    "platform/tests",
):
    sys.path.insert(0, str(ROOT / folder))

import deployments  # noqa: E402
import fakes  # noqa: E402

HOST = deployments.HOST
#: Whether the case's disruption happens.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
#: The bounds of a small deployment, as sites/scrh-irsconf.toml states them.
BOUNDS = {
    "retry_share": 0.2,
    "retry_window_s": 10,
    "retry_slack": 52,
    "lease_ms": 3000,
    "fenced": True,
    "leave_ms": 2000,
    "load_window_s": 5,
    "load_factor": 1.1,
    "stop_s": 8,
}


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", buffering=1)
        self.started_at = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started_at:9.3f} s  {text}\n")


class NodeProcess:
    """One node, as a process of the deploy file's command."""

    def __init__(self, folder, name, store_address, peer_port, number, **fields):
        self.folder = pathlib.Path(folder)
        self.name = name
        self.address = f"127.0.0.{number}"
        self.front = (self.address, deployments.free_port())
        self.ready_port = deployments.free_port()
        bounds = {**BOUNDS, **fields.pop("bounds", {})}
        self.settings = {
            "name": name,
            "address": self.address,
            "front": f"{self.address}:{self.front[1]}",
            "ready": f"{self.address}:{self.ready_port}",
            "peer_port": peer_port,
            "metrics_port": 0,
            "data_centre": "zone-a",
            "region": "region-a",
            "adapter": "mothworks_platform",
            "platform": {"address": store_address},
            "seeds": [],
            "descriptors": 4200,
            "bounds": bounds,
            **fields,
        }
        self.process = None
        self.starts = 0

    def start(self):
        self.starts += 1
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["MOTHWORKS_CONFIG"] = str(path)
        with open(self.folder / f"{self.name}-{self.starts}.log", "wb") as out:
            self.process = subprocess.Popen(
                ["python3", "deploy/mothworks_node.py"],
                cwd=ROOT, env=env, stdout=out, stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def is_ready(self):
        try:
            with socket.create_connection((self.address, self.ready_port), 1) as sock:
                sock.sendall(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return b" 200 " in sock.recv(200)
        except OSError:
            return False

    def rss_mb(self):
        for line in open(f"/proc/{self.process.pid}/status"):
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0

    def stop(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Deployment:
    """A store, servers and nodes; a context manager that ends all of them."""

    def __init__(self, document, nodes=1, plain=2, engines=(("m-a",), ("m-b",)), **fields):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = fakes.Store()
        self.store.put("config", "main", document)
        self.plain = [fakes.Server(self.store, "plain") for _ in range(plain)]
        self.engines = [fakes.Server(self.store, "llm", models) for models in engines]
        peer_port = deployments.free_port()
        # The next port is the one for requests that nodes forward.
        deployments.free_port()
        self.proxies = [fakes.StoreProxy(self.store) for _ in range(nodes)]
        self.nodes = [
            NodeProcess(self.folder, f"vm-{n}", self.proxies[n - 1].address, peer_port, n, **fields)
            for n in range(1, nodes + 1)
        ]

    def __enter__(self):
        for node in self.nodes:
            node.start()
        try:
            self.wait(lambda: all(node.is_ready for node in self.nodes), 25)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for node in self.nodes:
            node.stop()
        self.logs = self.folder
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def wait(self, condition, seconds):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError("the deployment did not become ready")
            gevent.sleep(0.05)


def run(main, folder):
    """Run a case: exit code 1 if the rule was broken, 0 if it held, 2 otherwise."""
    record = Record(folder)
    try:
        broken = main(record)
    except BaseException as error:  # noqa: BLE001
        record.write(f"the case could not run: {error!r}")
        import traceback
        traceback.print_exc()
        os._exit(2)
    record.write("the rule was broken" if broken else "the rule held")
    print("broken" if broken else "held")
    sys.stdout.flush()
    os._exit(1 if broken else 0)
