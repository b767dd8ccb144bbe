"""Every fault at every step of a load, an unload and a swap."""

import pytest
import result

import memory_objects
import order_execution_world
from mothworks import endpoints, ledger, ledger_store, objects, order_execution
from mothworks_fakes import engine_memory

LOAD = endpoints.OrderKind.LOAD
UNLOAD = endpoints.OrderKind.UNLOAD
MENU = order_execution_world.holding("menu", 60)
TICKETS = order_execution_world.holding("tickets", 60)

#: Initial residents and the moves to execute.
MOVES = {
    "load": ((), ((LOAD, MENU),)),
    "unload": ((MENU,), ((UNLOAD, MENU),)),
    "swap": ((MENU,), ((UNLOAD, MENU), (LOAD, TICKETS))),
}
STEPS = ("intend", "send", "settle")
FAULTS = (
    "owner dies before",
    "owner dies after",
    "owner pauses",
    "engine restarts",
    "api down",
    "write dropped",
    "write's reply lost",
    "order lost",
    "order's reply lost",
    "order late",
    "order doubled",
)


class OwnerDiedError(Exception):
    """The owner's VM failed."""


class FaultInjection:
    """Executes moves and injects one fault at one step."""

    def __init__(self, world, step, fault):
        self.world = world
        self.step = step
        self.fault = fault
        self.owner = world.reconciled_owner()

    def execute(self, kind, holding):
        if self.owner.current is None:
            self.owner.read_ledger().unwrap()
        intended = self.run_step(
            "intend", lambda: self.owner.write_intent(kind, holding)
        )
        if intended.is_err():
            return
        intent = self.owner.sendable_intent()
        outcome = self.run_step("send", lambda: self.owner.send(intent))
        self.run_step("settle", lambda: self.owner.write_outcome(intent, outcome))

    def run_step(self, step, operation):
        if step != self.step or self.fault is None:
            return operation()
        fault, self.fault = self.fault, None
        adapter, api = self.world.adapter, self.world.api
        match fault:
            case "owner dies before":
                raise OwnerDiedError
            case "owner dies after":
                operation()
                raise OwnerDiedError
            case "owner pauses":
                self.world.now += order_execution_world.LATE_ORDER_S / 2
                recover(self.world)
                return operation()
            case "engine restarts":
                self.world.engine.restart()
            case "api down":
                api.put_faults.append(memory_objects.Fault.UNAVAILABLE)
            case "write dropped":
                api.put_faults.append(memory_objects.Fault.REQUEST_LOST)
            case "write's reply lost":
                api.put_faults.append(memory_objects.Fault.REPLY_LOST)
            case "order lost":
                adapter.delivery = order_execution_world.Delivery.LOST
            case "order's reply lost":
                adapter.delivery = order_execution_world.Delivery.REPLY_LOST
            case "order late":
                adapter.delivery = order_execution_world.Delivery.DELAYED
            case "order doubled":
                adapter.delivery = order_execution_world.Delivery.DUPLICATED
        outcome = operation()
        adapter.delivery = order_execution_world.Delivery.DELIVERED
        return outcome


def recover(world):
    """A new owner resolves the pending order and reconciles the ledger."""
    owner = world.new_owner()
    owner.read_ledger().unwrap()
    order_execution_world.resolve(owner, world)
    owner.reconcile({}).unwrap()
    return owner


def converge(world, expected_by_key):
    """Execute moves, as the planner would, until exactly these are resident."""
    for _ in range(20):
        owner = recover(world)
        held_by_key = {item.key: item for item in owner.current.holdings}
        late = owner.current.fenceable_late_load()
        surplus = [
            item for key, item in held_by_key.items() if key not in expected_by_key
        ]
        missing = [
            item for key, item in expected_by_key.items() if key not in held_by_key
        ]
        if not surplus and not missing and late is None:
            return
        if surplus:
            order_execution_world.execute_move(owner, world, UNLOAD, surplus[0])
        elif missing and owner.write_intent(LOAD, missing[0]).is_ok():
            order_execution_world.resolve(owner, world)
        elif late is not None:
            order_execution_world.execute_move(owner, world, UNLOAD, late)
        else:
            world.now += order_execution_world.LATE_ORDER_S
    raise AssertionError("the expected residents were not reached")


@pytest.mark.parametrize("fencing", [True, False])
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("name", MOVES)
def test_every_fault_at_every_step(name, step, fault, fencing):
    """A fault during a move could leave a model unloaded for good or overcommit
    the engine's memory. Another owner continues from the ledger, late copies
    arrive, and the move ends with the expected residents.
    """
    initial, steps = MOVES[name]
    world = order_execution_world.World(fencing)
    for item in initial:
        order_execution_world.execute_move(world.reconciled_owner(), world, LOAD, item)
    injection = FaultInjection(world, step, fault)
    try:
        for kind, item in steps:
            injection.execute(kind, item)
            world.finish_loads()
    except OwnerDiedError:
        pass
    expected_by_key = {item.key: item for kind, item in steps if kind is LOAD}
    converge(world, expected_by_key)
    while world.copies:
        order, _ = world.copies.pop()
        world.deliver(order)
        world.finish_loads()
    converge(world, expected_by_key)
    assert set(world.engine.resident_by_key) == set(expected_by_key)
    assert world.engine.peak_mb <= order_execution_world.CAPACITY_MB


def test_a_resumed_owner_sends_no_old_order():
    """An owner's VM is paused before it sends a load. Another owner executes the
    load, unloads the model again and fills the memory. After the pause, the
    first must not send its old order, and its write must be rejected.
    """
    world = order_execution_world.World(fencing=False)
    paused, other = world.reconciled_owner(), world.new_owner()
    paused.write_intent(LOAD, MENU).unwrap()
    intent = paused.current.intent
    other.read_ledger()
    order_execution_world.resolve(other, world)
    world.now += order_execution_world.LATE_ORDER_S + 1
    order_execution_world.execute_move(other, world, UNLOAD, MENU)
    other.reconcile({})
    order_execution_world.execute_move(other, world, LOAD, TICKETS)
    assert paused.sendable_intent() is None
    done = paused.write_outcome(intent, result.Ok(None))
    assert done == result.Err(ledger_store.WriteConflict())
    assert world.engine.peak_mb <= order_execution_world.CAPACITY_MB


@pytest.mark.parametrize("fencing", [True, False])
def test_the_memory_of_a_refused_load_stays_reserved(fencing):
    """A load fails, but a delayed copy of the order later succeeds. If the memory
    were released at once, the next load and the copy would both occupy it.
    """
    world = order_execution_world.World(fencing)
    owner = world.reconciled_owner()
    world.engine.bad_versions = {"1"}
    world.adapter.delivery = order_execution_world.Delivery.DUPLICATED
    order_execution_world.execute_move(owner, world, LOAD, MENU)
    world.engine.bad_versions = set()
    world.adapter.delivery = order_execution_world.Delivery.DELIVERED
    assert owner.write_intent(LOAD, TICKETS) == result.Err(
        ledger.InsufficientMemory(20)
    )
    world.deliver(world.copies.pop()[0])
    converge(world, {TICKETS.key: TICKETS})
    assert world.engine.peak_mb <= order_execution_world.CAPACITY_MB


@pytest.mark.parametrize("fencing", [True, False])
def test_memory_stays_reserved_for_late_copies_after_a_restart(fencing):
    """An engine restarts right after a load while a copy of that load is delayed.
    Reconciliation finds the model missing. If another model were loaded at
    once, it and the copy would overcommit the memory.
    """
    world = order_execution_world.World(fencing)
    owner = world.reconciled_owner()
    world.adapter.delivery = order_execution_world.Delivery.DUPLICATED
    order_execution_world.execute_move(owner, world, LOAD, MENU)
    world.adapter.delivery = order_execution_world.Delivery.DELIVERED
    world.engine.restart()
    owner.reconcile({})
    assert owner.current.holdings == ()
    assert owner.write_intent(LOAD, TICKETS) == result.Err(
        ledger.InsufficientMemory(20)
    )
    world.deliver(world.copies.pop()[0])
    converge(world, {TICKETS.key: TICKETS})
    assert world.engine.peak_mb <= order_execution_world.CAPACITY_MB


def test_a_restarted_engine_reloads_its_models_at_once():
    """After a restart the same models are loaded again without a delay: late
    copies of their own loads occupy no additional memory.
    """
    world = order_execution_world.World(fencing=False)
    owner = world.reconciled_owner()
    order_execution_world.execute_move(owner, world, LOAD, MENU)
    world.engine.restart()
    owner.reconcile({})
    order_execution_world.execute_move(owner, world, LOAD, MENU)
    assert set(world.engine.resident_by_key) == {MENU.key}


def test_the_larger_of_two_declared_sizes_is_reserved():
    """An operator lowers a model's declared memory while a copy of its load is
    delayed. The copy loads the ordered size, so that size stays reserved.
    """
    late = ledger.LateLoad(
        order_execution_world.holding(memory_mb=60), until=ledger.NEVER
    )
    resident = order_execution_world.holding(memory_mb=40)
    assert ledger.Ledger("e", holdings=(resident,), late=(late,)).reserved_mb() == 60


def test_a_late_load_in_progress_stays_reserved():
    """A late copy of a load starts just before its time limit. The engine does
    not list the model as resident yet, but its memory must stay reserved.
    """
    world = order_execution_world.World(fencing=False)
    owner = world.reconciled_owner()
    world.adapter.delivery = order_execution_world.Delivery.DUPLICATED
    order_execution_world.execute_move(owner, world, LOAD, MENU)
    world.adapter.delivery = order_execution_world.Delivery.DELIVERED
    order_execution_world.execute_move(owner, world, UNLOAD, MENU)
    world.now += order_execution_world.LATE_ORDER_S - 1
    world.deliver(world.copies.pop()[0])
    world.now += 2
    owner.reconcile({})
    assert owner.write_intent(LOAD, TICKETS) == result.Err(
        ledger.InsufficientMemory(20)
    )
    assert world.engine.peak_mb <= order_execution_world.CAPACITY_MB


def test_residents_loaded_manually_are_counted():
    """A model was loaded manually. Reconciliation adds it to the ledger, so that
    no load is sent that would not fit.
    """
    world = order_execution_world.World(fencing=True)
    world.engine.place(engine_memory.Item("by-hand", "1", 60))
    owner = world.reconciled_owner()
    assert [item.name for item in owner.current.holdings] == ["by-hand"]
    assert owner.write_intent(LOAD, MENU) == result.Err(ledger.InsufficientMemory(20))


def test_an_outage_pauses_a_move_and_nothing_is_sent():
    """The object API is down when a move starts: no order may be sent. After
    the outage the same move succeeds.
    """
    world = order_execution_world.World(fencing=True)
    owner = world.reconciled_owner()
    world.api.down = True
    assert isinstance(owner.write_intent(LOAD, MENU).err(), objects.Unavailable)
    assert world.engine.loading_by_key == {}
    world.api.down = False
    converge(world, {MENU.key: MENU})


def test_a_ledger_with_an_old_fence_catches_up():
    """The object API lost the newest ledger, so that fencing tokens restart. The
    engine refuses the first order and reports its token; the next succeeds.
    """
    world = order_execution_world.World(fencing=True)
    world.engine.highest_fence = 40
    converge(world, {MENU.key: MENU})
    assert world.engine.highest_fence > 40


def test_a_change_of_role_uses_the_ledger():
    world = order_execution_world.World(fencing=True)
    owner = world.reconciled_owner()
    role = ledger.Holding("prefill", "", 0)
    order_execution_world.execute_move(owner, world, endpoints.OrderKind.ROLE, role)
    assert world.engine.role == "prefill"
    assert owner.current.holdings == ()
    assert owner.current.fence == world.engine.highest_fence


def test_an_order_is_sent_only_shortly_after_a_ledger_read():
    world = order_execution_world.World(fencing=True)
    owner = world.reconciled_owner()
    owner.write_intent(LOAD, MENU).unwrap()
    world.now += order_execution.MAX_LEDGER_AGE_S + 0.1
    assert owner.sendable_intent() is None
    owner.read_ledger()
    assert owner.sendable_intent() is not None


@pytest.mark.parametrize("body", [b'{"endpoint": "engine-1", "added": 1}', b"{"])
def test_a_ledger_of_a_later_version_is_not_overwritten(body):
    """During an upgrade a newer VM owned the endpoint and stored fields that this
    version does not know. It must neither fail on reading nor overwrite them.
    """
    world = order_execution_world.World(fencing=True)
    key = ledger_store.PREFIX + "engine-1"
    world.api.put(key, body, None)
    owner = world.new_owner()
    assert isinstance(owner.read_ledger().err(), ledger_store.Unreadable)
    assert owner.current is None
    assert world.api.bodies_by_key[key] == [body]
