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


@pytest.mark.parametrize(
    ("tail", "ends"),
    [(b"", False), (b"a\n\n", True), (b"\r\n\r\n", True), (b"a\r\n", False)],
)
def test_the_last_bytes_show_whether_an_event_ended(tail, ends):
    assert server_sent_events.ends_event(tail) is ends
