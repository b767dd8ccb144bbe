"""Links deliver messages complete, in order and compressed."""

import random
import tracemalloc

import attrs
import gevent
import msgpack
import pytest
from gevent import socket

from mothworks import links, messages

#: Memory limit of one end of a connection: 330 of them must leave enough of 64 MB for
#: the program.
MAX_LINK_MEMORY_BYTES = 64 << 10


@messages.message(9_001)
@attrs.frozen
class SampleMessage:
    """A message that these tests send."""

    text: str
    number: int


class LinkPair:
    """Both ends of a connection, and the messages that the receiver has read."""

    def __init__(self):
        sender_socket, receiver_socket = socket.socketpair()
        self.sender = links.Link(sender_socket, "vm-2")
        self.receiver = links.Link(receiver_socket, "vm-1")
        self.received = []
        self.tasks = [
            gevent.spawn(self.sender.write_all),
            gevent.spawn(self._receive),
        ]

    def _receive(self):
        for array in self.receiver.read_all():
            received, _ = messages.unpack(array)
            if isinstance(received, messages.Compressed):
                self.receiver.decompress()
            else:
                self.received.append(received)

    def wait_for_messages(self, count):
        with gevent.Timeout(5):
            while len(self.received) < count:
                gevent.sleep(0.01)

    def close(self):
        gevent.killall(self.tasks)
        for link in (self.sender, self.receiver):
            link.sock.close()


@pytest.fixture
def pair(monkeypatch):
    # A local socket pair does not support TCP options.
    monkeypatch.setattr(socket.socket, "setsockopt", lambda *_: None)
    link_pair = LinkPair()
    yield link_pair
    link_pair.close()


def make_totals(rng, names):
    """Return totals by endpoint, such as collectors send four times a second."""
    total_by_name = {name: rng.randrange(12) for name in names}
    return SampleMessage(repr(total_by_name), 0)


def test_messages_stay_in_order_when_compression_starts(pair):
    # Compression starts in the middle of a connection, so one read may return both
    # uncompressed and compressed bytes.
    rng = random.Random(3)
    sent = [SampleMessage("x" * rng.randrange(300), number) for number in range(400)]
    for number, message in enumerate(sent):
        if number == 7:
            pair.sender.compress()
        assert pair.sender.send(messages.pack(message))
    pair.wait_for_messages(400)
    assert pair.received == sent


def test_repeated_names_compress_well(pair):
    # Endpoint names in the totals that 60 VMs receive four times a second made up most
    # of the traffic between data centres.
    rng = random.Random(3)
    names = [f"i-{rng.getrandbits(40):010x}" for _ in range(60)]
    pair.sender.compress()
    uncompressed_bytes = 0
    for _ in range(50):
        frame = messages.pack(make_totals(rng, names))
        uncompressed_bytes += len(frame)
        pair.sender.send(frame)
    pair.wait_for_messages(50)
    assert pair.receiver.received_bytes < uncompressed_bytes / 4


# Guards against buffers that use most of the memory of a VM with hundreds of peers.
def test_a_connection_uses_little_memory(pair):
    tracemalloc.start()
    try:
        for number in range(1000):
            pair.sender.send(messages.pack(SampleMessage("x" * 900, number)))
        pair.wait_for_messages(1000)
        pair.received.clear()
        allocated_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    # Both ends are in this process.
    assert allocated_bytes < 2 * MAX_LINK_MEMORY_BYTES


# Guards against truncating messages that are longer than the initial buffer.
def test_a_message_of_nearly_the_maximum_size_arrives_complete(pair):
    text = "x" * (links.MAX_MESSAGE_BYTES - 100)
    pair.sender.send(messages.pack(SampleMessage(text, 7)))
    pair.wait_for_messages(1)
    assert pair.received == [SampleMessage(text, 7)]


def test_dropped_messages_do_not_corrupt_the_compressed_stream(pair):
    # While the peer does not read, the queue fills up and messages are dropped. The
    # compressed stream must continue with those that are sent.
    pair.sender.compress()
    pair.tasks[1].kill()
    pair.tasks[0].kill()
    rng = random.Random(5)
    accepted_numbers = []
    for number in range(links.MAX_QUEUED_MESSAGES + 4000):
        message = SampleMessage(f"{rng.getrandbits(8000):x}", number)
        if pair.sender.send(messages.pack(message)):
            accepted_numbers.append(number)
    assert len(accepted_numbers) < links.MAX_QUEUED_MESSAGES + 4000
    pair.tasks = [gevent.spawn(pair.sender.write_all), gevent.spawn(pair._receive)]
    pair.wait_for_messages(len(accepted_numbers))
    assert [message.number for message in pair.received] == accepted_numbers


def test_invalid_compressed_bytes_close_the_connection(pair):
    pair.sender.send(messages.pack(messages.Compressed()))
    pair.sender.sock.sendall(b"\xff" * 100)
    with gevent.Timeout(5):
        pair.tasks[1].join()
    assert pair.received == []


def test_hello_of_an_older_version_does_not_announce_compression():
    # During an upgrade, VMs of the previous version send a Hello without this field.
    array = msgpack.unpackb(messages.pack(messages.Hello(1, "vm-1", "d")))[:-1]
    hello, _ = messages.unpack(array)
    assert not hello.supports_compression
