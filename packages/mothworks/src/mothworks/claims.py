"""Claims: run each request with an Idempotency-Key at most once.

Right before such a request is sent, its entry, the VM that received it, claims
the caller's key in the object API. A resend on any VM finds the claim and gets
the stored answer, or an error that says that the request may have run; it does
not run again. Keys are spread over shards; a shard's owner, chosen by
rendezvous hashing, writes the claims of all entries in batches. Ownership only
saves writes: correctness rests on the conditional update alone, also while two
VMs act as owner.
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

#: Number of shards. It must never change: a resend has to find the shard in
#: which the first request was claimed.
SHARDS = 16
KEY_PREFIX = "claims/"
#: Timeout of calls to a shard's owner, seconds.
OWNER_TIMEOUT_S = 2.0
#: Timeout of asking a holder whether its claim is still active, seconds.
HOLDER_TIMEOUT_S = 1.0
#: Time for which storing an outcome is attempted, and the pause between
#: attempts, seconds.
STORE_TIMEOUT_S = 120.0
STORE_RETRY_S = 1.0


@plugins.register(plugins.PART, "claims")
class Claims(kernel.Part):
    """Decides on claims in the shards that this VM owns, and claims for its requests.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.api = node_kernel.get(objects.Objects).api
        self.configuration = node_kernel.get(configuration.Configuration)
        self.membership = node_kernel.get(membership.Membership)
        self.peers = node_kernel.get(peers.Peers)
        self.shard_by_number: dict[int, claim_shards.Shard] = {}
        #: Ids of claims whose request this VM runs or whose outcome it is storing.
        self.active_claims: set[bytes] = set()
        self.writes_total = node_kernel.metrics.counter(
            "claim_writes_total", "Writes of claim shards."
        )
        self.records_total = node_kernel.metrics.counter(
            "claim_records_total", "Claims and outcomes in those writes."
        )
        self.peers.handle(claim_messages.ClaimRequest, self._serve_request)
        self.peers.handle(claim_messages.OutcomeUpdate, self._serve_outcome)
        self.peers.handle(claim_messages.ActivityRequest, self._serve_activity)
        self.membership.on_change.append(self._drop_unowned_shards)

    def new_claim(self, request: requests.Request) -> claiming.Claim | None:
        """Return a claim for a request, not yet acquired; None if it has no key.

        :param request: the request.
        """
        return claiming.Claim(self, request) if request.idempotency_key else None

    def decide(
        self, claim_request: claim_messages.ClaimRequest
    ) -> claim_messages.ClaimReply:
        """Have the shard's owner decide, or decide here if it is unreachable.

        :param claim_request: the key to look up or claim.
        """
        owner = self._owner(claim_request.key)
        if owner != self.kernel.settings.name:
            match self.peers.call(owner, claim_request, OWNER_TIMEOUT_S):
                case result.Ok(claim_messages.ClaimReply() as reply):
                    return reply
                case result.Err(peers.PeerFailure(timed_out=True)):
                    # If the owner is slow because the object API is slow,
                    # competing writes would only slow it further.
                    log.warning("the owner of a claim does not reply: {}", owner)
                    return claim_messages.ClaimReply(
                        claim_messages.Decision.UNAVAILABLE
                    )
        return self._decide_locally(claim_request)

    def is_active(self, reply: claim_messages.ClaimReply) -> bool:
        """Ask a claim's holder whether the claim is still active.

        :param reply: the reply that names the holder and the claim.
        :returns: False if the holder does not reply.
        """
        if reply.holder == self.kernel.settings.name:
            return reply.claim_id in self.active_claims
        match self.peers.call(
            reply.holder,
            claim_messages.ActivityRequest(reply.claim_id),
            HOLDER_TIMEOUT_S,
        ):
            case result.Ok(claim_messages.ActivityReply(active)):
                return active
            case _:
                return False

    def store_outcome(self, update: claim_messages.OutcomeUpdate) -> None:
        """Store a claimed request's outcome, with retries.

        :param update: the outcome.
        """
        deadline = time.monotonic() + STORE_TIMEOUT_S
        while not self._try_store(update) and time.monotonic() < deadline:
            gevent.sleep(STORE_RETRY_S)
        self.active_claims.discard(update.claim_id)

    def drain(self, deadline: float) -> None:
        """Wait until outcomes are stored; see :meth:`kernel.Part.drain`."""
        while self.active_claims and time.monotonic() < deadline:
            gevent.sleep(0.02)

    def _try_store(self, update: claim_messages.OutcomeUpdate) -> bool:
        owner = self._owner(update.key)
        if owner != self.kernel.settings.name:
            match self.peers.call(owner, update, OWNER_TIMEOUT_S):
                case result.Ok(claim_messages.OutcomeReply(True)):
                    return True
        return self._append_outcome(update)

    def _owner(self, key: bytes) -> str:
        shard_key = f"{KEY_PREFIX}{key[0] % SHARDS}"
        own_name = self.kernel.settings.name
        return ownership.shard_owner(shard_key, self.membership.live(), own_name)

    def _shard(self, key: bytes) -> claim_shards.Shard:
        number = key[0] % SHARDS
        shard = self.shard_by_number.get(number)
        if shard is None:
            shard = claim_shards.Shard(
                self.api, f"{KEY_PREFIX}{number}", self._retention_s, self._count_write
            )
            self.shard_by_number[number] = shard
        return shard

    def _count_write(self, records: int) -> None:
        self.writes_total.inc({})
        self.records_total.add({}, records)

    def _retention_s(self) -> float:
        return self.configuration.index.catalogue.retention.claims_s

    def _drop_unowned_shards(self) -> None:
        for number, shard in list(self.shard_by_number.items()):
            # The first byte of a key determines its shard.
            owned = self._owner(bytes((number,))) == self.kernel.settings.name
            if not owned and not shard.pending:
                del self.shard_by_number[number]

    def _decide_locally(
        self, claim_request: claim_messages.ClaimRequest
    ) -> claim_messages.ClaimReply:
        shard = self._shard(claim_request.key)
        if claim_request.reload:
            shard.reload()
        lookup = shard.find(claim_request.key)
        if lookup == result.Ok(None):
            if not claim_request.claim:
                return claim_messages.ClaimReply(claim_messages.Decision.FREE)
            lookup = shard.append(
                claim_records.Record(
                    claim_request.key,
                    claim_request.claim_id,
                    claim_records.State.CLAIMED,
                    int(time.time()),
                    claim_request.request_hash,
                    claim_request.holder,
                )
            )
        match lookup:
            case result.Ok(claim_records.CurrentClaim() as current):
                return self._reply_if_claimed(claim_request, shard, current)
            case result.Ok(None):
                # Another claim came first and has been released since.
                return claim_messages.ClaimReply(claim_messages.Decision.UNAVAILABLE)
            case result.Err(problem):
                log.warning("cannot decide on a claim: {}", problem.reason)
                return claim_messages.ClaimReply(claim_messages.Decision.UNAVAILABLE)

    def _reply_if_claimed(
        self,
        claim_request: claim_messages.ClaimRequest,
        shard: claim_shards.Shard,
        current: claim_records.CurrentClaim,
    ) -> claim_messages.ClaimReply:
        """Return the reply for a key that is already claimed."""
        if current.request_hash != claim_request.request_hash:
            return claim_messages.ClaimReply(claim_messages.Decision.KEY_REUSED)
        match current.state:
            case claim_records.State.CLAIMED if (
                current.claim_id == claim_request.claim_id
            ):
                return claim_messages.ClaimReply(claim_messages.Decision.GRANTED)
            case claim_records.State.CLAIMED:
                return claim_messages.ClaimReply(
                    claim_messages.Decision.CLAIMED, current.holder, current.claim_id
                )
            case claim_records.State.UNKNOWN:
                return claim_messages.ClaimReply(claim_messages.Decision.OUTCOME_LOST)
        match shard.answer(claim_request.key):
            case result.Ok(None):
                return claim_messages.ClaimReply(claim_messages.Decision.NOT_STORED)
            case result.Ok(answer):
                return claim_messages.ClaimReply(
                    claim_messages.Decision.DONE, **claim_messages.answer_fields(answer)
                )
            case _:
                return claim_messages.ClaimReply(claim_messages.Decision.UNAVAILABLE)

    def _append_outcome(self, update: claim_messages.OutcomeUpdate) -> bool:
        answer = None
        if update.has_answer:
            answer = claim_messages.stored_answer(update)
        record = claim_records.Record(
            update.key,
            update.claim_id,
            claim_records.State(update.state),
            int(time.time()),
            update.request_hash,
            "",
            answer,
        )
        return self._shard(update.key).append(record).is_ok()

    def _serve_request(
        self, _: str, claim_request: claim_messages.ClaimRequest, reply: peers.Reply
    ) -> None:
        self.tasks.spawn(lambda: reply(self._decide_locally(claim_request)))

    def _serve_outcome(
        self, _: str, update: claim_messages.OutcomeUpdate, reply: peers.Reply
    ) -> None:
        self.tasks.spawn(
            lambda: reply(claim_messages.OutcomeReply(self._append_outcome(update)))
        )

    def _serve_activity(
        self, _: str, request: claim_messages.ActivityRequest, reply: peers.Reply
    ) -> None:
        reply(claim_messages.ActivityReply(request.claim_id in self.active_claims))
