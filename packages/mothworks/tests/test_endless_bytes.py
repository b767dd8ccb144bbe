"""Bytes that are no answer and never end cost the connection, not the VM."""

import time

import pytest

import endless_bytes
from mothworks import transport

#: Time that the answer has, seconds: its head, and all of it.
HEAD_S, ANSWER_S = 3.0, 4.0
#: Longest time for which the event loop may stand still, seconds: the target for the
#: time between tokens is 35 ms, and a busy machine may add some.
MAX_LAG_S = 0.25
#: Most memory that one connection may take, bytes: a VM has 300 MB.
MAX_GROWTH_BYTES = 24 << 20


def read(address):
    """Send a request and read the whole answer; returns why that failed, or None."""
    now = time.monotonic()
    options = transport.SendOptions(deadline=now + ANSWER_S, head_deadline=now + HEAD_S)
    client = transport.Transport(allow_unframed=True)
    answer = client.exchange(address, "GET", "/x", (), b"", options)
    if answer.is_err():
        return answer.err_value.reason
    return transport.read_body(answer.ok_value).err()


# Guards against an endpoint that takes all memory of a VM, or all its time.
@pytest.mark.parametrize("case", endless_bytes.PARTS_BY_CASE)
def test_an_answer_without_end_costs_its_connection_only(case):
    with endless_bytes.server(case) as address, endless_bytes.observe() as observed:
        started_at = time.monotonic()
        assert read(address) is not None
        ended_s = time.monotonic() - started_at
    assert observed.growth_bytes <= MAX_GROWTH_BYTES
    assert observed.lag_s <= MAX_LAG_S
    # It is closed for its bytes, not by a deadline.
    assert ended_s < HEAD_S


# Guards against bounds that end answers with small chunks or many headers.
def test_answers_with_small_chunks_and_long_heads_are_whole():
    head = b"HTTP/1.1 200 OK\r\nX-Long: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunks = [b"1\r\nb\r\n"] * 100_000
    with endless_bytes.whole(head % (b"v" * 16_000) + b"".join(chunks)) as address:
        assert read(address) is None
