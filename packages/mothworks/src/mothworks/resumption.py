"""Resumption: continues a stream that broke at another endpoint.

From a seed, or without temperature, another engine generates the same tokens;
it leaves out those that the caller has.
"""

import time
import typing

import logbook
import result

from mothworks import attempts, running, slots

if typing.TYPE_CHECKING:
    from mothworks import dispatch

log = logbook.Logger("resumption")


class Resumption:
    """Finds endpoints that continue broken streams.

    :param dispatch: chooses endpoints and gets their slots.
    """

    def __init__(self, dispatch: "dispatch.Dispatch"):
        self.dispatch = dispatch

    def resume(self, stopped: running.Running) -> bool:
        """Continue a broken stream at another endpoint, if one can.

        :param stopped: the request, its slot given back.
        :returns: whether another endpoint is attached.
        """
        request = stopped.request
        if not (stopped.stream and request.resumable):
            return False
        choice = [
            endpoint
            for endpoint in self.dispatch.choose(request, stopped.tried)
            if self.dispatch.health.adapters.get(endpoint.kind).resumes
        ]
        if not (choice and self.dispatch.may_repeat(request)):
            return False
        # The verdict comes first: a poison request would crash the next
        # endpoint too.
        self.dispatch.suspects.broke(request, stopped.grant.endpoint)
        acquired = self.dispatch.suspects.check(request).and_then(
            lambda exclusive: self.dispatch.acquire(request, choice, exclusive)
        )
        match acquired:
            case result.Ok(grant):
                return self._resume_at(stopped, grant)
            case _:
                return False

    def _resume_at(self, stopped: running.Running, grant: slots.Grant) -> bool:
        adapter = self.dispatch.health.adapters.get(grant.endpoint.kind)
        sent = time.monotonic()
        offset = stopped.progress.events
        try:
            resumed = adapter.send(grant.endpoint, stopped.request, offset)
        except BaseException:
            self.dispatch.release(grant, slots.End(slots.Outcome.CANCELLED))
            raise
        if resumed.is_err():
            outcome = attempts.failed(resumed.err_value).outcome
            self.dispatch.release(grant, slots.End(outcome))
            if outcome is slots.Outcome.CRASHED:
                self.dispatch.suspects.report(stopped.request, grant.endpoint)
            return False
        self.dispatch.metrics.repeated("resumed")
        log.info("resumed at {} after {} events", grant.endpoint.name, offset)
        stopped.attach(grant, resumed.ok_value, sent)
        return True
