"""Following the head: how a VM learns of changes from the object API.

The object API counts a waiting watch as a call, and its rates grow more
slowly than the fleet. So a few VMs of each region watch the head by a long
poll, the same ones in everybody's eyes by rendezvous hashing; the others
learn of changes from peers and read the head now and then. A VM that sees no
peers finds itself among the few.
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

#: VMs of a region that watch.
WATCHERS = 3
#: One long poll, seconds. An object API that falls silent shows only by its end.
WATCH_S = 5.0
#: Mean time between reads of the others, seconds.
POLL_S = 60.0
#: Mean pause after a failed call, seconds.
RETRY_S = 0.5


@plugins.register(plugins.PART, "configuration_following")
class Following(kernel.Part):
    """Watches the head, or reads it now and then.

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
        """Start to follow."""
        self.tasks.spawn(self._follow)

    def watches(self) -> bool:
        """Return whether this VM is one of its region's watchers."""
        chosen = self.kernel.settings
        names = [
            member.name
            for member in self.membership.live()
            if member.region == chosen.region
        ]
        key = configuration_head.KEY
        first = heapq.nlargest(
            WATCHERS, names, key=lambda name: ownership.weight(key, name)
        )
        return chosen.name in first

    def _follow(self) -> None:
        cursor = ""
        while True:
            # The cursor is taken before the read, so that a change between
            # the two is seen by the next poll.
            seen = self._wait(cursor)
            match seen.and_then(lambda _: self.configuration.refresh()):
                case result.Err(objects.Unavailable(reason)):
                    log.warning("the head is not followed: {}", reason)
                    gevent.sleep(RETRY_S * random.uniform(0.5, 1.5))
                    cursor = ""
                case _:
                    # A head that this VM cannot read was logged; the next
                    # change may bring one that it can.
                    cursor = seen.ok()

    def _wait(self, cursor: str) -> result.Result[str, objects.Unavailable]:
        """Wait until the head may have changed; returns the next cursor."""
        if self.watches():
            wait_s = WATCH_S if cursor else 0.0
            seen = self.api.watch(configuration_head.KEY, cursor, wait_s)
            return seen.map(lambda changes: changes.cursor)
        if self.configuration.loaded.is_set():
            self.members_changed.clear()
            self.members_changed.wait(POLL_S * random.uniform(0.5, 1.5))
        return result.Ok("")
