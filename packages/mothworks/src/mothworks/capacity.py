"""Capacity: whether everything that is declared fits into memory at once."""

import bisect
import collections.abc

import attrs


@attrs.frozen
class Item:
    """Something that needs memory on one endpoint.

    :param name: its name.
    :param memory_mb: how much, MB.
    :param copies: on how many different endpoints.
    """

    name: str
    memory_mb: int
    copies: int = 1


def unplaced(
    items: collections.abc.Iterable[Item], memories_mb: collections.abc.Iterable[int]
) -> list[Item]:
    """Return what is left over when items are packed into endpoints.

    The largest item goes first, each to the endpoint that it fills best. This
    finds a packing unless memory is tight to a few per cent.

    :param items: what must be resident.
    :param memories_mb: the endpoints' memories, MB.

    >>> unplaced([Item("a", 60), Item("b", 60), Item("c", 40)], [100, 80])
    []
    >>> unplaced([Item("a", 60), Item("b", 60)], [100])
    [Item(name='b', memory_mb=60, copies=1)]
    """
    free = sorted((memory_mb, number) for number, memory_mb in enumerate(memories_mb))
    left = []
    for item in sorted(items, key=lambda item: (-item.memory_mb, item.name)):
        used: set[int] = set()
        for _ in range(item.copies):
            if not _place(item.memory_mb, free, used):
                left.append(attrs.evolve(item, copies=item.copies - len(used)))
                break
    return left


def _place(memory_mb: int, free: list[tuple[int, int]], used: set[int]) -> bool:
    """Take memory from the tightest endpoint that is not used yet."""
    for place in range(bisect.bisect_left(free, (memory_mb, -1)), len(free)):
        free_mb, number = free[place]
        if number not in used:
            del free[place]
            bisect.insort(free, (free_mb - memory_mb, number))
            used.add(number)
            return True
    return False
