"""An engine's accelerator memory and the orders that change it, without sockets.

Loads count from their start, so that two loads that do not fit beside each
other show in the peak. An engine that ignores fencing also runs an order
again that arrives late or twice.
"""

import collections.abc
import enum

import attrs


class Reply(enum.StrEnum):
    """What an engine says to an order."""

    DONE = "done"
    #: The load goes on; the same order asked again says when it is done.
    LOADING = "loading"
    #: The order carries an old fencing number.
    FENCED = "fenced"
    #: The order cannot be carried out.
    FAILED = "failed"


@attrs.frozen
class Item:
    """A model or adapter in memory.

    :param name: the model or adapter.
    :param version: its version.
    :param memory_mb: the memory that it takes, MB.
    """

    name: str
    version: str
    memory_mb: int

    @property
    def key(self) -> tuple[str, str]:
        """Return what tells two items apart."""
        return (self.name, self.version)


@attrs.frozen
class Order:
    """An order as it arrives.

    :param id: the same for every copy of the order.
    :param kind: ``load``, ``unload`` or ``role``.
    :param item: what is loaded or unloaded; its name is the new role.
    :param fence: its fencing number.
    """

    id: str
    kind: str
    item: Item
    fence: int


class EngineMemory:
    """Memory of one engine.

    :param memory_mb: accelerator memory, MB.
    :param fencing: whether orders with an old fencing number are refused.
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
        """Make an item resident at once.

        :param item: the item.
        """
        self.resident_by_key[item.key] = item
        self._note()

    def take(self, order: Order) -> Reply:
        """Take one copy of an order; a load only begins.

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
        """End a load.

        :param key: the item's key.
        """
        item = self.loading_by_key.pop(key, None)
        if item is not None:
            self.resident_by_key[key] = item

    def restart(self) -> None:
        """Lose all memory; the fencing number is kept."""
        self.resident_by_key.clear()
        self.loading_by_key.clear()
        self.done_ids.clear()

    def versions(self, name: str) -> list[str]:
        """Return the resident versions of a model or adapter.

        :param name: the model or adapter.
        """
        return [key[1] for key in self.resident_by_key if key[0] == name]

    def items(self) -> collections.abc.Iterator[Item]:
        """Yield everything that takes memory."""
        yield from self.resident_by_key.values()
        yield from self.loading_by_key.values()

    def used_mb(self) -> int:
        """Return the memory of residents and loads under way, MB."""
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
            self._note()
        return Reply.LOADING

    def _note(self) -> None:
        self.peak_mb = max(self.peak_mb, self.used_mb())
