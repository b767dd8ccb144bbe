"""What the scripts of the review share: nodes as processes, a store, and the record.

The nodes are started with the command of ``deploy/system.toml`` and with settings that
are rendered from the template that it names. All addresses are loopback addresses.
"""

import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]

for _folder in (
    ROOT / "target" / "deps",
    *sorted((ROOT / "packages").glob("*/src")),
    ROOT / "platform" / "src",
    ROOT / "platform" / "tests",
):
    if str(_folder) not in sys.path:
        sys.path.insert(0, str(_folder))

import gevent  # noqa: E402
import gevent.socket  # noqa: E402

import deployments  # noqa: E402
import fakes  # noqa: E402,F401

#: Exit codes: the rule held, it was broken, the case could not run.
HELD, BROKEN, NOT_RUN = 0, 1, 2

#: Fields of the users' settings, as DEPLOY.md shows them for a small deployment
#: (sites/scrh-irsconf.toml).
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lostSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "retryBudget": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 52,
    "recoverS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "requireFence": True,
    "leaseTtlMs": 3000,
    "thawSlackMs": 300,
    "ceilingWindowS": 5,
    "ceilingFactor": 1.1,
}
#: Those that differ on further/kuopio-hire.toml and on demands/barazda-edge-grown.toml.
KUOPIO_BOUNDS = {"budgetSlack": 58, "requireFence": False}
BARAZDA_BOUNDS = {
    "stableMs": 4000,
    "ackMs": 6000,
    "catchUpS": 6,
    "drainMs": 3000,
    "configApplyMs": 3000,
    "maxSkewMs": 6000,
    "budgetSlack": 190,
    "recoverS": 15,
    "passMs": 200,
}
#: The settings' limits of a machine.
LIMITS = {
    "cpuShare": 0.537,
    "cores": 2,
    "memoryMb": 300,
    "maxFds": 4200,
    "linkMbps": 1000.0,
    "diskMb": 0,
}


def render(template, fields):
    """Fill in a template as DEPLOY.md describes it; the part that the project uses."""

    def lookup(stack, name):
        if name == ".":
            return stack[-1]
        for scope in reversed(stack):
            value = scope
            for key in name.split("."):
                if isinstance(value, dict) and key in value:
                    value = value[key]
                elif isinstance(value, list) and key.isdecimal():
                    value = value[int(key)] if int(key) < len(value) else None
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    section = re.compile(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
    place = re.compile(r"\{\{([^#/}|]+)(\|json)?\}\}")

    def fill(text, stack, is_last=True):
        def sections(match):
            value = lookup(stack, match[1])
            if isinstance(value, list):
                last = len(value) - 1
                return "".join(
                    fill(match[2], [*stack, item], index == last)
                    for index, item in enumerate(value)
                )
            return fill(match[2], stack) if value else ""

        def places(match):
            if match[1] == ",":
                return "" if is_last else ","
            value = lookup(stack, match[1])
            if match[2]:
                return json.dumps(value)
            if value is None:
                return ""
            if isinstance(value, bool):
                return "true" if value else "false"
            return str(value)

        return place.sub(places, section.sub(sections, text))

    return fill(template, [fields])


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case's folder."""

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def write(self, text):
        at = time.monotonic() - self.started_at
        self.file.write(f"{at:8.3f} {text}\n")

    def note(self, text):
        """Write a line, and show it."""
        self.write(text)
        print(text, flush=True)


class Node:
    """A node of the deployment, as a process that the platform may start again.

    :param world: the deployment.
    :param number: its number; its address is 127.0.0.NUMBER.
    """

    def __init__(self, world, number):
        self.world = world
        self.number = number
        self.name = f"edge-{number}"
        self.address = f"127.0.0.{number}"
        self.process = None
        self.starts = 0
        #: Times at which a process ended by itself.
        self.own_ends = []
        #: Whether a signal of the case may end the process.
        self.is_expected_to_end = False
        self.ready_address = (self.address, world.ports["ready"])
        self.front_address = (self.address, world.ports["front"])

    def settings(self):
        ports = self.world.ports
        return {
            "node": self.name,
            "role": "mothworks",
            "machineClass": "edge",
            "serves": ["edge", "ctl"],
            "ip": self.address,
            "zone": "zone-a",
            "region": "region-a",
            "portRange": [ports["range"], ports["range"] + 15],
            "seeds": [f"127.0.0.{i}:{ports['control']}" for i in (1, 2, 3)],
            "bootstrap": True,
            "listen": {
                "front": f"{self.address}:{ports['front']}",
                "ready": f"{self.address}:{ports['ready']}",
                "control": f"{self.address}:{ports['control']}",
            },
            "limits": self.world.limits,
            "bounds": self.world.bounds,
            "platform": {
                "address": self.world.store_address(self.number),
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }

    def start(self):
        self.starts += 1
        world = self.world
        path = world.folder / f"{self.name}.json"
        path.write_text(render(world.template, self.settings()))
        kept = ("PATH", "HOME", "LANG")
        env = {key: os.environ[key] for key in kept if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["MOTHWORKS_CONFIG"] = str(path)
        with open(world.folder / f"{self.name}-{self.starts}.log", "wb") as out:
            self.process = subprocess.Popen(
                world.command, cwd=ROOT, env=env, stdout=out, stderr=subprocess.STDOUT
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_ready(self):
        return http_status(self.ready_address, "/-/readyz") == 200

    def log_lines(self, *words):
        """Return the lines of its logs that contain all words."""
        return [
            line.rstrip()
            for number in range(1, self.starts + 1)
            for line in open(
                self.world.folder / f"{self.name}-{number}.log", errors="replace"
            )
            if all(word in line for word in words)
        ]


class World:
    """The nodes of a case, in a temporary folder.

    :param count: the number of nodes.
    :param store: the stand-in of the store.
    :param bounds: bounds that replace the usual ones.
    :param store_address: returns the store's address for a node's number.
    :param limits: limits of each machine that replace the usual ones.
    """

    def __init__(self, count, store, bounds=(), store_address=None, limits=()):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = store
        self.store_address = store_address or (lambda _: store.address)
        self.bounds = {**BOUNDS, **dict(bounds)}
        self.limits = {**LIMITS, **dict(limits)}
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["mothworks"]
        self.command = role["run"].split(" ")
        self.template = (ROOT / role["template"]).read_text()
        first = deployments.free_port()
        while not _are_free(range(first, first + 20)):
            first = deployments.free_port()
        self.ports = {
            "front": first,
            "ready": first + 1,
            "control": first + 2,
            "range": first + 4,
        }
        self.nodes = [Node(self, number) for number in range(1, count + 1)]
        self.restarts = False

    def start(self, timeout_s=25.0):
        """Start all nodes; returns whether all became ready."""
        for node in self.nodes:
            node.start()
        return self.wait(lambda: all(n.is_ready() for n in self.nodes), timeout_s)

    def wait(self, condition, timeout_s):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if condition():
                return True
            gevent.sleep(0.05)
        return False

    def restart_ended(self, record, delay_s=0.5):
        """Start ended processes again after a short delay, as the platform does."""

        def run():
            while True:
                for node in self.nodes:
                    process = node.process
                    if process is None or process.poll() is None:
                        continue
                    if not node.is_expected_to_end:
                        node.own_ends.append(time.monotonic())
                        record.write(
                            f"{node.name}: process {node.starts} ended by itself, "
                            f"exit code {process.returncode}"
                        )
                    node.process = None
                    gevent.spawn_later(delay_s, node.start)
                gevent.sleep(0.02)

        return gevent.spawn(run)

    def stop(self):
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _are_free(ports):
    for port in ports:
        for kind in (gevent.socket.SOCK_STREAM, gevent.socket.SOCK_DGRAM):
            with gevent.socket.socket(gevent.socket.AF_INET, kind) as sock:
                try:
                    sock.bind(("", port))
                except OSError:
                    return False
    return True


class Answer:
    """An answer that a client received; status 0 if there was none."""

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


class Client:
    """A client's channel."""

    def __init__(self, address, timeout_s=15.0, connect_s=1.0):
        self.sock = gevent.socket.create_connection(address, timeout=connect_s)
        self.sock.settimeout(timeout_s)
        self.file = self.sock.makefile("rb")

    def close(self):
        self.file.close()
        self.sock.close()

    def send(self, method, path, headers, body=b""):
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.sock.sendall("\r\n".join([*lines, "", ""]).encode("latin-1") + body)

    def read(self):
        line = self.file.readline()
        if not line:
            return Answer(0, {}, b"", False)
        status = int(line.split(b" ")[1])
        headers = {}
        while (line := self.file.readline()).strip() != b"":
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        if not line:
            return Answer(0, {}, b"", False)
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                line = self.file.readline()
                if not line.strip():
                    return Answer(status, headers, body, False)
                length = int(line, 16)
                body += self.file.read(length)
                self.file.readline()
                if not length:
                    return Answer(status, headers, body, True)
        length = int(headers.get("content-length", 0))
        body = self.file.read(length)
        return Answer(status, headers, body, len(body) == length)

    def request(self, method, path, headers, body=b""):
        try:
            self.send(method, path, headers, body)
            return self.read()
        except (OSError, ValueError, IndexError):
            return Answer(0, {}, b"", False)


def request(address, method, path, headers, body=b"", timeout_s=15.0):
    """Send a request on a new channel; the answer's status is 0 without an answer."""
    try:
        client = Client(address, timeout_s)
    except OSError:
        return Answer(0, {}, b"", False)
    try:
        return client.request(method, path, headers, body)
    finally:
        client.close()


def http_status(address, path, timeout_s=1.0):
    return request(address, "GET", path, {"Host": "x"}, timeout_s=timeout_s).status


def main(case, folder):
    """Run a case, which gets the record and returns an exit code."""
    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: build the deploy file first")
        sys.exit(NOT_RUN)
    record = Record(folder)
    try:
        with gevent.Timeout(115):
            code = case(record)
    except gevent.Timeout:
        record.note("the case did not end in time")
        code = NOT_RUN
    except Exception as error:  # noqa: BLE001
        import traceback

        record.note(f"the case failed to run: {error!r}")
        traceback.print_exc()
        code = NOT_RUN
    record.note({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[code])
    record.file.close()
    sys.stdout.flush()
    os._exit(code)
