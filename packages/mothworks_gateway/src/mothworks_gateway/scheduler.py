"""The scheduler: decides, on the holder of the lease, what is loaded where.

Endpoints hold fewer models than are declared. What callers wait for and
nobody holds is loaded first; then models whose endpoints are nearly full get
another. What is dropped to make room is what costs least: unused now, asked
for seldom, held elsewhere too, or quick to load again where it was.
"""

import collections
import time

import attrs
import gevent.event
import logbook

from mothworks import kernel, logs
from mothworks_gateway import (
    asked,
    declarations,
    declared,
    discovery,
    lease,
    load,
    pulse,
    residency,
    sites,
)

log = logbook.Logger("scheduler")

#: Seconds between looks at the demand, if nothing is waited for meanwhile.
LOOK_S = 0.2
#: Time after which a VM's word that callers wait is no longer believed, seconds.
WANTED_S = 0.6
#: Half-life of the demand that is remembered for a model, seconds.
HALF_LIFE_S = 8.0
#: Share of a model's places in batches at which it gets another endpoint. A
#: load costs as much as half a late answer, and prompts that are read delay
#: all other requests of their endpoint long before its batch is full.
FULL = 0.3
#: Late answers a second, of one model, at which it gets another endpoint.
LATE_PER_S = 1.0
#: Half-life of the late answers that are remembered, seconds.
LATE_HALF_LIFE_S = 2.0
#: Time between two further endpoints for one model, seconds: the last one must
#: have taken its share first.
SPREAD_S = 1.0
#: Callers that wait for a model for which it is loaded at one more endpoint.
CALLERS_PER_REPLICA = 6
#: Cost of a fully loaded endpoint in a choice between endpoints, seconds.
BUSY_S = 3.0
#: Reasons to load.
WANTED = "wanted"
SLOW = "its endpoints are slow or nearly full"
#: Time over which the callers of a dropped model are counted, seconds: about
#: as long as it stays away.
LOSS_S = 10.0
#: What dropping a model costs that other endpoints hold too, as a share of
#: what dropping its last replica costs.
SPARE_REPLICA = 0.1
#: Requests a second that a model is taken to get at least, so that of two
#: models which nobody asks for the one that loads quickest goes first.
LEAST_RATE = 0.01


@attrs.define
class _Want:
    """Callers of one VM that wait for a target.

    :param told: what the VM said.
    :param at: monotonic time at which it said so.
    """

    told: residency.Wanted
    at: float


@attrs.frozen
class _Offer:
    """A site that could load a model, and what that would cost.

    :param site: the site.
    :param drops: models to drop there first.
    :param seconds: the cost: load time, and time lost by what is dropped.
    :param forced: whether requests use what is dropped.
    """

    site: sites.Site
    drops: tuple[str, ...]
    seconds: float
    forced: bool = False


class Scheduler(kernel.Part):
    """Assigns loads to sites while this VM holds the lease.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.lease = node_kernel.get(lease.Lease)
        self.declarations = node_kernel.get(declarations.Declarations)
        self.discovery = node_kernel.get(discovery.Discovery)
        self.registry = self.discovery.registry
        self.load = node_kernel.get(load.Load)
        self.residency = node_kernel.get(residency.Residency)
        self.sites = node_kernel.get(sites.Sites)
        self.want_by_source: dict[tuple[str, asked.Target], _Want] = {}
        self.rate_by_target: dict[asked.Target, float] = {}
        self.late_by_target: dict[asked.Target, float] = {}
        self.spread_at_by_target: dict[asked.Target, float] = {}
        self.rated_at = time.monotonic()
        self.woken = gevent.event.Event()
        self.residency.on_wanted.append(self._hear_wanted)
        node_kernel.get(pulse.Pulses).on_heard.append(self._hear_pulse)
        self.lease.on_gained.append(self._gain)

    def start(self) -> None:
        """Start to schedule whenever this VM holds the lease."""
        self.tasks.spawn(self._run)

    def _run(self) -> None:
        while True:
            self.woken.wait(LOOK_S)
            self.woken.clear()
            holding = self.lease.held()
            # The holder follows the registry closely; all others hear from it.
            self.discovery.follower.gather_s = 0.02 if holding else discovery.GATHER_S
            if holding:
                self._fade()
                self._schedule()

    def _gain(self) -> None:
        self.sites.reset()
        self.want_by_source.clear()
        self.woken.set()

    def _hear_wanted(self, vm: str, told: residency.Wanted) -> None:
        self.want_by_source[vm, told.target] = _Want(told, time.monotonic())
        self.woken.set()

    def _hear_pulse(self, _: str, told: pulse.Pulse) -> None:
        for service, model, adapter, count in told.arrived:
            self._count(asked.Target(service, model, adapter), count)
        for service, model, count in told.late:
            target = asked.Target(service, model)
            added = count * 0.693 / LATE_HALF_LIFE_S
            self.late_by_target[target] = self.late_by_target.get(target, 0) + added

    def _fade(self) -> None:
        """Let what is remembered of the demand fade."""
        passed = time.monotonic() - self.rated_at
        if passed < LOOK_S:
            return
        self.rated_at += passed
        for by_target, half_life_s in (
            (self.rate_by_target, HALF_LIFE_S),
            (self.late_by_target, LATE_HALF_LIFE_S),
        ):
            kept = 0.5 ** (passed / half_life_s)
            for target in by_target:
                by_target[target] *= kept

    def _count(self, target: asked.Target, count: int) -> None:
        """Add requests to a target's rate, a fading mean."""
        for item in {target, target.base}:
            added = count * 0.693 / HALF_LIFE_S
            self.rate_by_target[item] = self.rate_by_target.get(item, 0.0) + added

    def _schedule(self) -> None:
        declaration = self.declarations.current
        if declaration is None:
            return
        self.sites.follow(declaration)
        wanted = self._wanted()
        for told in wanted:
            service = declaration.service_by_name.get(told.service)
            accelerator = service.accelerator if service else None
            model = accelerator.model_by_name.get(told.model) if accelerator else None
            if model is None:
                continue
            ready = self._holders(told.target.base)
            if told.adapter and ready:
                self._place_adapter(told)
            elif len(ready) < _replicas(told):
                self._place_model(told.service, accelerator, model, WANTED)
        if not wanted:
            self._spread(declaration)

    def _wanted(self) -> list[residency.Wanted]:
        """Return what callers wait for, the most urgent first."""
        oldest = time.monotonic() - WANTED_S
        first_by_target: dict[asked.Target, residency.Wanted] = {}
        for source, want in list(self.want_by_source.items()):
            if want.at < oldest:
                del self.want_by_source[source]
                continue
            told = want.told
            known = first_by_target.get(told.target)
            if known is not None:
                first, _ = sorted((told, known), key=_order)
                told = attrs.evolve(first, count=told.count + known.count)
            first_by_target[told.target] = told
        return sorted(first_by_target.values(), key=_order)

    def _holders(self, target: asked.Target) -> list[sites.Site]:
        """Return the sites that hold, or will hold, a model."""
        return [
            site
            for site in self.sites.of_service(target.service)
            if site.open and site.will_hold(target.model, target.adapter)
        ]

    def _place_adapter(self, told: residency.Wanted) -> None:
        if self._holders(told.target):
            return
        holders = [
            site
            for site in self._holders(told.target.base)
            if told.model in site.adapters_by_model
        ]
        if not holders:
            return
        site = min(holders, key=lambda item: self._pressure(item))
        site.add(sites.Job(told.model, told.adapter))
        self._say(told.target, site, WANTED, ())

    def _pressure(self, site: sites.Site) -> float:
        running = self.load.of_endpoint(site.endpoint.id) / site.accelerator.batch
        taken = site.adapters_held() / max(1, site.accelerator.adapter_places)
        return running + taken + len(site.jobs)

    def _place_model(
        self,
        service: str,
        accelerator: declared.Accelerator,
        model: declared.Model,
        reason: str,
    ) -> None:
        """Have a model loaded where that costs least."""
        free_sites = [
            site
            for site in self.sites.of_service(service)
            if site.open and site.known and not site.jobs
            if not site.will_hold(model.name, "")
        ]
        offers = self._offers(free_sites, model, forced=False)
        if not offers and reason == WANTED:
            offers = self._offers(free_sites, model, forced=True)
        best = min(offers, key=lambda offer: offer.seconds, default=None)
        if best is None or not self.sites.may_load(best.site, model):
            return
        best.site.add(sites.Job(model.name, "", best.drops, best.forced))
        self._say(asked.Target(service, model.name), best.site, reason, best.drops)

    def _offers(
        self, free_sites: list[sites.Site], model: declared.Model, forced: bool
    ) -> list[_Offer]:
        made = [self._offer(site, model, forced) for site in free_sites]
        return [offer for offer in made if offer is not None]

    def _offer(
        self, site: sites.Site, model: declared.Model, forced: bool
    ) -> _Offer | None:
        """Return what loading a model at a site would cost, if it can."""
        seconds = site.load_s(model)
        free = site.free_mb()
        drops: list[str] = []
        for name in self._droppable(site, forced):
            if free >= model.memory_mb:
                break
            drops.append(name)
            free += site.memory_mb(name)
            seconds += self._loss(site, name)
        if free < model.memory_mb:
            return None
        busy = self.load.of_endpoint(site.endpoint.id) / site.accelerator.batch
        return _Offer(site, tuple(drops), seconds + BUSY_S * busy, forced)

    def _droppable(self, site: sites.Site, forced: bool) -> list[str]:
        """Return models that a site may drop, the least missed first."""
        service = site.endpoint.entry.service
        names = [
            name
            for name in site.adapters_by_model
            if not self._is_wanted(service, name)
            and (forced or not self.load.of_model(site.endpoint.id, name))
        ]
        return sorted(names, key=lambda name: self._loss(site, name))

    def _loss(self, site: sites.Site, name: str) -> float:
        """Return the seconds that callers lose if a site drops a model."""
        service = site.endpoint.entry.service
        rate = max(LEAST_RATE, self.rate_by_target.get(asked.Target(service, name), 0))
        model = site.accelerator.model_by_name.get(name)
        seconds = model.host_s if model else 0.0
        if len(self._holders(asked.Target(service, name))) > 1:
            seconds *= SPARE_REPLICA
        return rate * seconds * LOSS_S

    def _is_wanted(self, service: str, name: str) -> bool:
        return any(
            target.service == service and target.model == name
            for _, target in self.want_by_source
        )

    def _spread(self, declaration: declared.Declaration) -> None:
        """Give models whose endpoints are nearly full another one."""
        running: collections.Counter[asked.Target] = collections.Counter()
        for service in declaration.service_by_name.values():
            if service.accelerator is None:
                continue
            for site in self.sites.of_service(service.name):
                for name in site.adapters_by_model:
                    count = self.load.of_model(site.endpoint.id, name)
                    running[asked.Target(service.name, name)] += count
        for target, count in running.most_common():
            accelerator = declaration.service_by_name[target.service].accelerator
            model = accelerator.model_by_name.get(target.model)
            if model is not None and self._needs_more(target, count, accelerator):
                self.spread_at_by_target[target] = time.monotonic()
                self._place_model(target.service, accelerator, model, SLOW)

    def _needs_more(
        self, target: asked.Target, running: int, accelerator: declared.Accelerator
    ) -> bool:
        """Return whether a model's endpoints are too few for its callers."""
        since = time.monotonic() - self.spread_at_by_target.get(target, 0.0)
        holders = self._holders(target)
        loading = [site for site in holders if target.model == site.loading]
        if since < SPREAD_S or loading or any(site.jobs for site in holders):
            return False
        full = running > FULL * accelerator.batch * len(holders)
        late = self.late_by_target.get(target, 0.0) > LATE_PER_S
        return full or late

    def _say(
        self, target: asked.Target, site: sites.Site, reason: str, drops: tuple
    ) -> None:
        logs.event(
            log,
            "load decided",
            model=target.model,
            adapter=target.adapter,
            endpoint=site.endpoint.id,
            reason=reason,
            rate=round(self.rate_by_target.get(target, 0.0), 2),
            drops=list(drops),
            fence=self.lease.fence,
            outcome="queued",
        )


def _replicas(told: residency.Wanted) -> int:
    """Return at how many endpoints a model is loaded that callers wait for."""
    return 1 + told.count // CALLERS_PER_REPLICA


def _order(told: residency.Wanted) -> tuple[int, float]:
    return told.urgency, told.left_s
