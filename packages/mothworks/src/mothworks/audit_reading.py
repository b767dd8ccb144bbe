"""Reads the audit trails of all VMs from the object API.

The names of objects start with the day, so that a query for the last days
lists only their objects. Missing numbers, and a trail without a closing entry
whose VM no longer runs, are shown as entries of their own.
"""

import collections
import datetime

import attrs
import gevent.pool
import result

from mothworks import audit, objects

#: Maximum number of concurrent reads.
MAX_PARALLEL_READS = 8
#: Maximum number of objects read for one query, the newest first.
MAX_OBJECTS = 400


@attrs.frozen
class Trail:
    """Entries of all VMs.

    :param entries: oldest first, with an entry for each gap.
    :param skipped_keys: keys of older objects that were not read.
    """

    entries: tuple[audit.Entry, ...]
    skipped_keys: tuple[str, ...] = ()


def read(
    api: objects.Api, live: frozenset[str], days: int
) -> result.Result[Trail, objects.Unavailable]:
    """Read the trail of all VMs.

    :param api: the object API.
    :param live: names of the VMs that run now.
    :param days: number of days to read, today included.
    """
    keys = []
    for day in _last_days(days):
        match api.list(f"{audit.PREFIX}{day}/"):
            case result.Ok(version_by_key):
                keys += sorted(version_by_key, key=_base_name, reverse=True)
            case error:
                return error
    newest = keys[:MAX_OBJECTS]
    pool = gevent.pool.Pool(MAX_PARALLEL_READS)
    stored = pool.map(api.get, newest)
    entries_by_run = collections.defaultdict(list)
    for key, response in zip(newest, stored, strict=True):
        match response:
            case result.Ok(item):
                entries_by_run[_run_of(key)] += audit.parse(item.body)
            case result.Err(objects.Missing()):
                continue
            case error:
                return error
    entries = []
    for trail in entries_by_run.values():
        trail.sort(key=lambda entry: entry.number)
        entries += _with_gap_entries(trail, live)
    entries.sort(key=lambda entry: (entry.at, entry.vm, entry.number))
    return result.Ok(Trail(tuple(entries), tuple(keys[MAX_OBJECTS:])))


def _last_days(days: int) -> list[str]:
    today = datetime.datetime.now(datetime.UTC).date()
    return [str(today - datetime.timedelta(days=back)) for back in range(days)]


def _base_name(key: str) -> str:
    return key.rpartition("/")[2]


def _run_of(key: str) -> str:
    """Return VM and start time, which all objects of one process run share."""
    _, _, vm, name = key.split("/")
    return f"{vm}/{name.partition('-')[0]}"


def _with_gap_entries(
    trail: list[audit.Entry], live: frozenset[str]
) -> list[audit.Entry]:
    with_gaps = trail[:1]
    for earlier, later in zip(trail, trail[1:], strict=False):
        if later.number > earlier.number + 1:
            missing = later.number - earlier.number - 1
            with_gaps.append(_gap_entry(earlier, f"{missing} entries are missing"))
        with_gaps.append(later)
    last = trail[-1]
    closed = last.kind is audit.Kind.TRAIL and last.what == audit.CLOSED
    if not closed and last.vm not in live:
        with_gaps.append(_gap_entry(last, "the VM ended without closing its trail"))
    return with_gaps


def _gap_entry(previous: audit.Entry, what: str) -> audit.Entry:
    return attrs.evolve(
        previous,
        kind=audit.Kind.TRAIL,
        who=previous.vm,
        subject=previous.vm,
        what=what,
        why="entries that followed may be lost",
        before=None,
        after=None,
    )
