"""Starts and stops nodes as processes, for tests and measurements.

Only test tools use this module; a node itself never starts a process.
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

#: Signals that suspend a process, as when its VM is migrated, and resume it.
PAUSE = signal.SIGSTOP
RESUME = signal.SIGCONT
#: Maximum duration of a graceful shutdown, seconds.
STOP_TIMEOUT_S = 70.0


class NodeProcess:
    """A node that runs in its own process.

    :param node_settings: its validated settings; the kernel chooses ports that are 0.
    :param folder: folder of its settings file and log.
    :param module: module to run: ``mothworks``, or one that adds plug-ins to it.
    """

    def __init__(
        self,
        node_settings: settings.Settings,
        folder: pathlib.Path,
        module: str = "mothworks",
    ):
        self.settings = node_settings
        path = folder / f"{node_settings.name}.json"
        path.write_bytes(orjson.dumps(documents.to_plain(node_settings)))
        self.log_path = folder / f"{node_settings.name}.log"
        self.log = self.log_path.open("ab")
        command = [sys.executable, "-m", module, "--settings", str(path)]
        # The node must import the same sources as this process, even if another
        # checkout is installed.
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        self.process = gevent.subprocess.Popen(
            [*command, "--announce"],
            stdout=subprocess.PIPE,
            stderr=self.log,
            env=environment,
        )
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError(
                f"{node_settings.name} did not start; see {self.log_path}"
            )
        ports = orjson.loads(line)
        self.port = ports["port"]
        self.peer_port = ports["peer_port"]
        self.url = f"http://{node_settings.address}:{self.port}"

    def is_ready(self) -> bool:
        """Return whether the node reports that it is ready."""
        try:
            client = geventhttpclient.HTTPClient.from_url(self.url)
            return client.get("/readyz").status_code == 200
        except OSError:
            return False

    def cut(self, vms: list[str]) -> None:
        """Set the VMs from which this node is partitioned.

        :param vms: the other nodes' names, which replace the previous ones; an
            empty list heals the partition. The node must run
            ``mothworks_fakes.cut_node``.
        """
        client = geventhttpclient.HTTPClient.from_url(self.url)
        if client.request("PUT", "/cuts", orjson.dumps(vms)).status_code != 200:
            raise RuntimeError(f"{self.settings.name} rejected the network cut")

    def is_running(self) -> bool:
        """Return whether the process is still running."""
        return self.process.poll() is None

    def kill(self) -> None:
        """Kill the process, as when its VM fails."""
        self.process.kill()
        self.process.wait()
        self.log.close()

    def pause(self) -> None:
        """Suspend the process, as when its VM is suspended."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process, which is not notified of the pause."""
        self.process.send_signal(signal.SIGCONT)

    def stop(self) -> int:
        """Shut the node down gracefully and return its exit code."""
        self.process.terminate()
        try:
            return self.process.wait(timeout=STOP_TIMEOUT_S)
        finally:
            self.kill()


def wait_until(condition, timeout_s: float = 20.0) -> None:
    """Poll a condition until it is true.

    :param condition: called without arguments until it returns a true value.
    :param timeout_s: maximum wait, seconds.
    :raises TimeoutError: if the condition stays false.
    """
    with gevent.Timeout(
        timeout_s, TimeoutError(f"condition is still false after {timeout_s:g} s")
    ):
        while not condition():
            gevent.sleep(0.02)
