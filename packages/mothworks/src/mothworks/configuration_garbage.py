"""Garbage collection of the configuration's unreferenced parts.

A part is deleted only after the head has not referenced it for a while, so
that a VM that still reads an older head finds its parts, and an operator's
change that is about to reference it again is safe. One VM collects. It does no
harm if two VMs collect at the same time.
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

#: Mean interval between collections, seconds.
COLLECTION_INTERVAL_S = 600.0
#: Time for which an unreferenced part is retained, seconds.
RETENTION_S = 3600.0


@attrs.frozen
class Unreferenced:
    """A part that the head does not reference.

    :param version: its version when it was first seen unreferenced. A part
        that is written again, because a change is about to reference it, has
        another version.
    :param since: monotonic time when it was first seen unreferenced, seconds.
    """

    version: str
    since: float


@plugins.register(plugins.PART, "configuration_garbage")
class GarbageCollector(kernel.Part):
    """Deletes parts that have been unreferenced for the retention time.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.api = node_kernel.get(objects.Objects).api
        self.membership = node_kernel.get(membership.Membership)
        self.unreferenced_by_key: dict[str, Unreferenced] = {}

    def start(self) -> None:
        """Start periodic collections."""
        self.tasks.every(COLLECTION_INTERVAL_S, self._collect_if_owner)

    def collect(self, now: float) -> None:
        """Record unreferenced parts and delete those past the retention time.

        :param now: monotonic time, seconds.
        """
        listed = self.api.list(configuration_parts.KEY_PREFIX)
        head = self.api.get(configuration_head.KEY).and_then(
            lambda stored: configuration_head.read(stored.body)
        )
        match (listed, head):
            case (result.Ok(version_by_key), result.Ok(current)):
                self._update_unreferenced(version_by_key, current, now)
            case _:
                return
        for key, unreferenced in list(self.unreferenced_by_key.items()):
            if now - unreferenced.since >= RETENTION_S:
                self._delete(key, unreferenced)

    def _collect_if_owner(self) -> None:
        key = configuration_parts.KEY_PREFIX
        owner = ownership.rendezvous_owner(key, self.membership.live())
        if owner is not None and owner.name == self.kernel.settings.name:
            self.collect(time.monotonic())

    def _update_unreferenced(
        self,
        version_by_key: dict[str, str],
        head: configuration_head.Head,
        now: float,
    ) -> None:
        referenced = {
            configuration_parts.KEY_PREFIX + name for name in head.part_names()
        }
        previous_by_key = self.unreferenced_by_key
        self.unreferenced_by_key = {}
        for key, version in version_by_key.items():
            if key in referenced:
                continue
            entry = previous_by_key.get(key)
            if entry is None or entry.version != version:
                entry = Unreferenced(version, now)
            self.unreferenced_by_key[key] = entry

    def _delete(self, key: str, unreferenced: Unreferenced) -> None:
        # A change may have written the part again since it was listed. The
        # delete is conditional on the version, so it fails then.
        if self.api.delete(key, unreferenced.version).is_ok():
            log.info("deleted {}", key)
        del self.unreferenced_by_key[key]
