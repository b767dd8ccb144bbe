"""Spending record: what VMs spent of shared allowances recently, by who spent it.

VMs publish their whole records, not what was added to them. So a VM that starts, or has
been cut off, knows what was spent without it after one message, and what a VM
spent is known after its process has ended.
"""

import collections.abc
import math

import attrs

#: A spender, a resource, the number of a slot on the spender's clock, the seconds since
#: the slot began, and the units that were spent in it.
SpendingRow = tuple[str, str, int, float, int]


@attrs.define
class SlotCount:
    """Units of a resource that one VM spent in one slot.

    :param began_at: time at which the slot began, by the clock of the VM that keeps
        the record, seconds.
    :param count: the units.
    """

    began_at: float
    count: int


class SpendingRecord:
    """What was spent in the last window.

    A spender is one process of a VM: its next one counts apart.

    Example::

        record = SpendingRecord(10.0, 0.5)
        record.add("vm-1 5b1e", "chat", now=100.0)
        record.count("chat", now=100.0)  # 1, and 0 at 110.5

    :param window_s: the window's length, seconds.
    :param slot_s: length of a slot, seconds. What was spent in one slot expires
        together, when the last unit of it may.
    """

    def __init__(self, window_s: float, slot_s: float):
        self.window_s = window_s
        self.slot_s = slot_s
        self.slot_by_key: dict[tuple[str, str, int], SlotCount] = {}

    def add(self, spender: str, resource: str, now: float) -> None:
        """Add a unit that this VM spent.

        :param spender: this process.
        :param resource: the resource.
        :param now: the time, seconds.
        """
        number = math.floor(now / self.slot_s)
        key = (spender, resource, number)
        slot = self.slot_by_key.setdefault(key, SlotCount(number * self.slot_s, 0))
        slot.count += 1

    def merge(self, rows: collections.abc.Iterable[SpendingRow], now: float) -> None:
        """Add what another VM published.

        :param rows: the rows of its record.
        :param now: the time, seconds.
        """
        for spender, resource, number, age_s, count in rows:
            began_at = now - age_s
            key = (spender, resource, number)
            slot = self.slot_by_key.setdefault(key, SlotCount(began_at, count))
            slot.count = max(slot.count, count)
            # Each transmission makes a slot look later than it was.
            slot.began_at = min(slot.began_at, began_at)

    def rows(self, now: float, resource: str | None = None) -> tuple[SpendingRow, ...]:
        """Return the record as rows of a message.

        :param now: the time, seconds.
        :param resource: the resource whose rows are returned; None for all.
        """
        self._expire(now)
        return tuple(
            (*key, now - slot.began_at, slot.count)
            for key, slot in self.slot_by_key.items()
            if resource is None or key[1] == resource
        )

    def count(self, resource: str, now: float, besides: str = "") -> int:
        """Return the units of a resource that were spent in the last window.

        :param resource: the resource.
        :param now: the time, seconds.
        :param besides: a spender whose units do not count.
        """
        self._expire(now)
        return sum(slot.count for slot in self._slots(resource, besides))

    def free_in_s(self, resource: str, excess: float, now: float) -> float:
        """Return the seconds until enough units of a resource have expired.

        :param resource: the resource.
        :param excess: how many have to expire.
        :param now: the time, seconds.
        """
        for slot in sorted(self._slots(resource), key=lambda item: item.began_at):
            excess -= slot.count
            if excess <= 0:
                return max(0.0, slot.began_at + self.slot_s + self.window_s - now)
        return self.window_s

    def _slots(self, resource: str, besides: str = "") -> list[SlotCount]:
        return [
            slot
            for key, slot in self.slot_by_key.items()
            if key[1] == resource and key[0] != besides
        ]

    def _expire(self, now: float) -> None:
        earliest = now - self.window_s - self.slot_s
        self.slot_by_key = {
            key: slot
            for key, slot in self.slot_by_key.items()
            if slot.began_at > earliest
        }
