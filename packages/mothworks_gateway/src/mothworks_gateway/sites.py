"""A site: what the holder of the lease knows of one model endpoint."""

import collections
import time

import attrs
import gevent.event

from mothworks_gateway import adapters, declared, registry

#: Time to drop an unused model, seconds.
DROP_S = 0.1
#: Time until the requests have ended that use a model, seconds: for one, for
#: each further one, and at most. Streams last 2 s on average, and the longest
#: of several ends last.
RUNNING_S = 1.2
RUNNING_MORE_S = 0.3
MOST_RUNNING_S = 4.0
#: Most jobs that wait at a site.
MOST_JOBS = 16
#: Time without orders for an endpoint that one did not reach, seconds.
PAUSE_S = 1.0


def unload_s(running: int) -> float:
    """Return how long a model that is dropped keeps its place.

    :param running: requests that use it.
    """
    if not running:
        return 0.0
    return min(MOST_RUNNING_S, RUNNING_S + RUNNING_MORE_S * (running - 1))


def carried_out(
    held: dict[str, set[str]], load: bool, model: str, adapter: str
) -> dict[str, set[str]]:
    """Return what an endpoint holds once an order is carried out.

    :param held: what it holds before, models with their adapters.
    :param load: whether the order loads; otherwise it unloads.
    :param model: the model.
    :param adapter: its adapter; empty for the model itself.

    >>> carried_out({"m": {"a1"}}, True, "n", "")
    {'m': {'a1'}, 'n': set()}
    """
    after = {name: set(adapters_held) for name, adapters_held in held.items()}
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
    """Something that a site is to hold.

    :param model: the model.
    :param adapter: its adapter; empty for the model itself.
    :param drops: models to drop first.
    :param forced: whether they are dropped also while requests use them.
    """

    model: str
    adapter: str = ""
    evictions: tuple[str, ...] = ()
    forced: bool = False


@attrs.define(eq=False)
class EndpointState:
    """A model endpoint as the holder sees it.

    :param endpoint: the endpoint.
    :param accelerator: what it can hold.
    :param accepted: orders that it has accepted; None while unknown.
    :param adapters_by_model: what it holds after those orders.
    :param loading: the model that it loads now, or empty.
    :param ready_at: monotonic time at which that is done.
    :param leaving: the model that is dropped once nobody uses it, or empty.
    :param gone_at: monotonic time at which that is probably so.
    :param jobs: what it is to load next.
    :param busy: whether a task works on it.
    :param look_at: monotonic time from which its endpoint may be asked again what it
        holds, after it gave no answer.
    :param paused_until: monotonic time until which it gets no orders, after one
        that did not reach it.
    :param copied: models that it was to load once, for a copy on its disk.
    :param loaded_at_by_adapter: monotonic time at which (model, adapter) was loaded.
    :param unloaded_at: monotonic time at which it accepted to drop a model, until it
        takes the next order.
    """

    endpoint: registry.Endpoint
    accelerator: declared.Accelerator
    accepted: int | None = None
    adapters_by_model: dict[str, set[str]] = attrs.field(factory=dict)
    loading: str = ""
    ready_at: float = 0.0
    leaving: str = ""
    gone_at: float = 0.0
    jobs: collections.deque[Job] = attrs.field(factory=collections.deque)
    busy: bool = False
    look_at: float = 0.0
    paused_until: float = 0.0
    copied: set[str] = attrs.field(factory=set)
    loaded_at_by_adapter: dict[tuple[str, str], float] = attrs.field(factory=dict)
    unloaded_at: float | None = None
    woken: gevent.event.Event = attrs.field(factory=gevent.event.Event)

    @property
    def known(self) -> bool:
        """Return whether it is known what the endpoint holds."""
        return self.accepted is not None

    @property
    def open(self) -> bool:
        """Return whether the endpoint takes new work."""
        return self.endpoint.open and time.monotonic() >= self.paused_until

    @property
    def occupied(self) -> bool:
        """Return whether a model is being loaded or dropped, or soon will be."""
        return bool(self.loading) or any(not job.adapter for job in self.jobs)

    def will_hold(self, model: str, adapter: str) -> bool:
        """Return whether a model or adapter is held or about to be.

        :param model: the model.
        :param adapter: its adapter, or empty.
        """
        if any(job.model == model and job.adapter == adapter for job in self.jobs):
            return True
        if any(model in job.evictions for job in self.jobs):
            return False
        if not adapter and model == self.loading:
            return True
        held = self.adapters_by_model.get(model)
        return held is not None and (not adapter or adapter in held)

    def next_adapter(self) -> Job | None:
        """Return the next adapter to load whose model is held."""
        for job in self.jobs:
            held = job.model in self.adapters_by_model and job.model != self.leaving
            if job.adapter and held:
                return job
        return None

    def next_job(self) -> Job | None:
        """Return what to load next.

        Adapters go first: they take milliseconds, and behind a model they would
        wait for seconds.
        """
        return self.next_adapter() or (self.jobs[0] if self.jobs else None)

    def adapters_held(self) -> int:
        """Return how many adapters take a place."""
        return sum(len(held) for held in self.adapters_by_model.values())

    def memory_mb(self, name: str) -> float:
        """Return the memory that a model takes here with its adapters, MB.

        :param name: a model that is held, or will be.
        """
        return self._size_mb(name, self.adapters_by_model.get(name, set()))

    def free_mb(self) -> float:
        """Return the memory that nothing takes, MB."""
        return self.accelerator.memory_mb - sum(map(self.memory_mb, self.taking()))

    def taking(self) -> dict[str, set[str]]:
        """Return the models that take memory, with their adapters."""
        if not self.loading:
            return self.adapters_by_model
        return {self.loading: set(), **self.adapters_by_model}

    def fits(self, model: str, adapter: str, beside: dict[str, set[str]]) -> bool:
        """Return whether there is room for a model or adapter.

        An adapter whose model is not there finds none: it is refused.

        :param model: the model.
        :param adapter: its adapter, or empty.
        :param beside: what else takes memory; see :meth:`taking`.
        """
        wanted = self.accelerator.model_by_name.get(model)
        if wanted is None or adapter and model not in beside:
            return False
        count = sum(map(len, beside.values()))
        if adapter and count >= self.accelerator.adapter_places:
            return False
        taken_mb = sum(self._size_mb(name, held) for name, held in beside.items())
        needed_mb = wanted.adapter_mb if adapter else wanted.memory_mb
        return taken_mb + needed_mb <= self.accelerator.memory_mb

    def after(self, order: adapters.Order) -> dict[str, set[str]]:
        """Return what takes memory once an order is carried out.

        :param order: the order.
        """
        return carried_out(self.taking(), order.load, order.model, order.adapter)

    def take(self, seen: adapters.Inventory) -> None:
        """Take over what the endpoint reports.

        :param seen: the report.
        """
        if seen.ordered:
            # What it is carrying out is not known, and so neither is the
            # memory that it will take.
            self.accepted = None
            return
        self.accepted = seen.accepted
        self.loading = ""
        self.adapters_by_model = {
            item.model: set(item.adapters) for item in seen.holdings
        }
        for model, adapter in seen.arriving:
            self.adapters_by_model.setdefault(model, set()).add(adapter)

    def note(self, order: adapters.Order, outcome: adapters.OrderOutcome) -> None:
        """Take an order's effect into account.

        A model that is loaded takes memory at once, and is held when
        :meth:`finish` says so. What an unload frees counts as free at once,
        since the endpoint takes no further order until the model is gone.

        :param order: the order.
        :param outcome: what the endpoint answered.
        """
        match outcome:
            case adapters.OrderOutcome.ACCEPTED if order.load and not order.adapter:
                self.accepted += 1
                self.loading = order.model
            case adapters.OrderOutcome.ACCEPTED:
                self.accepted += 1
                self.finish(order)
            case adapters.OrderOutcome.DONE if not order.load:
                self.finish(order)
                # Whether it counted as accepted is not said.
                self.accepted = self.accepted + 1 if order.adapter else None
            case adapters.OrderOutcome.DONE:
                self.accepted = None

    def finish(self, order: adapters.Order) -> None:
        """Take note that an order has been carried out.

        :param order: the order.
        """
        if order.load and not order.adapter and order.model == self.loading:
            # Only the end of its own load frees a model from being loaded: an
            # unload that did, too, left its memory out of the books.
            self.loading = ""
        self.adapters_by_model = self._without_loading(self.after(order))
        if order.load and order.adapter:
            self.loaded_at_by_adapter[order.model, order.adapter] = time.monotonic()

    def _without_loading(self, taking: dict[str, set[str]]) -> dict[str, set[str]]:
        if self.loading and self.loading not in self.adapters_by_model:
            taking.pop(self.loading, None)
        return taking

    def _size_mb(self, name: str, held: set[str]) -> float:
        model = self.accelerator.model_by_name.get(name)
        if model is None:
            # No longer declared, so its size is unknown: assume the worst.
            return self.accelerator.memory_mb
        return model.memory_mb + model.adapter_mb * len(held)

    def load_s(self, model: declared.Model) -> float:
        """Return how long a model takes to load here, seconds.

        :param model: the model.
        """
        entry = self.endpoint.entry
        if model.name in entry.in_host_memory:
            return model.host_s
        if model.name in entry.on_disk:
            return model.disk_s
        return model.store_s

    def coming_s(self) -> dict[str, float]:
        """Return the seconds until each model that it is to load is ready."""
        now = time.monotonic()
        left_s = max(0.0, self.ready_at - now) if self.loading else 0.0
        if self.leaving:
            left_s += max(0.0, self.gone_at - now)
        seconds = {self.loading: left_s} if self.loading else {}
        for job in self.jobs:
            model = self.accelerator.model_by_name.get(job.model)
            if not job.adapter and model is not None and job.model not in seconds:
                left_s += DROP_S * bool(job.evictions) + self.load_s(model)
                seconds[job.model] = left_s
        return seconds

    def at_hand(self) -> set[str]:
        """Return the models that it loads without the weight store."""
        entry = self.endpoint.entry
        coming = {job.model for job in self.jobs if not job.adapter}
        held = self.adapters_by_model.keys() | coming | {self.loading}
        # Not every endpoint tells of its copies.
        return held | entry.in_host_memory | entry.on_disk | self.copied

    def pause(self) -> None:
        """Give it no orders for a while, and look before the next one.

        A crashed endpoint still has its entry, and orders that fail at once
        would be decided again and again, while callers wait.
        """
        self.accepted = None
        self.paused_until = time.monotonic() + PAUSE_S

    def after_jobs(self) -> dict[str, set[str]]:
        """Return what it holds once its jobs are done."""
        held = dict(self.adapters_by_model)
        if self.loading:
            held.setdefault(self.loading, set())
        for job in self.jobs:
            for name in job.evictions:
                held.pop(name, None)
            held.setdefault(job.model, set())
        return held

    def add(self, job: Job) -> None:
        """Queue a job.

        :param job: what to load.
        """
        if len(self.jobs) < MOST_JOBS:
            self.jobs.append(job)
            self.woken.set()
