"""A request whose answer has begun.

Its stream can outlive the endpoint that began it: where the connection
breaks, and the endpoint's kind can resume, another endpoint continues after
the events that the caller already has.
"""

import collections.abc
import typing

from mothworks import endpoints, progress, requests, slots

#: Longest answer that is held back until it is complete, bytes.
WHOLE_BYTES = 256 << 10


class Dispatch(typing.Protocol):
    """What a running request needs of dispatch."""

    def resume(self, running: "Running") -> bool:
        """Attach another endpoint that continues the answer, if one can."""

    def leave(self, running: "Running", outcome: slots.Outcome) -> None:
        """Give back the slot at the present endpoint."""

    def finish(self, running: "Running") -> None:
        """Note the request's end."""


class Running:
    """A request whose answer has begun.

    Iterating yields the answer's body; :meth:`close` must be called in any
    case, cancels what has not arrived, and gives the slot back.

    :param request: the request.
    :param grant: the slot that it holds.
    :param answer: the endpoint's answer.
    :param dispatch: gives back slots and finds an endpoint to resume at.
    :param sent: monotonic time at which it was sent, seconds.
    """

    def __init__(
        self,
        request: requests.Request,
        grant: slots.Grant,
        answer: endpoints.Answer,
        dispatch: Dispatch,
        sent: float,
    ):
        self.request = request
        self.grant = grant
        self.answer = answer
        self.dispatch = dispatch
        self.stream = request.stream and answer.status == 200
        self.progress = progress.Progress(self.stream, sent)
        self.outcome = slots.Outcome.CANCELLED
        #: Endpoints that it ran at, by name.
        self.tried = {grant.endpoint.name}
        self.closed = False
        self._attached = True
        self._chunks = answer.chunks()
        self._start = b""

    def read_start(self) -> None:
        """Wait for what the caller gets first; raises OSError if it breaks.

        That is the first event or piece. A short whole answer to work that
        may run twice is read to its end, so that it can still be had
        elsewhere where it breaks off.
        """
        whole = self.request.repeatable and _length(self.answer) <= WHOLE_BYTES
        pieces = []
        for data in self._chunks:
            data = self.progress.take(data)
            if data:
                pieces.append(data)
                if not whole:
                    break
        else:
            self._check_complete()
        self._start = b"".join(pieces)

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        """Yield the body; raises OSError where the answer breaks off."""
        if self._start:
            yield self._start
        while True:
            try:
                yield from self._rest()
            except OSError:
                self._leave(slots.Outcome.CRASHED)
                if not self.dispatch.resume(self):
                    raise
                continue
            self._leave(slots.Outcome.OK)
            return

    def attach(self, grant: slots.Grant, answer: endpoints.Answer, sent: float) -> None:
        """Go on with the answer of another endpoint.

        :param grant: the slot there.
        :param answer: its answer, which begins after :attr:`Progress.events`.
        :param sent: monotonic time at which it was asked, seconds.
        """
        self.grant = grant
        self.answer = answer
        self.tried.add(grant.endpoint.name)
        self.progress.resume(sent)
        self._chunks = answer.chunks()
        self._attached = True

    def close(self) -> None:
        """Release the connection and the slot; further calls do nothing."""
        if self.closed:
            return
        self.closed = True
        if self._attached:
            self._leave(slots.Outcome.CANCELLED)
        self.dispatch.finish(self)

    def _rest(self) -> collections.abc.Iterator[bytes]:
        take = self.progress.take
        for data in self._chunks:
            yield take(data)
        self._check_complete()

    def _leave(self, outcome: slots.Outcome) -> None:
        self.outcome = outcome
        self._attached = False
        self.answer.close()
        self.dispatch.leave(self, outcome)

    def _check_complete(self) -> None:
        # An engine that is stopped may end its stream cleanly. Without this
        # check the caller would take the part that came for the whole.
        if not self.progress.complete():
            raise ConnectionResetError("the stream ended before its last event")


def _length(answer: endpoints.Answer) -> float:
    for name, value in answer.headers:
        if name.lower() == "content-length" and value.isdecimal():
            return int(value)
    return float("inf")
