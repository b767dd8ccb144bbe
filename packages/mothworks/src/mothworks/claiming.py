"""The claim of one request with an Idempotency-Key, at its entry.

The entry looks for a duplicate of the request before it requests a slot,
claims the key right before it sends the request, and stores the outcome.
"""

import time
import typing
import uuid

import attrs
import gevent
import result
import xxhash

from mothworks import claim_messages, claim_records, outcomes, requests

if typing.TYPE_CHECKING:
    from mothworks import claims

#: First and longest pause between polls of a duplicate that still runs,
#: seconds.
FIRST_POLL_S = 0.05
MAX_POLL_S = 1.0
#: Longest wait for a duplicate's outcome, seconds.
OUTCOME_TIMEOUT_S = 300.0
#: Retry-After while claims cannot be read or written, seconds.
UNAVAILABLE_RETRY_S = 2.0

#: The stored answer of a duplicate that ran, or the refusal of this request.
DuplicateResult = result.Result[claim_records.StoredAnswer, outcomes.Refusal]


class Claim:
    """The claim of one request with an Idempotency-Key.

    :param part: the node's part that decides on claims.
    :param request: the request.
    """

    def __init__(self, part: "claims.Claims", request: requests.Request):
        self.claims = part
        self.request = request
        self.key = _hash(request.caller.name, request.idempotency_key)
        self.claim_id = uuid.uuid4().bytes
        self.request_hash = _hash(
            request.target, request.method, request.path, request.body
        )
        #: Whether this request holds the claim.
        self.acquired = False
        #: Whether a duplicate claimed the key first.
        self.lost = False
        #: Whether the claim may have been written although no grant was received.
        self.maybe_written = False

    def find_duplicate(self) -> DuplicateResult | None:
        """Look for a duplicate, and wait for its outcome if it is running.

        :returns: the stored answer of a duplicate that ran, or the refusal of this
            request; None if this request may run.
        """
        return self._interpret(self._request_decision(claim=False))

    def acquire(self) -> result.Result[None, outcomes.Refusal]:
        """Claim the key; to be called right before the request is sent.

        :returns: an error if the request must not be sent; if a duplicate
            claimed the key first, :meth:`wait_for_winner` returns its outcome.
        """
        if self.acquired:
            return result.Ok(None)
        self.claims.active_claims.add(self.claim_id)
        match self._request_decision(claim=True).decision:
            case claim_messages.Decision.GRANTED:
                self.acquired = True
                return result.Ok(None)
            case claim_messages.Decision.UNAVAILABLE:
                self.maybe_written = True
            case _:
                self.lost = True
        self.claims.active_claims.discard(self.claim_id)
        if self.lost:
            return result.Err(_still_running())
        return (
            result.Ok(None) if self.request.repeatable else result.Err(_unavailable())
        )

    def wait_for_winner(self) -> DuplicateResult:
        """Wait for the outcome of the duplicate that claimed the key first."""
        return self.find_duplicate() or result.Err(_still_running())

    def store_outcome(
        self,
        state: claim_records.State,
        answer: claim_records.StoredAnswer | None = None,
    ) -> None:
        """Store the request's outcome, in a background task.

        :param state: the request's final state.
        :param answer: its answer, if it is to be stored.
        """
        if not self.acquired:
            if not self.maybe_written:
                return
            # The claim may have been written, but the request did not run
            # under it.
            state, answer = claim_records.State.RELEASED, None
        update = claim_messages.OutcomeUpdate(
            self.key, self.claim_id, self.request_hash, int(state)
        )
        if answer is not None:
            update = attrs.evolve(
                update, has_answer=True, **claim_messages.answer_fields(answer)
            )
        self.claims.tasks.spawn(self.claims.store_outcome, update)

    def _request_decision(
        self, claim: bool, reload: bool = False
    ) -> claim_messages.ClaimReply:
        holder = self.claims.kernel.settings.name
        claim_request = claim_messages.ClaimRequest(
            self.key, self.claim_id, self.request_hash, holder, claim, reload
        )
        return self.claims.decide(claim_request)

    def _interpret(
        self, reply: claim_messages.ClaimReply, wait: bool = True
    ) -> DuplicateResult | None:
        match reply.decision:
            case claim_messages.Decision.FREE | claim_messages.Decision.GRANTED:
                return None
            case claim_messages.Decision.CLAIMED if wait:
                return self._wait_for_duplicate()
            case claim_messages.Decision.CLAIMED:
                return result.Err(_still_running())
            case claim_messages.Decision.OUTCOME_LOST:
                return result.Err(_outcome_lost())
            case claim_messages.Decision.DONE:
                return result.Ok(claim_messages.stored_answer(reply))
            case claim_messages.Decision.NOT_STORED:
                return result.Err(_answer_not_stored())
            case claim_messages.Decision.KEY_REUSED:
                return result.Err(_key_reused())
        if self.request.repeatable:
            # The request may safely run twice, so it runs without a claim
            # during an outage of the object API.
            return None
        return result.Err(_unavailable())

    def _wait_for_duplicate(self) -> DuplicateResult | None:
        poll_s = FIRST_POLL_S
        deadline = min(time.monotonic() + OUTCOME_TIMEOUT_S, self.request.deadline)
        while time.monotonic() < deadline:
            gevent.sleep(poll_s)
            poll_s = min(2 * poll_s, MAX_POLL_S)
            reply = self._request_decision(claim=False)
            if reply.decision == claim_messages.Decision.CLAIMED:
                if self.claims.is_active(reply):
                    continue
                # The holder died, or has just stored the outcome: reload.
                reply = self._request_decision(claim=False, reload=True)
                if reply.decision == claim_messages.Decision.CLAIMED:
                    return result.Err(_outcome_lost())
            return self._interpret(reply, wait=False)
        return result.Err(_still_running())


def _hash(*values: str | bytes) -> bytes:
    digest = xxhash.xxh3_128()
    for value in values:
        data = value.encode() if isinstance(value, str) else value
        # With lengths, ("ab", "c") and ("a", "bc") hash differently.
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.digest()


def _outcome_lost() -> outcomes.Refusal:
    message = "a request with this Idempotency-Key may have run; its answer is lost"
    return outcomes.unknown(message)


def _answer_not_stored() -> outcomes.Refusal:
    message = "the request with this Idempotency-Key ran; its answer was not stored"
    return outcomes.Refusal(409, "answer_not_kept", message, outcomes.Ran.UNKNOWN)


def _still_running() -> outcomes.Refusal:
    message = "a request with this Idempotency-Key is still running"
    return outcomes.Refusal(
        409, "still_running", message, outcomes.Ran.UNKNOWN, MAX_POLL_S
    )


def _key_reused() -> outcomes.Refusal:
    message = "this Idempotency-Key was used for another request"
    return outcomes.invalid(message, "idempotency_key_reused", 422)


def _unavailable() -> outcomes.Refusal:
    """Return the refusal of a request whose claim can't be read or written.

    This attempt did not run, but an earlier one with the same key may have: if
    ``ran`` were "no", the caller might send the request again under another key,
    and it would run twice.
    """
    message = (
        "the object API, which prevents duplicate runs, is unavailable; "
        "this attempt did not run, retry it with the same Idempotency-Key"
    )
    return outcomes.Refusal(
        503, "object_api", message, outcomes.Ran.UNKNOWN, UNAVAILABLE_RETRY_S
    )
