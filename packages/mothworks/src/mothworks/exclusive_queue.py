"""Queues requests that run exclusively at an endpoint, as they may crash it.

While such a request waits, the endpoint's owner grants no other slots, so that
the endpoint drains. While it runs, nothing else is sent there.
"""

from mothworks import request_queue

#: Maximum wait for an endpoint to become idle, seconds.
IDLE_TIMEOUT_S = 10.0


class ExclusiveQueue:
    """The requests that wait to run exclusively at one endpoint, in order."""

    def __init__(self):
        self.queued_by_key: dict[request_queue.Key, request_queue.QueuedRequest] = {}
        #: Key of the request that runs exclusively now.
        self.running: request_queue.Key | None = None

    def blocks_others(self) -> bool:
        """Return whether no other request may be granted a slot."""
        return self.running is not None or bool(self.queued_by_key)

    def add(self, queued: request_queue.QueuedRequest) -> None:
        """Queue a request until the endpoint is idle.

        :param queued: the request.
        """
        queued.deadline = queued.since + IDLE_TIMEOUT_S
        self.queued_by_key[queued.key] = queued

    def peek(self) -> request_queue.QueuedRequest | None:
        """Return the request that runs once the endpoint is idle, if any."""
        return next(iter(self.queued_by_key.values()), None)

    def start(self, queued: request_queue.QueuedRequest) -> None:
        """Record that a request runs exclusively now.

        :param queued: the request.
        """
        self.queued_by_key.pop(queued.key, None)
        self.running = queued.key

    def remove(self, key: request_queue.Key) -> None:
        """Remove a request, queued or running.

        :param key: the request's key.
        """
        self.queued_by_key.pop(key, None)
        if self.running == key:
            self.running = None

    def drain(self) -> list[request_queue.QueuedRequest]:
        """Remove and return all queued requests."""
        queued_requests = list(self.queued_by_key.values())
        self.queued_by_key.clear()
        return queued_requests
