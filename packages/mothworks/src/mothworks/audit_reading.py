"""Reads the audit trail of all VMs back from the object API.

Objects are named by day first, so that a question about the last days lists
only these. A trail whose VM is gone without a closing entry, and numbers
that are missing, are shown as entries of their own.
"""

import collections
import datetime

import attrs
import gevent.pool
import result

from mothworks import audit, objects

#: Reads in flight at a time.
PARALLEL_READS = 8
#: Most objects read for one question; the newest go first.
MOST_OBJECTS = 400


@attrs.frozen
class Trail:
    """What was read.

    :param entries: oldest first, with an entry for each gap.
    :param unread: keys of older objects that were left out.
    """

    entries: tuple[audit.Entry, ...]
    unread: tuple[str, ...] = ()


def read(
    api: objects.Api, live: frozenset[str], days: int
) -> result.Result[Trail, objects.Unavailable]:
    """Read the trail of all VMs.

    :param api: the object API.
    :param live: names of the VMs that run now.
    :param days: how many days back, today included.
    """
    keys = []
    for day in _last_days(days):
        match api.list(f"{audit.PREFIX}{day}/"):
            case result.Ok(version_by_key):
                keys += sorted(version_by_key, key=_start_of, reverse=True)
            case error:
                return error
    newest = keys[:MOST_OBJECTS]
    pool = gevent.pool.Pool(PARALLEL_READS)
    stored = pool.map(api.get, newest)
    entries_by_life = collections.defaultdict(list)
    for key, found in zip(newest, stored, strict=True):
        match found:
            case result.Ok(item):
                entries_by_life[_life_of(key)] += audit.parse(item.body)
            case result.Err(objects.Missing()):
                continue
            case error:
                return error
    entries = []
    for found in entries_by_life.values():
        found.sort(key=lambda entry: entry.number)
        entries += _with_gaps(found, live)
    entries.sort(key=lambda entry: (entry.at, entry.vm, entry.number))
    return result.Ok(Trail(tuple(entries), tuple(keys[MOST_OBJECTS:])))


def _last_days(days: int) -> list[str]:
    today = datetime.datetime.now(datetime.UTC).date()
    return [str(today - datetime.timedelta(days=back)) for back in range(days)]


def _start_of(key: str) -> str:
    return key.rpartition("/")[2]


def _life_of(key: str) -> str:
    """Return the VM and its start, which all objects of one life share."""
    _, _, vm, name = key.split("/")
    return f"{vm}/{name.partition('-')[0]}"


def _with_gaps(found: list[audit.Entry], live: frozenset[str]) -> list[audit.Entry]:
    whole = found[:1]
    for earlier, later in zip(found, found[1:], strict=False):
        if later.number > earlier.number + 1:
            missing = later.number - earlier.number - 1
            whole.append(_gap(earlier, f"{missing} entries are missing"))
        whole.append(later)
    last = found[-1]
    closed = last.kind is audit.Kind.TRAIL and last.what == audit.CLOSED
    if not closed and last.vm not in live:
        whole.append(_gap(last, "the VM ended without closing its trail"))
    return whole


def _gap(after: audit.Entry, what: str) -> audit.Entry:
    return attrs.evolve(
        after,
        kind=audit.Kind.TRAIL,
        who=after.vm,
        subject=after.vm,
        what=what,
        why="entries that followed may be lost",
        before=None,
        after=None,
    )
