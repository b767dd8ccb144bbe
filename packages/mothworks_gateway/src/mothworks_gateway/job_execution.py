"""Job execution: executes the queued jobs of each endpoint, one at a time.

While an endpoint has jobs, one task executes them: it evicts what is in the way, once
no request uses it, and loads what the job names. Adapters go first, even while a model
drains before its unload. A limited number of tasks request the inventories of what may
be thousands of endpoints.
"""

import collections
import time

import logbook

from mothworks import kernel, logs
from mothworks_gateway import (
    caller_request,
    declaration_types,
    demand,
    discovery,
    endpoint_state,
    lease,
    order_sender,
    residency,
    running_requests,
)

log = logbook.Logger("ordering")

#: Maximum number of concurrent inventory requests: a VM that has just acquired the
#: lease knows the state of no endpoint.
MAX_INVENTORY_TASKS = 64
#: Seconds between checks whether a draining model is still in use.
DRAIN_POLL_S = 0.05
#: Minimum time that a loaded adapter stays, seconds. The callers that wait for it are
#: informed, wait for a prefill slot (0.42 s at most), and a heartbeat (every 0.25 s)
#: reports to the lease holder that it is in use.
MIN_ADAPTER_STAY_S = 0.6


class JobExecutor(kernel.Part):
    """The endpoint states kept by the lease holder, and the tasks that work on them.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.registry = node_kernel.get(discovery.Discovery).registry
        self.lease = node_kernel.get(lease.Lease)
        self.running_requests = node_kernel.get(running_requests.RunningRequests)
        self.demand = node_kernel.get(demand.Demand)
        self.order_sender = node_kernel.get(order_sender.OrderSender)
        self.state_by_id: dict[str, endpoint_state.EndpointState] = {}
        #: Endpoints whose inventory is to be requested, and the number of tasks that do
        #: so.
        self._inventory_queue: collections.deque[endpoint_state.EndpointState] = (
            collections.deque()
        )
        self._inventory_tasks = 0
        node_kernel.get(residency.Residency).on_not_held.append(self._on_not_held)
        self.registry.on_change.append(self._wake_all)

    def reset(self) -> None:
        """Discard all states, since another VM has sent orders meanwhile."""
        self.state_by_id.clear()

    def of_service(self, service: str) -> list[endpoint_state.EndpointState]:
        """Return the states of a service's endpoints.

        :param service: its name.
        """
        return [
            state
            for state in self.state_by_id.values()
            if state.endpoint.entry.service == service
        ]

    def update_endpoints(self, declaration: declaration_types.Declaration) -> None:
        """Add and remove states with their endpoints, and update what these can hold.

        :param declaration: the declaration in force.
        """
        for endpoint_id in self.state_by_id.keys() - self.registry.by_id.keys():
            del self.state_by_id[endpoint_id]
        for endpoint in self.registry.by_id.values():
            service = declaration.service_by_name.get(endpoint.entry.service)
            if service is None or service.accelerator is None:
                continue
            state = self.state_by_id.get(endpoint.id)
            if state is None:
                state = endpoint_state.EndpointState(endpoint, service.accelerator)
                self.state_by_id[endpoint.id] = state
            state.accelerator = service.accelerator

    def start_work(self) -> None:
        """Start tasks for endpoints that need one and have none."""
        if not self.lease.held():
            return
        for state in self.state_by_id.values():
            if state.busy:
                continue
            if state.known:
                self._start_jobs(state)
            else:
                self._queue_inventory(state)
        self._start_inventory_tasks()

    def _wake_all(self) -> None:
        for state in self.state_by_id.values():
            state.woken.set()

    def _on_not_held(self, endpoint_id: str) -> None:
        """Request the inventory of an endpoint that lacked what it should hold."""
        state = self.state_by_id.get(endpoint_id)
        if state is not None:
            state.accepted_orders = None
            state.woken.set()
            if not state.busy:
                self._queue_inventory(state)
                self._start_inventory_tasks()

    def _queue_inventory(self, state: endpoint_state.EndpointState) -> None:
        if state.endpoint.available and time.monotonic() >= state.inventory_retry_at:
            state.busy = True
            self._inventory_queue.append(state)

    def _start_inventory_tasks(self) -> None:
        for _ in range(
            min(MAX_INVENTORY_TASKS - self._inventory_tasks, len(self._inventory_queue))
        ):
            self._inventory_tasks += 1
            self.tasks.spawn(self._request_inventories)

    def _request_inventories(self) -> None:
        """Request the queued inventories, one after the other."""
        while self._inventory_queue:
            state = self._inventory_queue.popleft()
            if self._may_order(state):
                self._request_inventory(state)
            state.busy = False
            self._start_jobs(state)
        self._inventory_tasks -= 1

    def _request_inventory(self, state: endpoint_state.EndpointState) -> bool:
        """Request an endpoint's inventory; returns whether its state is now known."""
        if state.endpoint.available:
            self.order_sender.refresh(state)
        if not state.known:
            state.inventory_retry_at = (
                time.monotonic() + order_sender.INVENTORY_INTERVAL_S
            )
        return state.known

    def _may_order(self, state: endpoint_state.EndpointState) -> bool:
        """Return whether this VM may still send orders to an endpoint."""
        return self.lease.held() and self.state_by_id.get(state.endpoint.id) is state

    def _start_jobs(self, state: endpoint_state.EndpointState) -> None:
        if state.known and state.jobs and self._may_order(state):
            state.busy = True
            self.tasks.spawn(self._work, state)

    def _work(self, state: endpoint_state.EndpointState) -> None:
        """Execute an endpoint's jobs for as long as its state is known."""
        while self._may_order(state):
            # Also after the last job, whose result may not have been observed.
            if not (state.known or self._request_inventory(state)):
                break
            if not state.jobs:
                break
            self._run_job(state, state.next_job())
        state.busy = False

    def _run_job(
        self, state: endpoint_state.EndpointState, job: endpoint_state.Job
    ) -> None:
        """Execute a job and remove it from the queue."""
        done = self._execute(state, job)
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

    def _execute(
        self, state: endpoint_state.EndpointState, job: endpoint_state.Job
    ) -> bool:
        """Load what a job names; returns whether it is held now."""
        model = state.accelerator.model_by_name.get(job.model)
        if model is None:
            return False
        if job.adapter:
            return self._execute_adapter(state, job, model)
        for name in job.evictions:
            if state.free_mb() >= model.memory_mb:
                break
            if job.model not in state.accelerator.model_by_name:
                # A declaration dropped it while another model was evicted.
                return False
            if not self._may_unload(state, job, name):
                return False
            if not self._unload(state, name):
                return False
        return state.free_mb() >= model.memory_mb and self.order_sender.order(
            state, True, job.model, ""
        )

    def _may_unload(
        self, state: endpoint_state.EndpointState, job: endpoint_state.Job, name: str
    ) -> bool:
        """Return whether a model may still be evicted.

        If it was used again since the decision, its unload would wait for its requests
        and block all other orders of the endpoint.
        """
        return job.forced or not self.running_requests.of_model(state.endpoint.id, name)

    def _unload(self, state: endpoint_state.EndpointState, name: str) -> bool:
        """Drain and unload a model; returns whether it is gone.

        An unload waits for running requests, and the endpoint accepts no other order
        meanwhile, so callers of adapters there would be refused. So all VMs are first
        informed that they must send no more requests, and the order is sent once the
        running ones have ended.
        """
        running = self.running_requests.of_model(state.endpoint.id, name)
        state.draining_model = name
        state.drained_at = time.monotonic() + endpoint_state.expected_drain_s(running)
        self.order_sender.publish(state)
        deadline = time.monotonic() + endpoint_state.MAX_DRAIN_S
        while self._still_draining(state, name) and time.monotonic() < deadline:
            job = state.next_adapter()
            if job is not None:
                self._run_job(state, job)
            else:
                state.woken.clear()
                state.woken.wait(DRAIN_POLL_S)
        gone = self.order_sender.order(state, False, name, "")
        state.draining_model = ""
        if not gone:
            # Inform the VMs that they may send requests for the model again.
            self.order_sender.publish(state)
        return gone

    def _still_draining(self, state: endpoint_state.EndpointState, name: str) -> bool:
        """Return whether to continue waiting for a model's requests to end."""
        running = self.running_requests.of_model(state.endpoint.id, name)
        return bool(running) and state.available and self.lease.held()

    def _execute_adapter(
        self,
        state: endpoint_state.EndpointState,
        job: endpoint_state.Job,
        model: declaration_types.Model,
    ) -> bool:
        if job.model not in state.adapters_by_model:
            return False
        while (
            state.adapter_count() >= state.accelerator.adapter_slots
            or state.free_mb() < model.adapter_mb
        ):
            victim = self._adapter_to_evict(state)
            if victim is None or not self.order_sender.order(state, False, *victim):
                return False
        return self.order_sender.order(state, True, job.model, job.adapter)

    def has_adapter_slot(self, state: endpoint_state.EndpointState) -> bool:
        """Return whether one more adapter can be loaded on an endpoint now.

        :param state: the endpoint's state.
        """
        queued = sum(1 for job in state.jobs if job.adapter)
        free_slots = state.accelerator.adapter_slots - state.adapter_count() - queued
        return free_slots > 0 or len(self._idle_adapters(state)) > -free_slots

    def _adapter_to_evict(
        self, state: endpoint_state.EndpointState
    ) -> tuple[str, str] | None:
        """Return the idle adapter with the fewest requests, or None."""

        def eviction_key(key: tuple[str, str]) -> tuple[float, float]:
            target = caller_request.Target(state.endpoint.entry.service, *key)
            return self.demand.rate(target), state.loaded_at_by_adapter.get(key, 0.0)

        return min(self._idle_adapters(state), key=eviction_key, default=None)

    def _idle_adapters(
        self, state: endpoint_state.EndpointState
    ) -> list[tuple[str, str]]:
        """Return the adapters that may be evicted for another one."""
        loaded_before = time.monotonic() - MIN_ADAPTER_STAY_S
        return [
            (name, adapter)
            for name, held_adapters in state.adapters_by_model.items()
            for adapter in held_adapters
            if not self.running_requests.of_adapter(state.endpoint.id, name, adapter)
            and state.loaded_at_by_adapter.get((name, adapter), 0.0) < loaded_before
        ]
