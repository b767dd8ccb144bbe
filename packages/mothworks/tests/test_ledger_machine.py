"""Two owners of one endpoint, any faults in any order: no memory overcommit."""

import hypothesis
import hypothesis.stateful
from hypothesis import strategies

import memory_objects
import order_execution_world
from mothworks import endpoints, order_execution

ITEMS = (
    order_execution_world.holding("menu", 60),
    order_execution_world.holding("menu", 60, "2"),
    order_execution_world.holding("tickets", 60),
    order_execution_world.holding("status", 40),
)
#: Maximum transit time of a copy of an order. Together with the longest pause
#: between a ledger read and a send, it stays below LATE_ORDER_S.
MAX_TRANSIT_S = (
    order_execution_world.LATE_ORDER_S - order_execution.MAX_LEDGER_AGE_S - 1.0
)
#: Times by which one action advances the clock, seconds.
TIME_ADVANCES_S = (1.0, 4.0, 12.0, 31.0)
#: Possible actions; an action listed twice is twice as likely.
ACTIONS = (
    *("move", "move", "swap", "swap", "swap"),
    *("read_ledger", "reconcile", "reconcile", "fence_late_load"),
    *(
        "intend",
        "pick_intent",
        "pick_intent",
        "send",
        "send",
        "settle",
        "replace_owner",
    ),
    *(
        "deliver_copy",
        "deliver_copy",
        "deliver_copy",
        "finish_load",
        "finish_load",
    ),
    *("advance_time", "advance_time", "restart_engine", "toggle_load_failure"),
)

owners = strategies.integers(0, 1)
items = strategies.sampled_from(ITEMS)
deliveries = strategies.sampled_from(
    (
        *order_execution_world.Delivery,
        order_execution_world.Delivery.DELAYED,
        order_execution_world.Delivery.DUPLICATED,
    )
)
write_faults = strategies.sampled_from(
    (
        None,
        None,
        None,
        memory_objects.Fault.REPLY_LOST,
        memory_objects.Fault.REQUEST_LOST,
        memory_objects.Fault.UNAVAILABLE,
    )
)


class LedgerMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Every step of a move is a separate action, so that any other may intervene."""

    @hypothesis.stateful.initialize(fencing=strategies.booleans())
    def set_up(self, fencing):
        self.fencing = fencing
        self.world = order_execution_world.World(fencing)
        self.executors = [self.world.new_owner(), self.world.new_owner()]
        self.picked_intents = [None, None]
        self.outcomes = [None, None]

    @hypothesis.stateful.rule(
        action=strategies.sampled_from(ACTIONS),
        owner=owners,
        item=items,
        load=strategies.booleans(),
        deliveries=strategies.tuples(deliveries, deliveries),
        fault=write_faults,
        number=strategies.integers(0, 9),
    )
    def act(self, action, owner, item, load, deliveries, fault, number):
        # One rule for all actions: hypothesis omits whole rules from some runs,
        # and a run without any send would test nothing.
        match action:
            case "move":
                self.execute_move(owner, item, load, *deliveries)
            case "swap":
                self.swap(owner, item, *deliveries)
            case "intend":
                self.intend(owner, item, load, fault)
            case "send":
                self.send(owner, deliveries[0])
            case "settle":
                self.settle(owner, fault)
            case "deliver_copy" | "finish_load":
                getattr(self, action)(number)
            case "advance_time":
                self.advance_time(TIME_ADVANCES_S[number % len(TIME_ADVANCES_S)])
            case "restart_engine" | "toggle_load_failure":
                getattr(self, action)()
            case _:
                getattr(self, action)(owner)

    def read_ledger(self, owner):
        self.executors[owner].read_ledger()

    def reconcile(self, owner):
        executor = self.executors[owner]
        if executor.current is not None:
            executor.reconcile({})

    def intend(self, owner, item, load, fault):
        executor = self.executors[owner]
        if executor.current is None or executor.stored.version is None:
            return
        self._set_fault(fault)
        kind = endpoints.OrderKind.LOAD if load else endpoints.OrderKind.UNLOAD
        executor.write_intent(kind, item)
        self.world.api.put_faults.clear()

    def execute_move(self, owner, item, load, first, second):
        executor = self.executors[owner]
        executor.read_ledger()
        executor.reconcile({})
        if executor.current is not None and executor.current.intent is None:
            self.intend(owner, item, load, None)
        for delivery in (first, second, order_execution_world.Delivery.DELIVERED):
            if executor.current is not None and executor.current.intent is not None:
                self.pick_intent(owner)
                self.send(owner, delivery)
                self.world.finish_loads()
                self.settle(owner, None)

    def swap(self, owner, item, first, second):
        """Unload all other residents, then load an item."""
        executor = self.executors[owner]
        executor.read_ledger()
        for resident in executor.current.holdings:
            if resident.key != item.key:
                self.execute_move(
                    owner,
                    resident,
                    False,
                    order_execution_world.Delivery.DELIVERED,
                    second,
                )
        self.fence_late_load(owner)
        self.pick_intent(owner)
        self.send(owner, order_execution_world.Delivery.DELIVERED)
        self.settle(owner, None)
        self.execute_move(owner, item, True, first, second)

    def fence_late_load(self, owner):
        executor = self.executors[owner]
        late = executor.current.fenceable_late_load() if executor.current else None
        if late is not None:
            executor.write_intent(endpoints.OrderKind.UNLOAD, late)

    def pick_intent(self, owner):
        executor = self.executors[owner]
        if executor.current is not None:
            self.picked_intents[owner] = executor.sendable_intent()
            self.outcomes[owner] = None

    def send(self, owner, delivery):
        intent = self.picked_intents[owner]
        if intent is not None:
            self.world.adapter.delivery = delivery
            self.outcomes[owner] = self.executors[owner].send(intent)

    def settle(self, owner, fault):
        executor = self.executors[owner]
        if self.outcomes[owner] is not None:
            self._set_fault(fault)
            if executor.current is not None:
                executor.write_outcome(self.picked_intents[owner], self.outcomes[owner])
            self.world.api.put_faults.clear()
            self.picked_intents[owner] = None
            self.outcomes[owner] = None

    def replace_owner(self, owner):
        self.executors[owner] = self.world.new_owner()
        self.picked_intents[owner] = None
        self.outcomes[owner] = None

    def deliver_copy(self, index):
        if self.world.copies:
            order, _ = self.world.copies.pop(index % len(self.world.copies))
            self.world.deliver(order)

    def finish_load(self, index):
        loading = list(self.world.engine.loading_by_key)
        if loading:
            self.world.engine.finish(loading[index % len(loading)])

    def advance_time(self, seconds):
        self.world.now += seconds
        if self.fencing:
            return
        # On an endpoint that ignores fencing, the setting covers only limited
        # delays of copies and limited pauses between a ledger read and a send.
        self.world.copies = [
            (order, sent_at)
            for order, sent_at in self.world.copies
            if self.world.now - sent_at <= MAX_TRANSIT_S
        ]
        for owner, executor in enumerate(self.executors):
            paused = (
                self.world.now - executor.read_at > order_execution.MAX_LEDGER_AGE_S
            )
            if paused and self.outcomes[owner] is None:
                self.picked_intents[owner] = None

    def restart_engine(self):
        self.world.engine.restart()

    def toggle_load_failure(self):
        self.world.engine.bad_versions ^= {"1"}

    @hypothesis.stateful.invariant()
    def memory_is_not_overcommitted(self):
        if hasattr(self, "world"):
            assert self.world.engine.peak_mb <= order_execution_world.CAPACITY_MB

    def teardown(self):
        """After the faults end, one owner completes all unfinished steps."""
        if not hasattr(self, "world"):
            return
        world = self.world
        world.engine.bad_versions = set()
        world.adapter.delivery = order_execution_world.Delivery.DELIVERED
        world.copies.clear()
        world.now += order_execution_world.LATE_ORDER_S + 1
        final_owner = world.new_owner()
        final_owner.read_ledger()
        order_execution_world.resolve(final_owner, world)
        world.finish_loads()
        final_owner.reconcile({}).unwrap()
        resident = set(world.engine.resident_by_key)
        assert {item.key for item in final_owner.current.holdings} == resident
        assert world.engine.peak_mb <= order_execution_world.CAPACITY_MB

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
