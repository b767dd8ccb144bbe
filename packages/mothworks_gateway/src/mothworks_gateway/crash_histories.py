"""Crash histories: which endpoints crashed while they ran requests of one kind.

A kind is known by its fingerprint: the copies of one request, or all requests with one
part in their prompts. It is blocked once enough endpoints crashed under it and nothing
of it has run well meanwhile.
"""

import collections

import attrs

#: Time for which a kind is blocked after its last crash, seconds.
RETENTION_S = 120.0
#: Upper bound of the number of histories; the oldest are evicted first.
MAX_HISTORIES = 2000
#: Upper bound of the number of kinds of which the last success is remembered.
MAX_SUCCESSES = 4000
#: Time from the last crash until one request of a blocked kind may be sent as a trial,
#: seconds. It doubles with each trial that fails, up to a maximum that is shorter than
#: the retention, so that no block ends by time while requests come.
TRIAL_DELAY_S = 15.0
MAX_TRIAL_DELAY_S = 60.0
#: Failed trials after which the delay is the longest for certain; more would exceed the
#: largest float.
MAX_DOUBLINGS = 64
#: Endpoints that crash within this time, seconds, crash at the same moment.
SAME_MOMENT_S = 0.2


@attrs.frozen
class BlockPolicy:
    """When a kind of requests is blocked.

    :param crashes: number of endpoints that must have crashed.
    :param crashes_after_success: the same for a kind that is known to have run well
        within the last :data:`RETENTION_S`.
    :param counts_moments: whether endpoints that crash at the same moment count once:
        that many fall at once may have one cause, whatever ran on them.
    :param has_one_cause: whether a crash that a blocked kind explains counts against no
        other: of the parts that were on an endpoint, one crashed it.
    :param success_s: time after a success in which crashes do not count, seconds.
    """

    crashes: int
    crashes_after_success: int
    counts_moments: bool
    has_one_cause: bool
    success_s: float


@attrs.define
class CrashHistory:
    """The endpoints that crashed under one kind of requests.

    :param endpoints: their ids.
    :param last_crash_at: monotonic time of the last crash.
    :param moments: number of moments at which they crashed.
    :param moment_began_at: monotonic time of the first crash at the last moment.
    :param blocks: whether requests of this kind have to be refused.
    :param failed_trials: number of trials that crashed their endpoints.
    """

    endpoints: set[str]
    last_crash_at: float
    moments: int = 0
    moment_began_at: float = 0.0
    blocks: bool = False
    failed_trials: int = 0

    @property
    def next_trial_at(self) -> float:
        """Return the monotonic time from which a trial may be sent, seconds."""
        delay_s = TRIAL_DELAY_S * 2.0 ** min(MAX_DOUBLINGS, self.failed_trials)
        return self.last_crash_at + min(MAX_TRIAL_DELAY_S, delay_s)


class CrashHistories:
    """The crash histories of copies of requests, or of parts, as one VM knows them.

    :param policy: when a kind is blocked.
    """

    def __init__(self, policy: BlockPolicy):
        self.policy = policy
        self.history_by_fingerprint: collections.OrderedDict[bytes, CrashHistory] = (
            collections.OrderedDict()
        )
        #: Those of the histories that block.
        self.blocking_by_fingerprint: dict[bytes, CrashHistory] = {}
        #: Monotonic time at which the last success began, by fingerprint.
        self.success_at_by_fingerprint: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def is_blocked(self, fingerprint: bytes, now: float) -> bool:
        """Return whether requests of a kind have to be refused.

        :param fingerprint: the kind.
        :param now: monotonic time, seconds.
        """
        history = self.blocking_by_fingerprint.get(fingerprint)
        return history is not None and now - history.last_crash_at <= RETENTION_S

    def blocked(self) -> dict[bytes, CrashHistory]:
        """Return the histories that block, by fingerprint."""
        return dict(self.blocking_by_fingerprint)

    def count(self, fingerprint: bytes) -> int:
        """Return how many endpoints are known to have crashed under a kind.

        :param fingerprint: the kind.
        """
        history = self.history_by_fingerprint.get(fingerprint)
        return len(history.endpoints) if history else 0

    def record_crash(
        self, fingerprint: bytes, endpoint_id: str, now: float, moments: int = 0
    ) -> bool:
        """Record a crash; returns whether it is new and counts.

        :param fingerprint: the kind.
        :param endpoint_id: the endpoint.
        :param now: monotonic time of the crash, seconds.
        :param moments: number of moments that the VM which reports it has counted;
            reports are batched, so their times of arrival differ from the crashes'.
        """
        if self.has_success(fingerprint, now):
            return False
        if self._is_explained(fingerprint, endpoint_id):
            return False
        history = self._get_or_create(fingerprint, now)
        if endpoint_id in history.endpoints:
            return False
        if history.blocks and now >= history.next_trial_at:
            history.failed_trials += 1
        is_moment_over = now - history.moment_began_at >= SAME_MOMENT_S
        if not history.endpoints or is_moment_over:
            history.moments += 1
            history.moment_began_at = now
        history.endpoints.add(endpoint_id)
        history.moments = max(history.moments, min(moments, len(history.endpoints)))
        history.last_crash_at = max(history.last_crash_at, now)
        self._evaluate(fingerprint, history)
        return True

    def record_success(
        self, fingerprint: bytes, began_at: float
    ) -> CrashHistory | None:
        """Record that a request ran well; returns the history that this clears.

        :param fingerprint: a kind of the request.
        :param began_at: monotonic time at which its answer began, seconds.
        """
        known_at = self.success_at_by_fingerprint.get(fingerprint, began_at)
        self.success_at_by_fingerprint[fingerprint] = max(known_at, began_at)
        self.success_at_by_fingerprint.move_to_end(fingerprint)
        if len(self.success_at_by_fingerprint) > MAX_SUCCESSES:
            self.success_at_by_fingerprint.popitem(last=False)
        history = self.history_by_fingerprint.get(fingerprint)
        if history is None:
            return None
        if self.has_success(fingerprint, history.last_crash_at):
            self._remove(fingerprint)
            return history
        if history.blocks and not self._suffices(fingerprint, history):
            history.blocks = False
            del self.blocking_by_fingerprint[fingerprint]
        return None

    def is_proven(self, fingerprint: bytes, now: float) -> bool:
        """Return whether a kind is known to have run well not long ago.

        :param fingerprint: the kind.
        :param now: monotonic time, seconds.
        """
        success_at = self.success_at_by_fingerprint.get(fingerprint)
        return success_at is not None and now - success_at < RETENTION_S

    def has_success(self, fingerprint: bytes, crash_at: float) -> bool:
        """Return whether a success speaks against counting a crash.

        :param fingerprint: the kind.
        :param crash_at: monotonic time of the crash, seconds.
        """
        success_at = self.success_at_by_fingerprint.get(fingerprint)
        return success_at is not None and crash_at - success_at < self.policy.success_s

    def by_suspicion(self, fingerprints: list[bytes]) -> list[bytes]:
        """Return a request's kinds in the order in which crashes are counted.

        Those that ran well least recently come first. Of those that never did, the last
        come first: most requests share the first parts of prompts.

        :param fingerprints: the kinds, in the order of the prompt.
        """
        last_first = fingerprints[::-1]
        return sorted(
            last_first,
            key=lambda item: self.success_at_by_fingerprint.get(item, 0.0),
        )

    def merge(
        self, fingerprint: bytes, endpoint_ids: tuple[str, ...], last_crash_at: float
    ) -> bool:
        """Add a history that blocks on another VM; returns whether it was new.

        :param fingerprint: the kind.
        :param endpoint_ids: the endpoints that crashed.
        :param last_crash_at: monotonic time of the last crash, seconds.
        """
        if self.has_success(fingerprint, last_crash_at):
            return False
        history = self._get_or_create(fingerprint, last_crash_at)
        if history.blocks and history.endpoints.issuperset(endpoint_ids):
            return False
        history.endpoints.update(endpoint_ids)
        # When the endpoints crashed is known to the other VM, which counted them.
        history.moments = max(history.moments, len(history.endpoints))
        history.last_crash_at = max(history.last_crash_at, last_crash_at)
        self._evaluate(fingerprint, history)
        return history.blocks

    def evict_expired(self, now: float) -> None:
        """Drop the histories whose last crash is too long ago to count.

        :param now: monotonic time, seconds.
        """
        for fingerprint, history in list(self.history_by_fingerprint.items()):
            if history.last_crash_at < now - RETENTION_S:
                self._remove(fingerprint)

    def _get_or_create(self, fingerprint: bytes, now: float) -> CrashHistory:
        return self.history_by_fingerprint.setdefault(
            fingerprint, CrashHistory(set(), now)
        )

    def _evaluate(self, fingerprint: bytes, history: CrashHistory) -> None:
        """Block a kind if its crashes suffice, after some were added."""
        if not history.blocks and self._suffices(fingerprint, history):
            self._block(fingerprint, history)
        self.history_by_fingerprint.move_to_end(fingerprint)
        if len(self.history_by_fingerprint) > MAX_HISTORIES:
            self._evict_one()

    def _is_explained(self, fingerprint: bytes, endpoint_id: str) -> bool:
        """Return whether another kind that blocks is the cause of a crash."""
        return self.policy.has_one_cause and any(
            endpoint_id in history.endpoints and key != fingerprint
            for key, history in self.blocking_by_fingerprint.items()
        )

    def _block(self, fingerprint: bytes, blocking: CrashHistory) -> None:
        """Block a kind, and drop its crashes from the histories of the others."""
        blocking.blocks = True
        self.blocking_by_fingerprint[fingerprint] = blocking
        if not self.policy.has_one_cause:
            return
        for key, history in list(self.history_by_fingerprint.items()):
            if key == fingerprint or history.blocks:
                continue
            history.endpoints -= blocking.endpoints
            history.moments = min(history.moments, len(history.endpoints))
            if not history.endpoints:
                del self.history_by_fingerprint[key]

    def _suffices(self, fingerprint: bytes, history: CrashHistory) -> bool:
        """Return whether a history blocks its kind."""
        policy = self.policy
        proven = self.is_proven(fingerprint, history.last_crash_at)
        needed = policy.crashes_after_success if proven else policy.crashes
        counted = history.moments if policy.counts_moments else len(history.endpoints)
        return counted >= needed

    def _remove(self, fingerprint: bytes) -> None:
        del self.history_by_fingerprint[fingerprint]
        self.blocking_by_fingerprint.pop(fingerprint, None)

    def _evict_one(self) -> None:
        """Drop the oldest history, one that does not block if possible.

        A fall of many endpoints adds a history for each request that ran on them. The
        newest stays, since its crash is being recorded.
        """
        *older, _ = self.history_by_fingerprint
        not_blocking = (
            key for key in older if not self.history_by_fingerprint[key].blocks
        )
        self._remove(next(not_blocking, older[0]))
