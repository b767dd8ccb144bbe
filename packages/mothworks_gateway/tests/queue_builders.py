"""Builders and loads in virtual time for the tests of the endpoint queue."""

import collections
import heapq
import itertools
import random

import attrs

from mothworks_gateway import endpoint_queue

#: One-way delay of a message between VMs or to an endpoint, seconds.
MESSAGE_S = 0.003
#: Work of a plain request, its places and its queue at an endpoint.
RUN_S = 0.08
SLOTS = 4
QUEUED = 8


def capacity(slots=SLOTS, memory_tokens=0, prefill_tokens_per_s=0.0, **fields):
    return endpoint_queue.Capacity(slots, memory_tokens, prefill_tokens_per_s, **fields)


def request(ticket=1, vm="vm-1", now=0.0, objective_s=0.4, send_s=4.0, **fields):
    values = {
        "endpoint_ids": ("a",),
        "local_ids": frozenset(),
        "prompt_tokens": 0,
        "shared_tokens": 0,
        "memory_tokens": 0,
        "urgency": 0,
        "account": "",
        "weight": 1.0,
        "is_patient": False,
    } | fields
    return endpoint_queue.WaitingRequest(
        key=(vm, ticket),
        arrived_at=now,
        objective_at=now + objective_s,
        send_by=now + send_s,
        **values,
    )


def make_queue(now=0.0, **capacity_by_id):
    """Return a queue in front of endpoints; of one with 4 slots by default."""
    queue = endpoint_queue.EndpointQueue()
    queue.set_capacities(capacity_by_id or {"a": capacity()}, now)
    return queue


def granted(decisions):
    """Return the endpoints of granted requests, by ticket."""
    return {
        item.key[1]: item.endpoint_id
        for item in decisions
        if isinstance(item, endpoint_queue.Granted)
    }


def refused(decisions):
    """Return the refusals, by ticket."""
    return {
        item.key[1]: item
        for item in decisions
        if isinstance(item, endpoint_queue.Refused)
    }


def container_sizes(queue):
    """Return the number of items in each container that a queue holds."""
    sizes = {}
    pending = [("queue", queue)]
    while pending:
        path, item = pending.pop()
        if isinstance(item, dict | list | set | collections.deque):
            sizes[path] = len(item)
        if isinstance(item, dict):
            pending += [(f"{path}[{key}]", value) for key, value in item.items()]
        elif type(item).__module__.startswith("mothworks_gateway") and hasattr(
            item, "__dict__"
        ):
            pending += [(f"{path}.{key}", value) for key, value in vars(item).items()]
    return sizes


@attrs.frozen
class Callers:
    """Callers that send at random times, and once more if they are refused.

    :param per_s: requests a second from ``begin_s`` to ``end_s``.
    :param answer_s: the time that they give the answer.
    """

    name: str
    per_s: float
    begin_s: float = 0.0
    end_s: float = 16.0
    objective_s: float = 0.4
    answer_s: float = 4.0
    urgency: int = 0
    account: str = ""
    is_patient: bool = False
    run_s: float = RUN_S


def patient(name, per_s, begin_s=0.0, end_s=16.0, **fields):
    values = {"objective_s": 6.0, "answer_s": 20.0, "urgency": 1} | fields
    return Callers(name, per_s, begin_s, end_s, is_patient=True, **values)


@attrs.define
class Outcome:
    """What became of the requests of some callers.

    :param held_s: times for which requests waited that were refused.
    """

    sent: int = 0
    answered: int = 0
    in_time: int = 0
    refusals: int = 0
    rejected: int = 0
    given_up: int = 0
    held_s: list[float] = attrs.field(factory=list)

    @property
    def in_time_share(self):
        return self.in_time / self.sent

    @property
    def answered_share(self):
        return self.answered / self.sent


@attrs.define(eq=False)
class _Sent:
    callers: Callers
    first_at: float
    ticket: int
    is_again: bool = False
    asked_at: float = 0.0


class Simulation:
    """Callers, a queue, and plain endpoints with places and queues of their own.

    :param speeds: the speed of each endpoint.
    :param queue_class: the class of the queue under test.
    """

    def __init__(self, speeds=(1.0,) * 4, seed=1, queue_class=None):
        self.rng = random.Random(seed)
        self.speed_by_id = {f"e-{n}": speed for n, speed in enumerate(speeds)}
        self.queue = (queue_class or endpoint_queue.EndpointQueue)()
        self.queue.set_capacities(
            {
                endpoint_id: capacity(speed=speed)
                for endpoint_id, speed in self.speed_by_id.items()
            },
            0.0,
        )
        self.now = 0.0
        self.outcome_by_name = collections.defaultdict(Outcome)
        self.answers_by_id = collections.Counter()
        #: Time, and whether in time, of each answer.
        self.answers = []
        self._events = []
        self._sequence = itertools.count()
        self._sent_by_key = {}
        self._running = collections.Counter()
        self._queued = collections.defaultdict(collections.deque)
        self._wake_at = None

    @property
    def per_s(self):
        """Return the capacity, requests a second."""
        return SLOTS / RUN_S * sum(self.speed_by_id.values())

    def goodput(self, begin_s=2.0, end_s=16.0):
        """Return the answers in an interval, of all and in time, by the capacity."""
        results = [was for at, was in self.answers if begin_s <= at < end_s]
        possible = self.per_s * (end_s - begin_s)
        return len(results) / possible, sum(results) / possible

    def run(self, *all_callers, seconds=40.0):
        """Run until all callers have got their answers; returns outcomes by name."""
        for callers in all_callers:
            at = callers.begin_s + self.rng.expovariate(callers.per_s)
            while at < callers.end_s:
                self._at(at, self._send, _Sent(callers, at, next(self._sequence)))
                at += self.rng.expovariate(callers.per_s)
        while self._events and self._events[0][0] < seconds:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self.outcome_by_name

    def lose(self, at, *endpoint_ids):
        """Lose endpoints at a time."""
        left = {i: capacity() for i in self.speed_by_id if i not in endpoint_ids}
        self._at(at, lambda: self.queue.set_capacities(left, self.now))

    def _at(self, at, action, *arguments):
        heapq.heappush(self._events, (at, next(self._sequence), action, arguments))

    def _after(self, seconds, action, *arguments):
        self._at(self.now + seconds, action, *arguments)

    def _send(self, sent):
        callers = sent.callers
        if not sent.is_again:
            self.outcome_by_name[callers.name].sent += 1
        sent.asked_at = self.now
        ids = list(self.speed_by_id)
        self.rng.shuffle(ids)
        self._sent_by_key["vm-1", sent.ticket] = sent
        asked = request(
            sent.ticket,
            now=self.now,
            objective_s=callers.objective_s - MESSAGE_S,
            send_s=sent.first_at + callers.answer_s - self.now - 2 * RUN_S,
            endpoint_ids=tuple(ids),
            urgency=callers.urgency,
            account=callers.account,
            is_patient=callers.is_patient,
        )
        self.queue.add(asked, self.now)
        self._decide()

    def _decide(self):
        for decision in self.queue.decide(self.now):
            sent = self._sent_by_key.pop(decision.key)
            match decision:
                case endpoint_queue.Granted():
                    self._after(2 * MESSAGE_S, self._arrive, sent, decision.endpoint_id)
                case endpoint_queue.Refused():
                    self._on_refused(sent, decision.retry_after_s)
        next_at = self.queue.next_at()
        if next_at is not None and (self._wake_at is None or next_at < self._wake_at):
            self._wake_at = max(next_at, self.now)
            self._at(self._wake_at, self._wake)

    def _wake(self):
        self._wake_at = None
        self._decide()

    def _on_refused(self, sent, retry_after_s):
        outcome = self.outcome_by_name[sent.callers.name]
        outcome.refusals += 1
        outcome.held_s.append(self.now - sent.asked_at)
        # The objective of a caller that was refused with a Retry-After begins again.
        if sent.is_again:
            outcome.given_up += 1
            return
        at = self.now + retry_after_s
        again = _Sent(sent.callers, at, next(self._sequence), True)
        self._at(at, self._send, again)

    def _arrive(self, sent, endpoint_id):
        if self._running[endpoint_id] < SLOTS:
            self._begin(sent, endpoint_id)
        elif len(self._queued[endpoint_id]) < QUEUED:
            self._queued[endpoint_id].append(sent)
        else:
            self.outcome_by_name[sent.callers.name].rejected += 1
            self.queue.was_full(("vm-1", sent.ticket), self.now)
            self._on_refused(sent, 0.3)

    def _begin(self, sent, endpoint_id):
        self._running[endpoint_id] += 1
        run_s = sent.callers.run_s * self.rng.uniform(0.9, 1.1)
        self._after(run_s / self.speed_by_id[endpoint_id], self._end, sent, endpoint_id)

    def _end(self, sent, endpoint_id):
        self._running[endpoint_id] -= 1
        if self._queued[endpoint_id]:
            self._begin(self._queued[endpoint_id].popleft(), endpoint_id)
        outcome = self.outcome_by_name[sent.callers.name]
        waited_s = self.now + MESSAGE_S - sent.first_at
        outcome.answered += waited_s <= sent.callers.answer_s
        outcome.in_time += waited_s <= sent.callers.objective_s
        self.answers_by_id[endpoint_id] += 1
        self.answers.append((self.now, waited_s <= sent.callers.objective_s))
        self._after(2 * MESSAGE_S, self._report_end, sent)

    def _report_end(self, sent):
        self.queue.ended(("vm-1", sent.ticket), self.now)
        self._decide()
