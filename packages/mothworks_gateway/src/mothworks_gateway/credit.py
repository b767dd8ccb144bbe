"""Credit: usage caps of client accounts, kept by all VMs together.

Requests of an account reach all VMs, and one of them may be as large as a VM's equal
part of the cap for ten seconds. So each account has an owner (:mod:`owners`), which
every VM asks before each request that counts. All candidates for ownership know what
was granted by whom, from the pulses: where the owner falls silent the next one goes on
at once, behind by no more than the pulses of half a second.

Two VMs may take themselves for the owner while a partition lasts. So one only lends
while it hears the majority of the candidates, and while its declaration is fresh. A VM
that finds nobody to ask goes on with its reserve: a part of what it itself used in the
last window, so that all reserves together stay within what the deployment tolerates.
"""

import collections
import random
import time

import attrs
import result

from mothworks import kernel, messages, peers
from mothworks_gateway import (
    bucket,
    client_accounts,
    declarations,
    freshness,
    owners,
    pulse,
    suspension,
    windows,
)

#: Time for an owner's answer, seconds: several times the longest way between data
#: centres of a region, and a busy VM's turn of its loop.
REPLY_S = 0.04
#: Owners that are asked for one request.
MOST_ASKED = 2
#: Time without a pulse after which a candidate counts as not heard, seconds: two of
#: them. Longer, and two parts of a partition would each lend a burst.
HEARD_S = 2 * pulse.PULSE_S
#: Oldest declaration on which an owner lends, seconds: more than one that others tell
#: has in calm times, less than membership takes to forget those that are cut off.
LEND_AGE_S = 2.5
#: Time for which a VM that knows no other does not lend, seconds: where all start at
#: once, each of them would lend the whole cap until they know each other.
ALONE_S = 1.5
#: Parts of the tolerated excess: that which an owner grants beyond the credit that is
#: there, so that requests that come together run; and that for reserves. The rest
#: covers owners that follow each other.
GRACE_SHARE = 0.15
RESERVE_SHARE = 0.3
#: Part of the burst above which an account is far from its cap.
CALM_SHARE = 0.5
#: Time for which a VM without an owner goes on as before where its account was far from
#: its cap, seconds. Longer, and VMs in a cut could use up what is tolerated.
CALM_S = 0.6
#: Hint to a caller whose account's cap can't be checked here, seconds: it comes to
#: another VM.
UNCHECKED_RETRY_S = 0.2


@messages.message(129)
@attrs.frozen
class AskCredit:
    """Asks an owner for the credit of one request.

    :param account: the account's name.
    :param units: what the request costs.
    """

    account: str
    units: float


@messages.message(130)
@attrs.frozen
class Credit:
    """Answers.

    :param lends: whether the sender may decide at all now.
    :param wait_s: 0 where the credit is granted; else the seconds until the request
        should come back.
    :param calm: whether the account is far from its cap.
    """

    lends: bool
    wait_s: float = 0.0
    calm: bool = False


@messages.message(131)
@attrs.frozen
class ReturnCredit:
    """Gives the credit of a request that has not run back to its owner.

    :param account: the account's name.
    :param units: what the request costs.
    """

    account: str
    units: float


@attrs.frozen
class Grant:
    """The credit of one request.

    :param account: the account's name.
    :param units: what the request costs.
    :param lender: the VM that granted it; empty for this VM's reserve.
    """

    account: str
    units: float
    lender: str


@attrs.frozen
class Over:
    """A request is over its account's usage cap.

    :param wait_s: seconds until its credit is there.
    """

    wait_s: float


@attrs.frozen
class Unchecked:
    """No owner answers, and the reserve is spent."""


Refused = Over | Unchecked


class Credits(kernel.Part):
    """Grants credit for the accounts that this VM owns, and asks for others.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.peers = node_kernel.get(peers.Peers)
        self.declarations = node_kernel.get(declarations.Declarations)
        self.freshness = node_kernel.get(freshness.Freshness)
        self.owners = node_kernel.get(owners.Owners)
        pulses = node_kernel.get(pulse.Pulses)
        pulses.on_pulse.append(self._fill)
        pulses.on_heard.append(self._hear)
        self.bucket_by_account: dict[str, bucket.Bucket] = {}
        #: Monotonic time since when this VM hears all that is spent.
        self.hears_since = time.monotonic()
        self.is_candidate = True
        #: When the last pulse of each VM came, on the clock of suspension.now.
        self.heard_at_by_vm: dict[str, float] = {}
        #: What callers of this VM used since the last pulse, by account and lender.
        self.spent: collections.Counter[tuple[str, str]] = collections.Counter()
        self.lent_by_account = self._amounts_by_account()
        self.reserve_by_account = self._amounts_by_account()
        #: Accounts that were far from their caps when an owner last told.
        self.calm_accounts: set[str] = set()
        self.owners.on_change.append(self._follow_owners)
        self.peers.handle(AskCredit, self._serve)
        self.peers.handle(ReturnCredit, self._take_back)
        self.asks = node_kernel.metrics.seconds(
            "credit_seconds", "Time until a request's credit was granted or refused."
        )

    def admit(
        self, account: client_accounts.ClientAccount, units: float
    ) -> result.Result[Grant, Refused]:
        """Get the credit for one request.

        :param account: whose; it has a usage cap.
        :param units: what the request costs.
        """
        began = time.monotonic()
        try:
            return self._admit(account, units)
        finally:
            self.asks.observe({}, time.monotonic() - began)

    def give_back(self, grant: Grant) -> None:
        """Return the credit of a request that has not run and never will.

        :param grant: the credit.
        """
        self._spend(grant, -grant.units)
        if grant.lender == self.name:
            self._note(grant.account, -grant.units)
        elif grant.lender:
            self.peers.post(grant.lender, ReturnCredit(grant.account, grant.units))

    def _admit(
        self, account: client_accounts.ClientAccount, units: float
    ) -> result.Result[Grant, Refused]:
        for owner in self._askable(account.name):
            answer = self._ask(owner, AskCredit(account.name, units))
            if answer is None or not answer.lends:
                continue
            self._note_calm(account.name, answer.calm)
            if answer.wait_s:
                return result.Err(Over(answer.wait_s))
            return result.Ok(self._take(Grant(account.name, units, owner)))
        # One request may cost more than the reserve of a VM with few callers. A draw
        # lets all VMs together use what their reserves add up to.
        if random.uniform(0, units) > self._reserve(account):
            return result.Err(Unchecked())
        return result.Ok(self._take(Grant(account.name, units, "")))

    def _note_calm(self, account: str, calm: bool) -> None:
        if calm:
            self.calm_accounts.add(account)
        else:
            self.calm_accounts.discard(account)

    def _askable(self, account: str) -> list[str]:
        ranked = self.owners.ranked(f"cap {account}")
        return [vm for vm in ranked if not self.owners.is_silent(vm)][:MOST_ASKED]

    def _ask(self, owner: str, ask: AskCredit) -> Credit | None:
        if owner == self.name:
            return self._lend(ask)
        match self.owners.ask(owner, ask, REPLY_S, f"the cap of {ask.account}"):
            case Credit() as answer:
                return answer
        return None

    def _take(self, grant: Grant) -> Grant:
        self._spend(grant, grant.units)
        return grant

    def _spend(self, grant: Grant, units: float) -> None:
        self.spent[grant.account, grant.lender] += units
        kept = self.lent_by_account if grant.lender else self.reserve_by_account
        kept[grant.account].add(units)

    def _reserve(self, account: client_accounts.ClientAccount) -> float:
        """Return the units that this VM may still use without an owner.

        A window's use of all VMs is what the cap allows at most. If each of them
        exceeds its own part of it by the same share, all do together.
        """
        window_s = self.kernel.settings.bounds.cap_window_s
        allowed = account.cap.most_in(window_s)
        share = RESERVE_SHARE * self._excess(account.cap) / allowed
        if account.name in self.calm_accounts:
            share = max(share, CALM_S / window_s) if share else 0.0
        lent = self.lent_by_account[account.name].total()
        return share * lent - self.reserve_by_account[account.name].total()

    def _excess(self, cap: client_accounts.UsageCap) -> float:
        """Return the units by which a window's use may exceed a cap."""
        bounds = self.kernel.settings.bounds
        return bounds.cap_over * cap.most_in(bounds.cap_window_s) + bounds.cap_slack

    def _lend(self, ask: AskCredit) -> Credit:
        known = self._bucket(ask.account)
        if known is None or not self._may_lend():
            return Credit(False)
        wait_s = known.take(ask.units, time.monotonic())
        return Credit(True, wait_s, known.level > CALM_SHARE * known.cap.burst)

    def _may_lend(self) -> bool:
        candidates = self.owners.candidates()
        if self.name not in candidates:
            return False
        alone = len(candidates) == 1
        if alone and time.monotonic() - self.hears_since < ALONE_S:
            return False
        oldest = suspension.now() - HEARD_S
        heard = [
            vm
            for vm in candidates
            if vm == self.name or self.heard_at_by_vm.get(vm, 0.0) >= oldest
        ]
        if 2 * len(heard) <= len(candidates):
            return False
        fresh = self.freshness.age_s() <= LEND_AGE_S
        return fresh or self.freshness.shared_by_all()

    def _bucket(self, account: str) -> bucket.Bucket | None:
        """Return an account's bucket; None where it has no cap here."""
        current = self.declarations.current
        declared = current and current.accounts
        known = declared and declared.by_name.get(account)
        if not known or known.cap is None:
            return None
        kept = self.bucket_by_account.get(account)
        if kept is not None and kept.cap is known.cap:
            return kept
        grace = GRACE_SHARE * self._excess(known.cap)
        if kept is None:
            kept = bucket.Bucket(known.cap, self.hears_since, grace)
            self.bucket_by_account[account] = kept
        else:
            kept.change(known.cap, time.monotonic(), grace)
        return kept

    def _note(self, account: str, units: float) -> None:
        known = self._bucket(account)
        if known is not None:
            known.note(units, time.monotonic())

    def _serve(self, _: str, ask: AskCredit, answer: peers.Answer) -> None:
        answer(self._lend(ask))

    def _take_back(self, _: str, told: ReturnCredit, __: peers.Answer) -> None:
        self._note(told.account, -told.units)

    def _fill(self) -> dict:
        spent, self.spent = self.spent, collections.Counter()
        return {"spent": tuple((*key, units) for key, units in spent.items())}

    def _hear(self, vm: str, told: pulse.Pulse) -> None:
        """Count what others granted, for the case that this VM follows them."""
        if told.relayed:
            return
        self.heard_at_by_vm[vm] = suspension.now()
        if not self.is_candidate:
            return
        for account, lender, units in told.spent:
            if lender != self.name:
                self._note(account, units)

    def _follow_owners(self) -> None:
        """Begin anew where this VM comes to hear what is spent: with no credit."""
        candidates = self.owners.candidates()
        was_candidate = self.is_candidate
        self.is_candidate = self.name in candidates
        if self.is_candidate and not was_candidate:
            self.bucket_by_account.clear()
            self.hears_since = time.monotonic()
        for vm in self.heard_at_by_vm.keys() - set(candidates):
            del self.heard_at_by_vm[vm]

    def _amounts_by_account(self) -> collections.defaultdict[str, windows.Amounts]:
        seconds = self.kernel.settings.bounds.cap_window_s
        return collections.defaultdict(lambda: windows.Amounts(seconds))
