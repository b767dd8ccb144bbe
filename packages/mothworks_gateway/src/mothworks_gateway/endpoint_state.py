"""The lease holder's state of one model endpoint."""

import collections
import time

import attrs
import gevent.event

from mothworks_gateway import adapters, declaration_types, registry

#: Time to unload an unused model, seconds.
UNLOAD_S = 0.1
#: Expected time until the requests that use a model have ended, seconds: for one
#: request, for each further one, and the maximum. Streams last 2 s on average, and the
#: longest of several ends last.
DRAIN_S = 1.2
DRAIN_PER_REQUEST_S = 0.3
MAX_DRAIN_S = 4.0
#: Maximum number of queued jobs per endpoint.
MAX_JOBS = 16
#: Time without orders for an endpoint after one that did not reach it, seconds.
PAUSE_S = 1.0


def expected_drain_s(running: int) -> float:
    """Return the expected time until no request uses a model any more, seconds.

    :param running: number of requests that use it now.
    """
    if not running:
        return 0.0
    return min(MAX_DRAIN_S, DRAIN_S + DRAIN_PER_REQUEST_S * (running - 1))


def holdings_after(
    holdings: dict[str, set[str]], load: bool, model: str, adapter: str
) -> dict[str, set[str]]:
    """Return what an endpoint holds once an order is executed.

    :param holdings: what it holds before, adapters by model.
    :param load: whether the order loads; otherwise it unloads.
    :param model: the model.
    :param adapter: its adapter; empty for the model itself.

    >>> holdings_after({"m": {"a1"}}, True, "n", "")
    {'m': {'a1'}, 'n': set()}
    """
    after = {name: set(held_adapters) for name, held_adapters in holdings.items()}
    if load and adapter:
        after.setdefault(model, set()).add(adapter)
    elif load:
        after.setdefault(model, set())
    elif adapter:
        after.get(model, set()).discard(adapter)
    else:
        after.pop(model, None)
    return after


@attrs.frozen
class Job:
    """A queued load of a model or adapter.

    :param model: the model.
    :param adapter: its adapter; empty for the model itself.
    :param evictions: models to unload first.
    :param forced: whether these are unloaded even while requests use them.
    """

    model: str
    adapter: str = ""
    evictions: tuple[str, ...] = ()
    forced: bool = False


@attrs.frozen
class ExpectedLoad:
    """What the load of a model is expected to take.

    It is determined when the load is ordered: a later declaration may lack the model.

    :param seconds: its duration.
    :param uses_store: whether it uses the weight store.
    """

    seconds: float
    uses_store: bool


@attrs.define(eq=False)
class EndpointState:
    """What the lease holder knows and plans for a model endpoint.

    :param endpoint: the endpoint.
    :param accelerator: what it can hold.
    :param accepted_orders: number of orders that it has accepted; None while unknown.
    :param adapters_by_model: what it holds after those orders.
    :param loading: the model that it is loading, or empty.
    :param ready_at: monotonic time at which that load is expected to be done.
    :param draining_model: the model that is draining before its unload, or empty.
    :param drained_at: monotonic time at which no request is expected to use it.
    :param jobs: what it is to load next.
    :param busy: whether a task works on it.
    :param inventory_retry_at: monotonic time from which its inventory may be requested
        again, after a request failed.
    :param paused_until: monotonic time until which it gets no orders, after one that
        did not reach it.
    :param copied: models that it was to load once, to have a copy on its disk.
    :param loaded_at_by_adapter: monotonic time at which (model, adapter) was loaded.
    :param unload_accepted_at: monotonic time at which it accepted the unload of a
        model, until it accepts the next order.
    :param woken: set to wake the task that works on it, after a job was added or
        what it holds may have changed.
    """

    endpoint: registry.Endpoint
    accelerator: declaration_types.Accelerator
    accepted_orders: int | None = None
    adapters_by_model: dict[str, set[str]] = attrs.field(factory=dict)
    loading: str = ""
    ready_at: float = 0.0
    draining_model: str = ""
    drained_at: float = 0.0
    jobs: collections.deque[Job] = attrs.field(factory=collections.deque)
    busy: bool = False
    inventory_retry_at: float = 0.0
    paused_until: float = 0.0
    copied: set[str] = attrs.field(factory=set)
    loaded_at_by_adapter: dict[tuple[str, str], float] = attrs.field(factory=dict)
    unload_accepted_at: float | None = None
    woken: gevent.event.Event = attrs.field(factory=gevent.event.Event)

    @property
    def known(self) -> bool:
        """Return whether it is known what the endpoint holds."""
        return self.accepted_orders is not None

    @property
    def available(self) -> bool:
        """Return whether the endpoint accepts new orders and requests."""
        return self.endpoint.available and time.monotonic() >= self.paused_until

    @property
    def occupied(self) -> bool:
        """Return whether it loads a model or has one queued."""
        return bool(self.loading) or any(not job.adapter for job in self.jobs)

    def will_hold(self, model: str, adapter: str) -> bool:
        """Return whether a model or adapter is held, loading or queued.

        :param model: the model.
        :param adapter: its adapter, or empty.
        """
        if any(job.model == model and job.adapter == adapter for job in self.jobs):
            return True
        if any(model in job.evictions for job in self.jobs):
            return False
        if not adapter and model == self.loading:
            return True
        held_adapters = self.adapters_by_model.get(model)
        return held_adapters is not None and (not adapter or adapter in held_adapters)

    def next_adapter(self) -> Job | None:
        """Return the first queued adapter whose model is held."""
        for job in self.jobs:
            holds_model = (
                job.model in self.adapters_by_model and job.model != self.draining_model
            )
            if job.adapter and holds_model:
                return job
        return None

    def next_job(self) -> Job | None:
        """Return the next job to execute.

        Adapters go first: they load in milliseconds, and would wait for seconds behind
        a model.
        """
        return self.next_adapter() or (self.jobs[0] if self.jobs else None)

    def adapter_count(self) -> int:
        """Return the number of adapter slots in use."""
        return sum(
            len(held_adapters) for held_adapters in self.adapters_by_model.values()
        )

    def memory_mb(self, name: str) -> float:
        """Return the memory that a model uses here with its adapters, MB.

        :param name: a model that is held, or will be.
        """
        return self._size_mb(name, self.adapters_by_model.get(name, set()))

    def free_mb(self) -> float:
        """Return the unused memory, MB."""
        return self.accelerator.memory_mb - sum(map(self.memory_mb, self.in_memory()))

    def in_memory(self) -> dict[str, set[str]]:
        """Return the models that use memory, with their adapters."""
        if not self.loading:
            return self.adapters_by_model
        return {self.loading: set(), **self.adapters_by_model}

    def fits(self, model: str, adapter: str, holdings: dict[str, set[str]]) -> bool:
        """Return whether there is memory and, for an adapter, a slot for a load.

        An adapter whose model is not held does not fit: the endpoint refuses it.

        :param model: the model.
        :param adapter: its adapter, or empty.
        :param holdings: what else uses memory; see :meth:`in_memory`.
        """
        declared_model = self.accelerator.model_by_name.get(model)
        if declared_model is None or adapter and model not in holdings:
            return False
        adapter_count = sum(map(len, holdings.values()))
        if adapter and adapter_count >= self.accelerator.adapter_slots:
            return False
        used_mb = sum(
            self._size_mb(name, held_adapters)
            for name, held_adapters in holdings.items()
        )
        needed_mb = declared_model.adapter_mb if adapter else declared_model.memory_mb
        return used_mb + needed_mb <= self.accelerator.memory_mb

    def after(self, order: adapters.Order) -> dict[str, set[str]]:
        """Return what uses memory once an order is executed.

        :param order: the order.
        """
        return holdings_after(self.in_memory(), order.load, order.model, order.adapter)

    def apply_inventory(self, inventory: adapters.Inventory) -> None:
        """Replace this state by what the endpoint reports.

        :param inventory: the report.
        """
        if inventory.executing_order:
            # The order that it is executing is unknown, and so is the memory that it
            # will use.
            self.accepted_orders = None
            return
        self.accepted_orders = inventory.accepted_orders
        self.loading = ""
        self.adapters_by_model = {
            item.model: set(item.adapters) for item in inventory.holdings
        }
        for model, adapter in inventory.loading_adapters:
            self.adapters_by_model.setdefault(model, set()).add(adapter)

    def apply_outcome(
        self, order: adapters.Order, outcome: adapters.OrderOutcome, load_s: float = 0.0
    ) -> None:
        """Apply the effect of an order.

        A model being loaded uses memory at once, and is held once :meth:`finish` is
        called. Memory that an unload frees counts as free at once, since the endpoint
        accepts no further order until the unload is done.

        :param order: the order.
        :param outcome: the endpoint's response.
        :param load_s: expected duration of the load of a model, seconds.
        """
        match outcome:
            case adapters.OrderOutcome.ACCEPTED if order.load and not order.adapter:
                self._count_accepted()
                self.loading = order.model
                self.ready_at = time.monotonic() + load_s
            case adapters.OrderOutcome.ACCEPTED:
                self._count_accepted()
                self.finish(order)
            case adapters.OrderOutcome.DONE if not order.load and order.adapter:
                self.finish(order)
                self._count_accepted()
            case adapters.OrderOutcome.DONE if not order.load:
                self.finish(order)
                # The response does not say whether the order was counted.
                self.accepted_orders = None
            case adapters.OrderOutcome.DONE:
                self.accepted_orders = None

    def _count_accepted(self) -> None:
        """Count an accepted order; an unknown number stays unknown.

        While the order was on its way, a VM may have reported that the endpoint lacks
        what it should hold.
        """
        if self.accepted_orders is not None:
            self.accepted_orders += 1

    def finish(self, order: adapters.Order) -> None:
        """Record that an order has been executed.

        :param order: the order.
        """
        if order.load and not order.adapter and order.model == self.loading:
            # Only the end of its own load ends the loading state. When an unload did
            # so, too, the memory of the model being loaded was counted as free.
            self.loading = ""
        self.adapters_by_model = self._without_loading(self.after(order))
        if order.load and order.adapter:
            self.loaded_at_by_adapter[order.model, order.adapter] = time.monotonic()

    def _without_loading(self, holdings: dict[str, set[str]]) -> dict[str, set[str]]:
        if self.loading and self.loading not in self.adapters_by_model:
            holdings.pop(self.loading, None)
        return holdings

    def _size_mb(self, name: str, held_adapters: set[str]) -> float:
        model = self.accelerator.model_by_name.get(name)
        if model is None:
            # The model is no longer declared, so its size is unknown: assume the worst
            # case.
            return self.accelerator.memory_mb
        return model.memory_mb + model.adapter_mb * len(held_adapters)

    def load_s(self, model: declaration_types.Model) -> float:
        """Return how long a model takes to load here, seconds.

        :param model: the model.
        """
        entry = self.endpoint.entry
        if model.name in entry.in_host_memory:
            return model.host_load_s
        if model.name in entry.on_disk:
            return model.disk_load_s
        return model.store_load_s

    def expected_load(self, name: str) -> ExpectedLoad | None:
        """Return what a load of a model takes here; None if it is not declared.

        :param name: the model.
        """
        model = self.accelerator.model_by_name.get(name)
        if model is None:
            return None
        load_s = self.load_s(model)
        return ExpectedLoad(load_s, load_s >= model.store_load_s)

    def ready_s_by_model(self) -> dict[str, float]:
        """Return the seconds until ready of each model that is loading or queued."""
        now = time.monotonic()
        until_ready_s = max(0.0, self.ready_at - now) if self.loading else 0.0
        if self.draining_model:
            until_ready_s += max(0.0, self.drained_at - now)
        ready_s = {self.loading: until_ready_s} if self.loading else {}
        for job in self.jobs:
            model = self.accelerator.model_by_name.get(job.model)
            if not job.adapter and model is not None and job.model not in ready_s:
                until_ready_s += UNLOAD_S * bool(job.evictions) + self.load_s(model)
                ready_s[job.model] = until_ready_s
        return ready_s

    def local_models(self) -> set[str]:
        """Return the models that it loads without the weight store."""
        entry = self.endpoint.entry
        queued = {job.model for job in self.jobs if not job.adapter}
        local_models = self.adapters_by_model.keys() | queued | {self.loading}
        # Not every endpoint reports its copies.
        return local_models | entry.in_host_memory | entry.on_disk | self.copied

    def pause(self) -> None:
        """Send no orders for a while, and request the inventory before the next one.

        A crashed endpoint is still registered. Without the pause, orders that fail at
        once are decided again and again while callers wait.
        """
        self.accepted_orders = None
        self.paused_until = time.monotonic() + PAUSE_S

    def holdings_after_jobs(self) -> dict[str, set[str]]:
        """Return what it holds once its jobs are done."""
        holdings = dict(self.adapters_by_model)
        if self.loading:
            holdings.setdefault(self.loading, set())
        for job in self.jobs:
            for name in job.evictions:
                holdings.pop(name, None)
            holdings.setdefault(job.model, set())
        return holdings

    def add(self, job: Job) -> None:
        """Queue a job; it is discarded if the queue is full.

        :param job: what to load.
        """
        if len(self.jobs) < MAX_JOBS:
            self.jobs.append(job)
            self.woken.set()
