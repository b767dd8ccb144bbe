"""Late orders: endpoints that start again under their name are never overfilled."""

import attrs
import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st

import gateway_builders
import modelled_endpoint
from mothworks_gateway import adapters, registry, sites

SIZES = {"a": 50.0, "b": 50.0, "d": 16.1}
NAME = "i-1"


def entry(endpoint):
    held = {name: frozenset(ad) for name, ad in endpoint.adapters_by_model.items()}
    made = gateway_builders.endpoint(NAME).entry
    return attrs.evolve(made, born=endpoint.born, adapters_by_model=held)


def started():
    """Return an endpoint that tells its start, a registry, and who orders there."""
    endpoint = modelled_endpoint.ModelledEndpoint(
        modelled_endpoint.accelerator(**SIZES)
    )
    endpoint.restart()
    view = registry.Registry()
    view.put(entry(endpoint), b"")
    orders = modelled_endpoint.orders_of(endpoint, view, modelled_endpoint.Peers())
    return endpoint, view, orders


def site_of(endpoint, view):
    """Return a site of the incarnation that the registry knows."""
    return sites.Site(view.named(NAME), endpoint.declared_as)


class Restarts(hypothesis.stateful.RuleBasedStateMachine):
    """Orders of two holders to an endpoint that loses answers and starts again."""

    def __init__(self):
        super().__init__()
        declared = modelled_endpoint.accelerator(**SIZES)
        self.endpoint = modelled_endpoint.ModelledEndpoint(declared)
        self.endpoint.restart()
        self.view = registry.Registry()
        self.view.put(entry(self.endpoint), b"")
        self.vms = modelled_endpoint.Peers()
        holders = [
            modelled_endpoint.orders_of(self.endpoint, self.view, self.vms)
            for _ in range(2)
        ]
        self.holders = holders
        self.site_by_holder = {0: None, 1: None}

    def site(self, holder):
        known = self.view.named(NAME)
        site = self.site_by_holder[holder]
        if site is None or site.endpoint is not known:
            site = sites.Site(known, self.endpoint.declared_as)
            self.site_by_holder[holder] = site
        return site

    @hypothesis.stateful.rule(
        holder=st.sampled_from([0, 1]),
        load=st.sampled_from([True, True, False]),
        model=st.sampled_from(list(SIZES)),
        adapter=st.sampled_from(["", "", "", "", "x", "y"]),
        fault=st.sampled_from([None, "unanswered", "lost"]),
        ends=st.booleans(),
    )
    def order(self, holder, load, model, adapter, fault, ends):
        site = self.site(holder)
        if not site.known:
            self.holders[holder].look(site)
            site = self.site(holder)
        held = site.adapters_by_model.get(model)
        holds = held is not None and (not adapter or adapter in held)
        if site.known and holds != load:
            self.endpoint.faults = [fault]
            order = adapters.Order(load, model, adapter, site.accepted, "vm", 1)
            self.holders[holder].attempt(site, order)
        if ends:
            self.finish()

    @hypothesis.stateful.rule(holder=st.sampled_from([0, 1]))
    def look(self, holder):
        self.holders[holder].look(self.site(holder))

    @hypothesis.stateful.rule()
    def finish(self):
        self.endpoint.finish()
        for site in self.site_by_holder.values():
            if site is not None and site.loading in self.endpoint.adapters_by_model:
                site.finish(adapters.Order(True, site.loading, "", 0, "vm", 1))

    @hypothesis.stateful.precondition(lambda self: self.endpoint.late)
    @hypothesis.stateful.rule(pick=st.integers(0, 5))
    def late_order_arrives(self, pick):
        late = self.endpoint.late
        self.endpoint.take(late.pop(pick % len(late)))

    @hypothesis.stateful.rule(noticed=st.booleans())
    def restart(self, noticed):
        self.endpoint.restart()
        if noticed:
            self.entry_arrives()

    @hypothesis.stateful.rule()
    def entry_arrives(self):
        self.view.put(entry(self.endpoint), b"")

    @hypothesis.stateful.invariant()
    def never_overfull(self):
        assert not self.endpoint.crashes


TestRestarts = Restarts.TestCase
TestRestarts.settings = hypothesis.settings(
    max_examples=500, stateful_step_count=30, deadline=None, derandomize=True
)


def test_a_late_order_of_a_former_incarnation_finds_room():
    # An order to load 50 GB gets no answer. Its endpoint crashes and is back
    # under its name, empty and with its count at zero. The holder fills it
    # again, and two orders later the count is the one that the old order names:
    # it was carried out beside two models, and the endpoint crashed once more.
    endpoint, view, orders = started()
    site = site_of(endpoint, view)

    def order(site, model, load=True):
        made = adapters.Order(load, model, "", site.accepted, "vm-1", 1)
        answer = orders.attempt(site, made)
        endpoint.finish()
        if answer is adapters.OrderOutcome.ACCEPTED:
            site.finish(made)
        return answer

    orders.look(site)
    assert order(site, "d") is adapters.OrderOutcome.ACCEPTED
    assert order(site, "d", load=False) is adapters.OrderOutcome.ACCEPTED
    endpoint.faults = ["unanswered"]
    assert order(site, "a") is adapters.OrderOutcome.UNKNOWN
    endpoint.restart()
    view.put(entry(endpoint), b"")
    site = site_of(endpoint, view)
    orders.look(site)
    assert order(site, "b") is adapters.OrderOutcome.ACCEPTED
    assert order(site, "d") is None
    (late,) = endpoint.late
    endpoint.take(late)
    assert not endpoint.crashes


def test_an_endpoint_that_started_again_unnoticed_is_not_ordered_by_old_books():
    # An order to load 50 GB gets no answer, a smaller one is taken. The endpoint
    # crashes behind a cut and is back; the late order is carried out first, and
    # its count is again the one in the holder's books, which show 16 GB. By these
    # books another 50 GB fitted, and the endpoint crashed again.
    endpoint, view, orders = started()
    site = site_of(endpoint, view)
    orders.look(site)
    endpoint.faults = ["unanswered"]
    orders.attempt(site, adapters.Order(True, "b", "", 0, "vm-1", 1))
    orders.attempt(site, adapters.Order(True, "d", "", 0, "vm-1", 1))
    endpoint.restart()
    endpoint.take(endpoint.late.pop())
    endpoint.finish()
    orders.attempt(site, adapters.Order(True, "a", "", 1, "vm-1", 1))
    assert not endpoint.crashes
    assert view.named(NAME).entry.born == endpoint.born
