"""The claim of one request with an Idempotency-Key, at its entry.

The entry looks for another copy before it asks for a slot, claims the key
right before it sends, and stores how the request ended.
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

#: First and longest pause between looks at a request that still runs, seconds.
LOOK_S = 0.05
MOST_LOOK_S = 1.0
#: Longest wait for another copy's outcome, seconds.
OUTCOME_S = 300.0
#: Hint to a caller while claims cannot be written, seconds.
DOWN_RETRY_S = 2.0

#: The outcome of a request that another copy has run, or is running.
Repeated = result.Result[claim_records.StoredAnswer, outcomes.Refusal]


class Claim:
    """The claim of one request with an Idempotency-Key.

    :param part: the node's claims.
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
        #: Whether this request has the claim.
        self.taken = False
        #: Whether another copy was faster.
        self.lost = False
        #: Whether the claim may have been written although it was refused.
        self.uncertain = False

    def find(self) -> Repeated | None:
        """Look for another copy, waiting for the outcome of one that runs.

        :returns: None where there is none.
        """
        return self._settle(self._ask(claim=False))

    def take(self) -> result.Result[None, outcomes.Refusal]:
        """Claim the key; to be called right before the first byte leaves.

        :returns: an error where the request must not be sent; where another
            copy was faster, :meth:`wait` has its outcome.
        """
        if self.taken:
            return result.Ok(None)
        self.claims.held.add(self.claim_id)
        match self._ask(claim=True).finding:
            case claim_messages.Finding.GRANTED:
                self.taken = True
                return result.Ok(None)
            case claim_messages.Finding.DOWN:
                self.uncertain = True
            case _:
                self.lost = True
        self.claims.held.discard(self.claim_id)
        if self.lost:
            return result.Err(_still_running())
        return result.Ok(None) if self.request.repeatable else result.Err(_down())

    def wait(self) -> Repeated:
        """Wait for the outcome of the copy that was faster."""
        return self.find() or result.Err(_still_running())

    def end(
        self,
        state: claim_records.State,
        answer: claim_records.StoredAnswer | None = None,
    ) -> None:
        """Store how the request ended, in a task of its own.

        :param state: what is known of it.
        :param answer: its answer, where it is kept.
        """
        if not self.taken:
            if not self.uncertain:
                return
            # The claim may have been written; nothing was sent under it.
            state, answer = claim_records.State.RELEASED, None
        ending = claim_messages.EndClaim(
            self.key, self.claim_id, self.request_hash, int(state)
        )
        if answer is not None:
            ending = attrs.evolve(
                ending, kept=True, **claim_messages.answer_fields(answer)
            )
        self.claims.tasks.spawn(self.claims.store_end, ending)

    def _ask(self, claim: bool, fresh: bool = False) -> claim_messages.ClaimAnswer:
        holder = self.claims.kernel.settings.name
        ask = claim_messages.AskClaim(
            self.key, self.claim_id, self.request_hash, holder, claim, fresh
        )
        return self.claims.ask(ask)

    def _settle(
        self, answer: claim_messages.ClaimAnswer, wait: bool = True
    ) -> Repeated | None:
        match answer.finding:
            case claim_messages.Finding.FREE | claim_messages.Finding.GRANTED:
                return None
            case claim_messages.Finding.HELD if wait:
                return self._wait_for_other()
            case claim_messages.Finding.HELD:
                return result.Err(_still_running())
            case claim_messages.Finding.LOST:
                return result.Err(_lost())
            case claim_messages.Finding.DONE:
                return result.Ok(claim_messages.stored_answer(answer))
            case claim_messages.Finding.NOT_KEPT:
                return result.Err(_not_kept())
            case claim_messages.Finding.OTHER:
                return result.Err(_other_request())
        if self.request.repeatable:
            # It may run twice: an outage of the object API does not stop it.
            return None
        return result.Err(_down())

    def _wait_for_other(self) -> Repeated | None:
        pause_s = LOOK_S
        deadline = min(time.monotonic() + OUTCOME_S, self.request.deadline)
        while time.monotonic() < deadline:
            gevent.sleep(pause_s)
            pause_s = min(2 * pause_s, MOST_LOOK_S)
            answer = self._ask(claim=False)
            if answer.finding == claim_messages.Finding.HELD:
                if self.claims.is_held(answer):
                    continue
                # The holder died, or has just stored the outcome.
                answer = self._ask(claim=False, fresh=True)
                if answer.finding == claim_messages.Finding.HELD:
                    return result.Err(_lost())
            return self._settle(answer, wait=False)
        return result.Err(_still_running())


def _hash(*values: str | bytes) -> bytes:
    digest = xxhash.xxh3_128()
    for value in values:
        data = value.encode() if isinstance(value, str) else value
        # Lengths keep ("ab", "c") and ("a", "bc") apart.
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.digest()


def _lost() -> outcomes.Refusal:
    message = "a request with this Idempotency-Key may have run; its answer is lost"
    return outcomes.unknown(message)


def _not_kept() -> outcomes.Refusal:
    message = "the request with this Idempotency-Key ran; its answer was not kept"
    return outcomes.Refusal(409, "answer_not_kept", message, outcomes.Ran.UNKNOWN)


def _still_running() -> outcomes.Refusal:
    message = "a request with this Idempotency-Key is still running"
    return outcomes.Refusal(
        409, "still_running", message, outcomes.Ran.UNKNOWN, MOST_LOOK_S
    )


def _other_request() -> outcomes.Refusal:
    message = "this Idempotency-Key was used for another request"
    return outcomes.invalid(message, "idempotency_key_reused", 422)


def _down() -> outcomes.Refusal:
    """Return the refusal of a request whose claim can be neither read nor made.

    This sending was not run, but an earlier one with the same key may have
    been: a caller who read "no" might order anew under another key, and get
    two.
    """
    message = (
        "the object API, which keeps work from running twice, does not answer; "
        "this sending was not run, send it again with the same Idempotency-Key"
    )
    return outcomes.Refusal(
        503, "object_api", message, outcomes.Ran.UNKNOWN, DOWN_RETRY_S
    )
