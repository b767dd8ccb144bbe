"""Runs deferred work: makes one attempt and stores its answer."""

import random

import gevent
import logbook
import result

from mothworks import (
    answer_recording,
    calls,
    configuration,
    deferred_records,
    dispatch,
    objects,
    outcomes,
)

log = logbook.Logger("deferred")

#: Number of attempts that may have run after which repeatable work is not
#: retried.
MAX_RUNS = 5
#: Mean pause between attempts to store an answer, seconds.
STORE_PAUSE_S = 1.0


class Runner:
    """Runs stored work.

    :param api: the object API.
    :param node_configuration: the node's configuration, for the declared callers.
    :param node_dispatch: sends the requests to endpoints.
    """

    def __init__(
        self,
        api: objects.Api,
        node_configuration: configuration.Configuration,
        node_dispatch: dispatch.Dispatch,
    ):
        self.api = api
        self.configuration = node_configuration
        self.dispatch = node_dispatch

    def run(self, work_id: str, runs: int) -> result.Result[None, int]:
        """Run work once and store its answer.

        :param work_id: the work's id.
        :param runs: number of earlier attempts that may have run.
        :returns: an error if it has to be retried; its value is added to the
            number of attempts that may have run.
        """
        done_key = deferred_records.key(deferred_records.DONE_PREFIX, work_id)
        open_key = deferred_records.key(deferred_records.OPEN_PREFIX, work_id)
        match self.api.get(open_key):
            case result.Ok(stored):
                unpacked = deferred_records.unpack(deferred_records.Work, stored.body)
            case result.Err(objects.Missing()):
                return result.Ok(None)
            case _:
                return result.Err(0)
        if unpacked.is_err():
            log.warning("cannot decode {}: {}", open_key, unpacked.err_value)
            return result.Err(0)
        work = unpacked.ok_value
        match self.api.get(done_key):
            case result.Err(objects.Missing()):
                answered = self._answer(work, runs)
                if answered.is_err():
                    return answered
                body = deferred_records.pack(answered.ok_value)
                written = self.api.put(done_key, body, None)
                # If another answer is stored already, that one is kept.
                if written.is_err() and not isinstance(written.err(), objects.Conflict):
                    return self._put_until_stored(done_key, body)
            case result.Err(_):
                return result.Err(0)
        self.api.delete(open_key, stored.version)
        return result.Ok(None)

    def _put_until_stored(self, key: str, body: bytes) -> result.Result[None, int]:
        """Retry storing an answer until the object API accepts it.

        The work has run: if its answer were dropped, it would run again, or
        its caller would get the error that its outcome is unknown.

        :returns: an error, so that the next attempt deletes the stored work.
        """
        while True:
            gevent.sleep(STORE_PAUSE_S * random.uniform(0.5, 1.5))
            match self.api.put(key, body, None):
                case result.Ok(_) | result.Err(objects.Conflict()):
                    return result.Err(0)

    def _answer(
        self, work: deferred_records.Work, runs: int
    ) -> result.Result[deferred_records.Finished, int]:
        caller = self.configuration.index.caller_by_name.get(work.caller)
        if caller is None:
            message = "the caller is no longer declared"
            return result.Ok(
                _finish_refused(work, outcomes.invalid(message, "forbidden", 403))
            )
        match self.dispatch.begin(work.request(caller)):
            case result.Ok(running):
                pass
            case result.Err(refusal):
                return _retry_or_finish(work, refusal, runs)
        try:
            return result.Ok(_read_answer(work, running))
        except OSError as error:
            refusal = outcomes.unknown(f"the answer broke off: {error}")
            return _retry_or_finish(work, refusal, runs)
        finally:
            running.close()


def _read_answer(
    work: deferred_records.Work, running: answer_recording.AnsweredRequest
) -> deferred_records.Finished:
    chunks, size = [], 0
    for chunk in running:
        chunks.append(chunk)
        size += len(chunk)
        if size > deferred_records.MAX_BODY_BYTES:
            message = "the work ran; its answer is too long to store"
            refusal = outcomes.Refusal(
                502, "answer_not_kept", message, outcomes.Ran.UNKNOWN
            )
            return _finish_refused(work, refusal)
    answer = running.answer
    headers = tuple((name, value) for name, value in answer.headers)
    return deferred_records.Finished(
        work.caller, answer.status, headers, b"".join(chunks)
    )


def _retry_or_finish(
    work: deferred_records.Work, refusal: outcomes.Refusal, runs: int
) -> result.Result[deferred_records.Finished, int]:
    """Return a refusal as the final answer, or an error if it may be retried."""
    if refusal.ran is outcomes.Ran.NO:
        if refusal.retry_after is not None:
            return result.Err(0)
    elif refusal.retry_after is not None:
        # A duplicate is still running.
        return result.Err(0)
    elif work.repeatable and not work.idempotency_key and runs + 1 < MAX_RUNS:
        return result.Err(1)
    return result.Ok(_finish_refused(work, refusal))


def _finish_refused(
    work: deferred_records.Work, refusal: outcomes.Refusal
) -> deferred_records.Finished:
    reply = calls.refuse(refusal)
    return deferred_records.Finished(
        work.caller, reply.status, tuple(reply.headers), b"".join(reply.body)
    )
