"""Suspects: requests that may crash the endpoint that runs them.

A request can crash every endpoint that runs it, and its caller resends it. The
requests in flight when an endpoint crashes become suspects. A suspect runs
alone at its endpoint (see :mod:`mothworks.exclusive_queue`), so that another
crash identifies it and interrupts no other request; completing once clears it.
With the points of two crashes it is quarantined: refused on every VM until the
retention ends.

An entry, the VM that received a request, reports a broken connection to the
endpoint's owner. Several streams that break together, or an endpoint that does
not respond to its owner, make a crash; one broken connection alone counts half
as many points.
"""

import random

import attrs
import gevent
import gevent.event
import logbook
import result

from mothworks import (
    audit,
    catalogue,
    configuration,
    health,
    kernel,
    membership,
    outcomes,
    peers,
    plugins,
    requests,
    suspect_records,
)

log = logbook.Logger("suspects")

#: Time within which streams that break count as broken together, seconds.
BREAK_WINDOW_S = 0.2
#: Number of streams broken together that is judged a crash.
CRASH_STREAMS = 2
#: Timeout of waiting for the owner's verdict, seconds.
VERDICT_TIMEOUT_S = 2.0
#: Mean interval between sending all suspects to a random peer, seconds.
PUSH_INTERVAL_S = 10.0
#: Maximum number of suspects stored; the least recently updated are evicted.
MAX_SUSPECTS = 2000


@attrs.frozen
class _BreakGroup:
    """Connections to one endpoint that broke within :data:`BREAK_WINDOW_S`."""

    breaks: list[suspect_records.BrokenConnection]
    judged: gevent.event.Event


@plugins.register(plugins.PART, "suspects")
class Suspects(kernel.Part):
    """Judges crashes of owned endpoints, and replicates suspects to all VMs.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.audit = node_kernel.get(audit.Audit)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.health = node_kernel.get(health.Health)
        self.membership = node_kernel.get(membership.Membership)
        self.peers = node_kernel.get(peers.Peers)
        self.suspect_by_fingerprint: dict[bytes, suspect_records.Suspect] = {}
        self.group_by_endpoint: dict[str, _BreakGroup] = {}
        self.peers.handle(suspect_records.BrokenConnection, self._serve_broken)
        self.peers.handle(suspect_records.SuspectUpdate, self._serve_update)

    def start(self) -> None:
        """Start to send suspects to peers that missed an update."""
        self.tasks.every(PUSH_INTERVAL_S, self._push_suspects)

    def check(self, request: requests.Request) -> result.Result[bool, outcomes.Refusal]:
        """Return whether a request is a suspect, which has to run alone.

        :param request: the request.
        :returns: an error if it is quarantined.
        """
        if not self.suspect_by_fingerprint:
            return result.Ok(False)
        suspect = self._current(suspect_records.fingerprint(request))
        if suspect is None or suspect.points < suspect_records.SUSPECT_THRESHOLD:
            return result.Ok(False)
        if not suspect.quarantined:
            return result.Ok(True)
        message = "this request crashed the endpoints that ran it and is quarantined"
        return result.Err(outcomes.invalid(message, "quarantined", 422))

    def report_broken_and_wait(
        self, request: requests.Request, endpoint: catalogue.Endpoint
    ) -> None:
        """Report a connection that broke, and wait for the verdict.

        :param request: the request that it carried.
        :param endpoint: where it ran.
        """
        broken = suspect_records.BrokenConnection(
            endpoint.name,
            suspect_records.fingerprint(request),
            request.id,
            request.caller.name,
            request.target,
        )
        owner = self.health.owner(endpoint)
        owned = owner is None or owner.name == self.kernel.settings.name
        if owned or self.peers.call(owner.name, broken, VERDICT_TIMEOUT_S).is_err():
            self._judge(broken)

    def report_broken(
        self, request: requests.Request, endpoint: catalogue.Endpoint
    ) -> None:
        """Report a connection that broke, without waiting.

        :param request: the request that it carried.
        :param endpoint: where it ran.
        """
        self.tasks.spawn(self.report_broken_and_wait, request, endpoint)

    def clear(self, request: requests.Request) -> None:
        """Clear a suspect that completed, unless it is quarantined.

        :param request: the request.
        """
        if not self.suspect_by_fingerprint:
            return
        suspect = self._current(suspect_records.fingerprint(request))
        if (
            suspect is not None
            and 0 < suspect.points < suspect_records.QUARANTINE_THRESHOLD
        ):
            self._publish((suspect_records.cleared(suspect),))

    def listed(self) -> list[suspect_records.Suspect]:
        """Return suspects and quarantined requests, the newest first."""
        current = [
            suspect
            for key in list(self.suspect_by_fingerprint)
            if (suspect := self._current(key)) is not None and suspect.points
        ]
        return sorted(current, key=lambda item: item.when_ms, reverse=True)

    def lift(self, name: str) -> bool:
        """Clear a request on every VM, quarantined or not.

        :param name: its fingerprint, in hex.
        :returns: whether there was such a request.
        """
        for suspect in self.listed():
            if suspect.fingerprint.hex() == name:
                self._publish((suspect_records.cleared(suspect),))
                return True
        return False

    def _judge(self, broken: suspect_records.BrokenConnection) -> int:
        """Judge a connection together with others that broke at the same time.

        :returns: the request's points afterwards.
        """
        group = self.group_by_endpoint.get(broken.endpoint)
        if group is None:
            group = _BreakGroup([broken], gevent.event.Event())
            self.group_by_endpoint[broken.endpoint] = group
            self.tasks.spawn(self._judge_group, broken.endpoint)
        else:
            group.breaks.append(broken)
        group.judged.wait()
        suspect = self._current(broken.fingerprint)
        return suspect.points if suspect else 0

    def _judge_group(self, endpoint: str) -> None:
        gevent.sleep(BREAK_WINDOW_S)
        group = self.group_by_endpoint.pop(endpoint)
        request_ids = {broken.request_id for broken in group.breaks}
        crashed = len(request_ids) >= CRASH_STREAMS or not self._is_responsive(endpoint)
        if crashed:
            log.warning("{} crashed with {} in flight", endpoint, len(request_ids))
        broken_by_fingerprint = {broken.fingerprint: broken for broken in group.breaks}
        self._publish(
            tuple(
                self._add_points(broken, crashed)
                for broken in broken_by_fingerprint.values()
            )
        )
        group.judged.set()

    def _add_points(
        self, broken: suspect_records.BrokenConnection, crashed: bool
    ) -> suspect_records.Suspect:
        previous = self._current(broken.fingerprint)
        points = previous.points if previous else 0
        other_endpoint = previous is None or previous.endpoint != broken.endpoint
        # A suspect runs alone: if its connection breaks, no other request can
        # be the cause. If it breaks at the same endpoint again, the endpoint
        # itself may be faulty.
        if other_endpoint and (crashed or points >= suspect_records.SUSPECT_THRESHOLD):
            points += suspect_records.CRASH_POINTS
        else:
            points += suspect_records.LONE_BREAK_POINTS
        suspect = suspect_records.Suspect(
            broken.fingerprint,
            points,
            suspect_records.next_timestamp_ms(previous),
            broken.caller,
            broken.target,
            broken.endpoint,
        )
        if suspect.quarantined:
            log.warning(
                "request {} of {} to {} is quarantined",
                broken.fingerprint.hex(),
                broken.caller,
                broken.target,
            )
            self.audit.record(
                audit.Kind.QUARANTINE,
                broken.fingerprint.hex(),
                f"quarantine a request of {broken.caller} to {broken.target}",
                f"{points} points after {broken.endpoint}",
                before=previous.points if previous else 0,
                after=points,
            )
        return suspect

    def _is_responsive(self, name: str) -> bool:
        endpoint = self.configuration.index.endpoint_by_name.get(name)
        if endpoint is None:
            return True
        return self.health.adapters.get(endpoint.kind).report(endpoint).is_ok()

    def _publish(self, suspects: tuple[suspect_records.Suspect, ...]) -> None:
        self._merge(suspects)
        self.peers.send_to_region(suspect_records.update(suspects))

    def _merge(self, suspects: tuple[suspect_records.Suspect, ...]) -> None:
        for suspect in suspects:
            previous = self.suspect_by_fingerprint.get(suspect.fingerprint)
            if previous is None or suspect_records.version(
                previous
            ) < suspect_records.version(suspect):
                self.suspect_by_fingerprint.pop(suspect.fingerprint, None)
                self.suspect_by_fingerprint[suspect.fingerprint] = suspect
        while len(self.suspect_by_fingerprint) > MAX_SUSPECTS:
            self.suspect_by_fingerprint.pop(next(iter(self.suspect_by_fingerprint)))

    def _current(self, key: bytes) -> suspect_records.Suspect | None:
        suspect = self.suspect_by_fingerprint.get(key)
        if suspect is None:
            return None
        retention_s = self.configuration.index.catalogue.retention.quarantine_s
        if suspect.when_ms < suspect_records.now_ms() - retention_s * 1000:
            del self.suspect_by_fingerprint[key]
            return None
        return suspect

    def _push_suspects(self) -> None:
        # A VM that starts later or was partitioned misses updates, and would
        # let a quarantined request crash further endpoints.
        for key in list(self.suspect_by_fingerprint):
            self._current(key)
        suspects = tuple(self.suspect_by_fingerprint.values())
        live_peers = self.membership.peers()
        if suspects and live_peers:
            self.peers.send(
                random.choice(live_peers).name, suspect_records.update(suspects)
            )

    def _serve_broken(
        self, _: str, broken: suspect_records.BrokenConnection, reply: peers.Reply
    ) -> None:
        self.tasks.spawn(lambda: reply(suspect_records.Verdict(self._judge(broken))))

    def _serve_update(
        self, _: str, update: suspect_records.SuspectUpdate, __: peers.Reply
    ) -> None:
        self._merge(tuple(suspect_records.Suspect(*row) for row in update.rows))
