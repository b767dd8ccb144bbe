"""Fake application service that echoes and counts each call."""

import collections

import gevent

from mothworks_fakes import gates, web


class Application(web.Fake):
    """Echoes the path and body of every call, and counts calls by body.

    :param port: TCP port; 0 lets the kernel choose.
    :param work_s: simulated processing time of each call, seconds.
    """

    def __init__(self, port: int = 0, work_s: float = 0.0):
        super().__init__(port)
        self.work_s = work_s
        self.calls_by_body: collections.Counter[bytes] = collections.Counter()
        self.draining = False

    def serve(self, method: str, path: str, environ: dict) -> web.Reply:
        """Handle one call; see :meth:`web.Fake.serve`."""
        if path == "/health":
            status = "503 Service Unavailable" if self.draining else "200 OK"
            return web.json_reply({}, status)
        body = environ["wsgi.input"].read()
        self.gates.reach(gates.Step.SENT)
        self.calls_by_body[body] += 1
        gevent.sleep(self.work_s)
        self.gates.reach(gates.Step.MID_ANSWER)
        reply = {"path": path, "echo": body.decode("utf-8", "replace")}
        return web.json_reply(reply)
