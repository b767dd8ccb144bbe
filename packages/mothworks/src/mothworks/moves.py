"""Moves of one endpoint: each step from an intent to its known outcome.

A :class:`Mover` takes one step at a time and keeps nothing that its
successor needs: whoever reads the ledger can go on from any step. Two movers
of the same endpoint are safe beside each other, because each step ends with
a conditional update that at most one of them wins.
"""

import time
import typing
import uuid

import attrs
import result

from mothworks import catalogue, endpoints, ledger, ledger_store

#: Longest time between a look at the ledger and the sending of an order,
#: seconds. A VM that was paused for longer looks again before it sends.
SEND_WINDOW_S = 3.0


@attrs.frozen
class Clock:
    """The time that a mover goes by; tests have their own.

    :param wall: returns wall time, seconds.
    :param monotonic: returns monotonic time, seconds.
    """

    wall: typing.Callable[[], float] = time.time
    monotonic: typing.Callable[[], float] = time.monotonic


class Mover:
    """Carries out the orders of one endpoint.

    :param endpoint: the endpoint.
    :param store: where ledgers are kept.
    :param adapter: speaks the endpoint's protocol.
    :param late_order_s: longest delay of a copy of an order, seconds.
    :param clock: the time.
    """

    def __init__(
        self,
        endpoint: catalogue.Endpoint,
        store: ledger_store.LedgerStore,
        adapter: endpoints.Adapter,
        late_order_s: float,
        clock: Clock | None = None,
    ):
        self.endpoint = endpoint
        self.store = store
        self.adapter = adapter
        self.late_order_s = late_order_s
        self.clock = clock or Clock()
        self.kept: ledger_store.Kept | None = None
        self.looked_at = 0.0

    @property
    def current(self) -> ledger.Ledger | None:
        """Return the ledger as last read or written, or None before."""
        return self.kept.ledger if self.kept else None

    def look(self) -> result.Result[None, ledger_store.ReadError]:
        """Read the ledger."""
        now = self.clock.monotonic()
        return self.store.read(self.endpoint.name).map(
            lambda kept: self._keep(kept, now)
        )

    def intend(
        self, kind: endpoints.OrderKind, holding: ledger.Holding
    ) -> result.Result[None, ledger.IntentError | ledger_store.StoreError]:
        """Write the intent of an order.

        :param kind: what is to be asked.
        :param holding: what is to be loaded or unloaded.
        """
        intended = ledger.intend(
            self.current,
            kind,
            holding,
            uuid.uuid4().hex,
            self.endpoint.memory_mb,
        )
        return intended.and_then(self._write)

    def due(self) -> ledger.Intent | None:
        """Return the intent whose order may be sent now.

        A paused VM wakes with an old ledger in memory. Its order may be long
        carried out and undone by another owner, and on an endpoint that
        ignores fencing it would take memory that is in use. So an order
        leaves only shortly after a look at the ledger; what the pause can
        still hit is covered by ``late_order_s``.
        """
        if self.clock.monotonic() - self.looked_at > SEND_WINDOW_S:
            self.kept = None
            return None
        return self.current.intent if self.current else None

    def send(self, intent: ledger.Intent) -> result.Result:
        """Send one copy of an order.

        :param intent: what :meth:`due` returned.
        """
        return self.adapter.order(self.endpoint, intent.order())

    def settle(
        self,
        intent: ledger.Intent,
        outcome: result.Result[None, endpoints.OrderFailure],
    ) -> result.Result[None, ledger_store.StoreError]:
        """Write what became of an order; nothing while that is unknown.

        :param intent: the order's intent.
        :param outcome: what :meth:`send` returned.
        """
        match outcome:
            case result.Err(endpoints.OrderUnknown()):
                return result.Ok(None)
        if self.current is None or self.current.intent != intent:
            return result.Err(ledger_store.Lost())
        settled = ledger.settle(
            self.current,
            outcome,
            self.endpoint.fencing,
            self.late_order_s,
            self.clock.wall(),
        )
        return self._write(settled)

    def reconcile(
        self, working_mb_by_name: dict[str, int]
    ) -> result.Result[None, ledger_store.StoreError | str]:
        """Correct the ledger by the endpoint's own report.

        :param working_mb_by_name: room that models need beside their weights.
        """
        if self.current is None or self.current.intent is not None:
            return result.Ok(None)
        asked = self.clock.wall()
        match self.adapter.report(self.endpoint):
            case result.Ok(report):
                residents = [
                    _found(item, working_mb_by_name)
                    for item in (*report.residents, *report.loading)
                ]
            case result.Err(reason):
                return result.Err(reason)
        corrected = ledger.reconcile(
            self.current,
            residents,
            self.endpoint.fencing,
            self.late_order_s,
            asked,
        )
        if corrected == self.current and self.kept.version is not None:
            return result.Ok(None)
        return self._write(corrected)

    def _write(
        self, changed: ledger.Ledger
    ) -> result.Result[None, ledger_store.StoreError]:
        now = self.clock.monotonic()
        written = self.store.write(self.kept, changed)
        if written.is_err():
            # Another owner may have gone on; what is kept here is history.
            self.kept = None
        return written.map(lambda kept: self._keep(kept, now))

    def _keep(self, kept: ledger_store.Kept, looked_at: float) -> None:
        self.kept = kept
        self.looked_at = looked_at


def _found(
    item: endpoints.Resident, working_mb_by_name: dict[str, int]
) -> ledger.Holding:
    working_mb = working_mb_by_name.get(item.name, 0)
    return ledger.Holding(item.name, item.version, item.memory_mb, working_mb)
