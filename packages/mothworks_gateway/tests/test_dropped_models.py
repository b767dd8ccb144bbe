"""Models that leave the declaration while the lease holder works with them."""

import attrs
import gevent
import hypothesis
import hypothesis.strategies as st
import pytest

import gateway_builders
import modelled_endpoint
from mothworks_gateway import adapters, endpoint_state, registry

SIZES = {"small": 16.1, "slight": 16.1, "large": 60.0, "wanted": 34.3}
ACCEPTED = adapters.OrderOutcome.ACCEPTED
UNKNOWN = adapters.OrderOutcome.UNKNOWN


def without(accelerator, *names):
    """Return the declaration of an endpoint without some models."""
    models = {
        name: model
        for name, model in accelerator.model_by_name.items()
        if name not in names
    }
    return attrs.evolve(accelerator, model_by_name=models)


class RedeclaredEndpoint(modelled_endpoint.ModelledEndpoint):
    """An endpoint at which another declaration comes into force during each call.

    :param declared_as: what it can hold.
    """

    def __init__(self, declared_as):
        super().__init__(declared_as)
        self.state = None
        #: The declarations that come into force, one a call; the last one stays.
        self.next_declarations = []

    def state_of(self, *holding):
        self.start(holding)
        registered = gateway_builders.endpoint("i-1", models=holding)
        self.state = endpoint_state.EndpointState(registered, self.declared_as)
        return self.state

    def redeclare(self):
        if self.next_declarations:
            self.state.accelerator = self.next_declarations.pop(0)

    def inventory(self, endpoint):
        answer = super().inventory(endpoint)
        self.redeclare()
        return answer

    def order(self, endpoint, order, may_send):
        outcome = super().order(endpoint, order, may_send)
        self.redeclare()
        if outcome is ACCEPTED and not order.adapter:
            gevent.spawn_later(0.001, self.finish)
        return outcome

    def finish(self):
        super().finish()
        self.state.woken.set()


@pytest.fixture
def endpoint():
    return RedeclaredEndpoint(modelled_endpoint.accelerator(**SIZES))


@pytest.fixture
def orders(endpoint):
    return modelled_endpoint.make_order_sender(
        endpoint, registry.Registry(), modelled_endpoint.Peers()
    )


# Guards against a lease holder that ends by itself when a declaration drops a model
# whose load is being ordered.
@pytest.mark.parametrize("dropped", [("wanted",), tuple(SIZES)])
def test_a_load_goes_on_after_its_model_was_dropped(orders, endpoint, dropped):
    state = endpoint.state_of("small")
    orders.refresh(state)
    endpoint.next_declarations = [without(endpoint.declared_as, *dropped)]
    assert orders.order(state, True, "wanted", "")
    assert state.adapters_by_model.keys() == {"small", "wanted"}


# Guards against more loads than the weight store allows: one whose model was dropped
# while it was ordered was not counted.
@pytest.mark.parametrize("outcome", [ACCEPTED, UNKNOWN])
def test_a_load_of_a_dropped_model_counts_at_the_weight_store(endpoint, outcome):
    orders = modelled_endpoint.make_order_sender(
        endpoint,
        registry.Registry(),
        modelled_endpoint.Peers(),
        load_window_s=6.0,
        load_factor=0.1,
    )
    state = endpoint.state_of("small")
    orders.refresh(state)
    while orders.may_load(state, "large"):
        endpoint.faults = ["lost"] if outcome is UNKNOWN else []
        endpoint.next_declarations = [without(endpoint.declared_as, "wanted")]
        order = adapters.Order(True, "wanted", "", state.accepted_orders, "vm-1", 1)
        before = orders.store_loads.count()
        assert orders.attempt(state, order) is outcome
        assert orders.store_loads.count() == before + 1
        state = endpoint.state_of("small")
        orders.refresh(state)


# Guards against an order for a model of unknown size, which was dropped while the
# endpoint's inventory was requested before its order.
def test_a_model_that_is_dropped_before_its_order_is_not_ordered(orders, endpoint):
    state = endpoint.state_of("small")
    state.endpoint.entry = attrs.evolve(state.endpoint.entry, started_ms=1)
    endpoint.started_ms = 1
    endpoint.accepted_orders = 3
    orders.refresh(state)
    unanswered = adapters.Order(True, "slight", "", 5, "vm-1", 1)
    orders.late_orders.record(state.endpoint, unanswered)
    endpoint.next_declarations = [without(endpoint.declared_as, "wanted")]
    order = adapters.Order(True, "wanted", "", state.accepted_orders, "vm-1", 1)
    assert orders.attempt(state, order) is None
    assert endpoint.accepted_orders == 3


DECLARATIONS = st.lists(st.sets(st.sampled_from(list(SIZES))), max_size=6)
ORDERS = st.lists(
    st.tuples(
        st.booleans(), st.sampled_from(list(SIZES)), st.sampled_from(["", "", "a1"])
    ),
    min_size=1,
    max_size=4,
)


# Guards against exceptions and overfull endpoints with any declarations that come into
# force while orders are on their way.
@hypothesis.given(orders_sent=ORDERS, dropped=DECLARATIONS)
@hypothesis.settings(max_examples=80, deadline=None, derandomize=True)
def test_any_models_may_be_dropped_during_any_orders(orders_sent, dropped):
    endpoint = RedeclaredEndpoint(modelled_endpoint.accelerator(**SIZES))
    sender = modelled_endpoint.make_order_sender(
        endpoint, registry.Registry(), modelled_endpoint.Peers()
    )
    state = endpoint.state_of("small")
    endpoint.next_declarations = [
        without(endpoint.declared_as, *names) for names in dropped
    ]
    sender.refresh(state)
    for load, model, adapter in orders_sent:
        if not state.known:
            sender.refresh(state)
        if sender._holds(state, model, adapter) != load and state.known:
            order = adapters.Order(
                load, model, adapter, state.accepted_orders, "vm-1", 1
            )
            if sender.attempt(state, order) is ACCEPTED:
                sender._wait_until_executed(state, order)
    assert not endpoint.crashes
