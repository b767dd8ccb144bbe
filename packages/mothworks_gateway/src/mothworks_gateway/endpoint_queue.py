"""The queue in front of the endpoints of one service: which request is sent where.

Pure decisions: no clock, network or other part. The caller passes the time, reports
what happens to granted requests, and calls :meth:`EndpointQueue.decide` after changes
and at :meth:`EndpointQueue.next_at`. It is not safe for use by several threads.
"""

from mothworks_gateway import endpoint_load, fair_shares, queue_types

WaitingRequest = queue_types.WaitingRequest
Capacity = queue_types.Capacity
Granted = queue_types.Granted
Refused = queue_types.Refused

#: Reasons of refusals.
NO_ENDPOINT = "no endpoint left"
TOO_LATE = "not granted in time"
NO_ROOM = "no room in time"
QUEUE_FULL = "queue full"

#: Upper bound of the number of waiting requests.
MAX_WAITING = 4096
#: Mean duration of a run before the first one has ended, seconds.
DEFAULT_RUN_S = 0.1
#: Least Retry-After, seconds.
MIN_RETRY_AFTER_S = 0.1


class EndpointQueue:
    """Decides which waiting request of a service is sent to which endpoint."""

    def __init__(self):
        self.load_by_id: dict[str, endpoint_load.EndpointLoad] = {}
        self.request_by_key: dict[queue_types.Key, WaitingRequest] = {}
        self.grant_by_key: dict[queue_types.Key, endpoint_load.Grant] = {}
        self.shares = fair_shares.FairShares()
        self.mean_run_s = DEFAULT_RUN_S
        self._repeated: list[Granted | Refused] = []
        self._refusals = 0

    def set_capacities(self, capacity_by_id: dict[str, Capacity], now: float) -> None:
        """Set what each endpoint of the service can run; others are dropped."""
        for endpoint_id in [i for i in self.load_by_id if i not in capacity_by_id]:
            for key in list(self.load_by_id.pop(endpoint_id).grant_by_key):
                del self.grant_by_key[key]
        for endpoint_id, capacity in capacity_by_id.items():
            load = self.load_by_id.get(endpoint_id)
            if load is None:
                self.load_by_id[endpoint_id] = endpoint_load.EndpointLoad(capacity)
            elif load.capacity != capacity:
                load.set_capacity(capacity)

    def add(self, request: WaitingRequest, now: float) -> None:
        """Add a request; one with the same key is replaced and keeps its arrival."""
        grant = self.grant_by_key.get(request.key)
        if grant is not None:
            self._repeated.append(Granted(grant.key, grant.endpoint_id))
        elif request.key not in self.request_by_key:
            if len(self.request_by_key) >= MAX_WAITING:
                self._repeated.append(self._refuse(request.key, QUEUE_FULL, now))
            else:
                self.request_by_key[request.key] = request

    def withdraw(self, key: queue_types.Key, now: float) -> None:
        """Forget a waiting or granted request."""
        self.request_by_key.pop(key, None)
        self._release(key)

    def adopt(
        self,
        key: queue_types.Key,
        endpoint_id: str,
        memory_tokens: int,
        began: bool,
        now: float,
    ) -> None:
        """Record a grant of a former owner."""
        self.request_by_key.pop(key, None)
        grant = self.grant_by_key.get(key)
        if grant is not None and grant.endpoint_id != endpoint_id:
            self._release(key)
            grant = None
        load = self.load_by_id.get(endpoint_id)
        if grant is None and load is not None:
            grant = endpoint_load.Grant(key, endpoint_id, max(0, memory_tokens))
            self.grant_by_key[key] = grant
            load.add(grant)
        if began:
            self.began(key, now)

    def began(self, key: queue_types.Key, now: float) -> None:
        """Record the first event of a granted request."""
        grant = self.grant_by_key.get(key)
        if grant is not None:
            self.load_by_id[grant.endpoint_id].mark_read(grant)

    def ended(self, key: queue_types.Key, now: float) -> None:
        """Record the end of a granted request."""
        grant = self._release(key)
        if grant is not None and grant.granted_at is not None:
            run_s = max(0.0, now - grant.granted_at)
            self.mean_run_s += 0.1 * (run_s - self.mean_run_s)

    def was_full(self, key: queue_types.Key, now: float) -> None:
        """Record that the endpoint refused a granted request for lack of room."""
        grant = self.grant_by_key.get(key)
        if grant is not None:
            self.load_by_id[grant.endpoint_id].lower(now)
            self._release(key)

    def set_outside(self, running_by_id: dict[str, int]) -> None:
        """Set the number of runs at each endpoint that this queue did not grant."""
        for endpoint_id, load in self.load_by_id.items():
            load.outside = max(0, running_by_id.get(endpoint_id, 0))

    def drop_vm(self, vm: str, now: float) -> None:
        """Forget all requests of a VM."""
        for key in [*self.request_by_key, *self.grant_by_key]:
            if key[0] == vm:
                self.withdraw(key, now)

    def decide(self, now: float) -> list[Granted | Refused]:
        """Return the decisions that are due."""
        decisions, self._repeated = self._repeated, []
        ordered = sorted(
            self.request_by_key.values(),
            key=lambda item: (
                now + self.mean_run_s > item.objective_at,
                item.urgency,
                self.shares.relative_usage(item.account),
                item.objective_at,
            ),
        )
        for request in ordered:
            decision = self._decide_one(request, now)
            if decision is not None:
                del self.request_by_key[request.key]
                decisions.append(decision)
        return decisions

    def expected_wait_s(self, key: queue_types.Key, now: float) -> float:
        """Return the time until a waiting request is expected to be granted."""
        slots = sum(load.slots for load in self.load_by_id.values())
        return len(self.request_by_key) * self.mean_run_s / max(1, slots)

    def next_at(self) -> float | None:
        """Return when to call :meth:`decide` at the latest; None if nothing waits."""
        return min(
            (item.send_by for item in self.request_by_key.values()), default=None
        )

    def _decide_one(
        self, request: WaitingRequest, now: float
    ) -> Granted | Refused | None:
        ids = [i for i in request.endpoint_ids if i in self.load_by_id]
        ids = [i for i in ids if self.load_by_id[i].accepts]
        if not ids:
            return Refused(request.key, 0.0, NO_ENDPOINT)
        if now >= request.send_by:
            return self._refuse(request.key, TOO_LATE, now)
        free = [i for i in ids if self._has_room(self.load_by_id[i], i, request, now)]
        if not free:
            return None
        chosen_id = min(free, key=lambda i: self.load_by_id[i].fullness())
        load = self.load_by_id[chosen_id]
        grant = endpoint_load.Grant(
            request.key,
            chosen_id,
            max(0, request.memory_tokens),
            now,
            load.prompt_s(request, chosen_id),
            request,
            self.mean_run_s,
        )
        load.add(grant)
        self.grant_by_key[request.key] = grant
        self.shares.add(request.account, request.weight, grant.cost, now)
        return Granted(request.key, chosen_id)

    def _has_room(
        self,
        load: endpoint_load.EndpointLoad,
        endpoint_id: str,
        request: WaitingRequest,
        now: float,
    ) -> bool:
        return (
            load.has_place(self.mean_run_s, now)
            and (not request.is_patient or load.patient < load.max_patient)
            and load.has_memory(max(0, request.memory_tokens))
            and load.has_prefill(load.prompt_s(request, endpoint_id))
        )

    def _refuse(self, key: queue_types.Key, reason: str, now: float) -> Refused:
        return Refused(
            key, max(MIN_RETRY_AFTER_S, self.expected_wait_s(key, now)), reason
        )

    def _release(self, key: queue_types.Key) -> endpoint_load.Grant | None:
        grant = self.grant_by_key.pop(key, None)
        if grant is not None:
            self.load_by_id[grant.endpoint_id].remove(grant)
        return grant
