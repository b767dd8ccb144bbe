"""Deferred work: stored first, run later, kept until its caller fetches it.

A request with ``Prefer: respond-async`` (RFC 7240) is stored in the object
API before its caller is told that it is accepted. The owner of its shard, by
rendezvous hashing over the live VMs, runs it as bulk work and stores the
answer; where that VM dies, the next owner finds the work by listing the
shard. Two owners at a time do no harm: work that may run once is claimed,
and of two answers the first is kept.
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

#: Mean time between lists of an owned shard, seconds.
SCAN_S = 10.0
#: Mean time between searches for old answers, seconds.
CLEAN_S = 600.0
#: Works that one VM runs at a time.
RUN_AT_ONCE = 16
#: Works that may wait in one shard.
MOST_OPEN = 1000
#: Time for which an owner's report that a shard is full holds, seconds.
FULL_S = 5.0
#: First and longest pause before a further attempt, seconds.
PAUSE_S = 1.0
MOST_PAUSE_S = 60.0
#: Hint to a caller when to ask for the answer, seconds.
ASK_AGAIN_S = 2.0
#: Hint to a caller while the object API does not answer, seconds.
DOWN_RETRY_S = 5.0
#: Longest time to learn whether a request is stored, seconds.
STORE_S = 2.0
#: Longest wait for an owner's reply, seconds.
OWNER_S = 1.0


@attrs.frozen
class Waiting:
    """Work that has no answer yet.

    :param running: whether it runs now.
    """

    running: bool


@plugins.register(plugins.PART, "deferred")
class Deferred(kernel.Part):
    """Accepts deferred work, and runs what this VM owns.

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
        self.places = gevent.lock.BoundedSemaphore(RUN_AT_ONCE)
        #: Shards of the works that this VM has taken up.
        self.shard_by_id: dict[str, int] = {}
        self.running: set[str] = set()
        self.full_until_by_shard: dict[int, float] = {}
        self.peers.handle(deferred_messages.WorkStored, self._serve_stored)
        self.peers.handle(deferred_messages.AskRunning, self._serve_running)

    def start(self) -> None:
        """Start to look for work and for old answers."""
        self.tasks.spawn(self._scan_first)
        self.tasks.every(SCAN_S, self._scan)
        self.tasks.every(CLEAN_S, self._clean)

    def drain(self, deadline: float) -> None:
        """Finish the works that run; see :meth:`kernel.Part.drain`."""
        while self.running and time.monotonic() < deadline:
            gevent.sleep(0.02)

    def accept(self, request: requests.Request) -> result.Result[str, outcomes.Refusal]:
        """Store a request, to be run later.

        :param request: the request.
        :returns: the work's id, once the request is durably stored.
        """
        work = deferred_records.accept(request)
        shard = deferred_records.shard(work.id)
        if time.monotonic() < self.full_until_by_shard.get(shard, 0):
            return result.Err(_full())
        body = deferred_records.pack(work)
        if len(body) > deferred_records.MOST_BODY_BYTES:
            return result.Err(_too_long())
        key = deferred_records.key(deferred_records.OPEN_PREFIX, work.id)
        match objects.put_known(self.api, key, body, None, work.nonce, STORE_S):
            case result.Ok(_):
                self.tasks.spawn(self._announce, work.id)
                return result.Ok(work.id)
            case result.Err(objects.Conflict()):
                return self._recognise(work, key)
            case result.Err(objects.Unknown(reason)):
                return result.Err(_maybe_stored(reason))
            case result.Err(problem):
                return result.Err(_down(str(problem)))

    def find(
        self, work_id: str, caller: str
    ) -> result.Result[deferred_records.Finished | Waiting, outcomes.Refusal]:
        """Return the answer to deferred work, or its state.

        :param work_id: the work's id.
        :param caller: who asks; only the work's own caller finds it.
        """
        if deferred_records.accepted_at(work_id) is None:
            return result.Err(_not_found())
        # The answer is written before the work is deleted: looked for in this
        # order, work that finishes meanwhile is not missed.
        for prefix in (
            deferred_records.OPEN_PREFIX,
            deferred_records.DONE_PREFIX,
        ):
            match self.api.get(deferred_records.key(prefix, work_id)):
                case result.Err(objects.Missing()):
                    continue
                case result.Err(problem):
                    return result.Err(_down(str(problem)))
                case result.Ok(stored) if prefix == deferred_records.DONE_PREFIX:
                    kind = deferred_records.Finished
                case result.Ok(stored):
                    kind = deferred_records.Work
            read = deferred_records.read(kind, stored.body)
            if read.is_err():
                return result.Err(_down(str(read.err_value)))
            found = read.ok_value
            if found.caller != caller:
                break
            if isinstance(found, deferred_records.Work):
                return result.Ok(Waiting(self._is_running(work_id)))
            return result.Ok(found)
        return result.Err(_not_found())

    def _recognise(
        self, work: deferred_records.Work, key: str
    ) -> result.Result[str, outcomes.Refusal]:
        """Return the id of work that a resend finds stored."""
        match self.api.get(key):
            case result.Ok(stored):
                known = deferred_records.read(deferred_records.Work, stored.body)
                if known.is_err():
                    return result.Err(_maybe_stored(str(known.err_value)))
                if known.ok_value.same_request(work):
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

    def _is_mine(self, work_id: str) -> bool:
        owner = self._owner(deferred_records.shard(work_id))
        return owner == self.kernel.settings.name and not self.kernel.draining

    def _announce(self, work_id: str) -> None:
        shard = deferred_records.shard(work_id)
        owner = self._owner(shard)
        if owner == self.kernel.settings.name:
            self._take_up(work_id)
            fill = result.Ok(deferred_messages.ShardFill(self._fill(shard)))
        else:
            fill = self.peers.call(
                owner, deferred_messages.WorkStored(work_id), OWNER_S
            )
        match fill:
            case result.Ok(deferred_messages.ShardFill(count)) if count >= MOST_OPEN:
                self.full_until_by_shard[shard] = time.monotonic() + FULL_S

    def _fill(self, shard: int) -> int:
        return list(self.shard_by_id.values()).count(shard)

    def _is_running(self, work_id: str) -> bool:
        owner = self._owner(deferred_records.shard(work_id))
        if owner == self.kernel.settings.name:
            return work_id in self.running
        match self.peers.call(owner, deferred_messages.AskRunning(work_id), OWNER_S):
            case result.Ok(deferred_messages.IsRunning(running)):
                return running
            case _:
                return False

    def _scan_first(self) -> None:
        self.configuration.loaded.wait()
        self._scan()

    def _scan(self) -> None:
        """Take up what is stored in the shards that this VM owns."""
        if not self.configuration.loaded.is_set():
            return
        for shard in self._owned():
            prefix = f"{deferred_records.OPEN_PREFIX}{shard}/"
            match self.api.list(prefix):
                case result.Ok(listed):
                    for key in listed:
                        self._take_up(key.removeprefix(prefix))
                case result.Err(problem):
                    log.warning("deferred work was not listed: {}", problem.reason)
                    return

    def _owned(self) -> list[int]:
        name = self.kernel.settings.name
        shards = range(deferred_records.SHARDS)
        return [shard for shard in shards if self._owner(shard) == name]

    def _take_up(self, work_id: str) -> None:
        # A VM that has just started knows no callers yet, and would give a
        # stored work the final answer that its caller is not declared.
        ready = self.configuration.loaded.is_set() and not self.kernel.draining
        if ready and work_id not in self.shard_by_id:
            self.shard_by_id[work_id] = deferred_records.shard(work_id)
            self.tasks.spawn(self._work, work_id)

    def _work(self, work_id: str) -> None:
        """Run a work until it has an answer, or another VM owns it."""
        pause_s = PAUSE_S
        runs = 0
        while self._is_mine(work_id):
            with self.places:
                if not self._is_mine(work_id):
                    break
                self.running.add(work_id)
                finished = self.runner.run(work_id, runs)
                self.running.discard(work_id)
            if finished.is_ok():
                break
            runs += finished.err_value
            gevent.sleep(pause_s * random.uniform(0.5, 1.5))
            pause_s = min(2 * pause_s, MOST_PAUSE_S)
        del self.shard_by_id[work_id]

    def _clean(self) -> None:
        """Delete old answers in the shards that this VM owns."""
        kept_s = self.configuration.index.catalogue.retention.deferred_s
        oldest = time.time() - kept_s - deferred_records.HOUR_S
        for shard in self._owned():
            prefix = f"{deferred_records.DONE_PREFIX}{shard}/"
            for key, version in self.api.list(prefix).unwrap_or({}).items():
                accepted = deferred_records.accepted_at(key.removeprefix(prefix))
                if accepted is not None and accepted < oldest:
                    self.api.delete(key, version)

    def _serve_stored(
        self, _: str, stored: deferred_messages.WorkStored, answer: peers.Answer
    ) -> None:
        self._take_up(stored.id)
        answer(
            deferred_messages.ShardFill(self._fill(deferred_records.shard(stored.id)))
        )

    def _serve_running(
        self, _: str, ask: deferred_messages.AskRunning, answer: peers.Answer
    ) -> None:
        answer(deferred_messages.IsRunning(ask.id in self.running))


def _not_found() -> outcomes.Refusal:
    return outcomes.invalid("no deferred work has this id", "work_not_found", 404)


def _full() -> outcomes.Refusal:
    message = "too much deferred work is waiting"
    return outcomes.overloaded(message, FULL_S, "deferred_full")


def _too_long() -> outcomes.Refusal:
    most = deferred_records.MOST_BODY_BYTES
    message = f"deferred work takes at most {most} bytes"
    return outcomes.invalid(message, "body_too_long", 413)


def _down(reason: str) -> outcomes.Refusal:
    message = f"the object API, which keeps deferred work, does not answer: {reason}"
    return outcomes.overloaded(message, DOWN_RETRY_S, "object_api")


def _maybe_stored(reason: str) -> outcomes.Refusal:
    message = f"the work may have been accepted; its storing is not known: {reason}"
    return outcomes.unknown(message)
