"""Base class of the parts that serve calls over WSGI."""

import collections.abc
import sys
import typing

import logbook

from mothworks import calls, connections, kernel, outcomes, settings, uploads

log = logbook.Logger("serving")

#: Statuses whose replies have no body.
STATUSES_WITHOUT_BODY = (204, 304)


class Serving(kernel.Part):
    """A part that serves calls; :meth:`application` is its WSGI application.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        #: Number of calls in progress.
        self.open_calls = 0
        self.uploads = uploads.Uploads(node_kernel.settings.limits.uploads_bytes)

    @property
    def limits(self) -> settings.Limits:
        """Return the limits that apply to the next call."""
        return self.kernel.settings.limits

    def reply(self, call: calls.Call) -> calls.Reply:
        """Return the reply to one call.

        :param call: the call.
        """
        raise NotImplementedError

    def refuse(self, refusal: outcomes.Refusal) -> calls.Reply:
        """Return the error reply for a refusal.

        :param refusal: why the request is refused.
        """
        return calls.refuse(refusal)

    def headers(self, call: calls.Call, reply: calls.Reply) -> list[tuple[str, str]]:
        """Return the headers to send with a reply.

        :param call: the call.
        :param reply: its reply.
        """
        if reply.status not in STATUSES_WITHOUT_BODY:
            return list(reply.headers)
        # The WSGI server fails on a Content-Length where no body is allowed.
        return [item for item in reply.headers if item[0].lower() != "content-length"]

    def on_call(self, call: calls.Call) -> None:
        """Hook that runs before a call is answered.

        :param call: the call.
        """

    def on_reply(self, call: calls.Call, reply: calls.Reply) -> None:
        """Hook that runs before a reply is sent.

        :param call: the call.
        :param reply: its reply.
        """

    def application(
        self, environ: dict[str, typing.Any], start_response: calls.StartResponse
    ) -> collections.abc.Iterator[bytes]:
        """Serve one call that a listener received.

        :param environ: the WSGI environment.
        :param start_response: WSGI's function that sets status and headers.
        """
        self.open_calls += 1
        call = reply = None
        try:
            call = calls.Call(environ, self.limits, self.uploads)
            self.on_call(call)
            reply = self._reply_or_internal_error(call)
            self._begin(call, reply, start_response)
            try:
                yield from reply.body
            except (connections.BrokenAnswer, connections.DrainTimeout) as error:
                if call.environ[calls.CONNECTION].headers_sent:
                    raise
                # Nothing of the answer was sent, so the caller can be told.
                reply = self.refuse(outcomes.unknown(str(error) or "it ended early"))
                self._begin(call, reply, start_response, sys.exc_info())
                yield from reply.body
        except OSError as error:
            raise connections.BrokenAnswer from error
        finally:
            # A body that was never iterated keeps its slot until it is closed.
            close = getattr(reply and reply.body, "close", None)
            if close is not None:
                close()
            if call is not None:
                call.stop_watch()
            self.open_calls -= 1

    def _begin(
        self,
        call: calls.Call,
        reply: calls.Reply,
        start_response: calls.StartResponse,
        error: tuple | None = None,
    ) -> None:
        """Set the status and the headers of a reply.

        :param call: the call.
        :param reply: its reply.
        :param start_response: WSGI's function.
        :param error: the exception that ended another reply before its first byte.
        """
        self.on_reply(call, reply)
        headers = self.headers(call, reply)
        if self.kernel.draining:
            # Makes the caller send its next call to another VM.
            headers.append(("Connection", "close"))
        start_response(calls.status_line(reply.status), headers, error)

    def _reply_or_internal_error(self, call: calls.Call) -> calls.Reply:
        """Return the reply to a call; status 500 if an exception is raised.

        Other broken invariants stop the process. Here that would let one
        unusual request that is retried take down every VM in turn.
        """
        try:
            return self.reply(call)
        except connections.DrainTimeout:
            return self.refuse(outcomes.unknown("this VM is stopping"))
        except Exception:
            log.exception("failed to answer {} {}", call.method, call.raw_path[:80])
            return self.refuse(
                outcomes.Refusal(
                    500,
                    "internal",
                    "the node failed to process the request",
                    outcomes.Ran.UNKNOWN,
                )
            )
