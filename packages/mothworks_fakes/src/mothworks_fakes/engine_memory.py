"""An engine's accelerator memory and the orders that change it, without sockets.

A load allocates its memory when it starts, so that two concurrent loads that
do not fit together show in the peak. An engine without fencing also executes
late and duplicate copies of an order.
"""

import collections.abc
import enum

import attrs


class Reply(enum.StrEnum):
    """An engine's reply to an order."""

    DONE = "done"
    #: The load is in progress; sending the same order again polls for its end.
    LOADING = "loading"
    #: The order carries a stale fencing token.
    FENCED = "fenced"
    #: The order cannot be executed.
    FAILED = "failed"


@attrs.frozen
class Item:
    """A model or adapter in memory.

    :param name: the model or adapter.
    :param version: its version.
    :param memory_mb: the memory that it occupies, MB.
    """

    name: str
    version: str
    memory_mb: int

    @property
    def key(self) -> tuple[str, str]:
        """Return the key that identifies the item."""
        return (self.name, self.version)


@attrs.frozen
class Order:
    """One received copy of an order.

    :param id: the same for every copy of the order.
    :param kind: ``load``, ``unload`` or ``role``.
    :param item: what is loaded or unloaded; for ``role``, its name is the new role.
    :param fence: its fencing token.
    """

    id: str
    kind: str
    item: Item
    fence: int


class EngineMemory:
    """Memory of one engine.

    :param memory_mb: accelerator memory, MB.
    :param fencing: whether orders with a stale fencing token are rejected.
    """

    def __init__(self, memory_mb: int, fencing: bool = True):
        self.memory_mb = memory_mb
        self.fencing = fencing
        self.resident_by_key: dict[tuple[str, str], Item] = {}
        self.loading_by_key: dict[tuple[str, str], Item] = {}
        self.done_ids: set[str] = set()
        self.highest_fence = 0
        self.peak_mb = 0
        self.role = "both"
        #: Versions whose loads fail.
        self.bad_versions: set[str] = set()

    def place(self, item: Item) -> None:
        """Make an item resident immediately.

        :param item: the item.
        """
        self.resident_by_key[item.key] = item
        self._update_peak()

    def take(self, order: Order) -> Reply:
        """Execute one copy of an order; a load only starts here.

        :param order: the order.
        """
        if self.fencing and order.id in self.done_ids:
            return Reply.DONE
        if self.fencing and order.fence < self.highest_fence:
            return Reply.FENCED
        self.highest_fence = max(self.highest_fence, order.fence)
        match order.kind:
            case "load":
                return self._load(order)
            case "unload":
                self.resident_by_key.pop(order.item.key, None)
                self.loading_by_key.pop(order.item.key, None)
            case "role":
                self.role = order.item.name
        self.done_ids.add(order.id)
        return Reply.DONE

    def finish(self, key: tuple[str, str]) -> None:
        """Complete a load.

        :param key: the item's key.
        """
        item = self.loading_by_key.pop(key, None)
        if item is not None:
            self.resident_by_key[key] = item

    def restart(self) -> None:
        """Lose all memory; the highest fencing token is retained."""
        self.resident_by_key.clear()
        self.loading_by_key.clear()
        self.done_ids.clear()

    def versions(self, name: str) -> list[str]:
        """Return the resident versions of a model or adapter.

        :param name: the model or adapter.
        """
        return [key[1] for key in self.resident_by_key if key[0] == name]

    def items(self) -> collections.abc.Iterator[Item]:
        """Yield everything that occupies memory."""
        yield from self.resident_by_key.values()
        yield from self.loading_by_key.values()

    def used_mb(self) -> int:
        """Return the memory of resident items and of loads in progress, MB."""
        return sum(item.memory_mb for item in self.items())

    def _load(self, order: Order) -> Reply:
        key = order.item.key
        if key in self.resident_by_key:
            self.done_ids.add(order.id)
            return Reply.DONE
        if order.item.version in self.bad_versions:
            return Reply.FAILED
        if key not in self.loading_by_key:
            self.loading_by_key[key] = order.item
            self._update_peak()
        return Reply.LOADING

    def _update_peak(self) -> None:
        self.peak_mb = max(self.peak_mb, self.used_mb())
