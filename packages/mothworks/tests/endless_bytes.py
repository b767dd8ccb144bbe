"""Builders of tests of bytes without end: a server in a process of its own.

Run as a program, it accepts connections on a free port, prints the port, and answers
each with what its case repeats, as fast as it can, until the other side closes.
"""

import contextlib
import os
import pathlib
import socket
import subprocess
import sys
import threading
import time
import zlib

import attrs
import gevent
import gevent.server


def _deflated(data):
    """Return bytes as a part of a compressed stream that may be repeated."""
    compressor = zlib.compressobj(9, zlib.DEFLATED, -15)
    return compressor.compress(data) + compressor.flush(zlib.Z_FULL_FLUSH)


#: By case, the bytes that come once, and those that are repeated without end.
PARTS_BY_CASE = {
    "first line": (b"HTTP/1.1 200 ", b"O" * 8192),
    "empty lines": (b"", b"\r\n" * 4096),
    "header fields": (b"HTTP/1.1 200 OK\r\n", b"".join(
        b"X-Field-%d: value\r\n" % number for number in range(400)
    )),
    "header value": (b"HTTP/1.1 200 OK\r\nX-Field: ", b"v" * 8192),
    "header name": (b"HTTP/1.1 200 OK\r\nX-", b"n" * 8192),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 256),
    "early hints": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" * 128),
    "chunk extension": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
        b"e" * 8192,
    ),
    "chunk extensions": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1;x=%s\r\nb\r\n" % (b"e" * 8000),
    ),
    "trailers": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Trailer: value\r\n" * 400,
    ),
    "trailer value": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ",
        b"v" * 8192,
    ),
    "no HTTP": (b"", b"\x00\xff" * 4096),
    "bytes after the answer": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"x" * 8192,
    ),
    "body in chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"2000\r\n%s\r\n" % (b"b" * 8192),
    ),
    "body without framing": (b"HTTP/1.1 200 OK\r\n\r\n", b"b" * 8192),
}  # fmt: skip
#: The same for what callers send.
CALLER_PARTS_BY_CASE = {
    "first line": (b"GET /", b"x" * 8192),
    "empty lines": (b"", b"\r\n" * 4096),
    "header fields": (b"GET / HTTP/1.1\r\n", b"X-Field: value\r\n" * 400),
    "header value": (b"GET / HTTP/1.1\r\nX-Field: ", b"v" * 8192),
    "chunk extension": (
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
        b"e" * 8192,
    ),
    "chunk extensions": (
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1;x=%s\r\nb\r\n" % (b"e" * 8000),
    ),
    "trailers": (
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Trailer: value\r\n" * 400,
    ),
    "body in chunks": (
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"2000\r\n%s\r\n" % (b"b" * 8192),
    ),
    "no HTTP": (b"", b"\x00\xff" * 4096),
}  # fmt: skip
#: What a peer sends instead of messages.
PEER_PARTS_BY_CASE = {
    "zeros": (b"", b"\x00" * 8192),
    "one long message": (b"\xc6\xff\xff\xff\xff", b"x" * 8192),
    "empty messages": (b"", b"\x90" * 8192),
    "compressed messages": (b"", _deflated(b"\x91\x01" * (1 << 20))),
    "a compressed long message": (
        _deflated(b"\xc6\xff\xff\xff\xff"),
        _deflated(bytes(1 << 21)),
    ),
}
#: Interval at which the event loop and the memory are observed, seconds.
OBSERVE_S = 0.01


@attrs.define
class Observed:
    """What was observed while bytes arrived.

    :param lag_s: the most processor time of this process between two turns of the
        event loop, seconds: on a busy machine, other processes take time, too.
    :param growth_bytes: the most memory that the process took beyond the first.
    """

    lag_s: float = 0.0
    growth_bytes: int = 0


def _resident_bytes():
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


@contextlib.contextmanager
def observe():
    """Observe the event loop's lag and the process's memory."""
    observed = Observed()
    first_bytes = _resident_bytes()

    def watch():
        last_at = time.process_time()
        while True:
            gevent.sleep(OBSERVE_S)
            now = time.process_time()
            observed.lag_s = max(observed.lag_s, now - last_at)
            growth_bytes = _resident_bytes() - first_bytes
            observed.growth_bytes = max(observed.growth_bytes, growth_bytes)
            last_at = now

    watcher = gevent.spawn(watch)
    gevent.sleep(0)
    try:
        yield observed
        gevent.sleep(2 * OBSERVE_S)
    finally:
        watcher.kill()


@contextlib.contextmanager
def server(case):
    """Run the server of a case; yields its address."""
    command = [sys.executable, __file__, case]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        try:
            yield "127.0.0.1", int(process.stdout.readline())
        finally:
            process.kill()


@contextlib.contextmanager
def sender(kind, case, port):
    """Send the bytes of a case to a port, in a process of its own.

    Yields the process, which ends when its connection is closed.
    """
    command = [sys.executable, __file__, case, kind, str(port)]
    with subprocess.Popen(command) as process:
        try:
            yield process
        finally:
            process.kill()


@contextlib.contextmanager
def whole(data):
    """Answer one request with some chunks and the last chunk; yields the address."""

    def serve(sock, _):
        sock.recv(65536)
        sock.sendall(data + b"0\r\n\r\n")
        sock.close()

    started = gevent.server.StreamServer(("127.0.0.1", 0), serve)
    started.start()
    try:
        yield "127.0.0.1", started.server_port
    finally:
        started.stop()


def _send(sock, once, repeated):
    with contextlib.suppress(OSError), sock:
        sock.sendall(once + repeated)
        while True:
            sock.sendall(repeated * 8)


def _serve(sock, once, repeated):
    sock.recv(65536)
    _send(sock, once, repeated)


def _main(case, kind="", port=""):
    if kind:
        parts = CALLER_PARTS_BY_CASE if kind == "caller" else PEER_PARTS_BY_CASE
        _send(socket.create_connection(("127.0.0.1", int(port))), *parts[case])
        return
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    while True:
        sock, _ = listener.accept()
        arguments = (sock, *PARTS_BY_CASE[case])
        threading.Thread(target=_serve, args=arguments, daemon=True).start()


if __name__ == "__main__":
    _main(*sys.argv[1:])
