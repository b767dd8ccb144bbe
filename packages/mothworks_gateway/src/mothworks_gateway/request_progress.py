"""The attempts at a request so far."""

import math
import typing

import attrs


@attrs.define
class RequestProgress:
    """The attempts at a request so far, over all VMs.

    :param tried: ids of the endpoints that it was sent to.
    :param may_have_run: whether one of them may have run it.
    :param sends: number of attempts by this VM.
    :param reason: why the last attempt failed.
    :param withheld: whether this VM withheld the last attempt, so that no endpoint got
        it.
    :param unreachable: whether no connection to the last endpoint could be opened.
    :param broken_peers: VMs that it was forwarded to and whose answers broke off.
    :param forwarded: whether another VM forwarded it to this one, which then must not
        forward it again.
    :param wait_until: monotonic time until which the forwarding VM lets it wait.
    :param grant: the next attempt, if it was granted while the last one ran; see
        :class:`retry_grants.RetryGrant`.
    :param owes_retry: whether the next attempt is a retry that is not charged yet.
    """

    tried: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    sends: int = 0
    reason: str = "no endpoint"
    withheld: bool = False
    unreachable: bool = False
    broken_peers: set[str] = attrs.field(factory=set)
    forwarded: bool = False
    wait_until: float = math.inf
    grant: typing.Any = None
    owes_retry: bool = False
