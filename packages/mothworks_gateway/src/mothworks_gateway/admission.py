"""Admission: checks a caller's API key and usage cap before its request is run.

A request that is refused here has not run, and uses no batch slot, prefill slot or
retry that others need.
"""

import time

import gevent.event
import logbook
import result

from mothworks import kernel, logs, outcomes
from mothworks_gateway import (
    caller_request,
    client_accounts,
    credit,
    declaration_types,
    declarations,
    feeding,
    freshness,
)

log = logbook.Logger("admission")

#: Retry-After if this VM can't verify a key, seconds: the retry reaches another VM.
UNVERIFIED_RETRY_S = 0.3
#: Age of the declaration up to which an unknown key is rejected for good, and shortest
#: interval between refreshes for unknown keys, seconds: a flood of invalid keys at one
#: VM costs the platform one call per second.
REFRESH_INTERVAL_S = 1.0


class Admission(kernel.Part):
    """Authenticates callers and enforces their usage caps.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.declarations = node_kernel.get(declarations.Declarations)
        self.feeding = node_kernel.get(feeding.FeedFollowers)
        self.freshness = node_kernel.get(freshness.Freshness)
        self.credits = node_kernel.get(credit.Credits)
        #: Set once the refresh in progress has ended; None while there is none.
        self._refresh_done: gevent.event.Event | None = None
        self._refreshed_at = -REFRESH_INTERVAL_S

    @property
    def is_ready(self) -> bool:
        """Return whether this VM should receive requests of callers with keys.

        If no VM can verify keys, all of them accept connections: callers without keys
        are served, and no caller has to reconnect once keys can be verified again.
        """
        current = self.declarations.current
        if current is None or current.accounts is None:
            return True
        return self.freshness.is_proven() or self.freshness.is_fleet_wide()

    def identify(
        self, route: declaration_types.Route, key: str
    ) -> result.Result[client_accounts.ClientAccount | None, outcomes.Refusal]:
        """Return the caller's account; None if no key is needed.

        :param route: the requested route.
        :param key: the key in the request, or an empty string.
        """
        accounts = self.declarations.current.accounts
        if accounts is None or route.public:
            return result.Ok(None)
        if not self.freshness.is_proven():
            message = "this VM can't verify whether keys are still valid"
            return result.Err(
                outcomes.overloaded(message, UNVERIFIED_RETRY_S, "unproven")
            )
        account = accounts.find(key)
        if account is not None:
            return result.Ok(account)
        return self._identify_unknown(key)

    def admit(
        self, request: caller_request.CallerRequest
    ) -> result.Result[credit.Grant | None, outcomes.Refusal]:
        """Acquire the credit of a request; None if its account has no usage cap.

        :param request: the request.
        """
        account = request.account
        if account is None or account.cap is None:
            return result.Ok(None)
        units = account.cap.cost(request.input_tokens + request.output_tokens)
        match self.credits.acquire(account, units):
            case result.Ok(grant):
                return result.Ok(grant)
            case result.Err(credit.OverCap(wait_s)):
                refusal = outcomes.Refusal(
                    429,
                    "over_cap",
                    "the client account is over its usage cap",
                    retry_after=wait_s,
                )
            case result.Err(credit.Unchecked()):
                message = "no VM that owns this account's usage cap replies"
                retry_s = credit.UNCHECKED_RETRY_AFTER_S
                refusal = outcomes.overloaded(message, retry_s, "unchecked")
        self._log_refused(request, units, refusal)
        return result.Err(refusal)

    def _identify_unknown(
        self, key: str
    ) -> result.Result[client_accounts.ClientAccount, outcomes.Refusal]:
        """Accept or reject a key that this VM does not know.

        A newer declaration that has not reached this VM may contain it. Rejected for
        good, its caller would not retry.
        """
        is_current = key and self._ensure_current()
        accounts = self.declarations.current.accounts
        account = accounts.find(key) if is_current and accounts else None
        if account is not None:
            return result.Ok(account)
        if key and not is_current:
            message = "this VM does not know the key and can't refresh its keys"
            return result.Err(
                outcomes.overloaded(message, UNVERIFIED_RETRY_S, "unproven")
            )
        message = "a valid API key is needed"
        return result.Err(outcomes.invalid(message, "invalid_api_key", 401))

    def _ensure_current(self) -> bool:
        """Return whether the declaration is current, refreshing it if needed.

        Concurrent calls share one refresh.
        """
        if self._refresh_done is None and self.freshness.age_s() > REFRESH_INTERVAL_S:
            if time.monotonic() - self._refreshed_at < REFRESH_INTERVAL_S:
                return False
            self._refresh_done = gevent.event.Event()
            self.tasks.spawn(self._refresh)
        if self._refresh_done is not None:
            self._refresh_done.wait()
        return self.freshness.age_s() <= REFRESH_INTERVAL_S

    def _refresh(self) -> None:
        try:
            self.feeding.follower_by_name["declarations"].refresh()
        finally:
            self._refreshed_at = time.monotonic()
            self._refresh_done.set()
            self._refresh_done = None

    def _log_refused(
        self,
        request: caller_request.CallerRequest,
        units: float,
        refusal: outcomes.Refusal,
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
