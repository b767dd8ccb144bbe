"""Part trials: single requests that show whether a blocked part is still bad.

A part of prompts may be blocked although something else crashed the endpoints, and
nobody learns that while all requests with it are refused. So some time after its last
crash, one request with it is sent, by one VM of all: the part's owner grants it. If its
answer runs on, all VMs clear the part; if it crashes its endpoint, the next trial comes
later.
"""

import time

import attrs
import logbook
import result

from mothworks import kernel, logs, messages, peers
from mothworks_gateway import (
    caller_request,
    crash_histories,
    owners,
    poison_requests,
    shared_budgets,
)

log = logbook.Logger("part_trials")

#: Time from a trial that was granted until another may be, seconds: long enough for an
#: answer to begin and run on.
GRANT_INTERVAL_S = 10.0


@messages.message(150)
@attrs.frozen
class TrialRequest:
    """Asks a part's owner whether a request with it may be sent as a trial.

    :param fingerprint: the part's fingerprint.
    """

    fingerprint: bytes


@messages.message(151)
@attrs.frozen
class TrialReply:
    """The owner's reply.

    :param granted: whether the request may be sent.
    """

    granted: bool


class PartTrials(kernel.Part):
    """Decides which requests with a blocked part are sent as trials.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.poison_requests = node_kernel.get(poison_requests.PoisonRequests)
        self.owners = node_kernel.get(owners.Owners)
        self.budgets = node_kernel.get(shared_budgets.SharedBudgets)
        node_kernel.get(peers.Peers).handle(TrialRequest, self._serve)
        #: Monotonic time until which no other trial is granted, by fingerprint.
        self._granted_until_by_fingerprint: dict[bytes, float] = {}

    def admit(
        self, request: caller_request.CallerRequest
    ) -> result.Result[caller_request.CallerRequest, str]:
        """Return a blocked request as a trial if it may be sent as one.

        :param request: the request.
        :returns: the trial, or why it is none.
        """
        fingerprint = self.poison_requests.only_blocked_part(request)
        if fingerprint is None:
            return result.Err("not blocked by one part alone")
        history = self.poison_requests.parts.history_by_fingerprint[fingerprint]
        if time.monotonic() < history.next_trial_at:
            return result.Err("not due")
        if not self._request_grant(fingerprint):
            return result.Err("not granted")
        logs.event(
            log,
            "trial",
            request=request.id,
            fingerprint=fingerprint.hex(),
            endpoints=self.poison_requests.parts.count(fingerprint),
            outcome="sent",
        )
        return result.Ok(attrs.evolve(request, trial_of=fingerprint))

    def _request_grant(self, fingerprint: bytes) -> bool:
        """Return whether the part's owner, or the next if it is silent, grants."""
        for owner in self.budgets.responsive_owners(fingerprint.hex()):
            if owner == self.name:
                return self._grant(fingerprint)
            message = TrialRequest(fingerprint)
            match self.budgets.call_owner(owner, message, "trial of a part"):
                case TrialReply(granted):
                    return granted
        return False

    def _grant(self, fingerprint: bytes) -> bool:
        now = time.monotonic()
        granted_until = self._granted_until_by_fingerprint.get(fingerprint, 0.0)
        # Another VM may block a part that this one does not, and wait for a trial.
        history = self.poison_requests.parts.blocked().get(fingerprint)
        is_due = history is None or now >= history.next_trial_at
        if now < granted_until or not is_due or not self.budgets.may_grant():
            return False
        if len(self._granted_until_by_fingerprint) >= crash_histories.MAX_HISTORIES:
            self._granted_until_by_fingerprint.clear()
        self._granted_until_by_fingerprint[fingerprint] = now + GRANT_INTERVAL_S
        return True

    def _serve(self, vm: str, message: TrialRequest, reply: peers.Reply) -> None:
        reply(TrialReply(self._grant(message.fingerprint)))
