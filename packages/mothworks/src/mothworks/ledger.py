"""The ledger: the durable record of one endpoint's accelerator memory.

An order is sent only after its intent, which reserves its memory, was written
by a conditional update. The order carries the fencing token of that write.
Memory is released only when nothing can use it any more: no resident, no order
with an unknown outcome, and no delayed copy of an order.

The functions of this module take a ledger and return the next one;
:mod:`mothworks.ledger_store` writes it.
"""

import collections.abc

import attrs
import result

from mothworks import endpoints

#: Wall time that is never reached, seconds.
NEVER = 1e12


@attrs.frozen
class Holding:
    """A model or adapter that occupies memory.

    :param name: the model or adapter.
    :param version: the model's version.
    :param memory_mb: its weights, MB.
    :param working_mb: memory reserved in addition to the weights, MB.
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
        """Return the name and version, which identify the holding."""
        return (self.name, self.version)

    @property
    def reserved_mb(self) -> int:
        """Return the memory that is reserved for it, MB."""
        return self.memory_mb + self.working_mb


@attrs.frozen
class Intent:
    """An order that was sent or is about to be sent.

    :param id: the order's ID.
    :param kind: the kind of order.
    :param holding: what it loads or unloads; for a role, its name is the role.
    :param fence: the order's fencing token.
    """

    id: str
    kind: endpoints.OrderKind
    holding: Holding
    fence: int

    def order(self) -> endpoints.Order:
        """Return the order as sent to the endpoint."""
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
class LateLoad:
    """Memory that a delayed copy of an earlier load may still occupy.

    It stays reserved until a report requested after ``until`` shows whether a
    copy arrived. On an endpoint that honours fencing tokens no time limit is
    needed: an unload with a new number makes it reject every copy.

    :param holding: what the copy would load.
    :param until: wall time after which no copy can arrive, seconds;
        :data:`NEVER` if only an unload ends the reservation.
    """

    holding: Holding
    until: float


@attrs.frozen
class Ledger:
    """The memory record of one endpoint.

    :param endpoint: its name.
    :param fence: the highest fencing token issued.
    :param nonce: identifies this write.
    :param holdings: the residents.
    :param intent: the order whose outcome is unknown, if any.
    :param late: memory that delayed copies of earlier loads may still occupy.
    """

    endpoint: str
    fence: int = 0
    nonce: str = ""
    holdings: tuple[Holding, ...] = ()
    intent: Intent | None = None
    late: tuple[LateLoad, ...] = ()

    def holding(self, name: str, version: str) -> Holding | None:
        """Return a resident, or None.

        :param name: the model or adapter.
        :param version: its version.
        """
        key = (name, version)
        return next((item for item in self.holdings if item.key == key), None)

    def reserved_mb(self) -> int:
        """Return the reserved memory, MB.

        A late copy of a load loads the same weights as the resident or the
        pending load, so each model counts once. If its declared size changed
        in between, the larger size counts.
        """
        size_by_key: dict[tuple[str, str], int] = {}
        for item in self._reserved():
            size_mb = max(item.reserved_mb, size_by_key.get(item.key, 0))
            size_by_key[item.key] = size_mb
        return sum(size_by_key.values())

    def fenceable_late_load(self) -> Holding | None:
        """Return a late load whose memory an unload can release, or None."""
        fenceable = [item.holding for item in self.late if item.until == NEVER]
        return fenceable[0] if fenceable else None

    def _reserved(self) -> collections.abc.Iterator[Holding]:
        yield from self.holdings
        yield from (item.holding for item in self.late)
        if self.intent is not None and self.intent.kind is endpoints.OrderKind.LOAD:
            yield self.intent.holding


@attrs.frozen
class InsufficientMemory:
    """The endpoint lacks memory for a load.

    :param missing_mb: memory that the load lacks, MB.
    """

    missing_mb: int


@attrs.frozen
class OrderPending:
    """The outcome of another order is still unknown.

    :param order_id: that order.
    """

    order_id: str


@attrs.frozen
class NoEffect:
    """The order would have no effect."""


IntentError = InsufficientMemory | OrderPending | NoEffect


def add_intent(
    ledger: Ledger,
    kind: endpoints.OrderKind,
    holding: Holding,
    order_id: str,
    capacity_mb: int,
) -> result.Result[Ledger, IntentError]:
    """Return the ledger with an order's intent, which reserves its memory.

    :param ledger: the ledger as last read.
    :param kind: the kind of order.
    :param holding: what to load or unload.
    :param order_id: the new order's ID.
    :param capacity_mb: the endpoint's memory, MB.
    """
    if ledger.intent is not None:
        return result.Err(OrderPending(ledger.intent.id))
    resident = ledger.holding(*holding.key)
    match kind:
        case endpoints.OrderKind.LOAD if resident is not None:
            return result.Err(NoEffect())
        case endpoints.OrderKind.UNLOAD if resident is not None:
            holding = resident
        case endpoints.OrderKind.UNLOAD:
            late = [item.holding for item in ledger.late]
            if holding.key not in {item.key for item in late}:
                return result.Err(NoEffect())
    fence = ledger.fence + 1
    intent = Intent(order_id, kind, holding, fence)
    intended = attrs.evolve(ledger, fence=fence, intent=intent)
    missing_mb = intended.reserved_mb() - capacity_mb
    if kind is endpoints.OrderKind.LOAD and missing_mb > 0:
        return result.Err(InsufficientMemory(missing_mb))
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
    :param outcome: the endpoint's reply.
    :param fencing: whether the endpoint rejects orders with an old fencing token.
    :param late_s: maximum delay of a copy of an order, seconds.
    :param now: wall time, seconds.
    """
    intent = ledger.intent
    holding = intent.holding
    settled = attrs.evolve(ledger, intent=None)
    match (intent.kind, outcome):
        case (endpoints.OrderKind.LOAD, result.Ok(_)):
            resident = attrs.evolve(holding, since=now)
            settled = _remove_late(settled, holding)
            return attrs.evolve(settled, holdings=(*settled.holdings, resident))
        case (endpoints.OrderKind.LOAD, result.Err(refusal)):
            # A copy of the refused load may still arrive and succeed, even on a
            # fencing endpoint, because no newer order has reached it.
            until = NEVER if fencing else now + late_s
            fence = max(settled.fence, refusal.highest_fence)
            late = LateLoad(holding, until)
            return attrs.evolve(settled, fence=fence, late=(*settled.late, late))
        case (endpoints.OrderKind.UNLOAD, result.Ok(_)) if fencing:
            settled = _remove_late(settled, holding)
            return attrs.evolve(settled, holdings=_remove_holding(settled, holding))
        case (endpoints.OrderKind.UNLOAD, result.Ok(_)):
            return _move_to_late(settled, holding, holding.since + late_s)
        case (_, result.Err(refusal)):
            fence = max(settled.fence, refusal.highest_fence)
            return attrs.evolve(settled, fence=fence)
    return settled


def reconcile(
    ledger: Ledger,
    residents: collections.abc.Sequence[Holding],
    fencing: bool,
    late_s: float,
    requested_at: float,
) -> Ledger:
    """Return the ledger corrected from the endpoint's own report.

    The report must be requested after the ledger was read, and the ledger must
    have no intent. A successful conditional write then proves that no order
    came in between.

    :param ledger: a ledger without an intent.
    :param residents: what the endpoint reports as resident or being loaded.
    :param fencing: whether the endpoint rejects orders with an old fencing token.
    :param late_s: maximum delay of a copy of an order, seconds.
    :param requested_at: wall time at which the report was requested, seconds.
    """
    reported_by_key = {item.key: item for item in residents}
    for holding in ledger.holdings:
        if holding.key not in reported_by_key:
            # The endpoint restarted, or a delayed copy of an unload arrived. A
            # copy of the load may still arrive, even on a fencing endpoint,
            # because no order with a newer number has reached it.
            until = NEVER if fencing else holding.since + late_s
            ledger = _move_to_late(ledger, holding, until)
    known_keys = {item.key for item in ledger.holdings}
    new_holdings = [
        attrs.evolve(item, since=requested_at)
        for key, item in reported_by_key.items()
        if key not in known_keys
    ]
    holdings = (*ledger.holdings, *new_holdings)
    late = tuple(item for item in ledger.late if item.until > requested_at)
    return attrs.evolve(ledger, holdings=holdings, late=late)


def _move_to_late(ledger: Ledger, holding: Holding, until: float) -> Ledger:
    """Return the ledger with a resident's memory reserved as a late load.

    A copy of the load sent before its outcome was known may still arrive and
    load the model again. If its memory were released, another load could
    overcommit it. The last copy was sent before ``since``, so the maximum
    delay counts from there.
    """
    late = (*ledger.late, LateLoad(holding, until))
    return attrs.evolve(ledger, holdings=_remove_holding(ledger, holding), late=late)


def _remove_holding(ledger: Ledger, holding: Holding) -> tuple[Holding, ...]:
    return tuple(item for item in ledger.holdings if item.key != holding.key)


def _remove_late(ledger: Ledger, holding: Holding) -> Ledger:
    late = tuple(item for item in ledger.late if item.holding.key != holding.key)
    return attrs.evolve(ledger, late=late)
