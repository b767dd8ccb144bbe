"""Starts and stops the project's own programs as processes, for tests.

Only tools use this module; a node itself never starts a process.
"""

import os
import pathlib
import signal
import subprocess
import sys

import gevent
import gevent.subprocess
import geventhttpclient
import orjson

from mothworks import documents, settings

#: Signals that pause a process, as a VM that is moved, and wake it.
PAUSE = signal.SIGSTOP
RESUME = signal.SIGCONT
#: Time for a process to end by itself, seconds.
STOP_S = 70.0


class NodeProcess:
    """A node in a process of its own.

    :param checked: its settings; the kernel chooses ports that are 0.
    :param folder: where its settings file and log go.
    :param module: the program, ``mothworks`` or one that adds plug-ins to it.
    """

    def __init__(
        self,
        checked: settings.Settings,
        folder: pathlib.Path,
        module: str = "mothworks",
    ):
        self.settings = checked
        path = folder / f"{checked.name}.json"
        path.write_bytes(orjson.dumps(documents.to_plain(checked)))
        self.log_path = folder / f"{checked.name}.log"
        self.log = self.log_path.open("ab")
        command = [sys.executable, "-m", module, "--settings", str(path)]
        # The node imports the same sources as this process, also where
        # another checkout is installed.
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        self.process = gevent.subprocess.Popen(
            [*command, "--announce"],
            stdout=subprocess.PIPE,
            stderr=self.log,
            env=environment,
        )
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{checked.name} did not start; see {self.log_path}")
        ports = orjson.loads(line)
        self.port = ports["port"]
        self.peer_port = ports["peer_port"]
        self.url = f"http://{checked.address}:{self.port}"

    def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        try:
            client = geventhttpclient.HTTPClient.from_url(self.url)
            return client.get("/readyz").status_code == 200
        except OSError:
            return False

    def cut(self, vms: list[str]) -> None:
        """Cut the network between this node and others, and only these.

        :param vms: the other nodes' names; an empty list heals the network.
            The node must run ``mothworks_fakes.cut_node``.
        """
        client = geventhttpclient.HTTPClient.from_url(self.url)
        if client.request("PUT", "/cuts", orjson.dumps(vms)).status_code != 200:
            raise RuntimeError(f"{self.settings.name} did not take the cut")

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.poll() is None

    def kill(self) -> None:
        """End the process at once, as when its VM fails."""
        self.process.kill()
        self.process.wait()
        self.log.close()

    def pause(self) -> None:
        """Stop the process from running, as when its VM is suspended."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process run on; it does not know that it was paused."""
        self.process.send_signal(signal.SIGCONT)

    def stop(self) -> int:
        """Shut the node down gracefully and return its exit code."""
        self.process.terminate()
        try:
            return self.process.wait(timeout=STOP_S)
        finally:
            self.kill()


def wait_until(condition, timeout_s: float = 20.0) -> None:
    """Wait for a condition; raises where it does not come true.

    :param condition: called without arguments until it returns a true value.
    :param timeout_s: longest wait, seconds.
    """
    with gevent.Timeout(timeout_s, TimeoutError(f"waited {timeout_s:g} s in vain")):
        while not condition():
            gevent.sleep(0.02)
