"""Measures the progress of a response from its bytes, without parsing them.

A stream of server-sent events is forwarded in complete events, so that the
caller always has a whole number of tokens. A broken stream can then be ended
with an error event, or resumed at that number by another endpoint.
"""

import time

from mothworks import slots

#: Terminates a server-sent event.
EVENT_END = b"\n\n"
#: Maximum size of an event of a stream, bytes.
MAX_EVENT_BYTES = 4 << 20
#: The last event of a complete stream.
DONE = b"data: [DONE]\n\n"


class AnswerProgress:
    """The received part of one response.

    :param stream: whether the response is a stream of events.
    :param sent_at: when the request was sent, monotonic seconds.
    """

    def __init__(self, stream: bool, sent_at: float):
        self.stream = stream
        self.sent_at = sent_at
        self.first_token_at = 0.0
        self.last_token_at = 0.0
        #: When the first bytes arrived, before any resumption; monotonic seconds.
        self.caller_first_token_at = 0.0
        #: Number of complete events forwarded, without ``[DONE]``.
        self.event_count = 0
        #: Whether ``[DONE]`` has arrived.
        self.done = False
        self._partial_event = b""
        self._events_at_resumption = 0

    def add(self, data: bytes) -> bytes:
        """Record received bytes and return those that may be forwarded.

        :param data: the next bytes of the response.
        :returns: complete events of a stream; otherwise all bytes.
        :raises ConnectionAbortedError: an event exceeds :data:`MAX_EVENT_BYTES`.
        """
        self.last_token_at = time.monotonic()
        if not self.first_token_at:
            self.first_token_at = self.last_token_at
            self.caller_first_token_at = (
                self.caller_first_token_at or self.last_token_at
            )
        if not self.stream:
            return data
        if self._partial_event:
            data = self._partial_event + data
            self._partial_event = b""
        if not data.endswith(EVENT_END):
            last_end = data.rfind(EVENT_END)
            end = last_end + len(EVENT_END) if last_end >= 0 else 0
            self._partial_event = data[end:]
            data = data[:end]
            if len(self._partial_event) > MAX_EVENT_BYTES:
                raise ConnectionAbortedError("an event of the stream is too long")
        self.event_count += data.count(EVENT_END)
        if data.endswith(DONE):
            self.done = True
            self.event_count -= 1
        return data

    def resume(self, sent_at: float) -> None:
        """Restart measuring for a response that continues after :attr:`event_count`.

        :param sent_at: when the request was sent again, monotonic seconds.
        """
        self._partial_event = b""
        self._events_at_resumption = self.event_count
        self.sent_at = sent_at
        self.first_token_at = 0.0

    def is_complete(self) -> bool:
        """Return whether a response that ended here is complete."""
        return self.done or not self.stream

    def summary(self, outcome: slots.Outcome) -> slots.RequestEnd:
        """Return the measurements reported to the endpoint's owner.

        :param outcome: how the request ended.
        """
        if not self.first_token_at:
            return slots.RequestEnd(outcome)
        first_ms = (self.first_token_at - self.sent_at) * 1000
        tokens = self.event_count - self._events_at_resumption
        between_ms = (
            (self.last_token_at - self.first_token_at) * 1000 / max(1, tokens - 1)
        )
        return slots.RequestEnd(outcome, first_ms, between_ms, tokens)
