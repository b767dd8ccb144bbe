"""Messages between entries and the owners of shards of deferred work.

An entry is the VM that received a caller's request.
"""

import attrs

from mothworks import messages


@messages.message(56)
@attrs.frozen
class WorkStored:
    """Notifies a shard's owner that an entry stored work.

    :param id: the work's id.
    """

    id: str


@messages.message(57)
@attrs.frozen
class OpenWorkCount:
    """Reply to :class:`WorkStored`.

    :param count: number of work items in the shard that wait or run.
    """

    count: int


@messages.message(58)
@attrs.frozen
class WorkStateRequest:
    """Asks a shard's owner whether it is running a work item.

    :param id: the work's id.
    """

    id: str


@messages.message(59)
@attrs.frozen
class WorkStateReply:
    """Reply to :class:`WorkStateRequest`.

    :param running: whether the work is running.
    """

    running: bool
