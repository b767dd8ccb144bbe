"""Messages between entries and the owners of deferred work."""

import attrs

from mothworks import messages


@messages.message(56)
@attrs.frozen
class WorkStored:
    """An entry tells a shard's owner that it stored work.

    :param id: the work's id.
    """

    id: str


@messages.message(57)
@attrs.frozen
class ShardFill:
    """Answers :class:`WorkStored`.

    :param open: works that wait or run in the shard.
    """

    open: int


@messages.message(58)
@attrs.frozen
class AskRunning:
    """Asks a shard's owner whether it runs a work now.

    :param id: the work's id.
    """

    id: str


@messages.message(59)
@attrs.frozen
class IsRunning:
    """Answers :class:`AskRunning`.

    :param running: whether it does.
    """

    running: bool
