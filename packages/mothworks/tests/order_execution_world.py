"""An endpoint, its ledger and its owners in memory, for tests of moves.

Time advances only when a test advances it. The test chooses how each copy of
an order is delivered.
"""

import enum

import result

import builders
import memory_objects
from mothworks import endpoints, ledger, ledger_store, order_execution
from mothworks_fakes import engine_memory

LATE_ORDER_S = 30.0
CAPACITY_MB = 100


class Delivery(enum.Enum):
    """How one copy of an order is delivered."""

    #: The order and its reply arrive.
    DELIVERED = "delivered"
    #: The order is lost.
    LOST = "lost"
    #: The order arrives; its reply is lost.
    REPLY_LOST = "reply lost"
    #: The order arrives later; the sender gets no reply.
    DELAYED = "delayed"
    #: The order arrives now and again later.
    DUPLICATED = "duplicated"


class Adapter(endpoints.Adapter):
    """Delivers orders to the engine's memory as the test chooses."""

    def __init__(self, world):
        self.world = world
        self.delivery = Delivery.DELIVERED

    def order(self, endpoint, order):
        if self.delivery in (Delivery.DELAYED, Delivery.DUPLICATED):
            self.world.copies.append((order, self.world.now))
        if self.delivery in (Delivery.LOST, Delivery.DELAYED):
            return result.Err(endpoints.OrderUnknown("no reply"))
        reply = self.world.deliver(order)
        if self.delivery is Delivery.REPLY_LOST:
            return result.Err(endpoints.OrderUnknown("no reply"))
        match reply:
            case engine_memory.Reply.DONE:
                return result.Ok(None)
            case engine_memory.Reply.LOADING:
                return result.Err(endpoints.OrderUnknown("loading"))
            case engine_memory.Reply.FENCED:
                fence = self.world.engine.highest_fence
                return result.Err(endpoints.OrderRefused("old number", fence))
            case engine_memory.Reply.FAILED:
                return result.Err(endpoints.OrderRefused("failed"))

    def report(self, endpoint):
        residents = self.world.engine.resident_by_key.values()
        loading = self.world.engine.loading_by_key.values()
        return result.Ok(
            endpoints.Report(
                tuple(to_resident(item) for item in residents),
                loading=tuple(to_resident(item) for item in loading),
            )
        )


class World:
    """An engine and the object API, shared by all owners."""

    def __init__(self, fencing):
        self.now = 1000.0
        self.engine = engine_memory.EngineMemory(CAPACITY_MB, fencing)
        self.api = memory_objects.MemoryApi()
        self.copies = []
        self.adapter = Adapter(self)
        self.endpoint = builders.endpoint(memory_mb=CAPACITY_MB, fencing=fencing)

    def new_owner(self):
        clock = order_execution.Clock(lambda: self.now, lambda: self.now)
        store = ledger_store.LedgerStore(self.api, confirm_timeout_s=0.0)
        return order_execution.OrderExecutor(
            self.endpoint, store, self.adapter, LATE_ORDER_S, clock
        )

    def deliver(self, order):
        item = engine_memory.Item(order.name, order.version, order.memory_mb)
        delivered = engine_memory.Order(order.id, order.kind, item, order.fence)
        return self.engine.take(delivered)

    def finish_loads(self):
        for key in list(self.engine.loading_by_key):
            self.engine.finish(key)

    def reconciled_owner(self):
        """Return an owner that has read and reconciled the ledger."""
        owner = self.new_owner()
        owner.read_ledger()
        owner.reconcile({})
        return owner


def to_resident(item):
    return endpoints.Resident(item.name, item.version, item.memory_mb)


def execute_move(owner, world, kind, holding):
    """Execute one move without faults."""
    owner.write_intent(kind, holding).unwrap()
    resolve(owner, world)


def resolve(owner, world):
    """Repeat the pending order until its outcome is written."""
    for _ in range(10):
        if owner.current is None:
            owner.read_ledger().unwrap()
        if owner.current.intent is None:
            return
        intent = owner.sendable_intent()
        if intent is None:
            continue
        owner.write_outcome(intent, owner.send(intent))
        world.finish_loads()
    raise AssertionError("the outcome of the order is still unknown")


def holding(name="menu", memory_mb=60, version="1"):
    return ledger.Holding(name, version, memory_mb)
