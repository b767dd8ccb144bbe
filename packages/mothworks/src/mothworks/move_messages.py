"""Messages between the planner and the owners of endpoints."""

import attrs

from mothworks import messages


@messages.message(72)
@attrs.frozen
class Move:
    """The planner asks an endpoint's owner for a load, an unload or a role.

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
    """An owner tells the planner what an endpoint's ledger holds.

    :param endpoint: the endpoint's name.
    :param fence: the ledger's fencing number; larger is newer.
    :param names: residents.
    :param versions: their versions, in the same order.
    :param reserved_mb: the memory kept for each of them, in the same order, MB.
    :param free_mb: memory that a load may take now, MB.
    :param pending_kind: kind of the order under way; empty for none.
    :param pending_name: the model or adapter that it loads or unloads.
    :param pending_version: its version.
    :param queued: moves that wait for it.
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
