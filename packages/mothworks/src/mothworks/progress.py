"""Progress of an answer, measured from its bytes without parsing them.

A stream of server-sent events is passed on in whole events, so that what the
caller has seen is always a number of whole tokens: a stream that breaks can
then be ended with an error event, or resumed at that number elsewhere.
"""

import time

from mothworks import slots

#: The end of a server-sent event.
EVENT_END = b"\n\n"
#: Longest event of a stream, bytes.
EVENT_BYTES = 4 << 20
#: The last event of a complete stream.
DONE = b"data: [DONE]\n\n"


class Progress:
    """What has been seen of one answer.

    :param stream: whether it is a stream of events.
    :param sent: monotonic time at which the request was sent, seconds.
    """

    def __init__(self, stream: bool, sent: float):
        self.stream = stream
        self.sent = sent
        self.first = 0.0
        self.last = 0.0
        #: Time of the caller's first bytes, before any resumption.
        self.begun = 0.0
        #: Whole events passed on, ``[DONE]`` not among them.
        self.events = 0
        #: Whether the stream's last event has been seen.
        self.done = False
        self._held = b""
        self._events_before = 0

    def take(self, data: bytes) -> bytes:
        """Note what arrived and return what may be passed on.

        :param data: the answer's next bytes.
        :returns: whole events; all the bytes where it is not a stream.
        """
        self.last = time.monotonic()
        if not self.first:
            self.first = self.last
            self.begun = self.begun or self.last
        if not self.stream:
            return data
        if self._held:
            data = self._held + data
            self._held = b""
        if not data.endswith(EVENT_END):
            last = data.rfind(EVENT_END)
            end = last + len(EVENT_END) if last >= 0 else 0
            self._held = data[end:]
            data = data[:end]
            if len(self._held) > EVENT_BYTES:
                raise ConnectionAbortedError("an event of the stream is too long")
        self.events += data.count(EVENT_END)
        if data.endswith(DONE):
            self.done = True
            self.events -= 1
        return data

    def resume(self, sent: float) -> None:
        """Go on with an answer that continues after :attr:`events`.

        :param sent: monotonic time at which it was asked for, seconds.
        """
        self._held = b""
        self._events_before = self.events
        self.sent = sent
        self.first = 0.0

    def complete(self) -> bool:
        """Return whether an answer that ended here is whole."""
        return self.done or not self.stream

    def end(self, outcome: slots.Outcome) -> slots.End:
        """Return what the endpoint's owner is told.

        :param outcome: how the request ended.
        """
        if not self.first:
            return slots.End(outcome)
        first_ms = (self.first - self.sent) * 1000
        tokens = self.events - self._events_before
        between_ms = (self.last - self.first) * 1000 / max(1, tokens - 1)
        return slots.End(outcome, first_ms, between_ms, tokens)
