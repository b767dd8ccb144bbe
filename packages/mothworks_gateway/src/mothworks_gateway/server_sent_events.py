"""Server-sent events: where the events of a byte stream end.

A resumable stream is forwarded in complete events only, so that another run can
continue after the last event that the caller has received. Others are forwarded as they
arrive. Either is complete only if it ends with an event.
"""

import collections.abc
import re

#: The media type of a stream of events.
MEDIA_TYPE = "text/event-stream"
#: The empty line that ends an event, with the end of the line before it.
END = re.compile(rb"\n\r?\n|\r\r")
#: Before an empty line, other empty lines may belong to the same end.
LINE_ENDS = (b"\n", b"\r", b"")
#: Longest match of that, bytes.
MAX_END_BYTES = 3
#: Longest event of a resumable stream, bytes.
MAX_EVENT_BYTES = 1 << 20
#: The line with an event's id.
ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class OutOfOrderError(ConnectionError):
    """A stream repeated an event, so it does not continue the previous run."""


class IncompleteStreamError(ConnectionError):
    """A stream ended before it was complete."""


class OversizedEventError(ConnectionError):
    """An event exceeds :data:`MAX_EVENT_BYTES`."""


class EventReader:
    """Reads the events of an answer that is relayed."""

    def feed(self, data: bytes) -> bytes:
        """Return what can be forwarded once some bytes are appended.

        :param data: the bytes received.
        """
        raise NotImplementedError

    @property
    def is_inside_event(self) -> bool:
        """Return whether the last bytes received do not end an event."""
        raise NotImplementedError

    @property
    def has_event(self) -> bool:
        """Return whether the present answer has brought a complete event."""
        raise NotImplementedError

    def end_answer(self, is_framed: bool) -> None:
        """Check that an answer that has ended is complete.

        :param is_framed: whether the answer marked its end. The close of a connection
            may also be a crash, so it ends a stream only after an event.
        :raises IncompleteStreamError: if the stream was broken off.
        """
        if self.is_inside_event:
            raise IncompleteStreamError("the stream ended inside an event")
        if not (is_framed or self.has_event):
            raise IncompleteStreamError("the stream ended before its first event")


class EventTracker(EventReader):
    """Passes bytes through, and tracks whether an event has ended.

    >>> tracker = EventTracker()
    >>> tracker.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\nid: 2\\nda'
    >>> tracker.is_inside_event
    True
    """

    def __init__(self):
        self._tail = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes; see :meth:`EventReader.feed`."""
        self._tail = (self._tail + data)[-MAX_END_BYTES:]
        return data

    @property
    def is_inside_event(self) -> bool:
        """Return whether the last bytes received do not end an event."""
        ends = (match.end() for match in END.finditer(self._tail))
        return bool(self._tail) and len(self._tail) not in ends

    @property
    def has_event(self) -> bool:
        """Return whether the answer has brought an event, if it is inside none."""
        return bool(self._tail)


class EventSplitter(EventReader):
    """Buffers bytes until they form complete events.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> splitter.last_id
    '1'
    """

    def __init__(self):
        #: The id of the last complete event.
        self.last_id = ""
        #: Bytes of an incomplete event.
        self.buffer = b""
        self._has_event = False

    def begin_answer(self) -> None:
        """Drop an incomplete event, since another answer goes on with the stream."""
        self.buffer = b""
        self._has_event = False

    def feed(self, data: bytes) -> bytes:
        """Return the complete events once some bytes are appended.

        :param data: the bytes received.
        :raises OutOfOrderError: if an event's id does not follow the one before it.
        :raises OversizedEventError: if an event is too long to be buffered.
        """
        if not self.buffer and data[-2:] == b"\n\n" and data[-3:-2] not in LINE_ENDS:
            # Endpoints usually send whole events.
            complete, end = data, len(data)
        else:
            complete, end = self._split(data)
        self._has_event = self._has_event or end > 0
        for event_id in ID.findall(complete):
            self._set_last_id(event_id.decode("latin-1"))
        return complete

    def _split(self, data: bytes) -> tuple[bytes, int]:
        """Return the complete events once some bytes are appended, and their length."""
        # An end that is not found yet may begin in the last bytes of the buffer.
        start = max(0, len(self.buffer) - MAX_END_BYTES + 1)
        data = self.buffer + data
        end = 0
        for match in END.finditer(data, start):
            end = match.end()
        complete, self.buffer = data[:end], data[end:]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise OversizedEventError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return complete, end

    @property
    def is_inside_event(self) -> bool:
        """Return whether the last bytes received do not end an event."""
        return bool(self.buffer)

    @property
    def has_event(self) -> bool:
        """Return whether the present answer has brought a complete event."""
        return self._has_event

    def _set_last_id(self, event_id: str) -> None:
        """Check and store the next event's id; numeric ids must grow within a stream.

        A run that starts over instead of continuing after the last event would send the
        caller events twice.
        """
        numeric = event_id.isdecimal() and self.last_id.isdecimal()
        if numeric and int(event_id) <= int(self.last_id):
            raise OutOfOrderError(f"event {event_id} after {self.last_id}")
        self.last_id = event_id


def reader(
    status: int, headers: collections.abc.Iterable[tuple[str, str]], resumable: bool
) -> EventReader | None:
    """Return a reader of an answer's events, or None if it has none.

    An answer on a streaming route has events unless it is an error or its headers name
    another type.

    :param status: the answer's HTTP status.
    :param headers: its headers.
    :param resumable: whether the stream may go on at another endpoint.
    """
    if status >= 300:
        return None
    for name, value in headers:
        media_type = value.partition(";")[0].strip().lower()
        if name.lower() == "content-type" and media_type != MEDIA_TYPE:
            return None
    return EventSplitter() if resumable else EventTracker()
