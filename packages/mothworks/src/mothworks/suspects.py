"""Suspects: requests that may crash the endpoint that runs them.

Now and then one request crashes every endpoint that runs it, and its caller
sends it again. What was in flight when an endpoint crashed is a suspect and
from then on runs alone, so that another crash convicts it and nothing else
is lost; running well once clears it. After two crashes it is quarantined:
refused on every VM for a while.

An entry that sees a stream break tells the endpoint's owner. Several streams
that break at once, or an endpoint that does not answer its owner, make a
crash; one broken connection alone counts half.
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

#: Time in which streams that break count as broken at once, seconds.
WINDOW_S = 0.2
#: Streams that break at once where the endpoint has crashed.
SEVERAL = 2
#: Longest wait for the owner's verdict, seconds.
VERDICT_S = 2.0
#: Mean time between exchanges with a random peer, seconds.
REPAIR_S = 10.0
#: Most requests remembered; the oldest are forgotten first.
MOST = 2000


@attrs.frozen
class _Case:
    """Connections to one endpoint that broke at once."""

    breaks: list[suspect_records.Broke]
    judged: gevent.event.Event


@plugins.register(plugins.PART, "suspects")
class Suspects(kernel.Part):
    """Judges crashes of owned endpoints and keeps what all VMs know.

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
        self.case_by_endpoint: dict[str, _Case] = {}
        self.peers.handle(suspect_records.Broke, self._serve_broke)
        self.peers.handle(suspect_records.SuspectNews, self._serve_news)

    def start(self) -> None:
        """Start to repair what gossip missed."""
        self.tasks.every(REPAIR_S, self._repair)

    def check(self, request: requests.Request) -> result.Result[bool, outcomes.Refusal]:
        """Return whether a request has to run alone.

        :param request: the request.
        :returns: an error where it is quarantined.
        """
        if not self.suspect_by_fingerprint:
            return result.Ok(False)
        suspect = self._current(suspect_records.fingerprint(request))
        if suspect is None or suspect.points < suspect_records.SUSPECT_AT:
            return result.Ok(False)
        if not suspect.quarantined:
            return result.Ok(True)
        message = "this request crashed the endpoints that ran it and is refused now"
        return result.Err(outcomes.invalid(message, "quarantined", 422))

    def broke(self, request: requests.Request, endpoint: catalogue.Endpoint) -> None:
        """Tell of a connection that broke, and wait for the verdict.

        :param request: the request that it carried.
        :param endpoint: where it ran.
        """
        broke = suspect_records.Broke(
            endpoint.name,
            suspect_records.fingerprint(request),
            request.id,
            request.caller.name,
            request.target,
        )
        owner = self.health.owner(endpoint)
        mine = owner is None or owner.name == self.kernel.settings.name
        if mine or self.peers.call(owner.name, broke, VERDICT_S).is_err():
            self._judge(broke)

    def report(self, request: requests.Request, endpoint: catalogue.Endpoint) -> None:
        """Tell of a connection that broke, without waiting.

        :param request: the request that it carried.
        :param endpoint: where it ran.
        """
        self.tasks.spawn(self.broke, request, endpoint)

    def ran_well(self, request: requests.Request) -> None:
        """Clear a request that ran to its end.

        :param request: the request.
        """
        if not self.suspect_by_fingerprint:
            return
        suspect = self._current(suspect_records.fingerprint(request))
        if suspect is not None and 0 < suspect.points < suspect_records.QUARANTINE_AT:
            self._change((suspect_records.cleared(suspect),))

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
        :returns: whether there was one.
        """
        for suspect in self.listed():
            if suspect.fingerprint.hex() == name:
                self._change((suspect_records.cleared(suspect),))
                return True
        return False

    def _judge(self, broke: suspect_records.Broke) -> int:
        """Judge a broken connection with others of the same moment."""
        case = self.case_by_endpoint.get(broke.endpoint)
        if case is None:
            case = _Case([broke], gevent.event.Event())
            self.case_by_endpoint[broke.endpoint] = case
            self.tasks.spawn(self._close_case, broke.endpoint)
        else:
            case.breaks.append(broke)
        case.judged.wait()
        suspect = self._current(broke.fingerprint)
        return suspect.points if suspect else 0

    def _close_case(self, endpoint: str) -> None:
        gevent.sleep(WINDOW_S)
        case = self.case_by_endpoint.pop(endpoint)
        streams = {broke.request_id for broke in case.breaks}
        crashed = len(streams) >= SEVERAL or not self._answers(endpoint)
        if crashed:
            log.warning("{} crashed with {} in flight", endpoint, len(streams))
        broke_by_fingerprint = {broke.fingerprint: broke for broke in case.breaks}
        self._change(
            tuple(
                self._accuse(broke, crashed) for broke in broke_by_fingerprint.values()
            )
        )
        case.judged.set()

    def _accuse(
        self, broke: suspect_records.Broke, crashed: bool
    ) -> suspect_records.Suspect:
        known = self._current(broke.fingerprint)
        points = known.points if known else 0
        elsewhere = known is None or known.endpoint != broke.endpoint
        # A suspect runs alone: where its connection breaks, no other request
        # can have been the cause. At the same endpoint again, it may well be
        # the endpoint that is broken.
        if elsewhere and (crashed or points >= suspect_records.SUSPECT_AT):
            points += suspect_records.CRASH
        else:
            points += suspect_records.LONE_BREAK
        suspect = suspect_records.Suspect(
            broke.fingerprint,
            points,
            suspect_records.after(known),
            broke.caller,
            broke.target,
            broke.endpoint,
        )
        if suspect.quarantined:
            log.warning(
                "request {} of {} to {} is quarantined",
                broke.fingerprint.hex(),
                broke.caller,
                broke.target,
            )
            self.audit.record(
                audit.Kind.QUARANTINE,
                broke.fingerprint.hex(),
                f"quarantine a request of {broke.caller} to {broke.target}",
                f"{points} points after {broke.endpoint}",
                before=known.points if known else 0,
                after=points,
            )
        return suspect

    def _answers(self, name: str) -> bool:
        endpoint = self.configuration.index.endpoint_by_name.get(name)
        if endpoint is None:
            return True
        return self.health.adapters.get(endpoint.kind).report(endpoint).is_ok()

    def _change(self, suspects: tuple[suspect_records.Suspect, ...]) -> None:
        self._take(suspects)
        self.peers.send_all(suspect_records.news(suspects))

    def _take(self, suspects: tuple[suspect_records.Suspect, ...]) -> None:
        for suspect in suspects:
            known = self.suspect_by_fingerprint.get(suspect.fingerprint)
            if known is None or suspect_records.order(known) < suspect_records.order(
                suspect
            ):
                self.suspect_by_fingerprint.pop(suspect.fingerprint, None)
                self.suspect_by_fingerprint[suspect.fingerprint] = suspect
        while len(self.suspect_by_fingerprint) > MOST:
            self.suspect_by_fingerprint.pop(next(iter(self.suspect_by_fingerprint)))

    def _current(self, key: bytes) -> suspect_records.Suspect | None:
        suspect = self.suspect_by_fingerprint.get(key)
        if suspect is None:
            return None
        kept_s = self.configuration.index.catalogue.retention.quarantine_s
        if suspect.when_ms < suspect_records.now_ms() - kept_s * 1000:
            del self.suspect_by_fingerprint[key]
            return None
        return suspect

    def _repair(self) -> None:
        # News is lost on a VM that starts later or was cut off: it would let
        # a quarantined request crash further endpoints.
        for key in list(self.suspect_by_fingerprint):
            self._current(key)
        known = tuple(self.suspect_by_fingerprint.values())
        others = self.membership.peers()
        if known and others:
            self.peers.send(random.choice(others).name, suspect_records.news(known))

    def _serve_broke(
        self, _: str, broke: suspect_records.Broke, answer: peers.Answer
    ) -> None:
        self.tasks.spawn(lambda: answer(suspect_records.Judged(self._judge(broke))))

    def _serve_news(
        self, _: str, news: suspect_records.SuspectNews, __: peers.Answer
    ) -> None:
        self._take(tuple(suspect_records.Suspect(*row) for row in news.rows))
