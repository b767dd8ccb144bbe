"""Structured logging is limited in rate and never blocks on its reader."""

import os
import time

import logbook
import orjson
import pytest

from mothworks import logs


@pytest.fixture
def pipe():
    pipe_ends = os.pipe()
    yield pipe_ends
    for descriptor in pipe_ends:
        try:
            os.close(descriptor)
        except OSError:
            # The test closed it.
            pass


def make_handler(write_end, lines_per_s=1e9):
    return logs.RateLimitedHandler(write_end, logbook.INFO, lines_per_s)


def read_lines(descriptor):
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while chunk := os.read(descriptor, 1 << 20):
            data += chunk
    except BlockingIOError:
        # Everything written so far has been read.
        pass
    return [orjson.loads(line) for line in data.splitlines()]


def test_an_event_is_one_line_with_its_fields(pipe):
    read_end, write_end = pipe
    with make_handler(write_end).applicationbound():
        logs.event(logbook.Logger("x"), "sent", request="q-1", outcome="answered")
    [line] = read_lines(read_end)
    assert line["message"] == "sent"
    assert (line["request"], line["outcome"]) == ("q-1", "answered")


def test_a_stalled_reader_does_not_block_the_node(pipe):
    # The log collector hangs and the pipe to it fills up. A blocking write would
    # stop all requests of the node.
    read_end, write_end = pipe
    log_handler = make_handler(write_end)
    started = time.monotonic()
    with log_handler.applicationbound():
        for number in range(5000):
            logs.event(logbook.Logger("x"), "sent", request=f"q-{number}")
    assert time.monotonic() - started < 5
    assert log_handler.dropped_lines > 0
    dropped_lines = log_handler.dropped_lines
    assert read_lines(read_end)
    with log_handler.applicationbound():
        logs.event(logbook.Logger("x"), "sent", request="q-last")
    assert read_lines(read_end)[-1]["left_out"] == dropped_lines


def test_the_rate_of_lines_is_limited(pipe):
    read_end, write_end = pipe
    log_handler = make_handler(write_end, lines_per_s=10)
    with log_handler.applicationbound():
        for number in range(1000):
            logs.event(logbook.Logger("x"), "sent", request=f"q-{number}")
    assert 20 <= len(read_lines(read_end)) <= 40
    assert log_handler.dropped_lines >= 960


def test_a_closed_pipe_only_drops_the_line(pipe):
    read_end, write_end = pipe
    os.close(read_end)
    log_handler = make_handler(write_end)
    with log_handler.applicationbound():
        logs.event(logbook.Logger("x"), "sent", request="q-1")
    assert log_handler.dropped_lines == 1


# Guards against a write that blocks for ever because the line exceeds the capacity of
# the pipe, 64 KiB.
def test_a_line_longer_than_the_pipe_does_not_block(pipe):
    _, write_end = pipe
    with make_handler(write_end).applicationbound():
        logs.event(logbook.Logger("x"), "sent", request="q" * 100_000)
