"""Garbage collection of the configuration's old parts.

A part is deleted once no head has named it for a while, so that a VM that
still reads an older head finds its parts, and an operator's change that is
about to name it again is safe. One VM collects; two that both believe it is
their turn do no harm.
"""

import time

import attrs
import logbook
import result

from mothworks import (
    configuration_head,
    configuration_parts,
    kernel,
    membership,
    objects,
    ownership,
    plugins,
)

log = logbook.Logger("configuration")

#: Mean time between collections, seconds.
PERIOD_S = 600.0
#: Time for which an unnamed part is kept, seconds.
YOUNG_S = 3600.0


@attrs.frozen
class Unnamed:
    """A part that no head names.

    :param version: its version when it was found; a part that is written
        again, because a change is about to name it, has another.
    :param since: monotonic time when it was found, seconds.
    """

    version: str
    since: float


@plugins.register(plugins.PART, "configuration_garbage")
class Garbage(kernel.Part):
    """Deletes old parts.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.api = node_kernel.get(objects.Objects).api
        self.membership = node_kernel.get(membership.Membership)
        self.unnamed_by_key: dict[str, Unnamed] = {}

    def start(self) -> None:
        """Start to collect now and then."""
        self.tasks.every(PERIOD_S, self._collect_if_mine)

    def collect(self, now: float) -> None:
        """Note unnamed parts and delete those that are no longer young.

        :param now: monotonic time, seconds.
        """
        listed = self.api.list(configuration_parts.KEY_PREFIX)
        head = self.api.get(configuration_head.KEY).and_then(
            lambda stored: configuration_head.read(stored.body)
        )
        match (listed, head):
            case (result.Ok(version_by_key), result.Ok(current)):
                self._sort_out(version_by_key, current, now)
            case _:
                return
        for key, unnamed in list(self.unnamed_by_key.items()):
            if now - unnamed.since >= YOUNG_S:
                self._delete(key, unnamed)

    def _collect_if_mine(self) -> None:
        key = configuration_parts.KEY_PREFIX
        owner = ownership.highest(key, self.membership.live())
        if owner is not None and owner.name == self.kernel.settings.name:
            self.collect(time.monotonic())

    def _sort_out(
        self,
        version_by_key: dict[str, str],
        head: configuration_head.Head,
        now: float,
    ) -> None:
        named = {configuration_parts.KEY_PREFIX + name for name in head.names()}
        known = self.unnamed_by_key
        self.unnamed_by_key = {}
        for key, version in version_by_key.items():
            if key in named:
                continue
            before = known.get(key)
            if before is None or before.version != version:
                before = Unnamed(version, now)
            self.unnamed_by_key[key] = before

    def _delete(self, key: str, unnamed: Unnamed) -> None:
        # Between the list and now a change may have written the part again:
        # the version that is asked for makes the delete fail then.
        if self.api.delete(key, unnamed.version).is_ok():
            log.info("deleted {}", key)
        del self.unnamed_by_key[key]
