"""Deferred work: requests that are stored first and run in the background.

A request with ``Prefer: respond-async`` (RFC 7240) is stored in the object
API before its caller gets the reply 202. The owner of its shard, chosen by
rendezvous hashing over the live VMs, runs it as bulk work and stores the
answer until its retention ends. If that VM dies, the next owner finds the
work by listing the shard. Two owners at a time are safe: work that may run
only once is claimed, and of two answers the first one stored wins.
"""

import random
import time

import attrs
import gevent
import gevent.lock
import logbook
import result

from mothworks import (
    configuration,
    deferred_messages,
    deferred_records,
    deferred_runs,
    dispatch,
    kernel,
    membership,
    objects,
    outcomes,
    ownership,
    peers,
    plugins,
    requests,
)

log = logbook.Logger("deferred")

#: Mean interval between listings of the owned shards, seconds.
SCAN_INTERVAL_S = 10.0
#: Mean interval between deletions of old answers, seconds.
CLEANUP_INTERVAL_S = 600.0
#: Maximum work items that one VM runs concurrently.
MAX_RUNNING = 16
#: Work items without an answer at which a shard is full.
MAX_OPEN_PER_SHARD = 1000
#: Time for which an owner's reply that a shard is full remains valid, seconds.
FULL_TTL_S = 5.0
#: First and longest mean pause before the next attempt, seconds.
FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 60.0
#: Retry-After of work that has no answer yet, seconds.
POLL_INTERVAL_S = 2.0
#: Retry-After while the object API is unavailable, seconds.
UNAVAILABLE_RETRY_S = 5.0
#: Longest time to find out whether a request is stored, seconds.
STORE_TIMEOUT_S = 2.0
#: Timeout of calls to a shard's owner, seconds.
OWNER_TIMEOUT_S = 1.0


@attrs.frozen
class Unfinished:
    """State of work that has no answer yet.

    :param running: whether it is running now; otherwise it waits.
    """

    running: bool


@plugins.register(plugins.PART, "deferred")
class Deferred(kernel.Part):
    """Accepts deferred work, and runs work in the shards that this VM owns.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.api = node_kernel.get(objects.Objects).api
        self.configuration = node_kernel.get(configuration.Configuration)
        self.dispatch = node_kernel.get(dispatch.Dispatch)
        self.membership = node_kernel.get(membership.Membership)
        self.peers = node_kernel.get(peers.Peers)
        self.runner = deferred_runs.Runner(self.api, self.configuration, self.dispatch)
        self.run_slots = gevent.lock.BoundedSemaphore(MAX_RUNNING)
        #: Shards of the work items that this VM has scheduled.
        self.shard_by_id: dict[str, int] = {}
        self.running: set[str] = set()
        self.full_until_by_shard: dict[int, float] = {}
        self.peers.handle(deferred_messages.WorkStored, self._serve_stored)
        self.peers.handle(deferred_messages.WorkStateRequest, self._serve_running)

    def start(self) -> None:
        """Start to scan for stored work and to delete old answers."""
        self.tasks.spawn(self._scan_first)
        self.tasks.every(SCAN_INTERVAL_S, self._scan)
        self.tasks.every(CLEANUP_INTERVAL_S, self._delete_old_answers)

    def drain(self, deadline: float) -> None:
        """Wait for running work to finish; see :meth:`kernel.Part.drain`."""
        while self.running and time.monotonic() < deadline:
            gevent.sleep(0.02)

    def accept(self, request: requests.Request) -> result.Result[str, outcomes.Refusal]:
        """Store a request, to be run later.

        :param request: the request.
        :returns: the work's id, once the request is durably stored.
        """
        work = deferred_records.new_work(request)
        shard = deferred_records.shard(work.id)
        if time.monotonic() < self.full_until_by_shard.get(shard, 0):
            return result.Err(_full())
        body = deferred_records.pack(work)
        if len(body) > deferred_records.MAX_BODY_BYTES:
            return result.Err(_too_long())
        key = deferred_records.key(deferred_records.OPEN_PREFIX, work.id)
        match objects.put_and_confirm(
            self.api, key, body, None, work.nonce, STORE_TIMEOUT_S
        ):
            case result.Ok(_):
                self.tasks.spawn(self._notify_owner, work.id)
                return result.Ok(work.id)
            case result.Err(objects.Conflict()):
                return self._accept_resend(work, key)
            case result.Err(objects.Unknown(reason)):
                return result.Err(_maybe_stored(reason))
            case result.Err(problem):
                return result.Err(_unavailable(str(problem)))

    def find(
        self, work_id: str, caller: str
    ) -> result.Result[deferred_records.Finished | Unfinished, outcomes.Refusal]:
        """Return the answer to deferred work, or its state.

        :param work_id: the work's id.
        :param caller: the requesting caller's name; only the caller that
            deferred the work can find it.
        """
        if deferred_records.accepted_at(work_id) is None:
            return result.Err(_not_found())
        # The answer is written before the work is deleted, so reading in this
        # order finds work that finishes between the two reads.
        for prefix in (
            deferred_records.OPEN_PREFIX,
            deferred_records.DONE_PREFIX,
        ):
            match self.api.get(deferred_records.key(prefix, work_id)):
                case result.Err(objects.Missing()):
                    continue
                case result.Err(problem):
                    return result.Err(_unavailable(str(problem)))
                case result.Ok(stored) if prefix == deferred_records.DONE_PREFIX:
                    kind = deferred_records.Finished
                case result.Ok(stored):
                    kind = deferred_records.Work
            unpacked = deferred_records.unpack(kind, stored.body)
            if unpacked.is_err():
                return result.Err(_unavailable(str(unpacked.err_value)))
            value = unpacked.ok_value
            if value.caller != caller:
                break
            if isinstance(value, deferred_records.Work):
                return result.Ok(Unfinished(self._is_running(work_id)))
            return result.Ok(value)
        return result.Err(_not_found())

    def _accept_resend(
        self, work: deferred_records.Work, key: str
    ) -> result.Result[str, outcomes.Refusal]:
        """Accept a request whose id is already stored, if it is the same one."""
        match self.api.get(key):
            case result.Ok(stored):
                stored_work = deferred_records.unpack(
                    deferred_records.Work, stored.body
                )
                if stored_work.is_err():
                    return result.Err(_maybe_stored(str(stored_work.err_value)))
                if stored_work.ok_value.same_request(work):
                    return result.Ok(work.id)
                message = "this Idempotency-Key was used for another request"
                return result.Err(
                    outcomes.invalid(message, "idempotency_key_reused", 422)
                )
            case result.Err(objects.Missing()):
                return result.Ok(work.id)
            case result.Err(problem):
                return result.Err(_maybe_stored(str(problem)))

    def _owner(self, shard: int) -> str:
        key = f"{deferred_records.OPEN_PREFIX}{shard}"
        own_name = self.kernel.settings.name
        return ownership.shard_owner(key, self.membership.live(), own_name)

    def _is_owned(self, work_id: str) -> bool:
        owner = self._owner(deferred_records.shard(work_id))
        return owner == self.kernel.settings.name and not self.kernel.draining

    def _notify_owner(self, work_id: str) -> None:
        shard = deferred_records.shard(work_id)
        owner = self._owner(shard)
        if owner == self.kernel.settings.name:
            self._schedule(work_id)
            reply = result.Ok(deferred_messages.OpenWorkCount(self._open_count(shard)))
        else:
            reply = self.peers.call(
                owner, deferred_messages.WorkStored(work_id), OWNER_TIMEOUT_S
            )
        match reply:
            case result.Ok(deferred_messages.OpenWorkCount(count)) if (
                count >= MAX_OPEN_PER_SHARD
            ):
                self.full_until_by_shard[shard] = time.monotonic() + FULL_TTL_S

    def _open_count(self, shard: int) -> int:
        return list(self.shard_by_id.values()).count(shard)

    def _is_running(self, work_id: str) -> bool:
        owner = self._owner(deferred_records.shard(work_id))
        if owner == self.kernel.settings.name:
            return work_id in self.running
        match self.peers.call(
            owner, deferred_messages.WorkStateRequest(work_id), OWNER_TIMEOUT_S
        ):
            case result.Ok(deferred_messages.WorkStateReply(running)):
                return running
            case _:
                return False

    def _scan_first(self) -> None:
        self.configuration.loaded.wait()
        self._scan()

    def _scan(self) -> None:
        """Schedule the work that is stored in the shards that this VM owns."""
        if not self.configuration.loaded.is_set():
            return
        for shard in self._owned_shards():
            prefix = f"{deferred_records.OPEN_PREFIX}{shard}/"
            match self.api.list(prefix):
                case result.Ok(version_by_key):
                    for key in version_by_key:
                        self._schedule(key.removeprefix(prefix))
                case result.Err(problem):
                    log.warning("cannot list deferred work: {}", problem.reason)
                    return

    def _owned_shards(self) -> list[int]:
        name = self.kernel.settings.name
        shards = range(deferred_records.SHARDS)
        return [shard for shard in shards if self._owner(shard) == name]

    def _schedule(self, work_id: str) -> None:
        # Before the configuration is loaded the VM knows no callers: it would
        # store, as the final answer, that the caller is not declared.
        ready = self.configuration.loaded.is_set() and not self.kernel.draining
        if ready and work_id not in self.shard_by_id:
            self.shard_by_id[work_id] = deferred_records.shard(work_id)
            self.tasks.spawn(self._run_until_finished, work_id)

    def _run_until_finished(self, work_id: str) -> None:
        """Run work until its answer is stored or another VM owns it."""
        pause_s = FIRST_PAUSE_S
        runs = 0
        while self._is_owned(work_id):
            with self.run_slots:
                if not self._is_owned(work_id):
                    break
                self.running.add(work_id)
                outcome = self.runner.run(work_id, runs)
                self.running.discard(work_id)
            if outcome.is_ok():
                break
            runs += outcome.err_value
            gevent.sleep(pause_s * random.uniform(0.5, 1.5))
            pause_s = min(2 * pause_s, MAX_PAUSE_S)
        del self.shard_by_id[work_id]

    def _delete_old_answers(self) -> None:
        """Delete old answers in the shards that this VM owns."""
        retention_s = self.configuration.index.catalogue.retention.deferred_s
        expired_before = time.time() - retention_s - deferred_records.HOUR_S
        for shard in self._owned_shards():
            prefix = f"{deferred_records.DONE_PREFIX}{shard}/"
            for key, version in self.api.list(prefix).unwrap_or({}).items():
                accepted = deferred_records.accepted_at(key.removeprefix(prefix))
                if accepted is not None and accepted < expired_before:
                    self.api.delete(key, version)

    def _serve_stored(
        self, _: str, stored: deferred_messages.WorkStored, reply: peers.Reply
    ) -> None:
        self._schedule(stored.id)
        reply(
            deferred_messages.OpenWorkCount(
                self._open_count(deferred_records.shard(stored.id))
            )
        )

    def _serve_running(
        self, _: str, request: deferred_messages.WorkStateRequest, reply: peers.Reply
    ) -> None:
        reply(deferred_messages.WorkStateReply(request.id in self.running))


def _not_found() -> outcomes.Refusal:
    return outcomes.invalid("no deferred work has this id", "work_not_found", 404)


def _full() -> outcomes.Refusal:
    message = "too much deferred work is waiting"
    return outcomes.overloaded(message, FULL_TTL_S, "deferred_full")


def _too_long() -> outcomes.Refusal:
    max_bytes = deferred_records.MAX_BODY_BYTES
    message = f"the body of deferred work is limited to {max_bytes} bytes"
    return outcomes.invalid(message, "body_too_long", 413)


def _unavailable(reason: str) -> outcomes.Refusal:
    message = f"the object API, which stores deferred work, is unavailable: {reason}"
    return outcomes.overloaded(message, UNAVAILABLE_RETRY_S, "object_api")


def _maybe_stored(reason: str) -> outcomes.Refusal:
    message = (
        f"the work may have been accepted; whether it was stored is unknown: {reason}"
    )
    return outcomes.unknown(message)
