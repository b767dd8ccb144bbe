"""The queue in front of the endpoints of one service: which request is sent where.

Pure decisions: no clock, network or other part. The caller passes the time, reports
what happens to granted requests, and calls :meth:`EndpointQueue.decide` after changes
and at :meth:`EndpointQueue.next_at`. It is not safe for use by several threads.

Between two decisions, each endpoint with room has no waiting request that may take it.
A decision therefore looks only at new requests and at endpoints where room was freed
since the last one.
"""

import collections
import heapq
import itertools
import math

import attrs

from mothworks_gateway import (
    declaration_types,
    endpoint_load,
    fair_shares,
    queue_estimates,
    queue_order,
    queue_types,
)

Key = queue_types.Key
WaitingRequest = queue_types.WaitingRequest
Capacity = queue_types.Capacity
Granted = queue_types.Granted
Refused = queue_types.Refused

#: Reasons of refusals.
NO_ENDPOINT = "no endpoint left"
NO_ROOM = "no room in time"
NOT_GRANTED = "not granted in time"
QUEUE_FULL = "queue full"

#: Upper bound of the number of waiting requests.
MAX_WAITING = 4096
#: Upper bound of the number of endpoints of a request.
MAX_ENDPOINTS = 16
#: While more urgent requests wait, one grant in this many goes to the request that must
#: be sent soonest.
SOONEST_INTERVAL = 10
#: Share of the time until ``send_by`` after which a request is promoted.
PROMOTE_SHARE = 0.8
#: Endpoints fuller than this are chosen only if no other begins the request in time.
MAX_FULLNESS = 0.7
#: Share of the endpoints that may be reserved for a request that is blocked there.
MAX_RESERVED_SHARE = 0.25
#: Longest time for which a request may wait, seconds; later times count as this.
MAX_WAIT_S = 600.0
#: Shortest time until a timer that is set again, seconds.
MIN_TIMER_S = 0.01
#: Timers that are not needed any more are removed once there are this many more than
#: twice the requests.
MIN_STALE_TIMERS = 1024


class EndpointQueue:
    """Decides which waiting request of a service is sent to which endpoint."""

    def __init__(self):
        self.load_by_id: dict[str, endpoint_load.EndpointLoad] = {}
        self.entry_by_key: dict[Key, queue_order.Entry] = {}
        self.grant_by_key: dict[Key, endpoint_load.Grant] = {}
        self.shares = fair_shares.FairShares()
        self.estimates = queue_estimates.RunEstimates()
        self._order_by_id: dict[str, queue_order.EndpointOrder] = {}
        self._view_by_id: dict[str, queue_estimates.EndpointView] = {}
        self._keys_by_vm: collections.defaultdict[str, set[Key]] = (
            collections.defaultdict(set)
        )
        self._waiting_by_account: collections.Counter[str] = collections.Counter()
        #: New requests that no decision has looked at, in the order of arrival.
        self._fresh: dict[Key, queue_order.Entry] = {}
        #: Endpoints at which room was freed since the last decision.
        self._freed_ids: set[str] = set()
        #: Requests whose state has changed since the last decision.
        self._changed: list[queue_order.Entry] = []
        #: Decisions made between calls of :meth:`decide`.
        self._decided: list[Granted | Refused] = []
        self._timers: list[
            tuple[float, int, queue_order.Entry | endpoint_load.Grant | str]
        ] = []
        self._sequence = itertools.count()
        #: Endpoints with a timer for the rise of their lowered limit.
        self._rising_ids: set[str] = set()
        self._reserved = 0
        self._since_soonest = 0
        self._since_promoted = 0
        self._decided_at = -math.inf

    def set_capacities(self, capacity_by_id: dict[str, Capacity], now: float) -> None:
        """Set what the endpoints of the service can run.

        Grants at endpoints that are gone are dropped, and requests of which no endpoint
        is left are refused.

        :param capacity_by_id: the capacity of each endpoint, by id.
        :param now: the time.
        """
        are_some_lost = False
        for endpoint_id in [i for i in self.load_by_id if i not in capacity_by_id]:
            self._drop_endpoint(endpoint_id)
            are_some_lost = True
        for endpoint_id, capacity in capacity_by_id.items():
            load = self.load_by_id.get(endpoint_id)
            if load is None:
                self._add_endpoint(endpoint_id, capacity)
            elif load.capacity != capacity:
                accepted = load.accepts
                load.set_capacity(capacity)
                are_some_lost |= accepted and not load.accepts
                load.set_mean_run(self.estimates.run.value)
                self._freed_ids.add(endpoint_id)
        if are_some_lost:
            for key, entry in list(self.entry_by_key.items()):
                if not self._accepts(entry.request):
                    self._refuse_without_endpoint(key)

    def add(self, request: WaitingRequest, now: float) -> None:
        """Add a request, or repeat it.

        A repeated request keeps its arrival. One that was granted is granted the same
        place again, since the message on the first grant may be lost.

        :param request: the request; numbers out of range are bounded.
        :param now: the time.
        """
        key = request.key
        grant = self.grant_by_key.get(key)
        if grant is not None:
            self._decided.append(Granted(key, grant.endpoint_id))
            return
        if not request.send_by >= now:
            # Also a time that is not a number.
            self._refuse_unsent(request, now)
            return
        request = _bounded(request, now)
        former = self.entry_by_key.get(key)
        if former is not None:
            if _is_same(former.request, request):
                return
            request = attrs.evolve(request, arrived_at=former.request.arrived_at)
            self._forget_waiting(former)
        if not self._accepts(request):
            self._decided.append(Refused(key, 0.0, NO_ENDPOINT))
            return
        wait_s = request.send_by - request.arrived_at
        entry = queue_order.Entry(
            request,
            next(self._sequence),
            self.estimates.run_s(request),
            self.estimates.first_s(request),
            request.arrived_at + PROMOTE_SHARE * wait_s,
        )
        self.entry_by_key[key] = self._fresh[key] = entry
        self._keys_by_vm[key[0]].add(key)

    def withdraw(self, key: Key, now: float) -> None:
        """Forget a waiting or granted request.

        :param key: the request; one that is not known is ignored.
        :param now: the time.
        """
        entry = self.entry_by_key.get(key)
        if entry is not None:
            self._forget_waiting(entry)
        grant = self._release(key)
        if grant is not None and grant.request is not None:
            # It held its place for less time than was charged, or was not even sent.
            excess = now - grant.granted_at - grant.cost
            request = grant.request
            self.shares.add(request.account, request.weight, min(0.0, excess), now)

    def adopt(
        self, key: Key, endpoint_id: str, memory_tokens: int, began: bool, now: float
    ) -> None:
        """Record a grant of a former owner of the queue.

        :param key: the request.
        :param endpoint_id: the endpoint; ignored if it is not known.
        :param memory_tokens: tokens of memory that it may take.
        :param began: whether its first event has arrived.
        :param now: the time.
        """
        entry = self.entry_by_key.get(key)
        if entry is not None:
            self._forget_waiting(entry)
        grant = self.grant_by_key.get(key)
        if grant is not None and grant.endpoint_id != endpoint_id:
            self._release(key)
            grant = None
        load = self.load_by_id.get(endpoint_id)
        if grant is None and load is not None:
            self._hold(
                endpoint_load.Grant(key, endpoint_id, load.bounded(memory_tokens))
            )
        if began:
            self.began(key, now)

    def began(self, key: Key, now: float) -> None:
        """Record the first event of a granted request.

        :param key: the request; one that is not known is ignored.
        :param now: the time.
        """
        grant = self.grant_by_key.get(key)
        if grant is None or grant.has_begun:
            return
        grant.has_begun = True
        load = self.load_by_id[grant.endpoint_id]
        if grant.request is not None:
            first_s = now - grant.granted_at - grant.ahead_s - grant.queued_s
            self.estimates.add_first(grant.request, max(0.0, first_s) * load.speed)
        if grant.unread_s:
            load.mark_read(grant)
            self._freed_ids.add(grant.endpoint_id)

    def ended(self, key: Key, now: float) -> None:
        """Record the end of a granted request.

        :param key: the request; one that is not known is ignored.
        :param now: the time.
        """
        self.began(key, now)
        grant = self._release(key)
        if grant is None or grant.request is None:
            return
        request = grant.request
        run_s = max(0.0, now - grant.granted_at)
        load = self.load_by_id[grant.endpoint_id]
        alone_s = max(0.0, run_s - grant.queued_s)
        self.estimates.add_run(request, alone_s * load.speed)
        load.set_mean_run(self.estimates.run.value)
        self.shares.add(request.account, request.weight, run_s - grant.cost, now)

    def was_full(self, key: Key, now: float) -> None:
        """Record that the endpoint refused a granted request for lack of room.

        :param key: the request; one that is not known is ignored.
        :param now: the time.
        """
        grant = self.grant_by_key.get(key)
        if grant is None:
            return
        load = self.load_by_id[grant.endpoint_id]
        load.lower(now)
        # The timer sets itself again until the limit has risen; one for each refusal
        # would add up without bound at an endpoint that refuses again and again.
        if grant.endpoint_id not in self._rising_ids:
            self._rising_ids.add(grant.endpoint_id)
            self._set_timer(load.next_rise_at(now), grant.endpoint_id)
        self._release(key)
        if grant.request is not None:
            request = grant.request
            self.shares.add(request.account, request.weight, -grant.cost, now)

    def set_outside(self, running_by_id: dict[str, int]) -> None:
        """Set the number of runs at each endpoint that this queue did not grant.

        Each of them counts with the mean memory of a granted run.

        :param running_by_id: the numbers by endpoint; 0 for those it does not contain.
        """
        for endpoint_id, load in self.load_by_id.items():
            outside = max(0, running_by_id.get(endpoint_id, 0))
            if outside < load.outside:
                self._freed_ids.add(endpoint_id)
            load.set_outside(outside, self.estimates.memory.value)

    def drop_vm(self, vm: str, now: float) -> None:
        """Forget all requests of a VM.

        :param vm: the VM.
        :param now: the time.
        """
        for key in list(self._keys_by_vm.get(vm, ())):
            self.withdraw(key, now)

    def decide(self, now: float) -> list[Granted | Refused]:
        """Return the decisions that are due.

        :param now: the time; not before that of an earlier call.
        """
        self._decided_at = now
        if self._decided:
            self._decided = [i for i in self._decided if self._is_valid(i)]
        self._run_timers(now)
        if self._fresh:
            self._enter_fresh(now)
        if self._freed_ids:
            self._grant_freed(now)
        for entry in self._changed:
            endpoint_id = self._choose(entry, now) if entry.is_waiting else None
            if endpoint_id is not None:
                self._grant(entry, endpoint_id, now)
        self._changed.clear()
        if self._fresh:
            self._check_fresh(now)
        decisions, self._decided = self._decided, []
        return decisions

    def expected_wait_s(self, key: Key, now: float) -> float:
        """Return the time until a waiting request is expected to be granted, seconds.

        :param key: the request; 0 is returned for one that does not wait.
        :param now: the time.
        """
        entry = self.entry_by_key.get(key)
        if entry is None:
            return 0.0
        # The estimate at its arrival knows what was ahead of it, the present one what
        # has left since.
        wait_s = self._waits(entry, now).until_granted_s()
        return max(0.0, min(wait_s, entry.expected_at - now))

    def next_at(self) -> float | None:
        """Return when to call :meth:`decide` at the latest; None if nothing waits."""
        if self._fresh or self._decided or (self._freed_ids and self.entry_by_key):
            return self._decided_at
        if not self.entry_by_key:
            return None
        while self._timers and not self._is_needed(self._timers[0][2]):
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def _is_valid(self, decision: Granted | Refused) -> bool:
        """Return whether a decision was not overtaken by a later report or request."""
        match decision:
            case Granted(key, endpoint_id):
                grant = self.grant_by_key.get(key)
                return grant is not None and grant.endpoint_id == endpoint_id
            case Refused(key):
                return key not in self.entry_by_key and key not in self.grant_by_key
        return False

    # New requests.

    def _enter_fresh(self, now: float) -> None:
        """Grant a new request a free place at once, or let new requests wait."""
        if len(self._fresh) == 1 and not self._freed_ids:
            [entry] = self._fresh.values()
            endpoint_id = self._choose(entry, now)
            if endpoint_id is not None:
                self._fresh.clear()
                self._grant(entry, endpoint_id, now)
                return
            self._start_to_wait(entry, now)
            if entry.state is not queue_order.State.LATE:
                return
        for entry in self._fresh.values():
            if not entry.is_waiting:
                self._start_to_wait(entry, now)
            self._freed_ids.update(entry.request.endpoint_ids)

    def _start_to_wait(self, entry: queue_order.Entry, now: float) -> None:
        entry.is_waiting = True
        entry.late_at = entry.request.objective_at - self._first_s(entry, now)
        if now >= entry.late_at:
            entry.state = queue_order.State.LATE
        account = entry.request.account
        if not self._waiting_by_account[account]:
            others = (name for name in self._waiting_by_account if name != account)
            self.shares.activate(account, others, now)
        self._waiting_by_account[account] += 1
        for endpoint_id in entry.request.endpoint_ids:
            if endpoint_id in self._order_by_id:
                self._order_by_id[endpoint_id].add(entry)

    def _check_fresh(self, now: float) -> None:
        """Refuse new requests that cannot be granted in time, the last ones first."""
        fresh = list(self._fresh.values())
        self._fresh.clear()
        for entry in reversed(fresh):
            if len(self.entry_by_key) > MAX_WAITING:
                self._refuse(entry, QUEUE_FULL, now)
            elif not self._refuse_if_certain(entry, now):
                self._set_timer(entry.next_change_at(), entry)

    def _refuse_if_certain(self, entry: queue_order.Entry, now: float) -> bool:
        """Refuse a request that waits if it will not be granted in time."""
        left_s = entry.request.send_by - now
        waits = self._waits(entry, now)
        wait_s = waits.until_granted_s()
        if wait_s <= left_s:
            entry.expected_at = now + wait_s
            return False
        self._forget_waiting(entry)
        retry_after_s = waits.retry_after_s(wait_s - left_s)
        self._decided.append(Refused(entry.request.key, retry_after_s, NO_ROOM))
        return True

    # Endpoints with room.

    def _grant_freed(self, now: float) -> None:
        """Grant what was freed, the first request in order of all endpoints first."""
        best_by_id = {}
        pending_ids = set(self._freed_ids)
        self._freed_ids.clear()
        while True:
            for endpoint_id in pending_ids:
                best = self._first_at(endpoint_id, now)
                if best is not None:
                    best_by_id[endpoint_id] = best
                else:
                    best_by_id.pop(endpoint_id, None)
            if not best_by_id:
                break
            first_id = min(best_by_id, key=lambda i: best_by_id[i][0])
            _, entry = best_by_id[first_id]
            chosen_id = self._choose(entry, now) or first_id
            self._count_turns(entry, first_id)
            self._grant(entry, chosen_id, now)
            pending_ids = {i for i, best in best_by_id.items() if best[1] is entry}
            # A reservation of the granted request may have ended.
            pending_ids |= {chosen_id} | self._freed_ids
            self._freed_ids.clear()

    def _first_at(
        self, endpoint_id: str, now: float
    ) -> tuple[tuple, queue_order.Entry] | None:
        """Return the request to be granted next at an endpoint, and its order."""
        load = self.load_by_id.get(endpoint_id)
        if load is None or not load.has_place(now):
            return None
        order = self._order_by_id[endpoint_id]
        if not len(order):
            return None

        def fit(entry: queue_order.Entry) -> queue_order.Fit:
            return self._fit(entry, load, endpoint_id, now)

        if self._since_soonest >= SOONEST_INTERVAL - 1:
            entry = order.by_send_by.first()
            if entry is not None and fit(entry) is queue_order.Fit.FITS:
                return (-1, entry.request.send_by, entry.sequence), entry
        put_off = (
            self._since_promoted < queue_order.PROMOTED_INTERVAL - 1
            and order.has_urgent_on_time()
        )
        deferred = []
        for key, bucket in order.heads(self.shares.relative_usage):
            if put_off and key[0] is queue_order.State.PROMOTED:
                deferred.append((key, bucket))
                continue
            entry = bucket.find(fit)
            if entry is not None:
                return key, entry
        for key, bucket in deferred:
            entry = bucket.find(fit)
            if entry is not None:
                return key, entry
        return None

    def _count_turns(self, entry: queue_order.Entry, endpoint_id: str) -> None:
        """Count the grants since the last one of each kind that is bounded."""
        order = self._order_by_id[endpoint_id]
        if order.by_send_by.first() is entry:
            self._since_soonest = 0
        else:
            self._since_soonest += 1
        if entry.state is queue_order.State.PROMOTED:
            self._since_promoted = 0
        else:
            self._since_promoted += 1

    def _fit(
        self,
        entry: queue_order.Entry,
        load: endpoint_load.EndpointLoad,
        endpoint_id: str,
        now: float,
    ) -> queue_order.Fit:
        """Return whether a waiting request fits at an endpoint that has a place."""
        request = entry.request
        prompt_s = load.prompt_s(request, endpoint_id)
        if self._must_wait(entry, load):
            return queue_order.Fit.BLOCKED
        if not load.has_room(request.memory_tokens, prompt_s):
            self._reserve(entry, load, endpoint_id)
            return queue_order.Fit.BLOCKED
        if entry.state is queue_order.State.ON_TIME:
            first_s = queue_estimates.loaded_first_s(entry, load, prompt_s)
            if self._is_late_at(entry, load, first_s, now):
                return queue_order.Fit.TOO_SLOW
        return queue_order.Fit.FITS

    def _is_late_at(
        self,
        entry: queue_order.Entry,
        load: endpoint_load.EndpointLoad,
        first_s: float,
        now: float,
    ) -> bool:
        """Return whether a request would begin late at an endpoint with a place.

        Runs that began together end together, and a request beyond the slots may wait
        for a whole run instead of a part of it. This is checked where the request has a
        faster endpoint, since runs are long at a slow one.
        """
        left_s = entry.request.objective_at - now
        if first_s > left_s or load.running < load.slots:
            return first_s > left_s
        queued_s = queue_estimates.queued_s(entry, load, load.running)
        if first_s - queued_s + load.place_free_s(now) <= left_s:
            return False
        return any(
            self.load_by_id[i].speed > load.speed
            for i in self._accepting_ids(entry.request)
        )

    def _must_wait(
        self, entry: queue_order.Entry, load: endpoint_load.EndpointLoad
    ) -> bool:
        """Return whether the endpoint's free place is kept for another request."""
        if load.reserved_for is not None and not self._precedes_reserved(entry, load):
            return True
        return (
            entry.request.is_patient
            and load.is_full_for_patient()
            and entry.state is not queue_order.State.PROMOTED
        )

    def _reserve(
        self,
        entry: queue_order.Entry,
        load: endpoint_load.EndpointLoad,
        endpoint_id: str,
    ) -> None:
        """Reserve an endpoint for a waiting request that is blocked there."""
        max_reserved = max(1, int(MAX_RESERVED_SHARE * len(self.load_by_id)))
        if (
            entry.is_waiting
            and entry.reserved_id is None
            and load.reserved_for is None
            and self._reserved < max_reserved
        ):
            load.reserved_for = entry
            entry.reserved_id = endpoint_id
            self._reserved += 1

    def _precedes_reserved(
        self, entry: queue_order.Entry, load: endpoint_load.EndpointLoad
    ) -> bool:
        usage = self.shares.relative_usage
        return queue_order.order_key(entry, usage) <= queue_order.order_key(
            load.reserved_for, usage
        )

    def _choose(self, entry: queue_order.Entry, now: float) -> str | None:
        """Return the endpoint with room that suits a request best.

        None is returned if none has room, or if the request can begin in time, but not
        at an endpoint that has room.
        """
        request = entry.request
        is_on_time = entry.state is queue_order.State.ON_TIME
        best = None
        best_id = None
        for endpoint_id in request.endpoint_ids:
            load = self.load_by_id.get(endpoint_id)
            if load is None or not load.has_place(now):
                continue
            prompt_s = load.prompt_s(request, endpoint_id)
            if not load.has_room(request.memory_tokens, prompt_s) or (
                self._must_wait(entry, load)
            ):
                continue
            first_s = queue_estimates.loaded_first_s(entry, load, prompt_s)
            is_late = self._is_late_at(entry, load, first_s, now)
            if is_late and is_on_time:
                continue
            fullness = load.running * load.fullness_per_run
            is_full = fullness > MAX_FULLNESS
            is_remote = not is_full and endpoint_id not in request.local_ids
            load_s = queue_estimates.LOAD_S * fullness
            score = is_late, is_full, is_remote, first_s + load_s
            if best is None or score < best:
                best, best_id = score, endpoint_id
        return best_id

    def _grant(self, entry: queue_order.Entry, endpoint_id: str, now: float) -> None:
        request = entry.request
        self._forget_waiting(entry)
        load = self.load_by_id[endpoint_id]
        prompt_s = load.prompt_s(request, endpoint_id)
        queued_s = queue_estimates.queued_s(entry, load, load.running)
        grant = endpoint_load.Grant(
            request.key,
            endpoint_id,
            load.bounded(request.memory_tokens),
            now,
            prompt_s,
            prompt_s + load.unread_s,
            queued_s,
            request,
            entry.run_s / load.speed,
            now + queued_s + entry.run_s / load.speed,
        )
        self._hold(grant)
        if prompt_s:
            read_s = endpoint_load.READ_AFTER_RATIO * load.unread_s
            self._set_timer(now + read_s, grant)
        self.estimates.memory.add(grant.memory_tokens)
        self.shares.add(request.account, request.weight, grant.cost, now)
        self._view_by_id[endpoint_id].usage.add(entry, now)
        self._decided.append(Granted(request.key, endpoint_id))

    # Timers.

    def _set_timer(
        self, at: float, subject: queue_order.Entry | endpoint_load.Grant | str
    ) -> None:
        heapq.heappush(self._timers, (at, next(self._sequence), subject))
        requests = len(self.entry_by_key) + len(self.grant_by_key)
        if len(self._timers) > 2 * requests + MIN_STALE_TIMERS:
            self._timers = [item for item in self._timers if self._is_needed(item[2])]
            heapq.heapify(self._timers)

    def _is_needed(
        self, subject: queue_order.Entry | endpoint_load.Grant | str
    ) -> bool:
        match subject:
            case queue_order.Entry():
                return subject.is_waiting
            case endpoint_load.Grant():
                return subject.unread_s > 0
        return subject in self.load_by_id

    def _run_timers(self, now: float) -> None:
        while self._timers and self._timers[0][0] <= now:
            _, _, subject = heapq.heappop(self._timers)
            if not self._is_needed(subject):
                continue
            match subject:
                case queue_order.Entry():
                    self._update_state(subject, now)
                case endpoint_load.Grant():
                    self.load_by_id[subject.endpoint_id].mark_read(subject)
                    self._freed_ids.add(subject.endpoint_id)
                case endpoint_id:
                    self._freed_ids.add(endpoint_id)
                    rise_at = self.load_by_id[endpoint_id].next_rise_at(now)
                    if rise_at is None:
                        self._rising_ids.discard(endpoint_id)
                    else:
                        # Rounding must not give a time that has come already.
                        rise_at = max(rise_at, now + MIN_TIMER_S)
                        self._set_timer(rise_at, endpoint_id)

    def _update_state(self, entry: queue_order.Entry, now: float) -> None:
        """Refuse, promote or put back a waiting request whose time has come."""
        if now >= entry.request.send_by:
            self._refuse(entry, NOT_GRANTED, now)
            return
        state = entry.state
        # A late request that is not patient has missed its objective: the one grant in
        # SOONEST_INTERVAL is its share, and it does not make further ones late.
        if now >= entry.promote_at and (
            entry.request.is_patient or now < entry.late_at
        ):
            state = queue_order.State.PROMOTED
        elif now >= entry.late_at:
            state = queue_order.State.LATE
        if state is not entry.state:
            old_key = queue_order.bucket_key(entry)
            entry.state = state
            for endpoint_id in entry.request.endpoint_ids:
                if endpoint_id in self._order_by_id:
                    self._order_by_id[endpoint_id].move(entry, old_key)
            # It may take room that it could not take in its former state.
            self._changed.append(entry)
            if not entry.request.is_patient and self._refuse_if_certain(entry, now):
                return
        next_at = entry.next_change_at()
        self._set_timer(next_at if next_at > now else entry.request.send_by, entry)

    # Bookkeeping.

    def _waits(self, entry: queue_order.Entry, now: float) -> queue_estimates.Waits:
        views = [self._view_by_id[i] for i in self._accepting_ids(entry.request)]
        return queue_estimates.Waits(entry, views, self.estimates, now)

    def _refuse(self, entry: queue_order.Entry, reason: str, now: float) -> None:
        waits = self._waits(entry, now)
        wait_s = waits.until_granted_s()
        left_s = max(0.0, entry.request.send_by - entry.request.arrived_at)
        self._forget_waiting(entry)
        retry_after_s = waits.retry_after_s(wait_s - left_s)
        self._decided.append(Refused(entry.request.key, retry_after_s, reason))

    def _refuse_unsent(self, request: WaitingRequest, now: float) -> None:
        """Refuse a request whose time is over when it is added or repeated."""
        entry = self.entry_by_key.get(request.key)
        if entry is not None:
            self._refuse(entry, NOT_GRANTED, now)
            return
        retry_after_s = queue_estimates.MIN_RETRY_AFTER_S
        self._decided.append(Refused(request.key, retry_after_s, NOT_GRANTED))

    def _refuse_without_endpoint(self, key: Key) -> None:
        self._forget_waiting(self.entry_by_key[key])
        self._decided.append(Refused(key, 0.0, NO_ENDPOINT))

    def _first_s(self, entry: queue_order.Entry, now: float) -> float:
        """Return the time to the first event that a request can count on."""
        return min(
            (
                queue_estimates.full_first_s(entry, self.load_by_id[i], i, now)
                for i in self._accepting_ids(entry.request)
            ),
            default=0.0,
        )

    def _accepts(self, request: WaitingRequest) -> bool:
        loads = self.load_by_id
        return any(i in loads and loads[i].accepts for i in request.endpoint_ids)

    def _accepting_ids(self, request: WaitingRequest) -> list[str]:
        loads = self.load_by_id
        return [i for i in request.endpoint_ids if i in loads and loads[i].accepts]

    def _forget_waiting(self, entry: queue_order.Entry) -> None:
        key = entry.request.key
        self.entry_by_key.pop(key, None)
        self._fresh.pop(key, None)
        self._forget_key(key)
        if not entry.is_waiting:
            return
        entry.is_waiting = False
        bucket_key = queue_order.bucket_key(entry)
        for endpoint_id in entry.request.endpoint_ids:
            if endpoint_id in self._order_by_id:
                self._order_by_id[endpoint_id].remove(entry, bucket_key)
        account = entry.request.account
        self._waiting_by_account[account] -= 1
        if not self._waiting_by_account[account]:
            del self._waiting_by_account[account]
        if entry.reserved_id is not None:
            self._end_reservation(entry)

    def _end_reservation(self, entry: queue_order.Entry) -> None:
        load = self.load_by_id.get(entry.reserved_id)
        if load is not None:
            load.reserved_for = None
            self._freed_ids.add(entry.reserved_id)
        entry.reserved_id = None
        self._reserved -= 1

    def _hold(self, grant: endpoint_load.Grant) -> None:
        self.grant_by_key[grant.key] = grant
        self._keys_by_vm[grant.key[0]].add(grant.key)
        self.load_by_id[grant.endpoint_id].add(grant)

    def _release(self, key: Key) -> endpoint_load.Grant | None:
        grant = self.grant_by_key.pop(key, None)
        if grant is not None:
            self._forget_key(key)
            self.load_by_id[grant.endpoint_id].remove(grant)
            if len(self._order_by_id[grant.endpoint_id]):
                self._freed_ids.add(grant.endpoint_id)
        return grant

    def _forget_key(self, key: Key) -> None:
        keys = self._keys_by_vm.get(key[0])
        if keys is not None:
            keys.discard(key)
            if not keys:
                del self._keys_by_vm[key[0]]

    def _add_endpoint(self, endpoint_id: str, capacity: Capacity) -> None:
        load = endpoint_load.EndpointLoad(capacity, self.estimates.run.value)
        order = queue_order.EndpointOrder()
        usage = queue_estimates.EndpointUsage()
        self.load_by_id[endpoint_id] = load
        self._order_by_id[endpoint_id] = order
        self._view_by_id[endpoint_id] = queue_estimates.EndpointView(load, order, usage)
        # Requests may wait for an endpoint that returns while others are left.
        for entry in self.entry_by_key.values():
            if entry.is_waiting and endpoint_id in entry.request.endpoint_ids:
                order.add(entry)
        self._freed_ids.add(endpoint_id)

    def _drop_endpoint(self, endpoint_id: str) -> None:
        load = self.load_by_id[endpoint_id]
        for key in list(load.grant_by_key):
            self._release(key)
        if load.reserved_for is not None:
            self._end_reservation(load.reserved_for)
        del self.load_by_id[endpoint_id]
        del self._order_by_id[endpoint_id]
        del self._view_by_id[endpoint_id]
        self._freed_ids.discard(endpoint_id)
        self._rising_ids.discard(endpoint_id)


def _bounded(request: WaitingRequest, now: float) -> WaitingRequest:
    """Return a request whose numbers are within their bounds."""
    latest = now + MAX_WAIT_S
    send_by = min(request.send_by, latest)
    # Comparisons with NaN are false, so that such times count as now.
    objective_at = request.objective_at if request.objective_at > 0 else now
    arrived_at = request.arrived_at if request.arrived_at <= now else now
    weight = fair_shares.bounded_weight(request.weight)
    urgency = min(max(request.urgency, 0), declaration_types.LOWEST_URGENCY)
    prompt_tokens = max(0, request.prompt_tokens)
    shared_tokens = max(0, request.shared_tokens)
    memory_tokens = max(0, request.memory_tokens)
    endpoint_ids = request.endpoint_ids
    if len(endpoint_ids) > MAX_ENDPOINTS or len(set(endpoint_ids)) < len(endpoint_ids):
        endpoint_ids = tuple(dict.fromkeys(endpoint_ids))[:MAX_ENDPOINTS]
    if (
        send_by == request.send_by
        and objective_at == request.objective_at
        and arrived_at == request.arrived_at
        and weight == request.weight
        and urgency == request.urgency
        and prompt_tokens == request.prompt_tokens
        and shared_tokens == request.shared_tokens
        and memory_tokens == request.memory_tokens
        and endpoint_ids is request.endpoint_ids
    ):
        return request
    return attrs.evolve(
        request,
        send_by=send_by,
        objective_at=objective_at,
        arrived_at=arrived_at,
        weight=weight,
        urgency=urgency,
        prompt_tokens=prompt_tokens,
        shared_tokens=shared_tokens,
        memory_tokens=memory_tokens,
        endpoint_ids=endpoint_ids,
    )


def _is_same(former: WaitingRequest, request: WaitingRequest) -> bool:
    """Return whether a repeated request differs by its times at most."""
    return (
        former.endpoint_ids == request.endpoint_ids
        and former.local_ids == request.local_ids
        and former.prompt_tokens == request.prompt_tokens
        and former.shared_tokens == request.shared_tokens
        and former.memory_tokens == request.memory_tokens
        and former.urgency == request.urgency
        and former.account == request.account
        and former.weight == request.weight
        and former.is_patient == request.is_patient
    )
