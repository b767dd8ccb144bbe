"""Admission: whether a caller may have its request run, by its key and usage cap.

What is refused here takes no place, no turn and no retry of others, and has not run.
"""

import time

import gevent.event
import logbook
import result

from mothworks import kernel, logs, outcomes
from mothworks_gateway import (
    asked,
    client_accounts,
    credit,
    declarations,
    declared,
    feeding,
    freshness,
)

log = logbook.Logger("admission")

#: Hint to a caller whose key can't be checked here now, seconds: another VM can.
UNPROVEN_RETRY_S = 0.3
#: Age of the declaration up to which an unknown key is refused for good, and least time
#: between readings for such keys, seconds: a flood of bad keys at one VM costs the
#: platform one call a second.
CONFIRM_S = 1.0


class Admission(kernel.Part):
    """Checks callers.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.declarations = node_kernel.get(declarations.Declarations)
        self.feeding = node_kernel.get(feeding.Feeding)
        self.freshness = node_kernel.get(freshness.Freshness)
        self.credits = node_kernel.get(credit.Credits)
        #: Set once the reading under way has ended; None where there is none.
        self._reading: gevent.event.Event | None = None
        self._read_at = -CONFIRM_S

    @property
    def open(self) -> bool:
        """Return whether callers with keys are best served here.

        Where no VM can honour keys, all take connections: callers that need none
        are served, and nobody waits for new connections when keys work again.
        """
        current = self.declarations.current
        if current is None or current.accounts is None:
            return True
        return self.freshness.holds() or self.freshness.shared_by_all()

    def identify(
        self, route: declared.Route, key: str
    ) -> result.Result[client_accounts.ClientAccount | None, outcomes.Refusal]:
        """Return the account that calls; None where no key is needed.

        :param route: the route asked for.
        :param key: the key that the request carries, or an empty text.
        """
        accounts = self.declarations.current.accounts
        if accounts is None or route.public:
            return result.Ok(None)
        if not self.freshness.holds():
            message = "this VM can't tell whether keys are still valid"
            return result.Err(
                outcomes.overloaded(message, UNPROVEN_RETRY_S, "unproven")
            )
        account = accounts.find(key)
        if account is not None:
            return result.Ok(account)
        return self._identify_unknown(key)

    def admit(
        self, request: asked.Asked
    ) -> result.Result[credit.Grant | None, outcomes.Refusal]:
        """Take a request's credit; None where its account has no usage cap.

        :param request: the request.
        """
        account = request.account
        if account is None or account.cap is None:
            return result.Ok(None)
        units = account.cap.cost(request.input_tokens + request.output_tokens)
        match self.credits.admit(account, units):
            case result.Ok(grant):
                return result.Ok(grant)
            case result.Err(credit.Over(wait_s)):
                refusal = outcomes.Refusal(
                    429,
                    "over_cap",
                    "the client account is over its usage cap",
                    retry_after=wait_s,
                )
            case result.Err(credit.Unchecked()):
                message = "no VM that keeps this account's usage cap answers"
                retry_s = credit.UNCHECKED_RETRY_S
                refusal = outcomes.overloaded(message, retry_s, "unchecked")
        self._note(request, units, refusal)
        return result.Err(refusal)

    def _identify_unknown(
        self, key: str
    ) -> result.Result[client_accounts.ClientAccount, outcomes.Refusal]:
        """Decide on a key that this VM does not know.

        It may be of a version that has not reached this VM: refused for good, its
        caller would not come back.
        """
        confirmed = key and self._confirm()
        accounts = self.declarations.current.accounts
        account = accounts.find(key) if confirmed and accounts else None
        if account is not None:
            return result.Ok(account)
        if key and not confirmed:
            message = "this VM does not know the key, and can't ask for it"
            return result.Err(
                outcomes.overloaded(message, UNPROVEN_RETRY_S, "unproven")
            )
        message = "a valid API key is needed"
        return result.Err(outcomes.invalid(message, "invalid_api_key", 401))

    def _confirm(self) -> bool:
        """Return whether the declaration is the newest, reading it if need be.

        All that ask meanwhile wait for one reading.
        """
        if self._reading is None and self.freshness.age_s() > CONFIRM_S:
            if time.monotonic() - self._read_at < CONFIRM_S:
                return False
            self._reading = gevent.event.Event()
            self.tasks.spawn(self._read)
        if self._reading is not None:
            self._reading.wait()
        return self.freshness.age_s() <= CONFIRM_S

    def _read(self) -> None:
        try:
            self.feeding.follower_by_name["declarations"].refresh()
        finally:
            self._read_at = time.monotonic()
            self._reading.set()
            self._reading = None

    def _note(
        self, request: asked.Asked, units: float, refusal: outcomes.Refusal
    ) -> None:
        logs.event(
            log,
            "refused",
            request=request.id,
            route=request.route.name,
            version=request.declaration_version,
            account=request.account.name,
            units=units,
            retry_after_s=round(refusal.retry_after, 3),
            reason=refusal.message,
            outcome=refusal.status,
        )
