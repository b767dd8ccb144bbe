"""Ordering: has each site hold what its jobs say, one job at a time.

A task carries out a site's jobs while it has some: it drops what is in the way, once
nobody uses it, and loads what is wanted. Adapters go first, also while a model waits
to be dropped. What thousands of endpoints hold is asked by a few tasks.
"""

import collections
import time

import logbook

from mothworks import kernel, logs
from mothworks_gateway import (
    asked,
    declared,
    demand,
    discovery,
    lease,
    load,
    residency,
    site_orders,
    sites,
)

log = logbook.Logger("ordering")

#: Endpoints that are asked at once what they hold: a VM that has just become the holder
#: knows of none.
LOOKS_AT_ONCE = 64
#: Seconds between looks at whether a model that is to go is still used.
LEAVING_LOOK_S = 0.05
#: Time that a loaded adapter stays at least, seconds: the callers that wait for it
#: are told of it, wait for their turn (0.42 s at most), and a heartbeat (0.25 s) tells
#: the holder that it is used.
KEEP_ADAPTER_S = 0.6


class Ordering(kernel.Part):
    """The sites of the VM that holds the lease, and the tasks that work on them.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.registry = node_kernel.get(discovery.Discovery).registry
        self.lease = node_kernel.get(lease.Lease)
        self.load = node_kernel.get(load.Load)
        self.demand = node_kernel.get(demand.Demand)
        self.orders = node_kernel.get(site_orders.SiteOrders)
        self.site_by_id: dict[str, sites.EndpointState] = {}
        #: Sites that are to be looked at, and how many tasks do so.
        self._unknown: collections.deque[sites.EndpointState] = collections.deque()
        self._looking = 0
        node_kernel.get(residency.Residency).on_missed.append(self._distrust)
        self.registry.on_change.append(self._wake_all)

    def reset(self) -> None:
        """Forget everything, since another VM has ordered meanwhile."""
        self.site_by_id.clear()

    def of_service(self, service: str) -> list[sites.EndpointState]:
        """Return the sites of a service.

        :param service: its name.
        """
        return [
            state
            for state in self.site_by_id.values()
            if state.endpoint.entry.service == service
        ]

    def follow(self, declaration: declared.Declaration) -> None:
        """Take in which endpoints there are and what they can hold.

        :param declaration: the declaration in force.
        """
        for endpoint_id in self.site_by_id.keys() - self.registry.by_id.keys():
            del self.site_by_id[endpoint_id]
        for endpoint in self.registry.by_id.values():
            service = declaration.service_by_name.get(endpoint.entry.service)
            if service is None or service.accelerator is None:
                continue
            state = self.site_by_id.get(endpoint.id)
            if state is None:
                state = sites.EndpointState(endpoint, service.accelerator)
                self.site_by_id[endpoint.id] = state
            state.accelerator = service.accelerator

    def start_work(self) -> None:
        """Start what is to be done at sites on which no task works."""
        if not self.lease.held():
            return
        for state in self.site_by_id.values():
            if state.busy:
                continue
            if state.known:
                self._start_jobs(state)
            else:
                self._queue_look(state)
        self._start_looks()

    def _wake_all(self) -> None:
        for state in self.site_by_id.values():
            state.woken.set()

    def _distrust(self, endpoint_id: str) -> None:
        """Look again at an endpoint that lacked what it should hold."""
        state = self.site_by_id.get(endpoint_id)
        if state is not None:
            state.accepted = None
            state.woken.set()
            if not state.busy:
                self._queue_look(state)
                self._start_looks()

    def _queue_look(self, state: sites.EndpointState) -> None:
        if state.endpoint.open and time.monotonic() >= state.inventory_retry_at:
            state.busy = True
            self._unknown.append(state)

    def _start_looks(self) -> None:
        for _ in range(min(LOOKS_AT_ONCE - self._looking, len(self._unknown))):
            self._looking += 1
            self.tasks.spawn(self._look_at_unknown)

    def _look_at_unknown(self) -> None:
        """Ask endpoints what they hold, one after the other."""
        while self._unknown:
            state = self._unknown.popleft()
            if self._is_ours(state):
                self._look(state)
            state.busy = False
            self._start_jobs(state)
        self._looking -= 1

    def _look(self, state: sites.EndpointState) -> bool:
        """Ask an endpoint what it holds; returns whether that is known now."""
        if state.endpoint.open:
            self.orders.refresh(state)
        if not state.known:
            state.inventory_retry_at = (
                time.monotonic() + site_orders.INVENTORY_INTERVAL_S
            )
        return state.known

    def _is_ours(self, state: sites.EndpointState) -> bool:
        """Return whether this VM may still order what a site holds."""
        return self.lease.held() and self.site_by_id.get(state.endpoint.id) is state

    def _start_jobs(self, state: sites.EndpointState) -> None:
        if state.known and state.jobs and self._is_ours(state):
            state.busy = True
            self.tasks.spawn(self._work, state)

    def _work(self, state: sites.EndpointState) -> None:
        """Carry out a site's jobs for as long as it is known what it holds."""
        while self._is_ours(state):
            # Also after the last job, whose end may not have been seen.
            if not (state.known or self._look(state)):
                break
            if not state.jobs:
                break
            self._finish(state, state.next_job())
        state.busy = False

    def _finish(self, state: sites.EndpointState, job: sites.Job) -> None:
        """Carry out a job and take it off the site's list."""
        done = self._carry_out(state, job)
        if job in state.jobs:
            state.jobs.remove(job)
        if not done:
            logs.event(
                log,
                "job dropped",
                endpoint=state.endpoint.id,
                model=job.model,
                adapter=job.adapter,
                outcome="decided anew",
            )

    def _carry_out(self, state: sites.EndpointState, job: sites.Job) -> bool:
        """Load what a job names; returns whether it is held now."""
        model = state.accelerator.model_by_name.get(job.model)
        if model is None:
            return False
        if job.adapter:
            return self._carry_out_adapter(state, job, model)
        for name in job.evictions:
            if state.free_mb() >= model.memory_mb:
                break
            if not self._may_drop(state, job, name):
                return False
            if not self._drop(state, name):
                return False
        return state.free_mb() >= model.memory_mb and self.orders.order(
            state, True, job.model, ""
        )

    def _may_drop(self, state: sites.EndpointState, job: sites.Job, name: str) -> bool:
        """Return whether a model is still to be dropped.

        Used again since that was decided, its unload would wait for its
        requests and keep the endpoint from all other orders.
        """
        return job.forced or not self.load.of_model(state.endpoint.id, name)

    def _drop(self, state: sites.EndpointState, name: str) -> bool:
        """Drop a model once nobody uses it; returns whether it is gone.

        An unload waits for the requests that run, and its endpoint takes no
        other order meanwhile: callers of adapters there would be refused. So
        all VMs are told to send no more, and the order follows when those that
        run have ended.
        """
        running = self.load.of_model(state.endpoint.id, name)
        state.leaving = name
        state.drained_at = time.monotonic() + sites.expected_unload_s(running)
        self.orders.publish(state)
        until = time.monotonic() + sites.MAX_DRAIN_S
        while self._in_use(state, name) and time.monotonic() < until:
            job = state.next_adapter()
            if job is not None:
                self._finish(state, job)
            else:
                state.woken.clear()
                state.woken.wait(LEAVING_LOOK_S)
        gone = self.orders.order(state, False, name, "")
        state.leaving = ""
        if not gone:
            # VMs may send there again.
            self.orders.publish(state)
        return gone

    def _in_use(self, state: sites.EndpointState, name: str) -> bool:
        """Return whether it is worth waiting until a model is not used."""
        running = self.load.of_model(state.endpoint.id, name)
        return bool(running) and state.open and self.lease.held()

    def _carry_out_adapter(
        self, state: sites.EndpointState, job: sites.Job, model: declared.Model
    ) -> bool:
        if job.model not in state.adapters_by_model:
            return False
        while (
            state.adapter_count() >= state.accelerator.adapter_places
            or state.free_mb() < model.adapter_mb
        ):
            victim = self._unused_adapter(state)
            if victim is None or not self.orders.order(state, False, *victim):
                return False
        return self.orders.order(state, True, job.model, job.adapter)

    def has_adapter_slot(self, state: sites.EndpointState) -> bool:
        """Return whether one more adapter can be loaded at a site now.

        :param state: the site.
        """
        waiting = sum(1 for job in state.jobs if job.adapter)
        free = state.accelerator.adapter_places - state.adapter_count() - waiting
        return free > 0 or len(self._idle_adapters(state)) > -free

    def _unused_adapter(self, state: sites.EndpointState) -> tuple[str, str] | None:
        """Return the adapter that is least asked for, of those that nobody uses."""

        def missed(key: tuple[str, str]) -> tuple[float, float]:
            target = asked.Target(state.endpoint.entry.service, *key)
            return self.demand.rate(target), state.loaded_at_by_adapter.get(key, 0.0)

        return min(self._idle_adapters(state), key=missed, default=None)

    def _idle_adapters(self, state: sites.EndpointState) -> list[tuple[str, str]]:
        """Return the adapters that may make way for another one."""
        oldest = time.monotonic() - KEEP_ADAPTER_S
        return [
            (name, adapter)
            for name, held in state.adapters_by_model.items()
            for adapter in held
            if not self.load.of_adapter(state.endpoint.id, name, adapter)
            and state.loaded_at_by_adapter.get((name, adapter), 0.0) < oldest
        ]
