"""Placement policy ``packing``: few moves, each worth more than it costs.

In the order of urgency: models that are resident nowhere; replicas that the
declaration asks for; replicas for demand that is not served, each only if
the requests it brings into their target outweigh its moves; a second data
centre for what has only one; adapters; and last, unloads of what nobody
needs. A replica that is no longer needed stays until its memory is.
"""

import collections.abc
import random

from mothworks import catalogue, fleet, move_messages, placement_policy, plugins, room

#: Endpoints that are looked at for one load; in a larger fleet a sample.
CANDIDATES = 64
#: Replicas of a model that hold its adapters even if nobody asks for them.
ADAPTER_REPLICAS = 2
#: Places that a model must fill to be given free memory.
LEAST_PLACES = 0.05
#: Endpoints whose residents are looked at for one load that needs room.
ROOM_CANDIDATES = 8


@plugins.register(plugins.PLACEMENT, "packing")
class Packing(placement_policy.Policy):
    """Packs by urgency, see the module.

    :param weights: how the deployment weighs attainment against moves.
    """

    def __init__(self, weights: catalogue.Weights):
        super().__init__(weights)
        self.random = random.Random(0)

    def plan(self, planned: fleet.Fleet, loads: int) -> list[move_messages.Move]:
        """Return the moves to begin now; see :meth:`Policy.plan`."""
        batch = placement_policy.Batch(planned, loads)
        all_resident = self._restore(batch)
        self._complete(batch)
        self._relieve(batch)
        self._place_adapters(batch)
        if all_resident:
            # Else free memory may be what a lost model waits for.
            self._spread(batch)
            self._fill(batch)
        self._clean(batch)
        return batch.moves

    def _restore(self, batch: placement_policy.Batch) -> bool:
        """Load the models that are resident nowhere, the most wanted first.

        :returns: whether each model is resident, or being loaded, by now.
        """
        lost = [
            item
            for item in batch.fleet.demanded_by_name.values()
            if not item.share_by_site and not item.need.base
        ]
        # Large models are the hardest to find room for.
        lost.sort(key=lambda item: (item.places > 0, item.need.room_mb), reverse=True)
        for item in lost:
            if batch.full:
                break
            found = self._find(batch.fleet, item) or self._make_room(batch, item)
            if found is not None:
                self._place(batch, found, item.need, "resident nowhere")
        return all(item.share_by_site for item in lost)

    def _complete(self, batch: placement_policy.Batch) -> None:
        """Load the replicas that the declaration asks for."""
        for item in batch.fleet.demanded_by_name.values():
            if batch.full:
                return
            count = len(item.share_by_site)
            if item.need.base or not 0 < count < item.need.replicas:
                continue
            found = self._find(batch.fleet, item)
            if found is not None:
                why = f"{count} of {item.need.replicas} replicas"
                self._place(batch, found, item.need, why)

    def _relieve(self, batch: placement_policy.Batch) -> None:
        """Load replicas for demand that is not served, the largest first."""
        waiting = []
        for name, item in batch.fleet.demanded_by_name.items():
            lacking = batch.fleet.excess(name)
            if self._is_short(item, lacking):
                waiting.append((lacking / item.service_s, name))
        waiting.sort(reverse=True)
        for _, name in waiting:
            self._relieve_one(batch, batch.fleet.demanded_by_name[name])

    def _is_short(self, item: fleet.Demanded, lacking: float) -> bool:
        """Return whether a model lacks more places than one move is worth."""
        if item.need.base or not item.share_by_site:
            return False
        return lacking / item.service_s * self.weights.attainment > self.weights.moves

    def _relieve_one(self, batch: placement_policy.Batch, item: fleet.Demanded) -> None:
        while not batch.full:
            lacking = batch.fleet.excess(item.need.name)
            if not self._is_short(item, lacking):
                return
            found = self._worthwhile(batch.fleet, item, lacking)
            if found is None:
                return
            why = f"{lacking / item.service_s:.1f} requests/s too many"
            self._place(batch, found, item.need, why)

    def _spread(self, batch: placement_policy.Batch) -> None:
        """Give models a second data centre where memory is free."""
        most_mb = _most_free_mb(batch.fleet)
        for item in batch.fleet.demanded_by_name.values():
            if batch.full:
                return
            if item.need.base or item.need.room_mb > most_mb:
                continue
            sites = batch.fleet.replicas(item.need.name)
            used = {site.data_centre for site in sites}
            if len(used) > 1:
                continue
            found = self._find(batch.fleet, item, used)
            if found is not None:
                self._place(batch, found, item.need, "a second data centre")

    def _fill(self, batch: placement_policy.Batch) -> None:
        """Use free memory for more replicas of what is asked for most.

        A surge then finds room at once; a replica that stands by is the first
        to go when its memory is needed. Where a move weighs more than a
        request a second, memory stays free instead.
        """
        if batch.moves or self.weights.moves > self.weights.attainment:
            return
        most_mb = _most_free_mb(batch.fleet)
        waiting = [
            item
            for item in batch.fleet.demanded_by_name.values()
            if item.places > LEAST_PLACES
            and item.need.room_mb <= most_mb
            and not item.need.base
        ]
        waiting.sort(key=lambda item: -item.places / (1 + len(item.share_by_site)))
        for item in waiting:
            if batch.full:
                return
            found = self._find(batch.fleet, item)
            if found is not None:
                self._place(batch, found, item.need, "stands by in free memory")

    def _place_adapters(self, batch: placement_policy.Batch) -> None:
        """Load adapters beside their models, further ones where asked for.

        Two replicas of a model hold its adapters, so that one of them may go
        without an adapter becoming unreachable.
        """
        for item in batch.fleet.demanded_by_name.values():
            if batch.full:
                return
            base = batch.fleet.demanded_by_name.get(item.need.base)
            if base is None or not base.share_by_site:
                continue
            bases = batch.fleet.ready(base.need.name)
            lacks = [site for site in bases if site.name not in item.share_by_site]
            wanted = item.places > 0 or len(item.share_by_site) < ADAPTER_REPLICAS
            fitting = [
                site
                for site in lacks
                if site.free_mb >= item.need.memory_mb and not site.loading
            ]
            if wanted and fitting:
                emptiest = max(fitting, key=lambda site: site.spare)
                batch.load(emptiest, item.need, f"adapter of {item.need.base}")

    def _clean(self, batch: placement_policy.Batch) -> None:
        """Unload what is not declared any more, or in an old version."""
        for site in batch.fleet.site_by_name.values():
            for key in sorted(site.memory_by_key.keys() - site.leaving - site.loading):
                if self._is_stale(batch.fleet, key):
                    batch.unload(site, key, "not declared any more")

    def _is_stale(self, planned: fleet.Fleet, key: tuple[str, str]) -> bool:
        item = planned.demanded_by_name.get(key[0])
        if item is None:
            return True
        # The new version must answer before the old one is given up.
        return item.need.version != key[1] and bool(planned.ready(key[0]))

    def _find(
        self,
        planned: fleet.Fleet,
        item: fleet.Demanded,
        avoided: collections.abc.Set[str] = frozenset(),
    ) -> room.Place | None:
        """Return the best endpoint with free memory for a load, or None."""
        others = {site.data_centre for site in planned.replicas(item.need.name)}
        fitting = [
            site
            for site in self._candidates(planned, item)
            if site.free_mb >= item.need.room_mb and site.data_centre not in avoided
        ]
        best = max(
            fitting,
            key=lambda site: (
                site.data_centre not in others,
                site.spare,
                site.free_mb,
            ),
            default=None,
        )
        return None if best is None else room.Place(best)

    def _worthwhile(
        self, planned: fleet.Fleet, item: fleet.Demanded, lacking: float
    ) -> room.Place | None:
        """Return the place for one more replica that is worth its moves most."""
        candidates = self._candidates(planned, item)
        candidates = [site for site in candidates if site.spare > 0]
        candidates.sort(key=lambda site: site.spare, reverse=True)
        best, best_worth = None, 0.0
        looked_at = 0
        for site in candidates:
            gain = min(lacking, site.spare) / item.service_s
            victims = room.victims(planned, site, item.need)
            if victims is None:
                continue
            loss = sum(room.loss(planned, site, key) for key in victims)
            gain -= loss
            price = self.weights.moves * (1 + len(victims))
            worth = self.weights.attainment * gain - price
            if worth > best_worth:
                best, best_worth = room.Place(site, victims, gain), worth
            looked_at += 1
            if looked_at >= ROOM_CANDIDATES:
                break
        return best

    def _make_room(
        self, batch: placement_policy.Batch, item: fleet.Demanded
    ) -> room.Place | None:
        """Return the endpoint where fewest unloads make room, or None.

        Where surplus replicas alone do not free enough memory on any
        endpoint, single replicas are copied elsewhere first; a later pass
        finds them to be surplus.
        """
        found = []
        for site in batch.fleet.site_by_name.values():
            busy = bool(site.loading or site.leaving)
            if not site.open or busy or item.need.key in site.memory_by_key:
                continue
            victims = room.victims(batch.fleet, site, item.need)
            if victims is not None:
                loss = sum(room.loss(batch.fleet, site, key) for key in victims)
                found.append(room.Place(site, victims, -loss))
        if found:
            return max(found, key=lambda place: (place.gain, -len(place.victims)))
        self._copy_away(batch, item)
        return None

    def _copy_away(self, batch: placement_policy.Batch, item: fleet.Demanded) -> None:
        sites = [
            site
            for site in batch.fleet.site_by_name.values()
            if site.open and site.memory_mb >= item.need.room_mb
        ]
        sites.sort(key=lambda site: site.free_mb, reverse=True)
        for site in sites[:ROOM_CANDIDATES]:
            copies = room.copies(batch.fleet, site, item.need, self._candidates)
            if copies and len(copies) <= batch.loads:
                for copy in copies:
                    batch.load(copy.site, copy.need, f"room for {item.need.name}")
                return

    def _place(
        self,
        batch: placement_policy.Batch,
        found: room.Place,
        need: fleet.Need,
        reason: str,
    ) -> None:
        why = f"room for {need.name}"
        for key in found.victims:
            for name in batch.fleet.adapters_by_model.get(key[0], ()):
                adapter = batch.fleet.demanded_by_name[name].need
                if name in found.site.names:
                    batch.unload(found.site, adapter.key, why)
            batch.unload(found.site, key, why)
        batch.load(found.site, need, reason)

    def _candidates(
        self, planned: fleet.Fleet, item: fleet.Demanded
    ) -> list[fleet.Site]:
        """Return open endpoints without a replica or a load; of many, a sample.

        An endpoint gets one load at a time: a second would only wait there,
        while what is most urgent may change or another endpoint be free.

        Looking at every endpoint for every load would make a pass quadratic
        in the fleet; a sample of 64 misses the best tenth of a large fleet once
        in 850 times.
        """
        sites = list(planned.site_by_name.values())
        if len(sites) > 4 * CANDIDATES:
            chosen = self._fitting(self.random.sample(sites, CANDIDATES), item)
            if any(site.free_mb >= item.need.room_mb for site in chosen):
                return chosen
        return self._fitting(sites, item)

    def _fitting(
        self, sites: list[fleet.Site], item: fleet.Demanded
    ) -> list[fleet.Site]:
        return [
            site
            for site in sites
            if site.open
            and not site.loading
            and site.memory_mb >= item.need.room_mb
            and item.need.key not in site.memory_by_key
        ]


def _most_free_mb(planned: fleet.Fleet) -> int:
    """Return the most free memory of any endpoint that could load now, MB."""
    sites = planned.site_by_name.values()
    return max((s.free_mb for s in sites if s.open and not s.loading), default=0)
