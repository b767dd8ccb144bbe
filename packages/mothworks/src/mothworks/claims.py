"""Claims: work that may run once runs at most once.

Right before a request with an Idempotency-Key is sent, its entry claims the
key of this caller in the object API. A resend on any VM finds the claim and
gets the stored answer, or is told that the request may have run; it never
runs again. Keys are spread over shards; a shard's owner, by rendezvous
hashing, writes the claims of all entries together. Ownership is only for
economy: the conditional update alone keeps two owners apart.
"""

import time

import gevent
import logbook
import result

from mothworks import (
    claim_messages,
    claim_records,
    claim_shards,
    claiming,
    configuration,
    kernel,
    membership,
    objects,
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
#: Longest time to store an outcome, seconds, and the pause between attempts.
KEEP_TRYING_S = 120.0
RETRY_S = 1.0


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
        self.peers.handle(claim_messages.AskClaim, self._serve_ask)
        self.peers.handle(claim_messages.EndClaim, self._serve_end)
        self.peers.handle(claim_messages.AskHeld, self._serve_held)
        self.membership.on_change.append(self._forget_shards)

    def open(self, request: requests.Request) -> claiming.Claim | None:
        """Return the claim of a request, not made yet; None without a key.

        :param request: the request.
        """
        return claiming.Claim(self, request) if request.idempotency_key else None

    def ask(self, ask: claim_messages.AskClaim) -> claim_messages.ClaimAnswer:
        """Ask the owner of a key's shard, or do its work where it is away.

        :param ask: the question.
        """
        owner = self._owner(ask.key)
        if owner != self.kernel.settings.name:
            until = time.monotonic() + OWNER_S
            match self.peers.call(owner, ask, OWNER_S):
                case result.Ok(claim_messages.ClaimAnswer() as answer):
                    return answer
                case _ if time.monotonic() >= until:
                    # An owner that is slow because the object API is slow
                    # would only be slowed more by a rival's writes.
                    return claim_messages.ClaimAnswer(claim_messages.Finding.DOWN)
        return self._decide(ask)

    def is_held(self, answer: claim_messages.ClaimAnswer) -> bool:
        """Return whether a claim's holder says that it still runs it.

        :param answer: the answer that names holder and claim.
        """
        if answer.holder == self.kernel.settings.name:
            return answer.claim_id in self.held
        match self.peers.call(
            answer.holder, claim_messages.AskHeld(answer.claim_id), HOLDER_S
        ):
            case result.Ok(claim_messages.Held(held)):
                return held
            case _:
                return False

    def store_end(self, ending: claim_messages.EndClaim) -> None:
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

    def _pass_end(self, ending: claim_messages.EndClaim) -> bool:
        owner = self._owner(ending.key)
        if owner != self.kernel.settings.name:
            match self.peers.call(owner, ending, OWNER_S):
                case result.Ok(claim_messages.ClaimEnded(True)):
                    return True
        return self._store(ending)

    def _owner(self, key: bytes) -> str:
        shard_key = f"{KEY_PREFIX}{key[0] % SHARDS}"
        own_name = self.kernel.settings.name
        return ownership.shard_owner(shard_key, self.membership.live(), own_name)

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

    def _decide(self, ask: claim_messages.AskClaim) -> claim_messages.ClaimAnswer:
        shard = self._shard(ask.key)
        if ask.fresh:
            shard.reload()
        found = shard.find(ask.key)
        if found == result.Ok(None):
            if not ask.claim:
                return claim_messages.ClaimAnswer(claim_messages.Finding.FREE)
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
                return claim_messages.ClaimAnswer(claim_messages.Finding.DOWN)
            case result.Err(problem):
                log.warning("a claim was not made: {}", problem.reason)
                return claim_messages.ClaimAnswer(claim_messages.Finding.DOWN)

    def _describe(
        self,
        ask: claim_messages.AskClaim,
        shard: claim_shards.Shard,
        known: claim_records.Known,
    ) -> claim_messages.ClaimAnswer:
        """Return what a key's newest record means for an asker."""
        if known.request_hash != ask.request_hash:
            return claim_messages.ClaimAnswer(claim_messages.Finding.OTHER)
        match known.state:
            case claim_records.State.CLAIMED if known.claim_id == ask.claim_id:
                return claim_messages.ClaimAnswer(claim_messages.Finding.GRANTED)
            case claim_records.State.CLAIMED:
                return claim_messages.ClaimAnswer(
                    claim_messages.Finding.HELD, known.holder, known.claim_id
                )
            case claim_records.State.UNKNOWN:
                return claim_messages.ClaimAnswer(claim_messages.Finding.LOST)
        match shard.answer(ask.key):
            case result.Ok(None):
                return claim_messages.ClaimAnswer(claim_messages.Finding.NOT_KEPT)
            case result.Ok(answer):
                return claim_messages.ClaimAnswer(
                    claim_messages.Finding.DONE, **claim_messages.answer_fields(answer)
                )
            case _:
                return claim_messages.ClaimAnswer(claim_messages.Finding.DOWN)

    def _store(self, ending: claim_messages.EndClaim) -> bool:
        answer = None
        if ending.kept:
            answer = claim_messages.stored_answer(ending)
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

    def _serve_ask(
        self, _: str, ask: claim_messages.AskClaim, answer: peers.Answer
    ) -> None:
        self.tasks.spawn(lambda: answer(self._decide(ask)))

    def _serve_end(
        self, _: str, ending: claim_messages.EndClaim, answer: peers.Answer
    ) -> None:
        self.tasks.spawn(lambda: answer(claim_messages.ClaimEnded(self._store(ending))))

    def _serve_held(
        self, _: str, ask: claim_messages.AskHeld, answer: peers.Answer
    ) -> None:
        answer(claim_messages.Held(ask.claim_id in self.held))
