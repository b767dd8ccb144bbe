"""Executes the orders of one endpoint, from the intent to the known outcome.

An :class:`OrderExecutor` executes one step at a time and holds no state that
its successor needs: the ledger allows any owner to continue from any step. Two
executors of the same endpoint may run concurrently, because each step ends
with a conditional update that at most one of them wins.
"""

import time
import typing
import uuid

import attrs
import result

from mothworks import catalogue, endpoints, ledger, ledger_store

#: Maximum age of the last ledger read or write when an order is sent, seconds.
#: A VM that was paused for longer reads the ledger again before it sends.
MAX_LEDGER_AGE_S = 3.0


@attrs.frozen
class Clock:
    """Clocks of an executor; tests pass their own.

    :param wall: returns wall time, seconds.
    :param monotonic: returns monotonic time, seconds.
    """

    wall: typing.Callable[[], float] = time.time
    monotonic: typing.Callable[[], float] = time.monotonic


class OrderExecutor:
    """Executes the orders of one endpoint.

    :param endpoint: the endpoint.
    :param store: stores the ledgers.
    :param adapter: implements the endpoint's protocol.
    :param late_order_s: maximum delay of a copy of an order, seconds.
    :param clock: wall and monotonic clocks.
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
        self.stored: ledger_store.StoredLedger | None = None
        self.read_at = 0.0

    @property
    def current(self) -> ledger.Ledger | None:
        """Return the ledger as last read or written, or None if there is none."""
        return self.stored.ledger if self.stored else None

    def read_ledger(self) -> result.Result[None, ledger_store.ReadError]:
        """Read the ledger."""
        now = self.clock.monotonic()
        return self.store.read(self.endpoint.name).map(
            lambda stored: self._set_stored(stored, now)
        )

    def write_intent(
        self, kind: endpoints.OrderKind, holding: ledger.Holding
    ) -> result.Result[None, ledger.IntentError | ledger_store.StoreError]:
        """Write the intent of an order.

        :param kind: the kind of order.
        :param holding: what to load or unload.
        """
        with_intent = ledger.add_intent(
            self.current,
            kind,
            holding,
            uuid.uuid4().hex,
            self.endpoint.memory_mb,
        )
        return with_intent.and_then(self._write)

    def sendable_intent(self) -> ledger.Intent | None:
        """Return the intent whose order may be sent now.

        A VM that resumes from a pause has an old ledger in memory. Another
        owner may have executed and undone its order meanwhile; on an endpoint
        that ignores fencing, the order would occupy memory that is in use. An
        order is therefore sent only shortly after the ledger was read or
        written; ``late_order_s`` covers shorter pauses.
        """
        if self.clock.monotonic() - self.read_at > MAX_LEDGER_AGE_S:
            self.stored = None
            return None
        return self.current.intent if self.current else None

    def send(self, intent: ledger.Intent) -> result.Result:
        """Send one copy of an order.

        :param intent: what :meth:`sendable_intent` returned.
        """
        return self.adapter.order(self.endpoint, intent.order())

    def write_outcome(
        self,
        intent: ledger.Intent,
        outcome: result.Result[None, endpoints.OrderFailure],
    ) -> result.Result[None, ledger_store.StoreError]:
        """Write the outcome of an order, unless it is unknown.

        :param intent: the order's intent.
        :param outcome: what :meth:`send` returned.
        """
        match outcome:
            case result.Err(endpoints.OrderUnknown()):
                return result.Ok(None)
        if self.current is None or self.current.intent != intent:
            return result.Err(ledger_store.WriteConflict())
        with_outcome = ledger.settle(
            self.current,
            outcome,
            self.endpoint.fencing,
            self.late_order_s,
            self.clock.wall(),
        )
        return self._write(with_outcome)

    def reconcile(
        self, working_mb_by_name: dict[str, int]
    ) -> result.Result[None, ledger_store.StoreError | str]:
        """Correct the ledger from the endpoint's own report.

        :param working_mb_by_name: memory that models need besides their weights, MB.
        """
        if self.current is None or self.current.intent is not None:
            return result.Ok(None)
        requested_at = self.clock.wall()
        match self.adapter.report(self.endpoint):
            case result.Ok(report):
                residents = [
                    _to_holding(item, working_mb_by_name)
                    for item in (*report.residents, *report.loading)
                ]
            case result.Err(reason):
                return result.Err(reason)
        corrected = ledger.reconcile(
            self.current,
            residents,
            self.endpoint.fencing,
            self.late_order_s,
            requested_at,
        )
        if corrected == self.current and self.stored.version is not None:
            return result.Ok(None)
        return self._write(corrected)

    def _write(
        self, updated: ledger.Ledger
    ) -> result.Result[None, ledger_store.StoreError]:
        now = self.clock.monotonic()
        write_result = self.store.write(self.stored, updated)
        if write_result.is_err():
            # Another owner may have changed the ledger; this copy is outdated.
            self.stored = None
        return write_result.map(lambda stored: self._set_stored(stored, now))

    def _set_stored(self, stored: ledger_store.StoredLedger, read_at: float) -> None:
        self.stored = stored
        self.read_at = read_at


def _to_holding(
    item: endpoints.Resident, working_mb_by_name: dict[str, int]
) -> ledger.Holding:
    working_mb = working_mb_by_name.get(item.name, 0)
    return ledger.Holding(item.name, item.version, item.memory_mb, working_mb)
