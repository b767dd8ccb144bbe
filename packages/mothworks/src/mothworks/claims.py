"""Claims: work that may run once runs at most once.

Right before a request with an Idempotency-Key is sent, its entry claims the
key of this caller in the object API. A resend on any VM finds the claim and
gets the stored answer, or is told that the request may have run; it never
runs again. Keys are spread over shards; a shard's owner, by rendezvous
hashing, writes the claims of all entries together. Ownership is only for
economy: the conditional update alone keeps two owners apart.
"""

import enum
import time
import uuid

import attrs
import gevent
import logbook
import result
import xxhash

from mothworks import (
    claim_records,
    claim_shards,
    configuration,
    kernel,
    membership,
    messages,
    objects,
    outcomes,
    ownership,
    peers,
    plugins,
    requests,
)

log = logbook.Logger("claims")

#: Number of shards. It never changes: a resend has to look where the first
#: request was claimed.
SHARDS = 16
KEY_PREFIX = "claims/"
#: Longest wait for a shard's owner, seconds.
OWNER_S = 2.0
#: Longest wait for a holder to say whether it still runs a request, seconds.
HOLDER_S = 1.0
#: First and longest pause between looks at a request that still runs, seconds.
LOOK_S = 0.05
MOST_LOOK_S = 1.0
#: Longest wait for another copy's outcome, seconds.
OUTCOME_S = 300.0
#: Longest time to store an outcome, seconds, and the pause between attempts.
KEEP_TRYING_S = 120.0
RETRY_S = 1.0
#: Hint to a caller while claims cannot be written, seconds.
DOWN_RETRY_S = 2.0


class Finding(enum.IntEnum):
    """What a shard's owner answers about a key."""

    #: Nobody has it.
    FREE = 0
    #: The asker has it.
    GRANTED = 1
    #: Another copy has it, and may be running.
    HELD = 2
    #: Another copy had it, and its answer is lost.
    LOST = 3
    #: Another copy ran, and its answer is stored.
    DONE = 4
    #: Another copy ran, and its answer was too long to be stored.
    NOT_KEPT = 5
    #: Another request has this key.
    OTHER = 6
    #: The object API does not answer.
    DOWN = 7


@messages.message(50)
@attrs.frozen
class AskClaim:
    """An entry asks a shard's owner about a key.

    :param key: hash of the caller and the caller's key.
    :param claim_id: chosen by the asker.
    :param request_hash: hash of the request.
    :param holder: the asker's VM.
    :param claim: whether to claim the key if it is free.
    :param fresh: whether to read the shard anew first.
    """

    key: bytes
    claim_id: bytes
    request_hash: bytes
    holder: str
    claim: bool
    fresh: bool = False


@messages.message(51)
@attrs.frozen
class ClaimAnswer:
    """Answers :class:`AskClaim`.

    :param finding: a :class:`Finding`.
    :param holder: the VM of the copy that has the key.
    :param claim_id: that copy's claim.
    :param status: the stored answer's status.
    :param headers: its headers.
    :param body: its body.
    """

    finding: int
    holder: str = ""
    claim_id: bytes = b""
    status: int = 0
    headers: tuple = ()
    body: bytes = b""


@messages.message(52)
@attrs.frozen
class EndClaim:
    """An entry tells a shard's owner how a claimed request ended.

    :param key: see :class:`AskClaim`.
    :param claim_id: see :class:`AskClaim`.
    :param request_hash: see :class:`AskClaim`.
    :param state: a :class:`claim_records.State`.
    :param kept: whether the answer follows.
    :param status: the answer's status.
    :param headers: its headers.
    :param body: its body.
    """

    key: bytes
    claim_id: bytes
    request_hash: bytes
    state: int
    kept: bool = False
    status: int = 0
    headers: tuple = ()
    body: bytes = b""


@messages.message(53)
@attrs.frozen
class ClaimEnded:
    """Answers :class:`EndClaim`.

    :param stored: whether the outcome is stored.
    """

    stored: bool


@messages.message(54)
@attrs.frozen
class AskHeld:
    """Asks a holder whether it still runs a claimed request.

    :param claim_id: the claim.
    """

    claim_id: bytes


@messages.message(55)
@attrs.frozen
class Held:
    """Answers :class:`AskHeld`.

    :param held: whether it does.
    """

    held: bool


#: The outcome of a request that another copy has run, or is running.
Repeated = result.Result[claim_records.StoredAnswer, outcomes.Refusal]


class Claim:
    """The claim of one request with an Idempotency-Key.

    :param claims: the node's claims.
    :param request: the request.
    """

    def __init__(self, claims: "Claims", request: requests.Request):
        self.claims = claims
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
            case Finding.GRANTED:
                self.taken = True
                return result.Ok(None)
            case Finding.DOWN:
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
        ending = EndClaim(self.key, self.claim_id, self.request_hash, int(state))
        if answer is not None:
            ending = attrs.evolve(ending, kept=True, **_fields(answer))
        self.claims.tasks.spawn(self.claims.store_end, ending)

    def _ask(self, claim: bool, fresh: bool = False) -> ClaimAnswer:
        holder = self.claims.kernel.settings.name
        ask = AskClaim(self.key, self.claim_id, self.request_hash, holder, claim, fresh)
        return self.claims.ask(ask)

    def _settle(self, answer: ClaimAnswer, wait: bool = True) -> Repeated | None:
        match answer.finding:
            case Finding.FREE | Finding.GRANTED:
                return None
            case Finding.HELD if wait:
                return self._wait_for_other()
            case Finding.HELD:
                return result.Err(_still_running())
            case Finding.LOST:
                return result.Err(_lost())
            case Finding.DONE:
                headers = tuple((name, value) for name, value in answer.headers)
                return result.Ok(
                    claim_records.StoredAnswer(answer.status, headers, answer.body)
                )
            case Finding.NOT_KEPT:
                return result.Err(_not_kept())
            case Finding.OTHER:
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
            if answer.finding == Finding.HELD:
                if self.claims.is_held(answer):
                    continue
                # The holder died, or has just stored the outcome.
                answer = self._ask(claim=False, fresh=True)
                if answer.finding == Finding.HELD:
                    return result.Err(_lost())
            return self._settle(answer, wait=False)
        return result.Err(_still_running())


@plugins.register(plugins.PART, "claims")
class Claims(kernel.Part):
    """Serves the shards that this VM owns and makes claims for its entry.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.api = node_kernel.get(objects.Objects).api
        self.configuration = node_kernel.get(configuration.Configuration)
        self.membership = node_kernel.get(membership.Membership)
        self.peers = node_kernel.get(peers.Peers)
        self.shard_by_number: dict[int, claim_shards.Shard] = {}
        #: Claims whose request this VM runs, or whose outcome it stores.
        self.held: set[bytes] = set()
        self.writes_total = node_kernel.metrics.counter(
            "claim_writes_total", "Writes of claim shards."
        )
        self.records_total = node_kernel.metrics.counter(
            "claim_records_total", "Claims and outcomes in those writes."
        )
        self.peers.handle(AskClaim, self._serve_ask)
        self.peers.handle(EndClaim, self._serve_end)
        self.peers.handle(AskHeld, self._serve_held)
        self.membership.on_change.append(self._forget_shards)

    def open(self, request: requests.Request) -> Claim | None:
        """Return the claim of a request, not made yet; None without a key.

        :param request: the request.
        """
        return Claim(self, request) if request.idempotency_key else None

    def ask(self, ask: AskClaim) -> ClaimAnswer:
        """Ask the owner of a key's shard, or do its work where it is away.

        :param ask: the question.
        """
        owner = self._owner(ask.key)
        if owner != self.kernel.settings.name:
            until = time.monotonic() + OWNER_S
            match self.peers.call(owner, ask, OWNER_S):
                case result.Ok(ClaimAnswer() as answer):
                    return answer
                case _ if time.monotonic() >= until:
                    # An owner that is slow because the object API is slow
                    # would only be slowed more by a rival's writes.
                    return ClaimAnswer(Finding.DOWN)
        return self._decide(ask)

    def is_held(self, answer: ClaimAnswer) -> bool:
        """Return whether a claim's holder says that it still runs it.

        :param answer: the answer that names holder and claim.
        """
        if answer.holder == self.kernel.settings.name:
            return answer.claim_id in self.held
        match self.peers.call(answer.holder, AskHeld(answer.claim_id), HOLDER_S):
            case result.Ok(Held(held)):
                return held
            case _:
                return False

    def store_end(self, ending: EndClaim) -> None:
        """Store how a claimed request ended, trying for a while.

        :param ending: the end.
        """
        deadline = time.monotonic() + KEEP_TRYING_S
        while not self._pass_end(ending) and time.monotonic() < deadline:
            gevent.sleep(RETRY_S)
        self.held.discard(ending.claim_id)

    def drain(self, deadline: float) -> None:
        """Store the outcomes of what has ended; see :meth:`kernel.Part.drain`."""
        while self.held and time.monotonic() < deadline:
            gevent.sleep(0.02)

    def _pass_end(self, ending: EndClaim) -> bool:
        owner = self._owner(ending.key)
        if owner != self.kernel.settings.name:
            match self.peers.call(owner, ending, OWNER_S):
                case result.Ok(ClaimEnded(True)):
                    return True
        return self._store(ending)

    def _owner(self, key: bytes) -> str:
        number = key[0] % SHARDS
        staying = [item for item in self.membership.live() if not item.leaving]
        owner = ownership.highest(f"{KEY_PREFIX}{number}", staying)
        return owner.name if owner else self.kernel.settings.name

    def _shard(self, key: bytes) -> claim_shards.Shard:
        number = key[0] % SHARDS
        shard = self.shard_by_number.get(number)
        if shard is None:
            shard = claim_shards.Shard(
                self.api, f"{KEY_PREFIX}{number}", self._retention_s, self._note_write
            )
            self.shard_by_number[number] = shard
        return shard

    def _note_write(self, records: int) -> None:
        self.writes_total.inc({})
        self.records_total.add({}, records)

    def _retention_s(self) -> float:
        return self.configuration.index.catalogue.retention.claims_s

    def _forget_shards(self) -> None:
        for number, shard in list(self.shard_by_number.items()):
            mine = self._owner(bytes((number,))) == self.kernel.settings.name
            if not mine and not shard.pending:
                del self.shard_by_number[number]

    def _decide(self, ask: AskClaim) -> ClaimAnswer:
        shard = self._shard(ask.key)
        if ask.fresh:
            shard.reload()
        found = shard.find(ask.key)
        if found == result.Ok(None):
            if not ask.claim:
                return ClaimAnswer(Finding.FREE)
            found = shard.append(
                claim_records.Record(
                    ask.key,
                    ask.claim_id,
                    claim_records.State.CLAIMED,
                    int(time.time()),
                    ask.request_hash,
                    ask.holder,
                )
            )
        match found:
            case result.Ok(claim_records.Known() as known):
                return self._describe(ask, shard, known)
            case result.Ok(None):
                # The claim that was faster has been released since.
                return ClaimAnswer(Finding.DOWN)
            case result.Err(problem):
                log.warning("a claim was not made: {}", problem.reason)
                return ClaimAnswer(Finding.DOWN)

    def _describe(
        self, ask: AskClaim, shard: claim_shards.Shard, known: claim_records.Known
    ) -> ClaimAnswer:
        """Return what a key's newest record means for an asker."""
        if known.request_hash != ask.request_hash:
            return ClaimAnswer(Finding.OTHER)
        match known.state:
            case claim_records.State.CLAIMED if known.claim_id == ask.claim_id:
                return ClaimAnswer(Finding.GRANTED)
            case claim_records.State.CLAIMED:
                return ClaimAnswer(Finding.HELD, known.holder, known.claim_id)
            case claim_records.State.UNKNOWN:
                return ClaimAnswer(Finding.LOST)
        match shard.answer(ask.key):
            case result.Ok(None):
                return ClaimAnswer(Finding.NOT_KEPT)
            case result.Ok(answer):
                return ClaimAnswer(Finding.DONE, **_fields(answer))
            case _:
                return ClaimAnswer(Finding.DOWN)

    def _store(self, ending: EndClaim) -> bool:
        answer = None
        if ending.kept:
            headers = tuple((name, value) for name, value in ending.headers)
            answer = claim_records.StoredAnswer(ending.status, headers, ending.body)
        record = claim_records.Record(
            ending.key,
            ending.claim_id,
            claim_records.State(ending.state),
            int(time.time()),
            ending.request_hash,
            "",
            answer,
        )
        return self._shard(ending.key).append(record).is_ok()

    def _serve_ask(self, _: str, ask: AskClaim, answer: peers.Answer) -> None:
        self.tasks.spawn(lambda: answer(self._decide(ask)))

    def _serve_end(self, _: str, ending: EndClaim, answer: peers.Answer) -> None:
        self.tasks.spawn(lambda: answer(ClaimEnded(self._store(ending))))

    def _serve_held(self, _: str, ask: AskHeld, answer: peers.Answer) -> None:
        answer(Held(ask.claim_id in self.held))


def _fields(answer: claim_records.StoredAnswer) -> dict:
    return {"status": answer.status, "headers": answer.headers, "body": answer.body}


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
