"""Messages between the planner and the owners of endpoints."""

import attrs

from mothworks import messages


@messages.message(72)
@attrs.frozen
class Move:
    """The planner requests a load, an unload or a change of role from an owner.

    :param endpoint: the endpoint's name.
    :param kind: a :class:`endpoints.OrderKind`.
    :param name: the model or adapter, or the new role.
    :param version: the model's version; empty for a role.
    :param why: the reason, for the audit trail.
    """

    endpoint: str
    kind: str
    name: str
    version: str
    why: str = ""


@messages.message(71)
@attrs.frozen
class Holdings:
    """An owner reports a summary of an endpoint's ledger to the planner.

    :param endpoint: the endpoint's name.
    :param fence: the ledger's fencing token; larger is newer.
    :param names: the residents.
    :param versions: their versions, in the same order.
    :param reserved_mb: memory reserved for each of them, in the same order, MB.
    :param free_mb: memory available to a load now, MB.
    :param pending_kind: kind of the order in progress; empty for none.
    :param pending_name: the model or adapter that it loads or unloads.
    :param pending_version: its version.
    :param queued: number of moves queued behind it.
    """

    endpoint: str
    fence: int
    names: tuple[str, ...] = attrs.field(converter=tuple)
    versions: tuple[str, ...] = attrs.field(converter=tuple)
    reserved_mb: tuple[int, ...] = attrs.field(converter=tuple)
    free_mb: int
    pending_kind: str = ""
    pending_name: str = ""
    pending_version: str = ""
    queued: int = 0
