"""Credit: usage caps of client accounts, enforced by all VMs together.

Requests of an account reach all VMs, and one request may cost as much as a VM's equal
share of the cap for ten seconds. So each cap is a shared budget
(:mod:`shared_budgets`), whose owner every VM calls before each request that counts.

An owner grants only while its declaration is fresh, or while those of all VMs seem to
be stale. A VM that reaches no owner falls back to its reserve: a share of its own usage
in the last window, chosen so that all reserves together stay within the excess that the
deployment tolerates.
"""

import collections
import random
import time

import attrs
import result

from mothworks import kernel, messages, peers
from mothworks_gateway import (
    client_accounts,
    declarations,
    freshness,
    shared_budgets,
    sliding_windows,
    token_bucket,
)

#: Maximum age of the declaration with which an owner grants, seconds: more than the
#: usual age of one that peers relay, less than the time that membership takes to remove
#: VMs that are cut off.
MAX_DECLARATION_AGE_S = 2.5
#: Minimum share of a budget with which an owner grants: two equal halves of a fleet
#: grant half each; in an uneven split, what the smaller side would grant in addition is
#: more than the tolerated excess.
MIN_SHARE = 0.5
#: Shares of the tolerated excess: what an owner grants beyond the available credit, so
#: that bursts of requests run, and what the reserves use. The rest covers changes of
#: ownership.
OVERDRAFT_SHARE = 0.15
RESERVE_SHARE = 0.3
#: Fill level, as a share of the burst, above which an account is far from its cap.
HEADROOM_SHARE = 0.5
#: Time for which a VM without an owner continues at the previous rate where the account
#: was far from its cap, seconds. If it were longer, VMs that are cut off could use up
#: the tolerated excess.
HEADROOM_GRACE_S = 0.6
#: Retry hint to a caller whose account's cap can't be checked here, seconds: the retry
#: reaches another VM.
UNCHECKED_RETRY_AFTER_S = 0.2


@messages.message(129)
@attrs.frozen
class CreditRequest:
    """Requests the credit of one request from an owner.

    :param account: the account's name.
    :param units: what the request costs.
    """

    account: str
    units: float


@messages.message(130)
@attrs.frozen
class CreditReply:
    """An owner's decision on a :class:`CreditRequest`.

    :param may_grant: whether the replying VM may act as an owner now.
    :param wait_s: 0 where the credit is granted; else the seconds after which the
        caller should retry.
    :param has_headroom: whether the account is far from its cap.
    """

    may_grant: bool
    wait_s: float = 0.0
    has_headroom: bool = False


@messages.message(131)
@attrs.frozen
class CreditRefund:
    """Refunds the credit of a request that did not run, to the VM that granted it.

    :param account: the account's name.
    :param units: the units to refund.
    """

    account: str
    units: float


@attrs.frozen
class Grant:
    """The credit of one request.

    :param account: the account's name.
    :param units: what the request costs.
    :param granter: the VM that granted it; empty for this VM's reserve.
    """

    account: str
    units: float
    granter: str


@attrs.frozen
class OverCap:
    """Refused: the request is over its account's usage cap.

    :param wait_s: seconds until its credit is available.
    """

    wait_s: float


@attrs.frozen
class Unchecked:
    """Refused: no owner answers, and the reserve is exhausted."""


Refused = OverCap | Unchecked


class Credits(kernel.Part):
    """Grants credit for the accounts that this VM owns, and calls owners of others.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.peers = node_kernel.get(peers.Peers)
        self.declarations = node_kernel.get(declarations.Declarations)
        self.freshness = node_kernel.get(freshness.Freshness)
        self.budgets = node_kernel.get(shared_budgets.SharedBudgets)
        self.budgets.on_spent.append(self._on_spent)
        self.bucket_by_account: dict[str, token_bucket.TokenBucket] = {}
        self.budgets.on_reset.append(self.bucket_by_account.clear)
        self.granted_by_account = self._make_windows()
        self.reserve_used_by_account = self._make_windows()
        #: Random draws, 0 to 1, for requests that cost more than the reserve.
        self.draw_by_account: dict[str, float] = {}
        #: Accounts that were far from their caps by the last reply of an owner.
        self.accounts_with_headroom: set[str] = set()
        self.peers.handle(CreditRequest, self._on_request)
        self.peers.handle(CreditRefund, self._on_refund)
        self.latency = node_kernel.metrics.duration_histogram(
            "credit_seconds", "Time until a request's credit was granted or refused."
        )

    def acquire(
        self, account: client_accounts.ClientAccount, units: float
    ) -> result.Result[Grant, Refused]:
        """Acquire the credit for one request.

        :param account: the client account; it has a usage cap.
        :param units: what the request costs.
        """
        started_at = time.monotonic()
        try:
            return self._acquire(account, units)
        finally:
            self.latency.observe({}, time.monotonic() - started_at)

    def refund(self, grant: Grant) -> None:
        """Refund the credit of a request that did not run and never will.

        :param grant: the grant to refund.
        """
        self._record_usage(grant, -grant.units)
        if grant.granter == self.name:
            self._debit(grant.account, -grant.units)
        elif grant.granter:
            self.peers.send_nowait(
                grant.granter, CreditRefund(grant.account, grant.units)
            )

    def _acquire(
        self, account: client_accounts.ClientAccount, units: float
    ) -> result.Result[Grant, Refused]:
        for owner in self.budgets.responsive_owners(f"cap {account.name}"):
            reply = self._call_owner(owner, CreditRequest(account.name, units))
            if reply is None or not reply.may_grant:
                continue
            self._record_headroom(account.name, reply.has_headroom)
            if reply.wait_s:
                return result.Err(OverCap(reply.wait_s))
            return result.Ok(self._record_grant(Grant(account.name, units, owner)))
        # One request may cost more than the reserve of a VM with few callers. A random
        # draw lets all VMs together use the sum of their reserves. It is kept until a
        # request is granted: with a new draw per request, every VM would win soon.
        draw = self.draw_by_account.setdefault(account.name, random.random())
        if draw * units > self._available_reserve(account):
            return result.Err(Unchecked())
        del self.draw_by_account[account.name]
        return result.Ok(self._record_grant(Grant(account.name, units, "")))

    def _record_headroom(self, account: str, has_headroom: bool) -> None:
        if has_headroom:
            self.accounts_with_headroom.add(account)
        else:
            self.accounts_with_headroom.discard(account)

    def _call_owner(self, owner: str, request: CreditRequest) -> CreditReply | None:
        if owner == self.name:
            return self._grant(request)
        match self.budgets.call_owner(owner, request, f"the cap of {request.account}"):
            case CreditReply() as reply:
                return reply
        return None

    def _record_grant(self, grant: Grant) -> Grant:
        self._record_usage(grant, grant.units)
        return grant

    def _record_usage(self, grant: Grant, units: float) -> None:
        self.budgets.spend(grant.account, grant.granter, units)
        used = (
            self.granted_by_account if grant.granter else self.reserve_used_by_account
        )
        used[grant.account].add(units)

    def _available_reserve(self, account: client_accounts.ClientAccount) -> float:
        """Return the units that this VM may still use without an owner.

        All VMs together use at most what the cap allows in a window. If each of them
        exceeds its own usage by the same share, the total exceeds the cap by no more
        than that share.
        """
        window_s = self.kernel.settings.bounds.cap_window_s
        allowed = account.cap.max_units(window_s)
        share = RESERVE_SHARE * self._tolerated_excess(account.cap) / allowed
        if account.name in self.accounts_with_headroom:
            share = max(share, HEADROOM_GRACE_S / window_s) if share else 0.0
        granted = self.granted_by_account[account.name].total()
        return share * granted - self.reserve_used_by_account[account.name].total()

    def _tolerated_excess(self, cap: client_accounts.UsageCap) -> float:
        """Return the units by which the usage in one window may exceed a cap."""
        bounds = self.kernel.settings.bounds
        return bounds.cap_over * cap.max_units(bounds.cap_window_s) + bounds.cap_slack

    def _grant(self, request: CreditRequest) -> CreditReply:
        bucket = self._bucket(request.account)
        if bucket is None or not self._may_grant():
            return CreditReply(False)
        wait_s = bucket.acquire(request.units, time.monotonic())
        return CreditReply(
            True, wait_s, bucket.level > HEADROOM_SHARE * bucket.cap.burst
        )

    def _may_grant(self) -> bool:
        is_minority = self.budgets.share() < MIN_SHARE
        if is_minority or not self.budgets.may_grant():
            return False
        is_fresh = self.freshness.age_s() <= MAX_DECLARATION_AGE_S
        return is_fresh or self.freshness.is_fleet_wide()

    def _bucket(self, account: str) -> token_bucket.TokenBucket | None:
        """Return an account's bucket; None where it has no cap here."""
        current = self.declarations.current
        accounts = current and current.accounts
        declared = accounts and accounts.by_name.get(account)
        if not declared or declared.cap is None:
            return None
        cap = declared.cap.scaled(self.budgets.share())
        bucket = self.bucket_by_account.get(account)
        overdraft = OVERDRAFT_SHARE * self._tolerated_excess(cap)
        if bucket is not None and (bucket.cap, bucket.overdraft) == (cap, overdraft):
            return bucket
        if bucket is None:
            bucket = token_bucket.TokenBucket(cap, self.budgets.synced_since, overdraft)
            self.bucket_by_account[account] = bucket
        else:
            bucket.set_cap(cap, time.monotonic(), overdraft)
        return bucket

    def _debit(self, account: str, units: float) -> None:
        bucket = self._bucket(account)
        if bucket is not None:
            bucket.debit(units, time.monotonic())

    def _on_request(self, _: str, request: CreditRequest, answer: peers.Reply) -> None:
        answer(self._grant(request))

    def _on_refund(self, _: str, refund: CreditRefund, __: peers.Reply) -> None:
        self._debit(refund.account, -refund.units)

    def _on_spent(self, budget: str, _: str, units: float) -> None:
        # A budget of another kind matches no account and is ignored.
        self._debit(budget, units)

    def _make_windows(
        self,
    ) -> collections.defaultdict[str, sliding_windows.WindowedSum]:
        window_s = self.kernel.settings.bounds.cap_window_s
        return collections.defaultdict(lambda: sliding_windows.WindowedSum(window_s))
