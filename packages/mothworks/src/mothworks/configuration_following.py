"""Follows the head in the object API to detect new revisions.

The object API counts a waiting long poll as a call, and its rate limits grow
more slowly than the fleet. So only a few VMs of each region, the watchers,
long-poll the head. Rendezvous hashing elects them, so that all VMs agree on
them. The others receive changes by gossip and read the head at long intervals.
A VM without live peers elects itself.
"""

import heapq
import random

import gevent
import gevent.event
import logbook
import result

from mothworks import (
    configuration,
    configuration_head,
    kernel,
    membership,
    objects,
    ownership,
    plugins,
)

log = logbook.Logger("configuration")

#: Watchers of a region.
WATCHERS_PER_REGION = 3
#: Duration of one long poll, seconds. An object API that stops responding is
#: detected only when the poll ends.
LONG_POLL_S = 5.0
#: Mean interval at which other VMs than the watchers read the head, seconds.
READ_INTERVAL_S = 60.0
#: Mean pause after a failed call, seconds.
RETRY_PAUSE_S = 0.5


@plugins.register(plugins.PART, "configuration_following")
class HeadFollower(kernel.Part):
    """Long-polls the head on a watcher, and reads it at intervals on other VMs.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.api = node_kernel.get(objects.Objects).api
        self.configuration = node_kernel.get(configuration.Configuration)
        self.membership = node_kernel.get(membership.Membership)
        self.members_changed = gevent.event.Event()
        self.membership.on_change.append(self.members_changed.set)

    def start(self) -> None:
        """Start the task that follows the head."""
        self.tasks.spawn(self._follow)

    def is_watcher(self) -> bool:
        """Return whether this VM is one of its region's watchers."""
        node_settings = self.kernel.settings
        names = [
            member.name
            for member in self.membership.live()
            if member.region == node_settings.region
        ]
        key = configuration_head.KEY
        watchers = heapq.nlargest(
            WATCHERS_PER_REGION, names, key=lambda name: ownership.weight(key, name)
        )
        return node_settings.name in watchers

    def _follow(self) -> None:
        cursor = ""
        while True:
            # The cursor is older than the read that follows, so the next poll
            # reports a change between the two.
            next_cursor = self._wait_for_change(cursor)
            match next_cursor.and_then(lambda _: self.configuration.refresh()):
                case result.Err(objects.Unavailable(reason)):
                    log.warning("cannot follow the head: {}", reason)
                    gevent.sleep(RETRY_PAUSE_S * random.uniform(0.5, 1.5))
                    cursor = ""
                case _:
                    # An unreadable head is logged already; the next change may
                    # be a readable one.
                    cursor = next_cursor.ok()

    def _wait_for_change(self, cursor: str) -> result.Result[str, objects.Unavailable]:
        """Wait until the head may have changed, and return the next cursor."""
        if self.is_watcher():
            wait_s = LONG_POLL_S if cursor else 0.0
            next_cursor = self.api.watch(configuration_head.KEY, cursor, wait_s)
            return next_cursor.map(lambda changes: changes.cursor)
        if self.configuration.loaded.is_set():
            self.members_changed.clear()
            self.members_changed.wait(READ_INTERVAL_S * random.uniform(0.5, 1.5))
        return result.Ok("")
