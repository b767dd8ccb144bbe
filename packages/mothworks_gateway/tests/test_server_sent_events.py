"""Splitting a stream into events, however its bytes are divided."""

import hypothesis
import hypothesis.strategies as st
import pytest

from mothworks_gateway import server_sent_events

STREAM = b"".join(b"id: %d\ndata: text %d\n\n" % (n, n) for n in range(1, 9))


@hypothesis.given(st.lists(st.integers(0, len(STREAM)), max_size=12))
@hypothesis.settings(max_examples=200, deadline=None)
def test_events_are_complete_and_in_order(cuts):
    ends = [0, *sorted(cuts), len(STREAM)]
    splitter = server_sent_events.EventSplitter()
    forwarded = b""
    for begin, end in zip(ends, ends[1:], strict=False):
        complete = splitter.feed(STREAM[begin:end])
        assert complete == b"" or complete.endswith(b"\n\n")
        forwarded += complete
    assert forwarded == STREAM
    assert splitter.last_id == "8"
    assert splitter.buffer == b""


@hypothesis.given(st.binary(max_size=300))
@hypothesis.settings(max_examples=300, deadline=None)
def test_any_bytes_are_kept(data):
    # An engine may send bytes that are not events; none is lost or duplicated.
    splitter = server_sent_events.EventSplitter()
    try:
        complete = splitter.feed(data)
    except server_sent_events.OutOfOrderError:
        return
    assert complete + splitter.buffer == data


def test_a_repeated_event_breaks_the_stream():
    splitter = server_sent_events.EventSplitter()
    splitter.feed(b"id: 2\ndata: b\n\n")
    with pytest.raises(server_sent_events.OutOfOrderError):
        splitter.feed(b"id: 1\ndata: a\n\n")


def test_both_kinds_of_line_ends_are_accepted():
    splitter = server_sent_events.EventSplitter()
    assert (
        splitter.feed(b"id: 1\r\ndata: a\r\n\r\nid: 2") == b"id: 1\r\ndata: a\r\n\r\n"
    )
    assert splitter.last_id == "1"


END = server_sent_events.END
READERS = [server_sent_events.EventSplitter, server_sent_events.EventTracker]


@pytest.mark.parametrize("reader_class", READERS)
@pytest.mark.parametrize("is_framed", [True, False])
@pytest.mark.parametrize("data", [b"id: 1", b"id: 1\n\ndata: a\n", b"\r\na\r\n\r"])
def test_a_stream_that_ends_inside_an_event_is_incomplete(
    reader_class, data, is_framed
):
    reader = reader_class()
    for number in range(len(data)):
        reader.feed(data[number : number + 1])
    with pytest.raises(server_sent_events.IncompleteStreamError):
        reader.end_answer(is_framed)


# Guards against crashes before the first event that look like empty streams.
@pytest.mark.parametrize("reader_class", READERS)
def test_only_a_framed_stream_may_be_empty(reader_class):
    reader = reader_class()
    reader.end_answer(is_framed=True)
    with pytest.raises(server_sent_events.IncompleteStreamError):
        reader.end_answer(is_framed=False)


@pytest.mark.parametrize("reader_class", READERS)
@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r", b"\n\r\n", b"\r\n\n"])
def test_a_stream_that_ends_with_an_event_is_complete(reader_class, end):
    reader = reader_class()
    for number in range(3):
        reader.feed(b"id: %d" % number + end[:1])
        reader.feed(end[1:])
    reader.end_answer(is_framed=False)


@pytest.mark.parametrize(
    ("status", "media_type", "expected"),
    [
        (200, "text/event-stream", True),
        (200, "Text/Event-Stream; charset=utf-8", True),
        (200, "application/json", False),
        (422, "text/event-stream", False),
    ],
)
def test_only_successes_of_the_right_type_are_streams(status, media_type, expected):
    headers = [("content-TYPE", media_type)]
    reader = server_sent_events.reader(status, headers, resumable=True)
    assert (reader is not None) == expected


def test_a_resumed_stream_has_to_bring_an_event():
    splitter = server_sent_events.EventSplitter()
    splitter.feed(b"id: 1\n\nid: 2")
    splitter.begin_answer()
    assert not splitter.is_inside_event
    with pytest.raises(server_sent_events.IncompleteStreamError):
        splitter.end_answer(is_framed=False)


class CountingPattern:
    """Finds the ends of events, and counts the bytes that it searches."""

    def __init__(self):
        self.searched_bytes = 0

    def finditer(self, data, start=0):
        self.searched_bytes += len(data) - start
        return END.finditer(data, start)


# Guards against long events that block the node, because all their bytes are searched
# again with each byte that follows.
def test_a_long_event_is_searched_once(monkeypatch):
    pattern = CountingPattern()
    monkeypatch.setattr(server_sent_events, "END", pattern)
    splitter = server_sent_events.EventSplitter()
    for _ in range(500):
        splitter.feed(b"x" * 1000)
    assert pattern.searched_bytes < 600_000


# Guards against endpoints that fill the node's memory with an event that never ends.
def test_an_event_that_is_too_long_breaks_the_stream():
    splitter = server_sent_events.EventSplitter()
    splitter.feed(b"x" * server_sent_events.MAX_EVENT_BYTES)
    with pytest.raises(server_sent_events.OversizedEventError):
        splitter.feed(b"x")
