"""Reads and resumes the response of a running request.

A stream can outlive the endpoint that began it: if the connection breaks and
the endpoint's kind supports resumption, another endpoint continues after the
events that the caller already has.
"""

import collections.abc
import typing

from mothworks import endpoints, progress, requests, slots

#: Maximum size of a response that is buffered until it is complete, bytes.
MAX_BUFFERED_BYTES = 256 << 10


class Dispatch(typing.Protocol):
    """Interface of dispatch that a running request uses."""

    def resume(self, active_request: "RunningRequest") -> bool:
        """Attach another endpoint that continues the response, if one can."""

    def release_endpoint(
        self, active_request: "RunningRequest", outcome: slots.Outcome
    ) -> None:
        """Release the slot at the current endpoint."""

    def finish(self, active_request: "RunningRequest") -> None:
        """Record the end of the request."""


class RunningRequest:
    """A request whose response has begun.

    Iterating yields the response body. :meth:`close` must always be called; it
    cancels what has not arrived and releases the slot.

    :param request: the request.
    :param grant: the request's slot.
    :param answer: the endpoint's response.
    :param dispatch: releases slots and finds an endpoint to resume at.
    :param sent_at: when the request was sent, monotonic seconds.
    """

    def __init__(
        self,
        request: requests.Request,
        grant: slots.Grant,
        answer: endpoints.Answer,
        dispatch: Dispatch,
        sent_at: float,
    ):
        self.request = request
        self.grant = grant
        self.answer = answer
        self.dispatch = dispatch
        self.stream = request.stream and answer.status == 200
        self.progress = progress.AnswerProgress(self.stream, sent_at)
        self.outcome = slots.Outcome.CANCELLED
        #: Names of the endpoints at which the request ran.
        self.tried = {grant.endpoint.name}
        self.closed = False
        self._attached = True
        self._chunks = answer.chunks()
        self._start = b""

    def read_start(self) -> None:
        """Read the first event or chunk of the body.

        The short response of a repeatable request is read to its end, so that the
        request can still be retried elsewhere if the connection breaks.

        :raises OSError: the connection broke.
        """
        buffered = (
            self.request.repeatable
            and _content_length(self.answer) <= MAX_BUFFERED_BYTES
        )
        pieces = []
        for data in self._chunks:
            data = self.progress.add(data)
            if data:
                pieces.append(data)
                if not buffered:
                    break
        else:
            self._check_complete()
        self._start = b"".join(pieces)

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        """Yield the body.

        :raises OSError: the connection broke, and no endpoint could resume.
        """
        if self._start:
            yield self._start
        while True:
            try:
                yield from self._remaining()
            except OSError:
                self._detach(slots.Outcome.CRASHED)
                if not self.dispatch.resume(self):
                    raise
                continue
            self._detach(slots.Outcome.OK)
            return

    def attach(
        self, grant: slots.Grant, answer: endpoints.Answer, sent_at: float
    ) -> None:
        """Continue with the response of another endpoint.

        :param grant: the slot there.
        :param answer: the response, which begins after
            :attr:`progress.AnswerProgress.event_count`.
        :param sent_at: when the request was sent there, monotonic seconds.
        """
        self.grant = grant
        self.answer = answer
        self.tried.add(grant.endpoint.name)
        self.progress.resume(sent_at)
        self._chunks = answer.chunks()
        self._attached = True

    def close(self) -> None:
        """Close the connection and release the slot; further calls do nothing."""
        if self.closed:
            return
        self.closed = True
        if self._attached:
            self._detach(slots.Outcome.CANCELLED)
        self.dispatch.finish(self)

    def _remaining(self) -> collections.abc.Iterator[bytes]:
        add = self.progress.add
        for data in self._chunks:
            yield add(data)
        self._check_complete()

    def _detach(self, outcome: slots.Outcome) -> None:
        self.outcome = outcome
        self._attached = False
        self.answer.close()
        self.dispatch.release_endpoint(self, outcome)

    def _check_complete(self) -> None:
        # An engine that is stopped may end its stream cleanly. Without this check
        # the caller would take a partial response for a complete one.
        if not self.progress.is_complete():
            raise ConnectionResetError("the stream ended before its last event")


def _content_length(answer: endpoints.Answer) -> float:
    for name, value in answer.headers:
        if name.lower() == "content-length" and value.isdecimal():
            return int(value)
    return float("inf")
