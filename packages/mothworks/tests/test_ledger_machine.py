"""Two owners of one endpoint, any faults in any order: memory always suffices."""

import hypothesis
import hypothesis.stateful
from hypothesis import strategies

import movers
import stored
from mothworks import endpoints, moves

ITEMS = (
    movers.holding("menu", 60),
    movers.holding("menu", 60, "2"),
    movers.holding("tickets", 60),
    movers.holding("status", 40),
)
#: Longest way of a copy of an order, so that pause and way fit into LATE_S.
WAY_S = movers.LATE_S - moves.SEND_WINDOW_S - 1.0

SECONDS = (1.0, 4.0, 12.0, 31.0)
#: What may happen next; what is listed twice is twice as likely.
ACTIONS = (
    *("move", "move", "swap", "swap", "swap"),
    *("look", "reconcile", "reconcile", "free_late"),
    *("intend", "pick", "pick", "send", "send", "settle", "replace_owner"),
    *("copy_arrives", "copy_arrives", "copy_arrives", "load_ends", "load_ends"),
    *("time_passes", "time_passes", "engine_restarts", "load_fails"),
)

owners = strategies.integers(0, 1)
items = strategies.sampled_from(ITEMS)
fates = strategies.sampled_from(
    (*movers.Fate, movers.Fate.DELAYED, movers.Fate.DOUBLED)
)
write_faults = strategies.sampled_from(
    (None, None, None, stored.Fault.LOST, stored.Fault.DROPPED, stored.Fault.DOWN)
)


class LedgerMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Every step of a move is a rule, so that anything may come between."""

    @hypothesis.stateful.initialize(fencing=strategies.booleans())
    def begin(self, fencing):
        self.fencing = fencing
        self.world = movers.World(fencing)
        self.movers = [self.world.owner(), self.world.owner()]
        self.picked = [None, None]
        self.outcomes = [None, None]

    @hypothesis.stateful.rule(
        action=strategies.sampled_from(ACTIONS),
        owner=owners,
        item=items,
        load=strategies.booleans(),
        fates=strategies.tuples(fates, fates),
        fault=write_faults,
        number=strategies.integers(0, 9),
    )
    def act(self, action, owner, item, load, fates, fault, number):
        # One rule for all actions: hypothesis leaves whole rules out of a run,
        # and a run without, say, any send would test nothing.
        match action:
            case "move":
                self.whole_move(owner, item, load, *fates)
            case "swap":
                self.swap(owner, item, *fates)
            case "intend":
                self.intend(owner, item, load, fault)
            case "send":
                self.send(owner, fates[0])
            case "settle":
                self.settle(owner, fault)
            case "copy_arrives" | "load_ends":
                getattr(self, action)(number)
            case "time_passes":
                self.time_passes(SECONDS[number % len(SECONDS)])
            case "engine_restarts" | "load_fails":
                getattr(self, action)()
            case _:
                getattr(self, action)(owner)

    def look(self, owner):
        self.movers[owner].look()

    def reconcile(self, owner):
        mover = self.movers[owner]
        if mover.current is not None:
            mover.reconcile({})

    def intend(self, owner, item, load, fault):
        mover = self.movers[owner]
        if mover.current is None or mover.kept.version is None:
            return
        self._set_fault(fault)
        kind = endpoints.OrderKind.LOAD if load else endpoints.OrderKind.UNLOAD
        mover.intend(kind, item)
        self.world.api.put_faults.clear()

    def whole_move(self, owner, item, load, first, then):
        mover = self.movers[owner]
        mover.look()
        mover.reconcile({})
        if mover.current is not None and mover.current.intent is None:
            self.intend(owner, item, load, None)
        for fate in (first, then, movers.Fate.ARRIVES):
            if mover.current is not None and mover.current.intent is not None:
                self.pick(owner)
                self.send(owner, fate)
                self.world.finish_loads()
                self.settle(owner, None)

    def swap(self, owner, item, first, then):
        """Make room for a load by unloading whatever is resident."""
        mover = self.movers[owner]
        mover.look()
        for resident in mover.current.holdings:
            if resident.key != item.key:
                self.whole_move(owner, resident, False, movers.Fate.ARRIVES, then)
        self.free_late(owner)
        self.pick(owner)
        self.send(owner, movers.Fate.ARRIVES)
        self.settle(owner, None)
        self.whole_move(owner, item, True, first, then)

    def free_late(self, owner):
        mover = self.movers[owner]
        late = mover.current.fenced_late() if mover.current else None
        if late is not None:
            mover.intend(endpoints.OrderKind.UNLOAD, late)

    def pick(self, owner):
        mover = self.movers[owner]
        if mover.current is not None:
            self.picked[owner] = mover.due()
            self.outcomes[owner] = None

    def send(self, owner, fate):
        intent = self.picked[owner]
        if intent is not None:
            self.world.adapter.fate = fate
            self.outcomes[owner] = self.movers[owner].send(intent)

    def settle(self, owner, fault):
        mover = self.movers[owner]
        if self.outcomes[owner] is not None:
            self._set_fault(fault)
            if mover.current is not None:
                mover.settle(self.picked[owner], self.outcomes[owner])
            self.world.api.put_faults.clear()
            self.picked[owner] = None
            self.outcomes[owner] = None

    def replace_owner(self, owner):
        self.movers[owner] = self.world.owner()
        self.picked[owner] = None
        self.outcomes[owner] = None

    def copy_arrives(self, index):
        if self.world.copies:
            order, _ = self.world.copies.pop(index % len(self.world.copies))
            self.world.arrive(order)

    def load_ends(self, index):
        loading = list(self.world.engine.loading_by_key)
        if loading:
            self.world.engine.finish(loading[index % len(loading)])

    def time_passes(self, seconds):
        self.world.now += seconds
        if self.fencing:
            return
        # An endpoint that ignores fencing is safe only from copies, and from
        # pauses between a look and a send, that the setting covers.
        self.world.copies = [
            (order, sent)
            for order, sent in self.world.copies
            if self.world.now - sent <= WAY_S
        ]
        for owner, mover in enumerate(self.movers):
            paused = self.world.now - mover.looked_at > moves.SEND_WINDOW_S
            if paused and self.outcomes[owner] is None:
                self.picked[owner] = None

    def engine_restarts(self):
        self.world.engine.restart()

    def load_fails(self):
        self.world.engine.bad_versions ^= {"1"}

    @hypothesis.stateful.invariant()
    def memory_is_not_overcommitted(self):
        if hasattr(self, "world"):
            assert self.world.engine.peak_mb <= movers.CAPACITY_MB

    def teardown(self):
        """Once faults end, one owner resolves whatever was midway."""
        if not hasattr(self, "world"):
            return
        world = self.world
        world.engine.bad_versions = set()
        world.adapter.fate = movers.Fate.ARRIVES
        world.copies.clear()
        world.now += movers.LATE_S + 1
        last = world.owner()
        last.look()
        movers.resolve(last, world)
        world.finish_loads()
        last.reconcile({}).unwrap()
        resident = set(world.engine.resident_by_key)
        assert {item.key for item in last.current.holdings} == resident
        assert world.engine.peak_mb <= movers.CAPACITY_MB

    def _set_fault(self, fault):
        if fault is not None:
            self.world.api.put_faults.append(fault)


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = hypothesis.settings(
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
