"""The plan of one region: its fleet, its demand, and moves that are under way."""

import collections

import attrs
import result

from mothworks import (
    catalogue,
    demand,
    endpoints,
    fleet,
    move_messages,
    placement_policy,
    relocations,
)

#: Seconds between passes.
PERIOD_S = 1.0
#: Shortest and longest time that a new planner listens before it plans, seconds;
#: the longest covers the owners' regular reports.
LISTEN_S = 4.0
LISTEN_LONGEST_S = 8.0
#: Time after which a move is forgotten if its owner reports no work, seconds.
FORGOTTEN_S = 10.0
#: Time after which a move is forgotten whatever its owner reports, seconds.
LONGEST_S = 600.0


@attrs.define
class Allowance:
    """A token bucket for the weight store's loads.

    :param rate: loads that may start each second.
    :param parallel: loads that may run at a time.
    :param tokens: loads that may start now.
    """

    rate: float
    parallel: int
    tokens: float = 1.0

    def refill(self, seconds: float) -> None:
        """Add what time has brought.

        :param seconds: time since the last call.
        """
        most = max(1.0, self.rate * PERIOD_S)
        self.tokens = min(most, self.tokens + self.rate * seconds)

    def loads(self, running: int) -> int:
        """Return how many loads may start now.

        :param running: loads under way.
        """
        return max(0, min(int(self.tokens), self.parallel - running))


class RegionPlan:
    """What a planner knows of its region, and the moves it handed out.

    :param name: the region.
    :param now: monotonic time, seconds.
    :param policy: decides the moves.
    """

    def __init__(self, name: str, now: float, policy: placement_policy.Policy):
        self.name = name
        self.began = now
        self.planned_at = now
        self.revision = -1
        self.fleet = fleet.Fleet()
        self.endpoint_by_name: dict[str, catalogue.Endpoint] = {}
        #: Monotonic time since which each endpoint is known, seconds.
        self.declared_at: dict[str, float] = {}
        self.allowance = Allowance(1.0, 1)
        self.policy = policy
        #: What operators ordered.
        self.relocations = relocations.Relocations()
        #: Moves handed out and not reported yet, with the time of each.
        self.outstanding: dict[str, dict[move_messages.Move, float]] = (
            collections.defaultdict(dict)
        )
        self.holdings_by_endpoint: dict[str, move_messages.Holdings] = {}
        self.dirty: set[str] = set()

    def follow(self, revision: int, index: catalogue.Index, now: float) -> None:
        """Follow the catalogue in force.

        :param revision: its revision.
        :param index: its items.
        :param now: monotonic time, seconds.
        """
        if revision == self.revision:
            return
        self.revision = revision
        weights = index.catalogue.weights
        self.allowance = Allowance(weights.loads_per_s, weights.parallel_loads)
        self.policy.weights = weights
        self.endpoint_by_name = {
            item.name: item
            for item in index.catalogue.endpoints
            if item.memory_mb
            and self.name == index.region_by_data_centre[item.data_centre]
        }
        self.declared_at = {
            name: self.declared_at.get(name, now) for name in self.endpoint_by_name
        }
        for name in self.fleet.site_by_name.keys() - self.endpoint_by_name.keys():
            self.fleet.remove(name)
        for name, site in self.fleet.site_by_name.items():
            self._follow_endpoint(site, self.endpoint_by_name[name])
        self.fleet.declare(needs(index.catalogue))
        self.dirty.update(self.holdings_by_endpoint)

    def _follow_endpoint(self, site: fleet.Site, declared: catalogue.Endpoint) -> None:
        site.data_centre = declared.data_centre
        site.memory_mb = declared.memory_mb
        site.places = declared.slots * fleet.UTILISATION

    def take(self, holdings: move_messages.Holdings) -> None:
        """Take an owner's report, unless a newer one is known.

        :param holdings: what an endpoint's ledger holds.
        """
        known = self.holdings_by_endpoint.get(holdings.endpoint)
        if known is not None and known.fence > holdings.fence:
            return
        if known != holdings:
            self.holdings_by_endpoint[holdings.endpoint] = holdings
            self.dirty.add(holdings.endpoint)

    def relocate(self, wanted: relocations.Relocation) -> result.Result[None, str]:
        """Begin a move that an operator ordered.

        :param wanted: the move.
        :returns: or why it can't be done.
        """
        return self.relocations.accept(self.fleet, wanted)

    def plan(
        self, now: float, book: demand.Book, open_endpoints: frozenset[str]
    ) -> list[move_messages.Move]:
        """Return the moves to hand out now.

        :param now: monotonic time, seconds.
        :param book: the region's demand.
        :param open_endpoints: endpoints that take new work.
        """
        seconds = max(1e-3, now - self.planned_at)
        self.planned_at = now
        book.update(seconds)
        self._set_demand(book)
        self._forget(now)
        for name in sorted(self.dirty & self.endpoint_by_name.keys()):
            self._sync(name)
        self.dirty.clear()
        self._follow_states(open_endpoints)
        self.allowance.refill(seconds)
        if self._must_listen(now):
            return []
        loads = self.allowance.loads(self._running_loads())
        moves = self.relocations.plan(self.fleet, now, loads)
        loads -= sum(move.kind == endpoints.OrderKind.LOAD for move in moves)
        moves += self.policy.plan(self.fleet, loads)
        for move in moves:
            self.outstanding[move.endpoint][move] = now
            if move.kind == endpoints.OrderKind.LOAD:
                self.allowance.tokens -= 1
        return moves

    def _must_listen(self, now: float) -> bool:
        """Return whether owners may still have to say what is resident.

        Models of an endpoint that was not heard of look as if they were
        resident nowhere, and would be loaded a second time; and while only
        this VM's own endpoints are known, everything would be loaded there.
        """
        if now - self.began < LISTEN_S:
            return True
        unheard = self.endpoint_by_name.keys() - self.holdings_by_endpoint.keys()
        declared = (self.declared_at[name] for name in unheard)
        return any(now - at < LISTEN_LONGEST_S for at in declared)

    def _set_demand(self, book: demand.Book) -> None:
        places = collections.Counter()
        service_s = {}
        for name, demanded in self.fleet.demanded_by_name.items():
            averages = book.averages_by_name.get(name)
            if averages is not None:
                # A request for an adapter runs on its model's endpoints.
                places[demanded.need.base or name] += averages.places
                places[name] += averages.places if demanded.need.base else 0.0
                service_s[name] = averages.service_s
        for name in self.fleet.demanded_by_name:
            seconds = service_s.get(name, demand.SERVICE_S)
            self.fleet.set_demand(name, places[name], seconds)

    def _forget(self, now: float) -> None:
        """Forget moves that were lost on the way or that an owner dropped."""
        for name, moves in self.outstanding.items():
            holdings = self.holdings_by_endpoint.get(name)
            idle = holdings is None or not (holdings.pending_kind or holdings.queued)
            longest_s = FORGOTTEN_S if idle else LONGEST_S
            for move, since in list(moves.items()):
                if now - since > longest_s:
                    del moves[move]
                    self.dirty.add(name)

    def _follow_states(self, open_endpoints: frozenset[str]) -> None:
        for site in self.fleet.site_by_name.values():
            is_open = site.name in open_endpoints
            if site.open != is_open:
                site.open = is_open
                self.fleet.refresh(site)

    def _sync(self, name: str) -> None:
        """Bring one endpoint in line with its owner's report."""
        holdings = self.holdings_by_endpoint[name]
        site = self.fleet.site_by_name.get(name)
        if site is None:
            site = fleet.Site(name, "", 0, 1.0, open=False)
            self._follow_endpoint(site, self.endpoint_by_name[name])
            self.fleet.add(site)
        keys = zip(holdings.names, holdings.versions, strict=True)
        site.memory_by_key = dict(zip(keys, holdings.reserved_mb, strict=True))
        site.free_mb = holdings.free_mb
        site.loading = set()
        site.leaving = set()
        self._add_pending(site, holdings)
        for move in list(self.outstanding[name]):
            self._add_outstanding(site, move)
        self.fleet.refresh(site)

    def _add_pending(self, site: fleet.Site, holdings: move_messages.Holdings) -> None:
        key = (holdings.pending_name, holdings.pending_version)
        match holdings.pending_kind:
            case endpoints.OrderKind.LOAD:
                site.loading.add(key)
                site.memory_by_key[key] = self._memory_mb(holdings.pending_name)
            case endpoints.OrderKind.UNLOAD if key in site.memory_by_key:
                site.leaving.add(key)

    def _add_outstanding(self, site: fleet.Site, move: move_messages.Move) -> None:
        key = (move.name, move.version)
        match move.kind:
            case endpoints.OrderKind.LOAD if key in site.memory_by_key:
                del self.outstanding[site.name][move]
            case endpoints.OrderKind.LOAD:
                memory_mb = self._memory_mb(move.name)
                site.memory_by_key[key] = memory_mb
                site.loading.add(key)
                site.free_mb -= memory_mb
            case endpoints.OrderKind.UNLOAD if key not in site.memory_by_key:
                del self.outstanding[site.name][move]
            case endpoints.OrderKind.UNLOAD if key not in site.leaving:
                site.leaving.add(key)
                site.free_mb += site.memory_by_key[key]

    def _memory_mb(self, name: str) -> int:
        demanded = self.fleet.demanded_by_name.get(name)
        return demanded.need.memory_mb if demanded else 0

    def _running_loads(self) -> int:
        return sum(len(site.loading) for site in self.fleet.site_by_name.values())


def needs(declared: catalogue.Catalogue) -> list[fleet.Need]:
    """Return what a catalogue wants resident, models first.

    :param declared: the catalogue.
    """
    spare_by_model = collections.Counter()
    version_by_model = {item.name: item.version for item in declared.models}
    for adapter in declared.adapters:
        spare_by_model[adapter.model] += adapter.memory_mb
    models = [
        fleet.Need(
            item.name,
            item.version,
            item.memory_mb + item.working_mb,
            spare_by_model[item.name],
            item.replicas,
        )
        for item in declared.models
    ]
    adapters = [
        fleet.Need(
            item.name,
            version_by_model[item.model],
            item.memory_mb,
            base=item.model,
        )
        for item in declared.adapters
    ]
    return [*models, *adapters]
