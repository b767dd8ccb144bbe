"""Cutting streams at the ends of events, however their bytes come."""

import hypothesis
import hypothesis.strategies as st
import pytest

from mothworks_gateway import events

STREAM = b"".join(b"id: %d\ndata: text %d\n\n" % (n, n) for n in range(1, 9))


@hypothesis.given(st.lists(st.integers(0, len(STREAM)), max_size=12))
@hypothesis.settings(max_examples=200, deadline=None)
def test_events_come_whole_and_in_order(cuts):
    ends = [0, *sorted(cuts), len(STREAM)]
    cutter = events.Cutter()
    passed = b""
    for begin, end in zip(ends, ends[1:], strict=False):
        whole = cutter.feed(STREAM[begin:end])
        assert whole == b"" or whole.endswith(b"\n\n")
        passed += whole
    assert passed == STREAM
    assert cutter.last_id == "8"
    assert cutter.rest == b""


@hypothesis.given(st.binary(max_size=300))
@hypothesis.settings(max_examples=300, deadline=None)
def test_any_bytes_are_kept(data):
    # An engine may send bytes that are no events; none is lost or doubled.
    cutter = events.Cutter()
    try:
        whole = cutter.feed(data)
    except events.OutOfOrder:
        return
    assert whole + cutter.rest == data


def test_an_event_that_comes_again_breaks_the_stream():
    cutter = events.Cutter()
    cutter.feed(b"id: 2\ndata: b\n\n")
    with pytest.raises(events.OutOfOrder):
        cutter.feed(b"id: 1\ndata: a\n\n")


def test_line_ends_may_be_of_either_kind():
    cutter = events.Cutter()
    assert cutter.feed(b"id: 1\r\ndata: a\r\n\r\nid: 2") == b"id: 1\r\ndata: a\r\n\r\n"
    assert cutter.last_id == "1"
