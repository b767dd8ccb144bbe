"""Moves under faults: every fault at every step of a load, an unload, a swap."""

import pytest
import result

import movers
import stored
from mothworks import endpoints, ledger, ledger_store, moves, objects
from mothworks_fakes import engine_memory

LOAD = endpoints.OrderKind.LOAD
UNLOAD = endpoints.OrderKind.UNLOAD
MENU = movers.holding("menu", 60)
TICKETS = movers.holding("tickets", 60)

#: What is resident before, and the moves to carry out.
MOVES = {
    "load": ((), ((LOAD, MENU),)),
    "unload": ((MENU,), ((UNLOAD, MENU),)),
    "relocation": ((MENU,), ((UNLOAD, MENU), (LOAD, TICKETS))),
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


class DeadError(Exception):
    """The owner's VM is gone."""


class Trial:
    """Carries out moves and lets one fault come at one step."""

    def __init__(self, world, step, fault):
        self.world = world
        self.step = step
        self.fault = fault
        self.owner = world.ready_owner()

    def carry_out(self, kind, holding):
        if self.owner.current is None:
            self.owner.look().unwrap()
        intended = self.at("intend", lambda: self.owner.intend(kind, holding))
        if intended.is_err():
            return
        intent = self.owner.due()
        outcome = self.at("send", lambda: self.owner.send(intent))
        self.at("settle", lambda: self.owner.settle(intent, outcome))

    def at(self, step, act):
        if step != self.step or self.fault is None:
            return act()
        fault, self.fault = self.fault, None
        adapter, api = self.world.adapter, self.world.api
        match fault:
            case "owner dies before":
                raise DeadError
            case "owner dies after":
                act()
                raise DeadError
            case "owner pauses":
                self.world.now += movers.LATE_S / 2
                settle_all(self.world)
                return act()
            case "engine restarts":
                self.world.engine.restart()
            case "api down":
                api.put_faults.append(stored.Fault.DOWN)
            case "write dropped":
                api.put_faults.append(stored.Fault.DROPPED)
            case "write's reply lost":
                api.put_faults.append(stored.Fault.LOST)
            case "order lost":
                adapter.fate = movers.Fate.LOST
            case "order's reply lost":
                adapter.fate = movers.Fate.REPLY_LOST
            case "order late":
                adapter.fate = movers.Fate.DELAYED
            case "order doubled":
                adapter.fate = movers.Fate.DOUBLED
        outcome = act()
        adapter.fate = movers.Fate.ARRIVES
        return outcome


def settle_all(world):
    """Let a new owner resolve what is midway and bring the ledger in line."""
    owner = world.owner()
    owner.look().unwrap()
    movers.resolve(owner, world)
    owner.reconcile({}).unwrap()
    return owner


def reach(world, wanted):
    """Move until just what is wanted is resident, as the planner would ask."""
    for _ in range(20):
        owner = settle_all(world)
        held = {item.key: item for item in owner.current.holdings}
        late = owner.current.fenced_late()
        surplus = [item for key, item in held.items() if key not in wanted]
        missing = [item for key, item in wanted.items() if key not in held]
        if not surplus and not missing and late is None:
            return
        if surplus:
            movers.run(owner, world, UNLOAD, surplus[0])
        elif missing and owner.intend(LOAD, missing[0]).is_ok():
            movers.resolve(owner, world)
        elif late is not None:
            movers.run(owner, world, UNLOAD, late)
        else:
            world.now += movers.LATE_S
    raise AssertionError("the wanted residents are not reached")


@pytest.mark.parametrize("fencing", [True, False])
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("name", MOVES)
def test_every_fault_at_every_step(name, step, fault, fencing):
    """A fault comes in the middle of a move; callers would see a model that
    never comes back, or an engine out of memory. Another owner goes on from
    the ledger, late copies arrive, and the move ends as it was wanted.
    """
    before, steps = MOVES[name]
    world = movers.World(fencing)
    for item in before:
        movers.run(world.ready_owner(), world, LOAD, item)
    trial = Trial(world, step, fault)
    try:
        for kind, item in steps:
            trial.carry_out(kind, item)
            world.finish_loads()
    except DeadError:
        pass
    wanted = {item.key: item for kind, item in steps if kind is LOAD}
    reach(world, wanted)
    while world.copies:
        order, _ = world.copies.pop()
        world.arrive(order)
        world.finish_loads()
    reach(world, wanted)
    assert set(world.engine.resident_by_key) == set(wanted)
    assert world.engine.peak_mb <= movers.CAPACITY_MB


def test_a_paused_owner_wakes_and_stops():
    """An owner picks a load and its VM freezes. Another owner carries the load
    out, unloads the model again and fills the memory. The first wakes: it must
    not send its old order, and what it writes must not be taken.
    """
    world = movers.World(fencing=False)
    paused, other = world.ready_owner(), world.owner()
    paused.intend(LOAD, MENU).unwrap()
    intent = paused.current.intent
    other.look()
    movers.resolve(other, world)
    world.now += movers.LATE_S + 1
    movers.run(other, world, UNLOAD, MENU)
    other.reconcile({})
    movers.run(other, world, LOAD, TICKETS)
    assert paused.due() is None
    done = paused.settle(intent, result.Ok(None))
    assert done == result.Err(ledger_store.Lost())
    assert world.engine.peak_mb <= movers.CAPACITY_MB


@pytest.mark.parametrize("fencing", [True, False])
def test_a_refused_load_keeps_its_memory(fencing):
    """A load fails, but a copy of the order is still on its way and will
    succeed. If the memory were free at once, the next load and the copy would
    both take it.
    """
    world = movers.World(fencing)
    owner = world.ready_owner()
    world.engine.bad_versions = {"1"}
    world.adapter.fate = movers.Fate.DOUBLED
    movers.run(owner, world, LOAD, MENU)
    world.engine.bad_versions = set()
    world.adapter.fate = movers.Fate.ARRIVES
    assert owner.intend(LOAD, TICKETS) == result.Err(ledger.NoRoom(20))
    world.arrive(world.copies.pop()[0])
    reach(world, {TICKETS.key: TICKETS})
    assert world.engine.peak_mb <= movers.CAPACITY_MB


@pytest.mark.parametrize("fencing", [True, False])
def test_memory_lost_by_a_restart_waits_for_late_copies(fencing):
    """An engine restarts right after a load, and a copy of that load is late.
    The ledger sees the model gone; a load of another model at once and the
    copy would overcommit the memory.
    """
    world = movers.World(fencing)
    owner = world.ready_owner()
    world.adapter.fate = movers.Fate.DOUBLED
    movers.run(owner, world, LOAD, MENU)
    world.adapter.fate = movers.Fate.ARRIVES
    world.engine.restart()
    owner.reconcile({})
    assert owner.current.holdings == ()
    assert owner.intend(LOAD, TICKETS) == result.Err(ledger.NoRoom(20))
    world.arrive(world.copies.pop()[0])
    reach(world, {TICKETS.key: TICKETS})
    assert world.engine.peak_mb <= movers.CAPACITY_MB


def test_a_restarted_engine_gets_its_models_back_at_once():
    """After a restart the same models are loaded again: late copies of their
    own loads take no further memory and need not be waited for.
    """
    world = movers.World(fencing=False)
    owner = world.ready_owner()
    movers.run(owner, world, LOAD, MENU)
    world.engine.restart()
    owner.reconcile({})
    movers.run(owner, world, LOAD, MENU)
    assert set(world.engine.resident_by_key) == {MENU.key}


def test_the_larger_of_two_declared_sizes_counts():
    """An operator lowers a model's declared memory while a copy of its load is
    late. The copy loads what was ordered, so the old size has to be kept.
    """
    late = ledger.Late(movers.holding(memory_mb=60), until=ledger.NEVER)
    resident = movers.holding(memory_mb=40)
    assert ledger.Ledger("e", holdings=(resident,), late=(late,)).reserved_mb() == 60


def test_a_late_load_under_way_counts():
    """The late copy of a load begins just before its time is over. The engine
    does not list the model as resident yet; its memory must count all the same.
    """
    world = movers.World(fencing=False)
    owner = world.ready_owner()
    world.adapter.fate = movers.Fate.DOUBLED
    movers.run(owner, world, LOAD, MENU)
    world.adapter.fate = movers.Fate.ARRIVES
    movers.run(owner, world, UNLOAD, MENU)
    world.now += movers.LATE_S - 1
    world.arrive(world.copies.pop()[0])
    world.now += 2
    owner.reconcile({})
    assert owner.intend(LOAD, TICKETS) == result.Err(ledger.NoRoom(20))
    assert world.engine.peak_mb <= movers.CAPACITY_MB


def test_residents_that_nobody_ordered_are_counted():
    """Somebody loaded a model by hand. The ledger takes it in, so that a load
    that does not fit beside it is not sent.
    """
    world = movers.World(fencing=True)
    world.engine.place(engine_memory.Item("by-hand", "1", 60))
    owner = world.ready_owner()
    assert [item.name for item in owner.current.holdings] == ["by-hand"]
    assert owner.intend(LOAD, MENU) == result.Err(ledger.NoRoom(20))


def test_an_outage_pauses_a_move_and_nothing_is_sent():
    """The object API is down when a move begins: no order may leave. When it
    is back the same move goes through.
    """
    world = movers.World(fencing=True)
    owner = world.ready_owner()
    world.api.down = True
    assert isinstance(owner.intend(LOAD, MENU).err(), objects.Unavailable)
    assert world.engine.loading_by_key == {}
    world.api.down = False
    reach(world, {MENU.key: MENU})


def test_an_old_fence_is_caught_up():
    """The object API lost the newest ledger and the numbers start again. The
    engine refuses the first order and names its number; the next one passes.
    """
    world = movers.World(fencing=True)
    world.engine.highest_fence = 40
    reach(world, {MENU.key: MENU})
    assert world.engine.highest_fence > 40


def test_a_change_of_role_goes_through_the_ledger():
    world = movers.World(fencing=True)
    owner = world.ready_owner()
    role = ledger.Holding("prefill", "", 0)
    movers.run(owner, world, endpoints.OrderKind.ROLE, role)
    assert world.engine.role == "prefill"
    assert owner.current.holdings == ()
    assert owner.current.fence == world.engine.highest_fence


def test_an_order_is_sent_only_shortly_after_a_look():
    world = movers.World(fencing=True)
    owner = world.ready_owner()
    owner.intend(LOAD, MENU).unwrap()
    world.now += moves.SEND_WINDOW_S + 0.1
    assert owner.due() is None
    owner.look()
    assert owner.due() is not None


@pytest.mark.parametrize("body", [b'{"endpoint": "engine-1", "added": 1}', b"{"])
def test_a_ledger_of_a_later_version_is_left_alone(body):
    """During an upgrade a newer VM owned the endpoint and stored more than this
    version knows. Reading it must not stop the VM, nor may it be written over.
    """
    world = movers.World(fencing=True)
    key = ledger_store.PREFIX + "engine-1"
    world.api.put(key, body, None)
    owner = world.owner()
    assert isinstance(owner.look().err(), ledger_store.Unreadable)
    assert owner.current is None
    assert world.api.bodies_by_key[key] == [body]
