"""Recording of answers for resends, and their replay.

The answer of a request under a claim is read to its end even if the caller
disconnects: a caller that timed out and resends the request then gets the
answer of the first attempt.
"""

import collections.abc
import typing

from mothworks import claim_records, claiming, endpoints, tasks

#: Longest body that is stored, bytes.
MAX_STORED_BYTES = 32 << 10


class AnsweredRequest(typing.Protocol):
    """Interface of a request whose answer has begun, as dispatch returns it."""

    answer: endpoints.Answer
    #: Whether the answer is a stream.
    stream: bool

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        """Yield the body; raises OSError if the answer breaks off."""

    def close(self) -> None:
        """Release the request's slot and connection."""


class Replay:
    """A stored answer with the interface of :class:`AnsweredRequest`.

    :param stored: the stored answer.
    """

    def __init__(self, stored: claim_records.StoredAnswer):
        self.stored = stored
        self.answer = endpoints.Answer(stored.status, list(stored.headers))
        self.stream = False

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        """Yield the body."""
        yield self.stored.body

    def close(self) -> None:
        """Do nothing: there is no slot or connection to release."""


class RecordedRequest:
    """A running request under a claim, with the interface of :class:`AnsweredRequest`.

    It is its own iterator: when a caller disconnects, the iterator is closed,
    and the rest of the answer must still be read then.

    :param running: the request.
    :param claim: its claim.
    :param node_tasks: runs background tasks.
    """

    def __init__(
        self, running: AnsweredRequest, claim: claiming.Claim, node_tasks: tasks.Tasks
    ):
        self.running = running
        self.answer = running.answer
        self.stream = running.stream
        self.claim = claim
        self.tasks = node_tasks
        self.chunks: list[bytes] = []
        self.size = 0
        self.complete = False
        self.closed = False
        self.unread = self._read()

    def __iter__(self) -> "RecordedRequest":
        """Return the body's iterator."""
        return self

    def __next__(self) -> bytes:
        """Return the next chunk; raises OSError if the answer breaks off."""
        return next(self.unread)

    def close(self) -> None:
        """Read the rest of the answer in the background, and store the outcome."""
        if not self.closed:
            self.closed = True
            self.tasks.spawn(self._finish)

    def _read(self) -> collections.abc.Iterator[bytes]:
        for chunk in self.running:
            self.size += len(chunk)
            if self.size <= MAX_STORED_BYTES:
                self.chunks.append(chunk)
            yield chunk
        self.complete = True

    def _finish(self) -> None:
        try:
            for _ in self.unread:
                pass
        except OSError:
            pass
        self.running.close()
        if not self.complete:
            self.claim.store_outcome(claim_records.State.UNKNOWN)
        elif self.size > MAX_STORED_BYTES:
            self.claim.store_outcome(claim_records.State.DONE)
        else:
            body = b"".join(self.chunks)
            headers = tuple(self.answer.headers)
            answer = claim_records.StoredAnswer(self.answer.status, headers, body)
            self.claim.store_outcome(claim_records.State.DONE, answer)
