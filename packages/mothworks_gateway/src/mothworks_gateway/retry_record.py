"""Retry record: the retries that VMs granted recently, by the VM that granted them.

VMs publish their whole records, not what was added to them. So a VM that starts, or has
been cut off, knows what was granted without it as soon as it is told once, and what a
VM granted is known after its process has ended.
"""

import collections.abc
import math

import attrs

#: Length of a slot, seconds. Retries that were granted in one slot expire together,
#: when the last of them may.
SLOT_S = 0.5

#: A granter, a service, the number of a slot on the granter's clock, the seconds since
#: the slot began, and the number of retries that were granted in it.
RecordRow = tuple[str, str, int, float, int]


@attrs.define
class SlotCount:
    """Retries that one VM granted for a service in one slot.

    :param began_at: time at which the slot began, by the clock of the VM that keeps
        the record, seconds.
    :param count: number of retries.
    """

    began_at: float
    count: int


class RetryRecord:
    """The retries that were granted in the last window.

    A granter is one process of a VM: its next one counts apart.

    Example::

        record = RetryRecord(10.0)
        record.add("vm-1 5b1e", "chat", now=100.0)
        record.count("chat", now=100.0)  # 1, and 0 at 110.5

    :param window_s: the window's length, seconds.
    """

    def __init__(self, window_s: float):
        self.window_s = window_s
        self.slot_by_key: dict[tuple[str, str, int], SlotCount] = {}

    def add(self, granter: str, service: str, now: float) -> None:
        """Add a retry that this VM granted.

        :param granter: this process.
        :param service: the service.
        :param now: the time, seconds.
        """
        number = math.floor(now / SLOT_S)
        key = (granter, service, number)
        slot = self.slot_by_key.setdefault(key, SlotCount(number * SLOT_S, 0))
        slot.count += 1

    def merge(self, rows: collections.abc.Iterable[RecordRow], now: float) -> None:
        """Add what another VM published.

        :param rows: the rows of its record.
        :param now: the time, seconds.
        """
        for granter, service, number, age_s, count in rows:
            began_at = now - age_s
            key = (granter, service, number)
            slot = self.slot_by_key.setdefault(key, SlotCount(began_at, count))
            slot.count = max(slot.count, count)
            # Each transmission makes a slot look later than it was.
            slot.began_at = min(slot.began_at, began_at)

    def rows(self, now: float, service: str | None = None) -> tuple[RecordRow, ...]:
        """Return the record as rows of a message.

        :param now: the time, seconds.
        :param service: the service whose retries are returned; None for all.
        """
        self._expire(now)
        return tuple(
            (*key, now - slot.began_at, slot.count)
            for key, slot in self.slot_by_key.items()
            if service is None or key[1] == service
        )

    def count(self, service: str, now: float) -> int:
        """Return how many retries were granted for a service in the last window.

        :param service: the service.
        :param now: the time, seconds.
        """
        self._expire(now)
        return sum(slot.count for slot in self._slots(service))

    def free_in_s(self, service: str, excess: float, now: float) -> float:
        """Return the seconds until enough retries of a service have expired.

        :param service: the service.
        :param excess: how many have to expire.
        :param now: the time, seconds.
        """
        for slot in sorted(self._slots(service), key=lambda item: item.began_at):
            excess -= slot.count
            if excess <= 0:
                return max(0.0, slot.began_at + SLOT_S + self.window_s - now)
        return self.window_s

    def _slots(self, service: str) -> list[SlotCount]:
        return [slot for key, slot in self.slot_by_key.items() if key[1] == service]

    def _expire(self, now: float) -> None:
        earliest = now - self.window_s - SLOT_S
        self.slot_by_key = {
            key: slot
            for key, slot in self.slot_by_key.items()
            if slot.began_at > earliest
        }
