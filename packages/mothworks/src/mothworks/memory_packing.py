"""Checks whether all declared models fit into the endpoints' memory at once."""

import bisect
import collections.abc

import attrs


@attrs.frozen
class Item:
    """A model or adapter that needs memory on one or more endpoints.

    :param name: its name.
    :param memory_mb: required memory, MB.
    :param copies: number of different endpoints that need it.
    """

    name: str
    memory_mb: int
    copies: int = 1


def unplaced(
    items: collections.abc.Iterable[Item], memories_mb: collections.abc.Iterable[int]
) -> list[Item]:
    """Return the items that do not fit when all are packed into endpoints.

    Packs by best fit, largest item first. This finds a packing if a few per cent of
    the memory can remain free.

    :param items: the items that must be resident.
    :param memories_mb: memory of each endpoint, MB.

    >>> unplaced([Item("a", 60), Item("b", 60), Item("c", 40)], [100, 80])
    []
    >>> unplaced([Item("a", 60), Item("b", 60)], [100])
    [Item(name='b', memory_mb=60, copies=1)]
    """
    free = sorted((memory_mb, number) for number, memory_mb in enumerate(memories_mb))
    unplaced_items = []
    for item in sorted(items, key=lambda item: (-item.memory_mb, item.name)):
        used_endpoints: set[int] = set()
        for _ in range(item.copies):
            if not _place(item.memory_mb, free, used_endpoints):
                unplaced_items.append(
                    attrs.evolve(item, copies=item.copies - len(used_endpoints))
                )
                break
    return unplaced_items


def _place(
    memory_mb: int, free: list[tuple[int, int]], used_endpoints: set[int]
) -> bool:
    """Allocate from the fullest endpoint that has room and is not used yet."""
    for index in range(bisect.bisect_left(free, (memory_mb, -1)), len(free)):
        free_mb, number = free[index]
        if number not in used_endpoints:
            del free[index]
            bisect.insort(free, (free_mb - memory_mb, number))
            used_endpoints.add(number)
            return True
    return False
