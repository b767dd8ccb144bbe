"""The node: the program that runs on every VM."""

import importlib
import pathlib
import signal
import sys
import time

import gevent
import gevent.signal
import logbook
import result

from mothworks import kernel, logs, membership, membership_sync, peers, ports, vm_list
from mothworks_gateway import (
    admission,
    aggregation,
    credit,
    declaration_updates,
    declarations,
    discovery,
    feed_reports,
    feeding,
    forwarding_server,
    freshness,
    front,
    heartbeat,
    job_execution,
    lease,
    poison_replication,
    residency,
    scheduler,
    settings,
    shared_speeds,
    watching,
)

log = logbook.Logger("node")

#: Exit code for invalid settings.
EXIT_USAGE = 2

#: The parts of a node. Parts that they depend on are created with them.
PARTS = (
    ports.Ports,
    membership.Membership,
    peers.Peers,
    vm_list.VmList,
    membership_sync.MembershipSync,
    feeding.FeedFollowers,
    feed_reports.FeedReports,
    declarations.Declarations,
    discovery.Discovery,
    heartbeat.Heartbeats,
    lease.Lease,
    aggregation.Aggregation,
    watching.Watching,
    declaration_updates.DeclarationUpdates,
    freshness.Freshness,
    credit.Credits,
    admission.Admission,
    residency.Residency,
    job_execution.JobExecutor,
    scheduler.Scheduler,
    shared_speeds.SharedSpeeds,
    poison_replication.PoisonReplication,
    forwarding_server.ForwardingServer,
    front.Front,
)


class Node:
    """The node of this process.

    :param checked: the VM's validated settings.
    :param path: the settings file, which is read again on SIGHUP.
    """

    def __init__(self, checked: settings.Settings, path: pathlib.Path | None = None):
        self.path = path
        importlib.import_module(checked.adapter)
        self.kernel = kernel.Kernel(checked)
        for part in PARTS:
            self.kernel.get(part)
        source = self.kernel.get(vm_list.VmList).source
        self.kernel.get(discovery.Discovery).on_restored.append(source.refresh)

    def start(self) -> None:
        """Start every part and return."""
        for part in self.kernel.part_by_class.values():
            part.start()

    def shut_down(self, reason: str = "signal") -> None:
        """Shut down gracefully: requests in flight are not cancelled.

        :param reason: the reason, for the log.
        """
        if not self.kernel.draining:
            logs.event(log, "stop", reason=reason, outcome="draining")
        self.kernel.shut_down()

    def run(self) -> int:
        """Run until a signal or an unhandled exception in a part.

        :returns: the exit code; 0 after a graceful shutdown.
        """
        node_settings = self.kernel.settings
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal.signal(number, lambda *_: gevent.spawn(self.shut_down))
        gevent.signal.signal(signal.SIGHUP, lambda *_: gevent.spawn(self.reload))
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
        self.start()
        logs.event(
            log,
            "start",
            front=node_settings.front,
            data_centre=node_settings.data_centre,
            started_s=round(time.monotonic(), 3),
            outcome="serving",
        )
        self.kernel.stopped.wait()
        failure = self.kernel.failure
        logs.event(log, "stop", reason=repr(failure)[:200], outcome="stopped")
        return 0 if failure is None else 1

    def reload(self) -> None:
        """Reload the settings; some fields take effect, see `settings.RELOADED`."""
        match settings.load(self.path):
            case result.Ok(read):
                pass
            case result.Err(problem):
                reason = str(problem)[:200]
                logs.event(log, "reload", reason=reason, outcome="not taken")
                return
        reloaded = settings.reload(self.kernel.settings, read)
        self.kernel.settings = reloaded.settings
        self.kernel.get(vm_list.VmList).source.reload(self.kernel.settings)
        logs.event(
            log,
            "reload",
            reason="hangup",
            changed=list(reloaded.changed),
            needs_restart=list(reloaded.needs_restart),
            outcome="taken",
        )


def main(settings_file: str) -> int:
    """Run a node.

    :param settings_file: path of the VM's settings file.
    :returns: the exit code.
    """
    path = pathlib.Path(settings_file)
    match settings.load(path):
        case result.Ok(checked):
            pass
        case result.Err(problem):
            print(str(problem).replace("\n", "; "), file=sys.stderr)
            return EXIT_USAGE
    logs.install_bounded(checked.logs, checked.name, checked.log_lines_per_s)
    return Node(checked, path).run()
