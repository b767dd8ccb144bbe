"""Room estimates: which endpoints have room, and when a request would be answered.

They rest on the numbers of running requests in heartbeats and on the mean time of each
endpoint's answers to this VM. That time includes the wait in the endpoint's own queue.
"""

import collections.abc
import time

from mothworks import kernel
from mothworks_gateway import health, registry, running_requests

#: Answers of an endpoint below which its mean answer time refuses no request.
MIN_ANSWERS = 6
#: Time for which an endpoint that refused a request for lack of room counts as full,
#: seconds: some run fewer requests than the batch slots that they declare.
FULL_S = 1.0


class RoomEstimates(kernel.Part):
    """Estimates the room and the answer times of endpoints.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.health = node_kernel.get(health.Health)
        self.running_requests = node_kernel.get(running_requests.RunningRequests)

        #: Monotonic time until which endpoints count as full after a refusal.
        self.full_until_by_id: dict[str, float] = {}

    def record_refusal(self, endpoint: registry.Endpoint) -> None:
        """Record that an endpoint refused a request for lack of room.

        :param endpoint: the endpoint.
        """
        now = time.monotonic()
        for endpoint_id, until in list(self.full_until_by_id.items()):
            if until <= now:
                del self.full_until_by_id[endpoint_id]
        self.full_until_by_id[endpoint.id] = now + FULL_S

    def answer_s(self, endpoint: registry.Endpoint) -> float:
        """Return the mean time of an endpoint's answers, seconds; 0 if unknown.

        :param endpoint: the endpoint.
        """
        return self.health.record(endpoint).answer_s

    def has_room(self, endpoint: registry.Endpoint) -> bool:
        """Return whether an endpoint runs fewer requests than it has batch slots.

        One that refused a request lately has no room.

        :param endpoint: the endpoint.
        """
        if time.monotonic() < self.full_until_by_id.get(endpoint.id, 0.0):
            return False
        return self._excess(endpoint) <= 0

    def room_in_s(
        self, endpoints: collections.abc.Iterable[registry.Endpoint], left_s: float
    ) -> float | None:
        """Return when there is room, if no endpoint would answer in time until then.

        An endpoint that has room, or whose answer time is hardly known, counts as one
        that would.

        :param endpoints: the endpoints that could run a request.
        :param left_s: time left for the answer, seconds.
        :returns: seconds until one of them has room; None if one would answer in time.
        """
        soonest_s = None
        for endpoint in endpoints:
            excess = self._excess(endpoint)
            record = self.health.record(endpoint)
            is_known = record.answers >= MIN_ANSWERS and record.answer_s > 0
            if excess <= 0 or not is_known or record.answer_s <= left_s:
                return None
            # By Little's law, as many requests as run now end in a mean answer time.
            running = self.running_requests.of_endpoint(endpoint.id)
            room_in_s = record.answer_s * excess / running
            soonest_s = room_in_s if soonest_s is None else min(soonest_s, room_in_s)
        return soonest_s

    def _excess(self, endpoint: registry.Endpoint) -> int:
        """Return how many running requests must end until an endpoint has room."""
        running = self.running_requests.of_endpoint(endpoint.id)
        return running + 1 - max(1, endpoint.entry.batch_slots)
