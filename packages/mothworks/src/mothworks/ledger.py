"""The ledger: the durable record of one endpoint's accelerator memory.

An order is sent only after its intent and its memory were written here by a
conditional update, and it carries the fencing number of that write. Memory is
free again only when nothing can take it any more: neither a resident, nor an
order of unknown outcome, nor a copy of an order that is still on its way.

The functions of this module take a ledger and return the next one; writing
it is the business of :mod:`mothworks.ledger_store`.
"""

import collections.abc

import attrs
import result

from mothworks import endpoints

#: Wall time that never comes, seconds.
NEVER = 1e12


@attrs.frozen
class Holding:
    """A model or adapter that takes memory.

    :param name: the model or adapter.
    :param version: the model's version.
    :param memory_mb: its weights, MB.
    :param working_mb: room that is kept beside the weights, MB.
    :param base: the model that an adapter belongs to; empty for a model.
    :param since: wall time since which it is known to be resident, seconds.
    """

    name: str
    version: str
    memory_mb: int
    working_mb: int = 0
    base: str = ""
    since: float = 0.0

    @property
    def key(self) -> tuple[str, str]:
        """Return what tells two holdings apart."""
        return (self.name, self.version)

    @property
    def reserved_mb(self) -> int:
        """Return the memory that is kept for it, MB."""
        return self.memory_mb + self.working_mb


@attrs.frozen
class Intent:
    """An order that was, or is about to be, sent.

    :param id: the order's id.
    :param kind: what is asked.
    :param holding: what is loaded or unloaded; its name is the new role.
    :param fence: the order's fencing number.
    """

    id: str
    kind: endpoints.OrderKind
    holding: Holding
    fence: int

    def order(self) -> endpoints.Order:
        """Return the order as the endpoint gets it."""
        item = self.holding
        return endpoints.Order(
            self.id,
            self.kind,
            item.name,
            item.version,
            item.memory_mb,
            self.fence,
            item.base,
        )


@attrs.frozen
class Late:
    """Memory that a copy of an earlier load may still take.

    It counts until a report that was asked for after ``until`` shows whether
    a copy came. An endpoint that honours fencing numbers needs no such time:
    an unload with a new number makes it refuse every copy.

    :param holding: what the load would bring back.
    :param until: wall time after which no copy can arrive, seconds;
        :data:`NEVER` where only an unload ends it.
    """

    holding: Holding
    until: float


@attrs.frozen
class Ledger:
    """The record of one endpoint.

    :param endpoint: its name.
    :param fence: the highest fencing number given out.
    :param nonce: tells this write from all others.
    :param holdings: what is resident.
    :param intent: the one order whose outcome is not known, if any.
    :param late: memory that copies of earlier loads may still take.
    """

    endpoint: str
    fence: int = 0
    nonce: str = ""
    holdings: tuple[Holding, ...] = ()
    intent: Intent | None = None
    late: tuple[Late, ...] = ()

    def holding(self, name: str, version: str) -> Holding | None:
        """Return a resident, or None.

        :param name: the model or adapter.
        :param version: its version.
        """
        wanted = (name, version)
        return next((item for item in self.holdings if item.key == wanted), None)

    def reserved_mb(self) -> int:
        """Return the memory that is not free, MB.

        A late copy of a load that is resident or pending brings back the same
        weights, so that each model counts once; where the declared size has
        changed in between, the larger one counts.
        """
        most_by_key: dict[tuple[str, str], int] = {}
        for item in self._reserved():
            most = max(item.reserved_mb, most_by_key.get(item.key, 0))
            most_by_key[item.key] = most
        return sum(most_by_key.values())

    def fenced_late(self) -> Holding | None:
        """Return late memory that an unload can free, or None."""
        waiting = [item.holding for item in self.late if item.until == NEVER]
        return waiting[0] if waiting else None

    def _reserved(self) -> collections.abc.Iterator[Holding]:
        yield from self.holdings
        yield from (item.holding for item in self.late)
        if self.intent is not None and self.intent.kind is endpoints.OrderKind.LOAD:
            yield self.intent.holding


@attrs.frozen
class NoRoom:
    """A load does not fit.

    :param missing_mb: how much memory is missing, MB.
    """

    missing_mb: int


@attrs.frozen
class Busy:
    """Another order's outcome is not known yet.

    :param order_id: that order.
    """

    order_id: str


@attrs.frozen
class Needless:
    """The order would change nothing."""


IntentError = NoRoom | Busy | Needless


def intend(
    ledger: Ledger,
    kind: endpoints.OrderKind,
    holding: Holding,
    order_id: str,
    capacity_mb: int,
) -> result.Result[Ledger, IntentError]:
    """Return the ledger with the intent of an order and its memory.

    :param ledger: the ledger as last read.
    :param kind: what is to be asked.
    :param holding: what is to be loaded or unloaded.
    :param order_id: the new order's id.
    :param capacity_mb: the endpoint's memory, MB.
    """
    if ledger.intent is not None:
        return result.Err(Busy(ledger.intent.id))
    resident = ledger.holding(*holding.key)
    match kind:
        case endpoints.OrderKind.LOAD if resident is not None:
            return result.Err(Needless())
        case endpoints.OrderKind.UNLOAD if resident is not None:
            holding = resident
        case endpoints.OrderKind.UNLOAD:
            late = [item.holding for item in ledger.late]
            if holding.key not in {item.key for item in late}:
                return result.Err(Needless())
    fence = ledger.fence + 1
    intent = Intent(order_id, kind, holding, fence)
    intended = attrs.evolve(ledger, fence=fence, intent=intent)
    missing_mb = intended.reserved_mb() - capacity_mb
    if kind is endpoints.OrderKind.LOAD and missing_mb > 0:
        return result.Err(NoRoom(missing_mb))
    return result.Ok(intended)


def settle(
    ledger: Ledger,
    outcome: result.Result[None, endpoints.OrderRefused],
    fencing: bool,
    late_s: float,
    now: float,
) -> Ledger:
    """Return the ledger once the outcome of its intent is known.

    :param ledger: a ledger with an intent.
    :param outcome: what the endpoint said.
    :param fencing: whether it refuses orders with an old fencing number.
    :param late_s: longest delay of a copy of an order, seconds.
    :param now: wall time, seconds.
    """
    intent = ledger.intent
    holding = intent.holding
    settled = attrs.evolve(ledger, intent=None)
    match (intent.kind, outcome):
        case (endpoints.OrderKind.LOAD, result.Ok(_)):
            resident = attrs.evolve(holding, since=now)
            settled = _without_late(settled, holding)
            return attrs.evolve(settled, holdings=(*settled.holdings, resident))
        case (endpoints.OrderKind.LOAD, result.Err(refused)):
            # A copy of the refused load may still arrive and succeed, on a
            # fencing endpoint too, because nothing newer has reached it.
            until = NEVER if fencing else now + late_s
            fence = max(settled.fence, refused.highest_fence)
            late = Late(holding, until)
            return attrs.evolve(settled, fence=fence, late=(*settled.late, late))
        case (endpoints.OrderKind.UNLOAD, result.Ok(_)) if fencing:
            settled = _without_late(settled, holding)
            return attrs.evolve(settled, holdings=_holdings_without(settled, holding))
        case (endpoints.OrderKind.UNLOAD, result.Ok(_)):
            return _drop(settled, holding, holding.since + late_s)
        case (_, result.Err(refused)):
            fence = max(settled.fence, refused.highest_fence)
            return attrs.evolve(settled, fence=fence)
    return settled


def reconcile(
    ledger: Ledger,
    residents: collections.abc.Sequence[Holding],
    fencing: bool,
    late_s: float,
    asked: float,
) -> Ledger:
    """Return the ledger as the endpoint's own report corrects it.

    The report must have been asked for after the ledger was read and while
    it has no intent; a conditional write then proves that no order came
    between.

    :param ledger: a ledger without an intent.
    :param residents: what the endpoint says is in its memory, or being loaded.
    :param fencing: whether it refuses orders with an old fencing number.
    :param late_s: longest delay of a copy of an order, seconds.
    :param asked: wall time at which the report was asked for, seconds.
    """
    reported = {item.key: item for item in residents}
    for holding in ledger.holdings:
        if holding.key not in reported:
            # The endpoint restarted, or a late copy of an unload arrived. A
            # copy of the load may arrive as well, on a fencing endpoint too,
            # because no order with a newer number has reached it.
            until = NEVER if fencing else holding.since + late_s
            ledger = _drop(ledger, holding, until)
    known = {item.key for item in ledger.holdings}
    found = [
        attrs.evolve(item, since=asked)
        for key, item in reported.items()
        if key not in known
    ]
    holdings = (*ledger.holdings, *found)
    late = tuple(item for item in ledger.late if item.until > asked)
    return attrs.evolve(ledger, holdings=holdings, late=late)


def _drop(ledger: Ledger, holding: Holding, until: float) -> Ledger:
    """Return the ledger without a resident whose load may come again.

    A copy of the load that was sent before its outcome was known may still
    arrive and load the model once more; memory would be overcommitted by
    whatever took its place. The last copy left before ``since``, so its
    longest delay counts from there.
    """
    late = (*ledger.late, Late(holding, until))
    return attrs.evolve(ledger, holdings=_holdings_without(ledger, holding), late=late)


def _holdings_without(ledger: Ledger, holding: Holding) -> tuple[Holding, ...]:
    return tuple(item for item in ledger.holdings if item.key != holding.key)


def _without_late(ledger: Ledger, holding: Holding) -> Ledger:
    late = tuple(item for item in ledger.late if item.holding.key != holding.key)
    return attrs.evolve(ledger, late=late)
