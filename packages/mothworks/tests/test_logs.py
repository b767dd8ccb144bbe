"""Structured logs: bounded, and never waiting for who reads them."""

import os
import time

import logbook
import orjson
import pytest

from mothworks import logs


@pytest.fixture
def pipe():
    ends = os.pipe()
    yield ends
    for end in ends:
        try:
            os.close(end)
        except OSError:
            # The test closed it.
            pass


def handler(write, lines_per_s=1e9):
    return logs.BoundedHandler(write, logbook.INFO, lines_per_s)


def read_lines(end):
    os.set_blocking(end, False)
    data = b""
    try:
        while piece := os.read(end, 1 << 20):
            data += piece
    except BlockingIOError:
        # All that was written is read.
        pass
    return [orjson.loads(line) for line in data.splitlines()]


def test_an_event_is_one_line_with_its_fields(pipe):
    read, write = pipe
    with handler(write).applicationbound():
        logs.event(logbook.Logger("x"), "sent", request="q-1", outcome="answered")
    [line] = read_lines(read)
    assert line["message"] == "sent"
    assert (line["request"], line["outcome"]) == ("q-1", "answered")


def test_nobody_who_reads_does_not_stop_the_node(pipe):
    # The log collector hangs, and the pipe to it fills up. A write that waited
    # would stop all requests of the node.
    read, write = pipe
    made = handler(write)
    began = time.monotonic()
    with made.applicationbound():
        for number in range(5000):
            logs.event(logbook.Logger("x"), "sent", request=f"q-{number}")
    assert time.monotonic() - began < 5
    assert made.left_out > 0
    left_out = made.left_out
    assert read_lines(read)
    with made.applicationbound():
        logs.event(logbook.Logger("x"), "sent", request="q-last")
    assert read_lines(read)[-1]["left_out"] == left_out


def test_the_rate_of_lines_is_bounded(pipe):
    read, write = pipe
    made = handler(write, lines_per_s=10)
    with made.applicationbound():
        for number in range(1000):
            logs.event(logbook.Logger("x"), "sent", request=f"q-{number}")
    assert 20 <= len(read_lines(read)) <= 40
    assert made.left_out >= 960


def test_a_reader_that_is_gone_does_no_harm(pipe):
    read, write = pipe
    os.close(read)
    made = handler(write)
    with made.applicationbound():
        logs.event(logbook.Logger("x"), "sent", request="q-1")
    assert made.left_out == 1


def test_a_long_line_is_cut_to_what_a_pipe_takes_at_once(pipe):
    _, write = pipe
    with handler(write).applicationbound():
        logs.event(logbook.Logger("x"), "sent", request="q" * 100_000)
