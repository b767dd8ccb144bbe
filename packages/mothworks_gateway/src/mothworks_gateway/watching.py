"""Watching: a few VMs follow the platform's feeds, and tell all others what changes.

If every VM follows by itself, calls to the platform grow with VMs times changes: 195
VMs made 15,000 calls in 50 s, 80 each, to learn the same. Now the holder of the
lease and one more VM follow the feeds (:mod:`watch_duty`). They tell changes of the
registry as they are, and by a sign twice a second how new their view is. A VM that is
behind such a sign reads what it lacks, by one call; one that hears no good sign
follows by itself. So a message that is lost, or a teller that is, delays news by the
time of a sign, and hides none.
"""

import collections.abc
import random
import time

import attrs
import gevent
import logbook

from mothworks import kernel, logs, membership, messages, peers
from mothworks_gateway import (
    adapters,
    broadcast,
    declarations,
    discovery,
    feeding,
    lease,
    pulse,
    ranking,
    relayed_objects,
    watch_duty,
)

log = logbook.Logger("watching")

#: Seconds between looks at who tells, and between signs of those that do.
LOOK_S = 0.25
SIGN_S = 0.5
#: Longest poll of the declaration where callers need keys, seconds: what a poll shows
#: is only as new as its beginning (:mod:`freshness`).
FRESH_POLL_S = 0.5
#: Time that told changes may take on their way before this VM reads them, seconds.
PATIENCE_S = 0.35
#: Time in which a new declaration is usually told, and over which the VMs that miss it
#: spread their readings, seconds.
TOLD_S = 0.1
SPREAD_S = 0.25


@messages.message(125)
@attrs.frozen
class RegistryNews:
    """Tells all VMs of changes in the registry.

    :param before: revision of the change before the first of these.
    :param cursor: revision as of which these are all changes since.
    :param documents: each entry as the platform spells it, by name; None if removed.
    :param doubt_s: seconds for which removals may come from an outage.
    """

    before: int
    cursor: int
    documents: dict[str, bytes | None]
    doubt_s: float = 0.0


class Watching(kernel.Part):
    """Follows the feeds for all VMs, or hears of them.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.membership = node_kernel.get(membership.Membership)
        self.broadcast = node_kernel.get(broadcast.Broadcast)
        self.lease = node_kernel.get(lease.Lease)
        self.pulses = node_kernel.get(pulse.Pulses)
        self.declarations = node_kernel.get(declarations.Declarations)
        self.discovery = node_kernel.get(discovery.Discovery)
        self.feeding = node_kernel.get(feeding.Feeding)
        self.duty = watch_duty.WatchDuty(self.name)
        self.ranking = ranking.Ranking("watch", self.name, self.membership)
        self.tells = True
        self.signed_at = 0.0
        #: Whether this VM's last sign said that the platform answers it.
        self.signed_good: bool | None = None
        self.behind_since: float | None = None
        self._reading: set[collections.abc.Callable[[], bool]] = set()
        node_peers = node_kernel.get(peers.Peers)
        node_peers.handle(watch_duty.Sign, self._hear_sign)
        node_peers.handle(RegistryNews, self._hear_news)
        self.discovery.on_platform_changes.append(self._tell_changes)
        self.declarations.on_change.append(lambda _: self._sign())
        store = node_kernel.get(relayed_objects.RelayedObjects)
        store.on_return.append(self._poll_anew)

    def start(self) -> None:
        """Start to decide who follows, and to tell."""
        for follower in self.feeding.follower_by_name.values():
            follower.on_health = self._on_health
        self.tasks.every(LOOK_S, self._look)

    def _look(self) -> None:
        """Decide whether this VM follows the feeds, and whether it tells."""
        now = time.monotonic()
        ranked = self.ranking.vms
        self.duty.forget(set(ranked))
        good = self.duty.good_signs(now)
        tells = self._may_tell(ranked, now)
        if tells != self.tells:
            self.signed_good = None
            logs.event(
                log,
                "watch",
                reason=f"{len(good)} others tell",
                others=sorted(good),
                outcome="tells" if tells else "hears",
            )
        took_over = tells and not self.tells
        self.tells = tells
        self._set_poll_times(alone=len(ranked) == 1)
        self._follow_feeds(good)
        if not tells:
            self._read_what_lacks(good, now)
        elif not took_over and now - self.signed_at > SIGN_S - LOOK_S / 2:
            # One that has just taken over says nothing before it may have an answer.
            self._sign()

    def _follow_feeds(self, good: dict[str, watch_duty.Sign]) -> None:
        """Follow the feeds where this VM is to, or where nobody is known to be able to.

        :param good: the recent signs of VMs that the platform answers, by VM.
        """
        read = self.discovery.loaded and self.declarations.version > 0
        for follower in self.feeding.follower_by_name.values():
            follower.follow(self.tells or not good or not read)

    def _set_poll_times(self, alone: bool) -> None:
        current = self.declarations.current
        keyed = current is not None and current.accounts is not None
        poll_s = feeding.LONE_POLL_S if alone else feeding.POLL_S
        by_name = self.feeding.follower_by_name
        by_name["endpoints"].poll_for(poll_s)
        by_name["declarations"].poll_for(FRESH_POLL_S if keyed else poll_s)

    def _may_tell(self, ranked: list[str], now: float) -> bool:
        if self.kernel.draining:
            return False
        if self.lease.held():
            return True
        holder = self.lease.holder()
        others = [vm for vm in ranked if vm != holder]
        return self.name in self.duty.tellers(others, now)

    def _good(self) -> bool:
        """Return whether the platform answers this VM about all that others rely on."""
        return (
            self.discovery.loaded
            and self.declarations.version > 0
            and all(item.healthy for item in self.feeding.follower_by_name.values())
        )

    def _poll_anew(self) -> None:
        """Give up polls that were sent during an outage: they may never be answered."""
        for follower in self.feeding.follower_by_name.values():
            if follower.followed:
                follower.poll_anew()

    def _on_health(self) -> None:
        """Publish at once that the platform stopped answering, or answers again."""
        if self._good() != bool(self.signed_good):
            self._sign()

    def _sign(self) -> None:
        if not self.tells:
            return
        self.signed_at = time.monotonic()
        good = self._good()
        self._note_good(good)
        self.broadcast.tell(
            watch_duty.Sign(
                good,
                self.discovery.registry.cursor,
                self.discovery.changed_at,
                self.declarations.version,
            )
        )

    def _note_good(self, good: bool) -> None:
        """Log a change of what this VM publishes of the platform, feed by feed."""
        if good == self.signed_good:
            return
        self.signed_good = good
        for follower in self.feeding.follower_by_name.values():
            logs.event(
                log,
                "health published",
                feed=follower.name,
                declaration=self.declarations.version,
                cursor=follower.cursor,
                unanswered_s=round(follower.unanswered_s, 3),
                polling_s=round(follower.polling_s, 3),
                lost=follower.lost_at is not None,
                outcome="good" if good else "bad",
            )

    def _tell_changes(self, before: int, changes: adapters.Changes) -> None:
        """Tell all VMs of changes that the platform told this one."""
        if not self.tells:
            return
        doubt_s = self.discovery.follower.doubt_until - time.monotonic()
        documents = {item.name: item.document for item in changes.changes}
        news = RegistryNews(before, changes.cursor, documents, max(0.0, doubt_s))
        self.broadcast.tell(news)

    def _hear_news(self, _: str, news: RegistryNews, __: peers.Answer) -> None:
        changes = tuple(
            adapters.Change(name, document) for name, document in news.documents.items()
        )
        doubt_until = time.monotonic() + news.doubt_s if news.doubt_s else 0.0
        told = adapters.Changes(news.cursor, changes)
        self.discovery.take_told(news.before, told, doubt_until)

    def _hear_sign(self, vm: str, sign: watch_duty.Sign, _: peers.Answer) -> None:
        self.duty.hear(vm, sign, time.monotonic())
        if not sign.good:
            self._follow_feeds(self.duty.good_signs(time.monotonic()))
            return
        self.discovery.confirm(sign.changed_at, sign.cursor)
        if self.tells:
            self._hurry(sign)
        elif sign.declaration_version > self.declarations.version:
            self._read_soon(self._read_declaration, vm)

    def _hurry(self, sign: watch_duty.Sign) -> None:
        """End polls of this VM's own that miss what another one has seen."""
        by_name = self.feeding.follower_by_name
        if sign.declaration_version > self.declarations.version:
            by_name["declarations"].hurry(sign.cursor, pulse.PATIENCE_S)
        if sign.changed_at > self.discovery.registry.cursor:
            by_name["endpoints"].hurry(sign.changed_at, pulse.STUCK_S)

    def _read_what_lacks(self, good: dict[str, watch_duty.Sign], now: float) -> None:
        """Read the registry once where news did not arrive."""
        newest = max(good.values(), key=lambda sign: sign.changed_at, default=None)
        if newest is None or newest.changed_at <= self.discovery.registry.cursor:
            self.behind_since = None
            return
        if self.behind_since is None:
            self.behind_since = now
        if now - self.behind_since > PATIENCE_S:
            self.behind_since = None
            vm = next(vm for vm, sign in good.items() if sign is newest)
            self._read_soon(self._read_registry, vm)

    def _read_soon(self, read: collections.abc.Callable[[], bool], vm: str) -> None:
        if read not in self._reading:
            self._reading.add(read)
            self.tasks.spawn(self._read, read, vm)

    def _read(self, read: collections.abc.Callable[[], bool], vm: str) -> None:
        """Read what is new; from a peer where the platform is silent."""
        try:
            if not read():
                self.pulses.ask(vm)
        finally:
            self._reading.discard(read)

    def _read_declaration(self) -> bool:
        gevent.sleep(TOLD_S + random.uniform(0.0, SPREAD_S))
        good = self.duty.good_signs(time.monotonic()).values()
        newest = max((sign.declaration_version for sign in good), default=0)
        if newest <= self.declarations.version:
            return True
        return self.feeding.follower_by_name["declarations"].refresh()

    def _read_registry(self) -> bool:
        return self.feeding.follower_by_name["endpoints"].catch_up()
