"""Owners of slots: they grant each request its place in an endpoint's batch.

The owner of an endpoint has the exact count in flight and one priority queue
(:mod:`mothworks.batches`). It learns of ends that were lost, of entries that
died, and hands its queue over when the endpoint gets another owner.
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
    queues,
    slot_messages,
)

#: Seconds between sweeps of queues in which something waits.
SWEEP_S = 0.1
#: Seconds between checks with entries of the slots in use.
CHECK_S = 5.0
#: Time for which a former owner sends asks on, seconds.
FORMER_S = 10.0

#: Takes an owner's answer.
Answer = collections.abc.Callable[[slot_messages.SlotAnswer], None]


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
        #: Batches by which this entry bounds what it sends without an owner.
        self.guard_by_endpoint: dict[str, batches.Batch] = {}
        self.endpoint_by_key: dict[queues.Key, str] = {}
        #: Until when this VM is the former owner of endpoints, monotonic time.
        self.former_until_by_endpoint: dict[str, float] = {}
        self.has_queue = gevent.event.Event()
        self.peers.handle(slot_messages.AskSlot, self._serve_ask)
        self.peers.handle(slot_messages.SlotDone, self._serve_done)
        self.peers.handle(slot_messages.LostSlots, self._serve_lost)
        self.health.on_owned.append(self._hand_over)
        self.membership.on_change.append(self._reclaim)

    def start(self) -> None:
        """Start to look after the queues."""
        self.tasks.spawn(self._sweep_on)
        self.tasks.every(CHECK_S, self.check)

    @property
    def name(self) -> str:
        """Return this VM's name."""
        return self.kernel.settings.name

    def ask(self, entry: str, ask: slot_messages.AskSlot, answer: Answer) -> None:
        """Answer an ask for a slot of an endpoint, at once or later.

        :param entry: the entry's name.
        :param ask: its message.
        :param answer: takes each answer.
        """
        # An entry that has not heard of the new owner yet asks the former
        # one, which has forgotten what runs and would fill the batch again.
        until = self.former_until_by_endpoint.get(ask.endpoint, 0.0)
        if time.monotonic() < until:
            moved = int(slot_messages.Verdict.MOVED)
            answer(slot_messages.SlotAnswer(ask.number, moved))
            return
        self.endpoint_by_key[(entry, ask.number)] = ask.endpoint

        def keep_known(reply: slot_messages.SlotAnswer) -> None:
            if reply.verdict >= slot_messages.Verdict.REFUSED:
                self.endpoint_by_key.pop((entry, ask.number), None)
            answer(reply)

        batch = self.batch(ask.endpoint)
        batch.ask(ask, entry, keep_known)
        self._note_queue(batch)

    def ask_guard(
        self, endpoint: catalogue.Endpoint, ask: slot_messages.AskSlot, answer: Answer
    ) -> None:
        """Answer an ask of this VM's own, where no owner can be reached.

        :param endpoint: the endpoint.
        :param ask: the message that the owner would have got.
        :param answer: takes each answer.
        """
        guard = self.guard(endpoint)
        guard.ask(ask, self.name, answer)
        self._note_queue(guard)

    def done(self, entry: str, done: slot_messages.SlotDone) -> None:
        """End an ask, granted or waiting.

        :param entry: the entry's name.
        :param done: its message.
        """
        key = (entry, done.number)
        endpoint = self.endpoint_by_key.pop(key, None)
        if endpoint is None:
            return
        batch = self.batch(endpoint)
        held = batch.held_by_key.get(key)
        if held is not None and done.tokens > 1:
            target_ms = self._between_target_ms(held.ask.caller)
            batch.observe(held, done.between_tokens_us / 1000, target_ms)
        elif held is not None:
            batch.limit.miss()
        if done.outcome == slot_messages.Outcome.FAILED:
            batch.pause()
        batch.done(key, done.first_token_ms)

    def running(self, endpoint: str, target: str) -> frozenset[str]:
        """Return the requests in flight for a target at an owned endpoint.

        :param endpoint: the endpoint's name.
        :param target: a model or adapter.
        """
        held = self.batch(endpoint).held_by_key.values()
        return frozenset(
            item.ask.request_id for item in held if item.ask.target == target
        )

    def withhold(self, endpoint: str, models: frozenset[str]) -> None:
        """Give no further slots for some residents of an owned endpoint.

        An entry may not have heard yet that the models are not offered any
        more; the owner's own check keeps its requests from running into the
        unload. Requests that wait are turned away and go elsewhere.

        :param endpoint: the endpoint's name.
        :param models: models and adapters that are about to be unloaded.
        """
        self.health.withhold(endpoint, models)
        self.batch(endpoint).sweep(time.monotonic())

    def sweep(self) -> bool:
        """Refuse what waited too long or may not run any more.

        :returns: whether anything still waits.
        """
        now = time.monotonic()
        held = (*self.batch_by_endpoint.values(), *self.guard_by_endpoint.values())
        queued = [batch for batch in held if len(batch.queue)]
        for batch in queued:
            batch.sweep(now)
        return any(len(batch.queue) for batch in queued)

    def check(self) -> None:
        """Ask entries for slots that they do not know any more.

        The report of an end is lost with its connection; without the check
        its slot would stay taken for good.
        """
        numbers_by_entry: dict[str, list[int]] = {}
        old = time.monotonic() - CHECK_S
        for batch in self.batch_by_endpoint.values():
            for (entry, number), held in batch.held_by_key.items():
                if held.since < old and entry != self.name:
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
                self._why_closed,
                self._share,
                lambda: self._reported(name),
                endpoint is not None and self._preempts(endpoint),
            )
            self.batch_by_endpoint[name] = batch
        return batch

    def guard(self, endpoint: catalogue.Endpoint) -> batches.Batch:
        """Return what bounds this VM's requests to an endpoint without an owner.

        :param endpoint: the endpoint.
        """
        guard = self.guard_by_endpoint.get(endpoint.name)
        if guard is None:
            # Every entry may be without the owner at the same time; together
            # they then send about what the endpoint's batch holds.
            vms = len(self.membership.near()) + 1
            slots = max(1, math.ceil(endpoint.slots / vms))
            guard = batches.Batch(slots, self._why_closed, self._share)
            self.guard_by_endpoint[endpoint.name] = guard
        return guard

    def _note_queue(self, batch: batches.Batch) -> None:
        if len(batch.queue):
            self.has_queue.set()

    def _sweep_on(self) -> None:
        while True:
            self.has_queue.wait()
            gevent.sleep(SWEEP_S)
            self.has_queue.clear()
            if self.sweep():
                self.has_queue.set()

    def _preempts(self, endpoint: catalogue.Endpoint) -> bool:
        kind = self.health.adapters.get(endpoint.kind)
        return kind.preempts and endpoint.priorities

    def _reported(self, name: str) -> int | None:
        report = self.health.report_by_endpoint.get(name)
        return report.running if report else None

    def _why_closed(self, ask: slot_messages.AskSlot) -> str:
        withheld = self.health.withheld_by_endpoint.get(ask.endpoint, frozenset())
        if ask.target in withheld:
            return "not_offered"
        return self.placement.why_closed(ask.endpoint, ask.target)

    def _share(self, name: str) -> float:
        caller = self.configuration.index.caller_by_name.get(name)
        return caller.share if caller else 1.0

    def _between_target_ms(self, name: str) -> float:
        caller = self.configuration.index.caller_by_name.get(name)
        default = attrs.fields(catalogue.Caller).between_tokens_ms.default
        return caller.between_tokens_ms if caller else default

    def _hand_over(self) -> None:
        """Send what waits for endpoints that are no longer owned to new owners."""
        owned = self.health.owned()
        now = time.monotonic()
        self.former_until_by_endpoint = {
            name: until
            for name, until in self.former_until_by_endpoint.items()
            if until > now and name not in owned
        }
        for name in self.batch_by_endpoint.keys() - owned:
            self.former_until_by_endpoint[name] = now + FORMER_S
            batch = self.batch_by_endpoint.pop(name)
            batch.hand_over()
            for key in batch.held_by_key:
                self.endpoint_by_key.pop(key, None)

    def _reclaim(self) -> None:
        """Free the slots of entries that died."""
        for batch in list(self.batch_by_endpoint.values()):
            for key in batch.asks():
                if not self._lives(key[0]):
                    self.endpoint_by_key.pop(key, None)
                    batch.done(key)

    def _lives(self, entry: str) -> bool:
        record = self.membership.table.find(entry)
        return entry == self.name or (record is not None and record.live)

    def _serve_ask(self, sender: str, ask: slot_messages.AskSlot, _) -> None:
        self.ask(sender, ask, lambda reply: self.peers.send(sender, reply))

    def _serve_done(self, sender: str, done: slot_messages.SlotDone, _) -> None:
        self.done(sender, done)

    def _serve_lost(self, sender: str, lost: slot_messages.LostSlots, _) -> None:
        for number in lost.numbers:
            self.done(sender, slot_messages.SlotDone(number))
