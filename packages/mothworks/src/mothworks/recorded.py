"""Answers that are recorded for resends, and their replay.

An answer under a claim is read to its end even where the caller goes away:
a caller that timed out and sends the request again gets what the first one
brought.
"""

import collections.abc
import typing

from mothworks import claim_records, claiming, endpoints, tasks

#: Longest answer that is kept, bytes.
ANSWER_BYTES = 32 << 10


class Running(typing.Protocol):
    """A request whose answer has begun, as dispatch returns it."""

    answer: endpoints.Answer
    #: Whether the answer is a stream that may break off.
    stream: bool

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        """Yield the body; raises OSError where the answer breaks off."""

    def close(self) -> None:
        """Release what the request holds."""


class Replay:
    """A stored answer, used like a running request.

    :param stored: the answer.
    """

    def __init__(self, stored: claim_records.StoredAnswer):
        self.stored = stored
        self.answer = endpoints.Answer(stored.status, list(stored.headers))
        self.stream = False

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        """Yield the body."""
        yield self.stored.body

    def close(self) -> None:
        """Do nothing; a stored answer holds nothing."""


class Recorded:
    """A running request under a claim; used like the running request.

    It is its own iterator, because a caller that goes away closes what it
    iterates over, and the rest of the answer is still to be read then.

    :param running: the request.
    :param claim: its claim.
    :param node_tasks: runs what the caller does not wait for.
    """

    def __init__(
        self, running: Running, claim: claiming.Claim, node_tasks: tasks.Tasks
    ):
        self.running = running
        self.answer = running.answer
        self.stream = running.stream
        self.claim = claim
        self.tasks = node_tasks
        self.pieces: list[bytes] = []
        self.size = 0
        self.complete = False
        self.closed = False
        self.data = self._read()

    def __iter__(self) -> "Recorded":
        """Return the body's iterator."""
        return self

    def __next__(self) -> bytes:
        """Return more of the body; raises OSError where it breaks off."""
        return next(self.data)

    def close(self) -> None:
        """Store the outcome, once the rest of the answer has come."""
        if not self.closed:
            self.closed = True
            self.tasks.spawn(self._finish)

    def _read(self) -> collections.abc.Iterator[bytes]:
        for data in self.running:
            self.size += len(data)
            if self.size <= ANSWER_BYTES:
                self.pieces.append(data)
            yield data
        self.complete = True

    def _finish(self) -> None:
        try:
            for _ in self.data:
                pass
        except OSError:
            pass
        self.running.close()
        if not self.complete:
            self.claim.end(claim_records.State.UNKNOWN)
        elif self.size > ANSWER_BYTES:
            self.claim.end(claim_records.State.DONE)
        else:
            body = b"".join(self.pieces)
            headers = tuple(self.answer.headers)
            answer = claim_records.StoredAnswer(self.answer.status, headers, body)
            self.claim.end(claim_records.State.DONE, answer)
