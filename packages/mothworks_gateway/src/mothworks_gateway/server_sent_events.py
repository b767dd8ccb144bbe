"""Server-sent events: splits a byte stream into complete events.

A resumable stream is forwarded in complete events only, so that another run can
continue after the last event that the caller has received.
"""

import re

#: The empty line that ends an event.
END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
#: Longest match of that, bytes.
MAX_END_BYTES = 4
#: The line with an event's id.
ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


def ends_event(tail: bytes) -> bool:
    """Return whether the last bytes of a stream are the end of an event.

    :param tail: the last :data:`MAX_END_BYTES` bytes, or all if there are fewer.
    """
    return any(match.end() == len(tail) for match in END.finditer(tail))


class OutOfOrderError(ConnectionError):
    """A stream repeated an event, so it does not continue the previous run."""


class EventSplitter:
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

    def feed(self, data: bytes) -> bytes:
        """Return the complete events once some bytes are appended.

        :param data: the bytes received.
        """
        data = self.buffer + data
        end = 0
        for match in END.finditer(data):
            end = match.end()
        complete, self.buffer = data[:end], data[end:]
        for event_id in ID.findall(complete):
            self._set_last_id(event_id.decode("latin-1"))
        return complete

    def _set_last_id(self, event_id: str) -> None:
        """Check and store the next event's id; numeric ids must grow within a stream.

        A run that starts over instead of continuing after the last event would send the
        caller events twice.
        """
        numeric = event_id.isdecimal() and self.last_id.isdecimal()
        if numeric and int(event_id) <= int(self.last_id):
            raise OutOfOrderError(f"event {event_id} after {self.last_id}")
        self.last_id = event_id
