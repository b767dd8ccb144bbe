"""One endpoint, its ledger and two owners in memory, for tests of moves.

Time stands still until a test advances it. What happens to each copy of an
order on its way is the test's choice.
"""

import enum

import result

import builders
import stored
from mothworks import endpoints, ledger, ledger_store, moves
from mothworks_fakes import engine_memory

LATE_S = 30.0
CAPACITY_MB = 100


class Fate(enum.Enum):
    """What befalls one copy of an order."""

    #: It arrives, and so does the reply.
    ARRIVES = "arrives"
    #: It is lost.
    LOST = "lost"
    #: It arrives, but the reply is lost.
    REPLY_LOST = "reply lost"
    #: It arrives later; the sender hears nothing.
    DELAYED = "delayed"
    #: It arrives now and once more later.
    DOUBLED = "doubled"


class Adapter(endpoints.Adapter):
    """Brings orders to the engine's memory as fate has it."""

    def __init__(self, world):
        self.world = world
        self.fate = Fate.ARRIVES

    def order(self, endpoint, order):
        if self.fate in (Fate.DELAYED, Fate.DOUBLED):
            self.world.copies.append((order, self.world.now))
        if self.fate in (Fate.LOST, Fate.DELAYED):
            return result.Err(endpoints.OrderUnknown("no reply"))
        reply = self.world.arrive(order)
        if self.fate is Fate.REPLY_LOST:
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
                tuple(resident(item) for item in residents),
                loading=tuple(resident(item) for item in loading),
            )
        )


class World:
    """An engine, the object API, and owners that share them."""

    def __init__(self, fencing):
        self.now = 1000.0
        self.engine = engine_memory.EngineMemory(CAPACITY_MB, fencing)
        self.api = stored.MemoryApi()
        self.copies = []
        self.adapter = Adapter(self)
        self.endpoint = builders.endpoint(memory_mb=CAPACITY_MB, fencing=fencing)

    def owner(self):
        clock = moves.Clock(lambda: self.now, lambda: self.now)
        store = ledger_store.LedgerStore(self.api, patience_s=0.0)
        return moves.Mover(self.endpoint, store, self.adapter, LATE_S, clock)

    def arrive(self, order):
        item = engine_memory.Item(order.name, order.version, order.memory_mb)
        arrived = engine_memory.Order(order.id, order.kind, item, order.fence)
        return self.engine.take(arrived)

    def finish_loads(self):
        for key in list(self.engine.loading_by_key):
            self.engine.finish(key)

    def ready_owner(self):
        """Return an owner that has read and reconciled the ledger."""
        owner = self.owner()
        owner.look()
        owner.reconcile({})
        return owner


def resident(item):
    return endpoints.Resident(item.name, item.version, item.memory_mb)


def run(owner, world, kind, holding):
    """Carry out one move without any fault."""
    owner.intend(kind, holding).unwrap()
    resolve(owner, world)


def resolve(owner, world):
    """Repeat the pending order until its outcome is known and written."""
    for _ in range(10):
        if owner.current is None:
            owner.look().unwrap()
        if owner.current.intent is None:
            return
        intent = owner.due()
        if intent is None:
            continue
        owner.settle(intent, owner.send(intent))
        world.finish_loads()
    raise AssertionError("the order's outcome stays unknown")


def holding(name="menu", memory_mb=60, version="1"):
    return ledger.Holding(name, version, memory_mb)
