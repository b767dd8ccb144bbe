"""Grants the batch slots of the endpoints that this VM owns.

The owner of an endpoint counts its requests in flight and queues further ones
by priority (:mod:`mothworks.batches`). It releases slots whose release message
was lost or whose entry, the VM that received the request, died. It hands its
queue over when the endpoint gets another owner.
"""

import collections.abc
import math
import time

import attrs
import gevent
import gevent.event

from mothworks import (
    batches,
    catalogue,
    configuration,
    health,
    kernel,
    membership,
    peers,
    placement,
    plugins,
    request_queue,
    slot_messages,
)

#: Seconds between sweeps of queues that are not empty.
SWEEP_INTERVAL_S = 0.1
#: Seconds between checks with entries that their slots are still in use.
CHECK_INTERVAL_S = 5.0
#: Time for which a former owner redirects slot requests to its successor, seconds.
REDIRECT_S = 10.0

#: Sends or delivers an owner's reply.
ReplyCallback = collections.abc.Callable[[slot_messages.SlotReply], None]


@plugins.register(plugins.PART, "slot owner")
class SlotOwner(kernel.Part):
    """Grants slots of the endpoints that this VM owns.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.membership = node_kernel.get(membership.Membership)
        self.placement = node_kernel.get(placement.Placement)
        self.health = node_kernel.get(health.Health)
        self.peers = node_kernel.get(peers.Peers)
        self.batch_by_endpoint: dict[str, batches.Batch] = {}
        #: Batches that limit what this VM sends to endpoints without an owner.
        self.fallback_by_endpoint: dict[str, batches.Batch] = {}
        self.endpoint_by_key: dict[request_queue.Key, str] = {}
        #: End of the time for which this former owner redirects, monotonic seconds.
        self.redirect_until_by_endpoint: dict[str, float] = {}
        self.has_queue = gevent.event.Event()
        self.peers.handle(slot_messages.SlotRequest, self._serve_request)
        self.peers.handle(slot_messages.SlotRelease, self._serve_release)
        self.peers.handle(slot_messages.UnknownSlots, self._serve_unknown)
        self.health.on_owned_changed.append(self._hand_over)
        self.membership.on_change.append(self._release_dead_entries)

    def start(self) -> None:
        """Start to sweep the queues and to check the slots in use."""
        self.tasks.spawn(self._sweep_loop)
        self.tasks.every(CHECK_INTERVAL_S, self.check_slots)

    @property
    def name(self) -> str:
        """Return this VM's name."""
        return self.kernel.settings.name

    def request(
        self,
        entry: str,
        request: slot_messages.SlotRequest,
        send_reply: ReplyCallback,
    ) -> None:
        """Grant, queue or refuse a slot request.

        :param entry: the entry's name.
        :param request: the entry's slot request.
        :param send_reply: called with each reply: at once, and again when a queued
            request is granted, refused or redirected.
        """
        # An entry that does not know the new owner yet sends its slot request to
        # the former one, which has dropped its count and would fill the batch again.
        until = self.redirect_until_by_endpoint.get(request.endpoint, 0.0)
        if time.monotonic() < until:
            moved = int(slot_messages.SlotStatus.MOVED)
            send_reply(slot_messages.SlotReply(request.number, moved))
            return
        self.endpoint_by_key[(entry, request.number)] = request.endpoint

        def forget_refused(reply: slot_messages.SlotReply) -> None:
            if reply.status >= slot_messages.SlotStatus.REFUSED:
                self.endpoint_by_key.pop((entry, request.number), None)
            send_reply(reply)

        batch = self.batch(request.endpoint)
        batch.request(request, entry, forget_refused)
        self._wake_sweep(batch)

    def request_fallback(
        self,
        endpoint: catalogue.Endpoint,
        request: slot_messages.SlotRequest,
        send_reply: ReplyCallback,
    ) -> None:
        """Serve this VM's own slot request when no owner can be reached.

        :param endpoint: the endpoint.
        :param request: the slot request that the owner would have received.
        :param send_reply: called with each reply.
        """
        fallback = self.fallback_batch(endpoint)
        fallback.request(request, self.name, send_reply)
        self._wake_sweep(fallback)

    def release(self, entry: str, message: slot_messages.SlotRelease) -> None:
        """Release a slot, or cancel a queued slot request.

        :param entry: the entry's name.
        :param message: the entry's message.
        """
        key = (entry, message.number)
        endpoint = self.endpoint_by_key.pop(key, None)
        if endpoint is None:
            return
        batch = self.batch(endpoint)
        slot = batch.slot_by_key.get(key)
        if slot is not None and message.tokens > 1:
            target_ms = self._between_target_ms(slot.request.caller)
            batch.observe(slot, message.between_tokens_us / 1000, target_ms)
        elif slot is not None:
            batch.limit.count_unmeasured()
        if message.outcome == slot_messages.Outcome.FAILED:
            batch.pause(message.pause_ms / 1000)
        batch.release(key, message.first_token_ms)

    def running_requests(self, endpoint: str, target: str) -> frozenset[str]:
        """Return the requests in flight for a target at an owned endpoint.

        :param endpoint: the endpoint's name.
        :param target: a model or adapter.
        """
        slots_in_use = self.batch(endpoint).slot_by_key.values()
        return frozenset(
            slot.request.request_id
            for slot in slots_in_use
            if slot.request.target == target
        )

    def withhold(self, endpoint: str, models: frozenset[str]) -> None:
        """Grant no further slots for some resident models of an owned endpoint.

        An entry may not know yet that the models are no longer available; the
        owner's check prevents its requests from running during the unload. Queued
        requests are refused, and their entries try other endpoints.

        :param endpoint: the endpoint's name.
        :param models: models and adapters that are about to be unloaded.
        """
        self.health.withhold(endpoint, models)
        self.batch(endpoint).sweep(time.monotonic())

    def sweep(self) -> bool:
        """Refuse queued requests that expired or may not run any more.

        :returns: whether any request is still queued.
        """
        now = time.monotonic()
        all_batches = (
            *self.batch_by_endpoint.values(),
            *self.fallback_by_endpoint.values(),
        )
        waiting_batches = [batch for batch in all_batches if len(batch.queue)]
        for batch in waiting_batches:
            batch.sweep(now)
        return any(len(batch.queue) for batch in waiting_batches)

    def check_slots(self) -> None:
        """Ask the entries of slots granted long ago whether these are still in use.

        A release message is lost if its connection breaks; without the check its
        slot would leak.
        """
        numbers_by_entry: dict[str, list[int]] = {}
        granted_before = time.monotonic() - CHECK_INTERVAL_S
        for batch in self.batch_by_endpoint.values():
            for (entry, number), slot in batch.slot_by_key.items():
                if slot.since < granted_before and entry != self.name:
                    numbers_by_entry.setdefault(entry, []).append(number)
        for entry, numbers in numbers_by_entry.items():
            self.peers.send(entry, slot_messages.CheckSlots(numbers))

    def batch(self, name: str) -> batches.Batch:
        """Return the slots and the queue of an endpoint.

        :param name: the endpoint's name.
        """
        batch = self.batch_by_endpoint.get(name)
        if batch is None:
            endpoint = self.configuration.index.endpoint_by_name.get(name)
            slots = endpoint.slots if endpoint else 1
            batch = batches.Batch(
                slots,
                self._closed_reason,
                self._caller_share,
                lambda: self._reported_running(name),
                endpoint is not None and self._can_preempt(endpoint),
            )
            self.batch_by_endpoint[name] = batch
        return batch

    def fallback_batch(self, endpoint: catalogue.Endpoint) -> batches.Batch:
        """Return the batch that limits this VM's requests to an unowned endpoint.

        :param endpoint: the endpoint.
        """
        fallback = self.fallback_by_endpoint.get(endpoint.name)
        if fallback is None:
            # All VMs of the region may lose the owner at the same time. Each gets an
            # equal part of the slots, so that together they about fill the
            # endpoint's batch.
            vms = len(self.membership.region_peers()) + 1
            slots = max(1, math.ceil(endpoint.slots / vms))
            fallback = batches.Batch(slots, self._closed_reason, self._caller_share)
            self.fallback_by_endpoint[endpoint.name] = fallback
        return fallback

    def _wake_sweep(self, batch: batches.Batch) -> None:
        if len(batch.queue):
            self.has_queue.set()

    def _sweep_loop(self) -> None:
        while True:
            self.has_queue.wait()
            gevent.sleep(SWEEP_INTERVAL_S)
            self.has_queue.clear()
            if self.sweep():
                self.has_queue.set()

    def _can_preempt(self, endpoint: catalogue.Endpoint) -> bool:
        adapter = self.health.adapters.get(endpoint.kind)
        return adapter.can_preempt and endpoint.priorities

    def _reported_running(self, name: str) -> int | None:
        report = self.health.report_by_endpoint.get(name)
        return report.running if report else None

    def _closed_reason(self, request: slot_messages.SlotRequest) -> str:
        withheld = self.health.withheld_by_endpoint.get(request.endpoint, frozenset())
        if request.target in withheld:
            return "not_offered"
        return self.placement.closed_reason(request.endpoint, request.target)

    def _caller_share(self, name: str) -> float:
        caller = self.configuration.index.caller_by_name.get(name)
        return caller.share if caller else 1.0

    def _between_target_ms(self, name: str) -> float:
        caller = self.configuration.index.caller_by_name.get(name)
        default = attrs.fields(catalogue.Caller).between_tokens_ms.default
        return caller.between_tokens_ms if caller else default

    def _hand_over(self) -> None:
        """Redirect the queued requests of endpoints that are no longer owned."""
        owned = self.health.owned()
        now = time.monotonic()
        self.redirect_until_by_endpoint = {
            name: until
            for name, until in self.redirect_until_by_endpoint.items()
            if until > now and name not in owned
        }
        for name in self.batch_by_endpoint.keys() - owned:
            self.redirect_until_by_endpoint[name] = now + REDIRECT_S
            batch = self.batch_by_endpoint.pop(name)
            batch.hand_over()
            for key in batch.slot_by_key:
                self.endpoint_by_key.pop(key, None)

    def _release_dead_entries(self) -> None:
        """Release the slots and queued requests of entries that died."""
        for batch in list(self.batch_by_endpoint.values()):
            for key in batch.request_keys():
                if not self._is_alive(key[0]):
                    self.endpoint_by_key.pop(key, None)
                    batch.release(key)

    def _is_alive(self, entry: str) -> bool:
        record = self.membership.table.find(entry)
        return entry == self.name or (record is not None and record.live)

    def _serve_request(
        self, sender: str, request: slot_messages.SlotRequest, _
    ) -> None:
        self.request(sender, request, lambda reply: self.peers.send(sender, reply))

    def _serve_release(
        self, sender: str, message: slot_messages.SlotRelease, _
    ) -> None:
        self.release(sender, message)

    def _serve_unknown(
        self, sender: str, message: slot_messages.UnknownSlots, _
    ) -> None:
        for number in message.numbers:
            self.release(sender, slot_messages.SlotRelease(number))
