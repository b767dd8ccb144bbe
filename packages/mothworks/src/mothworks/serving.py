"""Serving: what the parts that answer callers' calls over WSGI share."""

import collections.abc
import typing

import logbook

from mothworks import calls, connections, kernel, outcomes, settings, uploads

log = logbook.Logger("serving")

#: Statuses whose answers have no body.
BODILESS = (204, 304)


class Serving(kernel.Part):
    """Base of a part that serves calls; :meth:`application` is its WSGI side.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        #: Calls that are being answered.
        self.open_calls = 0
        self.uploads = uploads.Uploads(node_kernel.settings.limits.uploads_bytes)

    @property
    def limits(self) -> settings.Limits:
        """Return the bounds on the next call."""
        return self.kernel.settings.limits

    def reply(self, call: calls.Call) -> calls.Reply:
        """Answer one call.

        :param call: the call.
        """
        raise NotImplementedError

    def refuse(self, refusal: outcomes.Refusal) -> calls.Reply:
        """Return the reply that carries a refusal.

        :param refusal: why there is no answer.
        """
        return calls.refuse(refusal)

    def headers(self, call: calls.Call, reply: calls.Reply) -> list[tuple[str, str]]:
        """Return the headers that a reply is sent with.

        :param call: the call.
        :param reply: its reply.
        """
        if reply.status not in BODILESS:
            return list(reply.headers)
        # The WSGI server fails on a length of a body that must not be there.
        return [item for item in reply.headers if item[0].lower() != "content-length"]

    def begun(self, call: calls.Call) -> None:
        """Note a call before it is answered.

        :param call: the call.
        """

    def replied(self, call: calls.Call, reply: calls.Reply) -> None:
        """Note a reply before it is sent.

        :param call: the call.
        :param reply: its reply.
        """

    def application(
        self, environ: dict[str, typing.Any], start_response: calls.StartResponse
    ) -> collections.abc.Iterator[bytes]:
        """Serve one call of a listener.

        :param environ: the WSGI environment.
        :param start_response: takes status and headers.
        """
        self.open_calls += 1
        call = reply = None
        try:
            call = calls.Call(environ, self.limits, self.uploads)
            self.begun(call)
            reply = self._guarded(call)
            self.replied(call, reply)
            headers = self.headers(call, reply)
            if self.kernel.draining:
                # The caller's next call goes to another VM.
                headers.append(("Connection", "close"))
            start_response(calls.status_line(reply.status), headers)
            yield from reply.body
        except OSError as error:
            raise connections.BrokenAnswer from error
        finally:
            # A body that was never iterated holds its slot until closed.
            close = getattr(reply and reply.body, "close", None)
            if close is not None:
                close()
            if call is not None:
                call.stop_watch()
            self.open_calls -= 1

    def _guarded(self, call: calls.Call) -> calls.Reply:
        """Answer a call even where our own code fails on it.

        Stopping the process, as for other broken invariants, would let one
        odd request that is sent again take down every VM in turn.
        """
        try:
            return self.reply(call)
        except Exception:
            log.exception("failed on {} {}", call.method, call.raw_path[:80])
            return self.refuse(
                outcomes.Refusal(
                    500, "internal", "the node failed on this", outcomes.Ran.UNKNOWN
                )
            )
