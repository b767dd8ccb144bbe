"""Cursors: positions in the platform's history, as integers that only grow.

The platform may come back from a copy. Writes that it had acknowledged are lost then,
and their revisions are given out again. Each such restore begins a new era. A cursor
consists of the era and a revision in it, so that cursors are in order across restores,
and a revision that is used again differs from the one before.

An adapter states the version of an object as a cursor, too, in decimal. The last 12
digits of a cursor are the revision, and the digits before them are the era.
"""

#: Revisions of one era. As a power of ten it keeps both parts readable in logs.
REVISIONS_PER_ERA = 10**12


def make(era: int, revision: int) -> int:
    """Return the cursor of a revision.

    :param era: number of the era.
    :param revision: the platform's revision in that era.
    """
    return era * REVISIONS_PER_ERA + revision


def era(cursor: int) -> int:
    """Return the era of a cursor.

    :param cursor: the cursor.
    """
    return cursor // REVISIONS_PER_ERA


def revision(cursor: int) -> int:
    """Return the revision of a cursor.

    :param cursor: the cursor.
    """
    return cursor % REVISIONS_PER_ERA
