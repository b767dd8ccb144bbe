"""Resumes broken streams at another endpoint.

With a seed, or at temperature zero, another engine generates the same tokens and
skips those that the caller already has.
"""

import time
import typing

import logbook
import result

from mothworks import failed_attempts, running_request, slots

if typing.TYPE_CHECKING:
    from mothworks import dispatch

log = logbook.Logger("resumption")


class Resumption:
    """Finds endpoints that continue broken streams.

    :param dispatch: selects endpoints and acquires their slots.
    """

    def __init__(self, dispatch: "dispatch.Dispatch"):
        self.dispatch = dispatch

    def resume(self, broken: running_request.RunningRequest) -> bool:
        """Continue a broken stream at another endpoint, if one can.

        :param broken: the request, whose slot was released.
        :returns: whether the stream continues at another endpoint.
        """
        request = broken.request
        if not (broken.stream and request.resumable):
            return False
        candidates = [
            endpoint
            for endpoint in self.dispatch.choose_endpoints(request, broken.tried)
            if self.dispatch.health.adapters.get(endpoint.kind).can_resume
        ]
        if not (candidates and self.dispatch.acquire_retry(request)):
            return False
        # Wait for the verdict of the endpoint's owner first: a poison request would
        # crash the next endpoint too.
        self.dispatch.suspects.report_broken_and_wait(request, broken.grant.endpoint)
        acquired = self.dispatch.suspects.check(request).and_then(
            lambda exclusive: self.dispatch.acquire(request, candidates, exclusive)
        )
        match acquired:
            case result.Ok(grant):
                return self._resume_at(broken, grant)
            case _:
                return False

    def _resume_at(
        self, broken: running_request.RunningRequest, grant: slots.Grant
    ) -> bool:
        adapter = self.dispatch.health.adapters.get(grant.endpoint.kind)
        sent_at = time.monotonic()
        offset = broken.progress.event_count
        try:
            resumed = adapter.send(grant.endpoint, broken.request, offset)
        except BaseException:
            self.dispatch.release(grant, slots.RequestEnd(slots.Outcome.CANCELLED))
            raise
        if resumed.is_err():
            outcome = failed_attempts.from_send_failure(resumed.err_value).outcome
            self.dispatch.release(grant, slots.RequestEnd(outcome))
            if outcome is slots.Outcome.CRASHED:
                self.dispatch.suspects.report_broken(broken.request, grant.endpoint)
            return False
        self.dispatch.metrics.count_repeat("resumed")
        log.info("resumed at {} after {} events", grant.endpoint.name, offset)
        broken.attach(grant, resumed.ok_value, sent_at)
        return True
