"""Requests that run alone at an endpoint, because they may crash it.

While such a request waits, its endpoint's owner grants nothing else, so that
what runs comes to an end; while it runs, nothing else is sent there.
"""

from mothworks import queues

#: Longest wait for an endpoint to be empty, seconds.
PATIENCE_S = 10.0


class Alone:
    """The requests of one endpoint that wait to run alone, in order."""

    def __init__(self):
        self.waiting_by_key: dict[queues.Key, queues.Waiting] = {}
        #: Names the request that runs alone now.
        self.running: queues.Key | None = None

    def blocks(self) -> bool:
        """Return whether nothing else may be granted."""
        return self.running is not None or bool(self.waiting_by_key)

    def add(self, waiting: queues.Waiting) -> None:
        """Let a request wait.

        :param waiting: the request.
        """
        waiting.deadline = waiting.since + PATIENCE_S
        self.waiting_by_key[waiting.key] = waiting

    def next(self) -> queues.Waiting | None:
        """Return the request that is to run once the endpoint is empty."""
        return next(iter(self.waiting_by_key.values()), None)

    def start(self, waiting: queues.Waiting) -> None:
        """Note that a request runs alone now.

        :param waiting: the request.
        """
        self.waiting_by_key.pop(waiting.key, None)
        self.running = waiting.key

    def remove(self, key: queues.Key) -> None:
        """Forget a request.

        :param key: names it.
        """
        self.waiting_by_key.pop(key, None)
        if self.running == key:
            self.running = None

    def take_all(self) -> list[queues.Waiting]:
        """Return all that wait and forget them."""
        waiting = list(self.waiting_by_key.values())
        self.waiting_by_key.clear()
        return waiting
