"""Running deferred work: one attempt, and its answer stored."""

import random

import gevent
import logbook
import result

from mothworks import (
    calls,
    configuration,
    deferred_records,
    dispatch,
    objects,
    outcomes,
    recorded,
)

log = logbook.Logger("deferred")

#: Attempts that may have run, after which repeatable work is given up.
MOST_RUNS = 5
#: Mean pause between attempts to store an answer, seconds.
PAUSE_S = 1.0


class Runner:
    """Runs stored work.

    :param api: the object API.
    :param part: the node's configuration, which knows the callers.
    :param node_dispatch: sends requests.
    """

    def __init__(
        self,
        api: objects.Api,
        part: configuration.Configuration,
        node_dispatch: dispatch.Dispatch,
    ):
        self.api = api
        self.configuration = part
        self.dispatch = node_dispatch

    def run(self, work_id: str, runs: int) -> result.Result[None, int]:
        """Run a work once and store its answer.

        :param work_id: the work's id.
        :param runs: attempts before this one that may have run.
        :returns: an error where it has to be tried again; its value is the
            number of runs to be counted.
        """
        done_key = deferred_records.key(deferred_records.DONE_PREFIX, work_id)
        open_key = deferred_records.key(deferred_records.OPEN_PREFIX, work_id)
        match self.api.get(open_key):
            case result.Ok(stored):
                read = deferred_records.read(deferred_records.Work, stored.body)
            case result.Err(objects.Missing()):
                return result.Ok(None)
            case _:
                return result.Err(0)
        if read.is_err():
            log.warning("{} cannot be read here: {}", open_key, read.err_value)
            return result.Err(0)
        work = read.ok_value
        match self.api.get(done_key):
            case result.Err(objects.Missing()):
                answered = self._answer(work, runs)
                if answered.is_err():
                    return answered
                body = deferred_records.pack(answered.ok_value)
                written = self.api.put(done_key, body, None)
                # An answer that is there already is as good.
                if written.is_err() and not isinstance(written.err(), objects.Conflict):
                    return self._keep(done_key, body)
            case result.Err(_):
                return result.Err(0)
        self.api.delete(open_key, stored.version)
        return result.Ok(None)

    def _keep(self, key: str, body: bytes) -> result.Result[None, int]:
        """Store an answer while the object API is down, however long.

        The work has run: without its answer it would run again, or its
        caller would be told that the outcome is unknown.
        """
        while True:
            gevent.sleep(PAUSE_S * random.uniform(0.5, 1.5))
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
                _refused(work, outcomes.invalid(message, "forbidden", 403))
            )
        match self.dispatch.begin(work.request(caller)):
            case result.Ok(running):
                pass
            case result.Err(refusal):
                return _unless_temporary(work, refusal, runs)
        try:
            return result.Ok(_collect(work, running))
        except OSError as error:
            refusal = outcomes.unknown(f"the answer broke off: {error}")
            return _unless_temporary(work, refusal, runs)
        finally:
            running.close()


def _collect(
    work: deferred_records.Work, running: recorded.Running
) -> deferred_records.Finished:
    pieces, size = [], 0
    for data in running:
        pieces.append(data)
        size += len(data)
        if size > deferred_records.MOST_BODY_BYTES:
            message = "the work ran; its answer is too long to be kept"
            refusal = outcomes.Refusal(
                502, "answer_not_kept", message, outcomes.Ran.UNKNOWN
            )
            return _refused(work, refusal)
    answer = running.answer
    headers = tuple((name, value) for name, value in answer.headers)
    return deferred_records.Finished(
        work.caller, answer.status, headers, b"".join(pieces)
    )


def _unless_temporary(
    work: deferred_records.Work, refusal: outcomes.Refusal, runs: int
) -> result.Result[deferred_records.Finished, int]:
    """Return a refusal as the answer, unless a later attempt may succeed."""
    if refusal.ran is outcomes.Ran.NO:
        if refusal.retry_after is not None:
            return result.Err(0)
    elif refusal.retry_after is not None:
        # Another copy is still running.
        return result.Err(0)
    elif work.repeatable and not work.idempotency_key and runs + 1 < MOST_RUNS:
        return result.Err(1)
    return result.Ok(_refused(work, refusal))


def _refused(
    work: deferred_records.Work, refusal: outcomes.Refusal
) -> deferred_records.Finished:
    reply = calls.refuse(refusal)
    return deferred_records.Finished(
        work.caller, reply.status, tuple(reply.headers), b"".join(reply.body)
    )
