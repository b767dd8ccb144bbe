"""What the queue has granted at one endpoint, and the room that is left there."""

import math

import attrs

from mothworks_gateway import queue_order, queue_types

#: Time between the end of a run and the next grant's arrival, seconds. Endpoints get
#: that much work beyond their slots, or places would be idle during the round trip.
ROUND_TRIP_S = 0.01
#: Upper bound of the overlap, as a share of the slots.
MAX_OVERLAP_SHARE = 0.5
#: Share of the slots that patient requests may take, so that an urgent request finds
#: a place without waiting for the end of a patient run.
PATIENT_SHARE = 0.75
#: Factor of the limit after a refusal for lack of room.
LOWERED_SHARE = 0.8
#: Interval at which a lowered limit rises by one place, seconds.
RISE_INTERVAL_S = 2.0
#: A prompt counts as read after this many times its expected prefill time: the message
#: on its first event may be lost.
READ_AFTER_RATIO = 3.0
#: Bounds of the relative speed, against estimates that would give divisions by zero.
MIN_SPEED = 0.05
MAX_SPEED = 20.0


@attrs.define(eq=False)
class Grant:
    """A place that was granted and not released.

    :param key: the request's key.
    :param endpoint_id: the endpoint.
    :param memory_tokens: tokens of memory that it may take.
    :param granted_at: time of the grant; None if a former owner granted it.
    :param unread_s: expected prefill time of its prompt, seconds; 0 once it was read.
    :param ahead_s: expected time for prompts, its own and earlier ones, seconds.
    :param queued_s: expected time until runs had ended that held its place, seconds.
    :param request: the request; None if a former owner granted it.
    :param cost: seconds that were charged to its account.
    :param expected_end: time at which its run is expected to end; 0 if not known.
    """

    key: queue_types.Key
    endpoint_id: str
    memory_tokens: int
    granted_at: float | None = None
    unread_s: float = 0.0
    ahead_s: float = 0.0
    queued_s: float = 0.0
    request: queue_types.WaitingRequest | None = None
    cost: float = 0.0
    expected_end: float = 0.0
    has_begun: bool = False

    @property
    def is_patient(self) -> bool:
        """Return whether it runs a patient request."""
        return self.request is not None and self.request.is_patient


class EndpointLoad:
    """Grants at one endpoint.

    :param capacity: what the endpoint can run.
    :param mean_run_s: mean duration of a run, seconds.
    """

    def __init__(self, capacity: queue_types.Capacity, mean_run_s: float):
        self.grant_by_key: dict[queue_types.Key, Grant] = {}
        self.memory_tokens = 0
        #: Requests that may run there, and those of them that are patient.
        self.running = 0
        self.patient = 0
        self.unread_s = 0.0
        #: The waiting request that precedes all later ones here; None if there is none.
        self.reserved_for: queue_order.Entry | None = None
        #: Runs that the queue did not grant, and the memory that they may take.
        self.outside = 0
        self.outside_memory_tokens = 0
        self._lowered_to: int | None = None
        self._lowered_at = 0.0
        self.set_capacity(capacity)
        self.set_mean_run(mean_run_s)

    def set_capacity(self, capacity: queue_types.Capacity) -> None:
        """Set what the endpoint can run.

        :param capacity: the capacity; numbers out of range are bounded.
        """
        self.capacity = capacity
        self.slots = max(0, capacity.slots)
        speed = capacity.speed
        # A comparison with NaN is false, so that it becomes the mean speed.
        self.speed = min(MAX_SPEED, max(MIN_SPEED, speed)) if speed > 0 else 1.0
        prefill = capacity.prefill_tokens_per_s
        #: Share of the endpoint that one run takes, relative to its speed.
        self.fullness_per_run = 1.0 / (max(1, self.slots) * self.speed)
        self.s_per_token = 1.0 / prefill if prefill > 0 else 0.0
        self.max_patient = max(1, math.floor(PATIENT_SHARE * self.slots))
        self.accepts = capacity.accepts and self.slots > 0

    def fullness(self) -> float:
        """Return the share of the slots in use, relative to the speed."""
        return self.running * self.fullness_per_run

    def set_mean_run(self, mean_run_s: float) -> None:
        """Set the overlap by the duration of runs.

        :param mean_run_s: mean duration of a run, seconds.
        """
        overlap = math.ceil(self.slots * ROUND_TRIP_S / max(1e-3, mean_run_s))
        self._full_limit = self.slots + min(
            overlap, int(self.slots * MAX_OVERLAP_SHARE)
        )

    def limit(self, now: float) -> int:
        """Return how many requests it may run.

        :param now: the time.
        """
        if self._lowered_to is None:
            return self._full_limit
        risen = int((now - self._lowered_at) / RISE_INTERVAL_S)
        if self._lowered_to + risen >= self._full_limit:
            self._lowered_to = None
            return self._full_limit
        return self._lowered_to + risen

    def next_rise_at(self, now: float) -> float | None:
        """Return when a lowered limit rises next; None if it is not lowered.

        :param now: the time.
        """
        if self._lowered_to is None:
            return None
        risen = int((now - self._lowered_at) / RISE_INTERVAL_S)
        return self._lowered_at + (risen + 1) * RISE_INTERVAL_S

    def has_place(self, now: float) -> bool:
        """Return whether it may run one more request.

        :param now: the time.
        """
        return self.accepts and self.running < self.limit(now)

    def place_free_s(self, now: float) -> float:
        """Return the expected time until a slot is free for one more request, seconds.

        Requests beyond the slots wait at the endpoint until earlier runs have ended.

        :param now: the time.
        """
        excess = self.running - self.slots
        if excess < 0 or not self.grant_by_key:
            return 0.0
        ends = sorted(grant.expected_end for grant in self.grant_by_key.values())
        return max(0.0, ends[min(excess, len(ends) - 1)] - now)

    def has_room(self, memory_tokens: int, prompt_s: float) -> bool:
        """Return whether a request fits into the memory and would be read soon.

        A single prompt always fits, however long it is.

        :param memory_tokens: tokens of memory that the request may take.
        :param prompt_s: prefill time of its prompt, seconds.
        """
        limit = self.capacity.memory_tokens
        if limit > 0:
            used = self.memory_tokens + self.outside_memory_tokens
            if used + min(memory_tokens, limit) > limit:
                return False
        return (
            prompt_s <= 0
            or self.unread_s <= 0
            or self.unread_s + prompt_s <= self.capacity.max_unread_s
        )

    def bounded(self, memory_tokens: int) -> int:
        """Return what a request counts for: at most all of the endpoint's memory.

        Callers may allow a longer output than fits; such a request runs alone.

        :param memory_tokens: tokens of its prompt and its longest output.
        """
        limit = self.capacity.memory_tokens
        tokens = max(0, memory_tokens)
        return min(tokens, limit) if limit > 0 else tokens

    def is_full_for_patient(self) -> bool:
        """Return whether patient requests have taken their share of the slots."""
        return self.patient >= self.max_patient

    def prompt_s(self, request: queue_types.WaitingRequest, endpoint_id: str) -> float:
        """Return the prefill time of a request's prompt there, seconds.

        :param request: the request.
        :param endpoint_id: the endpoint's id.
        """
        tokens = request.prompt_tokens
        if request.endpoint_ids[0] != endpoint_id:
            tokens += request.shared_tokens
        return tokens * self.s_per_token

    def add(self, grant: Grant) -> None:
        """Add a grant.

        :param grant: the grant, at this endpoint.
        """
        self.grant_by_key[grant.key] = grant
        self.running += 1
        self.memory_tokens += grant.memory_tokens
        self.patient += grant.is_patient
        self.unread_s += grant.unread_s

    def remove(self, grant: Grant) -> None:
        """Remove a grant.

        :param grant: a grant that was added and not removed.
        """
        self.mark_read(grant)
        del self.grant_by_key[grant.key]
        self.running -= 1
        self.memory_tokens -= grant.memory_tokens
        self.patient -= grant.is_patient

    def set_outside(self, running: int, mean_memory_tokens: float) -> None:
        """Set the runs that the queue did not grant.

        :param running: their number.
        :param mean_memory_tokens: tokens of memory that each of them may take.
        """
        self.running += running - self.outside
        self.outside = running
        self.outside_memory_tokens = math.ceil(running * mean_memory_tokens)

    def mark_read(self, grant: Grant) -> None:
        """Record that the prompt of a grant was read.

        :param grant: a grant at this endpoint.
        """
        self.unread_s -= grant.unread_s
        grant.unread_s = 0.0
        if self.unread_s < 1e-9:
            self.unread_s = 0.0

    def lower(self, now: float) -> None:
        """Lower the limit after a refusal for lack of room.

        :param now: the time.
        """
        self._lowered_to = max(1, int(LOWERED_SHARE * self.running))
        self._lowered_at = now
