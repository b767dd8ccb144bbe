"""The scheduler: decides, on the holder of the lease, what is loaded where.

Endpoints hold fewer models than are declared. What callers wait for and
nobody holds is loaded first, where that harms the fewest requests; a load
that would harm more than it helps is put off until its callers have waited
longer. Then models whose endpoints are slow or full get another one, and models
that nobody holds take the place of spare replicas. While hardly anybody asks,
models of which there are few copies are loaded once more, so
that they come from a disk when they are asked for.
"""

import collections
import time

import gevent
import gevent.event
import logbook

from mothworks import kernel, logs
from mothworks_gateway import (
    asked,
    declarations,
    declared,
    demand,
    discovery,
    lease,
    load,
    offers,
    ordering,
    residency,
    site_orders,
    sites,
)

log = logbook.Logger("scheduler")

#: Seconds between looks at the demand, if nothing is waited for meanwhile.
LOOK_S = 0.2
#: Seconds between looks of a VM that does not hold the lease; gaining it ends one.
IDLE_S = 1.0
#: Rest after a look, as a multiple of the time that it took. Each VM tells several
#: times a second what its callers wait for, and each time wakes the holder; on 75
#: VMs its looks took most of its processor, and its own callers waited.
REST = 2.0
#: Share of a model's places in batches at which it gets another endpoint. A
#: load costs as much as half a late answer, and prompts that are read delay
#: all other requests of their endpoint long before its batch is full.
FULL = 0.3
#: Share at which it gets yet another one while the last is still loaded: a burst
#: fills a batch within a second, and answers then begin late.
CROWDED = 0.6
#: Late answers a second, of one model, at which it gets another endpoint.
LATE_PER_S = 1.0
#: Requests a second below which a model gets no further endpoint.
LEAST_RATE = 0.5
#: Times the harm that a further endpoint's worth must be: what is dropped for it
#: must not be wanted back at once.
GAIN = 1.25
#: Time between two further endpoints for one model, seconds: the last one must
#: have taken its share first.
SPREAD_S = 1.0
#: Callers that wait for a model for which it is loaded at one more endpoint, as
#: a share of a batch: so many can begin at once.
CALLERS_PER_REPLICA = 0.4
#: Time over which callers gather that are to come back, seconds: a load from
#: the weight store takes about as long.
RETURN_S = 2.0
#: Requests that a load may harm for each caller that waits: at once, and more
#: for each second past the moment at which the caller began to be late.
HARM_AT_ONCE = 1.2
HARM_PER_S = 0.7
#: Requests that a further endpoint for a slow model may harm: at once, and for
#: each late answer a second.
HARM_OF_SPREADING = 0.5
HARM_PER_LATE = 1.5
#: Endpoints that keep a copy of each model, in memory or on disk: a second
#: endpoint for it is then ready within a second.
COPIES = 2
#: Requests a second below which copies are made.
IDLE_RATE = 1.0
#: Part of the weight store's rate that such copies may take.
COPY_SHARE = 0.7
#: Requests that a copy for later may harm.
HARM_OF_COPY = 0.05

#: Seconds between looks for models that nobody holds: each weighs every site.
COVER_S = 0.5

#: Pressure on an endpoint that carries out an order for a model, and for each
#: adapter that waits there; a full batch counts 1.
OCCUPIED = 5.0
QUEUED = 0.2
#: Time in which the holder collects changes of the registry, seconds: a model
#: that was loaded is used at once.
HOLDER_GATHER_S = 0.05

#: Reasons to load.
WANTED = "wanted"
DEMAND = "its prompts need more endpoints"
SLOW = "its endpoints are slow or nearly full"
UNHELD = "nobody holds it"
COPY = "too few endpoints have a copy"


class Scheduler(kernel.Part):
    """Assigns loads to sites while this VM holds the lease.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.lease = node_kernel.get(lease.Lease)
        self.declarations = node_kernel.get(declarations.Declarations)
        self.discovery = node_kernel.get(discovery.Discovery)
        self.load = node_kernel.get(load.Load)
        self.ordering = node_kernel.get(ordering.Ordering)
        self.site_orders = node_kernel.get(site_orders.SiteOrders)
        self.demand = node_kernel.get(demand.Demand)
        self.offers = node_kernel.get(offers.Offers)
        self.spread_at_by_target: dict[asked.Target, float] = {}
        self.covered_at = 0.0
        self.woken = gevent.event.Event()
        node_kernel.get(residency.Residency).on_wanted.append(
            lambda *_: self.woken.set()
        )
        self.lease.on_gained.append(self._gain)

    def start(self) -> None:
        """Start to schedule whenever this VM holds the lease."""
        self.tasks.spawn(self._run)

    def _run(self) -> None:
        while True:
            self.woken.wait(LOOK_S if self.lease.held() else IDLE_S)
            self.woken.clear()
            holding = self.lease.held()
            # The holder follows the registry closely; it informs all others.
            batch_s = HOLDER_GATHER_S if holding else self.discovery.batch_s
            self.discovery.follower.batch_for(batch_s)
            if holding and self.declarations.current is not None:
                began = time.monotonic()
                self._schedule(self.declarations.current)
                gevent.sleep(REST * (time.monotonic() - began))

    def _gain(self) -> None:
        self.ordering.reset()
        self.woken.set()

    def _schedule(self, declaration: declared.Declaration) -> None:
        self.ordering.follow(declaration)
        self.offers.look_anew()
        unmet_demands = self.demand.unmet()
        covers = time.monotonic() - self.covered_at > COVER_S
        if covers:
            self.covered_at = time.monotonic()
        for unmet in unmet_demands:
            service = declaration.service_by_name.get(unmet.target.service)
            accelerator = service.accelerator if service else None
            if accelerator and unmet.target.model in accelerator.model_by_name:
                self._grant(unmet, accelerator)
        for service in declaration.service_by_name.values():
            if service.accelerator is not None:
                self._spread(service.name, service.accelerator)
                if covers:
                    self._cover(service.name, service.accelerator)
                if not unmet_demands and self.demand.total() < IDLE_RATE:
                    self._copy(service.name, service.accelerator)
        self.ordering.start_work()

    def _grant(
        self, unmet: demand.UnmetDemand, accelerator: declared.Accelerator
    ) -> None:
        """Have loaded what callers wait for."""
        ready = self.offers.holders(unmet.target.base)
        if unmet.target.adapter and ready:
            self._place_adapter(unmet, ready)
            return
        # Callers that were told when to come back do not wait here.
        callers = max(unmet.count, self.demand.rate(unmet.target.base) * RETURN_S)
        if len(ready) > callers // (CALLERS_PER_REPLICA * accelerator.batch):
            return
        model = accelerator.model_by_name[unmet.target.model]
        late_s = max(0.0, -unmet.left_s)
        harm = unmet.count * (HARM_AT_ONCE + HARM_PER_S * late_s)
        target, count = unmet.target.base, unmet.count
        anything = offers.Droppable.ANY
        self._place_model(target, model, WANTED, harm, count, anything)

    def _place_adapter(
        self, unmet: demand.UnmetDemand, ready: list[sites.EndpointState]
    ) -> None:
        if self.offers.holders(unmet.target):
            return
        held = [
            state
            for state in ready
            if unmet.target.model in state.adapters_by_model
            and self.ordering.has_adapter_place(state)
        ]
        if held:
            state = min(held, key=self._pressure)
            self._add(state, sites.Job(unmet.target.model, unmet.target.adapter))
            self._say(unmet.target, state, WANTED)

    def _pressure(self, state: sites.EndpointState) -> float:
        running = self.load.of_endpoint(state.endpoint.id) / state.accelerator.batch
        taken = state.adapters_held() / max(1, state.accelerator.adapter_places)
        # Behind a model that is loaded or dropped an adapter waits for seconds.
        busy = OCCUPIED if state.occupied else 0.0
        return running + taken + busy + QUEUED * len(state.jobs)

    def _place_model(
        self,
        target: asked.Target,
        model: declared.Model,
        reason: str,
        most_harm: float,
        callers: int,
        droppable: offers.Droppable = offers.Droppable.UNUSED,
    ) -> offers.Offer | None:
        """Have a model loaded where that costs least, if it is worth it."""
        share = COPY_SHARE if reason in (UNHELD, COPY) else 1.0
        made = [
            offer
            for offer in self.offers.make(target.service, model, droppable)
            if offer.harm <= most_harm
            and self.site_orders.may_load(offer.state, model, share)
            # A site loads its own copy sooner than it fetches another's, but
            # that would add none.
            and not (reason == COPY and model.name in offer.state.at_hand())
        ]
        best = min(made, key=lambda offer: offer.cost(callers), default=None)
        if best is not None:
            job = sites.Job(model.name, "", best.drops, best.forced)
            self._add(best.state, job)
            self._say(target, best.state, reason, best)
        return best

    def _add(self, state: sites.EndpointState, job: sites.Job) -> None:
        state.add(job)
        self.offers.look_anew()

    def _spread(self, service: str, accelerator: declared.Accelerator) -> None:
        """Give models whose endpoints are slow or nearly full another one."""
        for model in accelerator.model_by_name.values():
            target = asked.Target(service, model.name)
            if self.demand.rate(target) < LEAST_RATE:
                continue
            self._spread_by_demand(target, model)
            if self._needs_more(target, accelerator):
                self.spread_at_by_target[target] = time.monotonic()
                late = self.demand.late.rate(target)
                harm = HARM_OF_SPREADING + HARM_PER_LATE * late
                self._place_model(target, model, SLOW, harm, 1)

    def _spread_by_demand(self, target: asked.Target, model: declared.Model) -> None:
        """Have a model loaded wherever its prompts need one more endpoint, at once.

        Demand that moves to a model brings several times what one endpoint reads
        within two seconds. One more endpoint each second, each only once the one
        before was full, left it overfull for ten.
        """
        replicas = self.offers.room(self.offers.holders(target))
        while replicas and replicas < self.offers.needed(target):
            worth = self.offers.worth(target, replicas + 1)
            placed = self._place_model(
                target,
                model,
                DEMAND,
                worth / GAIN,
                round(worth),
                offers.Droppable.ANY,
            )
            if placed is None:
                return
            replicas += 1

    def _needs_more(
        self, target: asked.Target, accelerator: declared.Accelerator
    ) -> bool:
        """Return whether a model's endpoints are too few for its callers."""
        since = time.monotonic() - self.spread_at_by_target.get(target, 0.0)
        holders = self.offers.holders(target)
        if since < SPREAD_S or not holders:
            return False
        running = self.offers.running(target.model, holders)
        places = accelerator.batch * self.offers.room(holders)
        if any(target.model not in state.adapters_by_model for state in holders):
            # One more is on its way, which takes up to four seconds.
            return running > CROWDED * places
        full = running > FULL * places
        return full or self.demand.late.rate(target) > LATE_PER_S

    def _cover(self, service: str, accelerator: declared.Accelerator) -> None:
        """Have models that nobody holds loaded where they displace only spares.

        Callers of such a model then need not wait for a load, which takes up
        to four seconds.
        """
        harm_by_model = {}
        for model in accelerator.model_by_name.values():
            target = asked.Target(service, model.name)
            if not self.offers.holders(target):
                harm_by_model[model.name] = self.offers.absence(target, model)
        for name in sorted(harm_by_model, key=harm_by_model.get, reverse=True):
            model = accelerator.model_by_name[name]
            target = asked.Target(service, name)
            spares = offers.Droppable.SPARE
            self._place_model(target, model, UNHELD, harm_by_model[name], 0, spares)

    def _copy(self, service: str, accelerator: declared.Accelerator) -> None:
        """Have a model loaded once of which there are too few copies.

        What it displaces is loaded again afterwards, which is quick, since it
        stays in the endpoint's host memory.
        """
        copies: collections.Counter[str] = collections.Counter()
        for state in self.ordering.of_service(service):
            if not state.known:
                return
            copies.update(state.at_hand())
        models = accelerator.model_by_name.values()
        for model in sorted(models, key=lambda item: copies[item.name]):
            quicker = model.disk_s < model.store_s
            if quicker and copies[model.name] < COPIES:
                target = asked.Target(service, model.name)
                offer = self._place_model(target, model, COPY, HARM_OF_COPY, 0)
                if offer is not None:
                    offer.state.copied.add(model.name)
                    for name in offer.drops:
                        self._add(offer.state, sites.Job(name, "", (model.name,)))

    def _say(
        self,
        target: asked.Target,
        state: sites.EndpointState,
        reason: str,
        offer: offers.Offer | None = None,
    ) -> None:
        logs.event(
            log,
            "load decided",
            model=target.model,
            adapter=target.adapter,
            endpoint=state.endpoint.id,
            reason=reason,
            rate=round(self.demand.rate(target), 2),
            needed=round(self.offers.needed(target.base), 2),
            drops=list(offer.drops) if offer else [],
            harm=round(offer.harm, 2) if offer else 0,
            seconds=round(offer.seconds, 2) if offer else 0,
            fence=self.lease.fence,
            outcome="queued",
        )
