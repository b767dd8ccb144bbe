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
    :param connection: number of the connection that brought the last answer; 0 if the
        last attempt got none.
    :param reason: why the last attempt failed.
    :param withheld: whether this VM withheld the last attempt, so that no endpoint got
        it.
    :param unreachable: whether no connection to the last endpoint could be opened.
    :param broken_peers: VMs that it was forwarded to and whose answers broke off, or
        whose endpoints refused it.
    :param forwarded: whether another VM forwarded it to this one, which then must not
        forward it again.
    :param wait_until: monotonic time until which the forwarding VM lets it wait.
    :param admission: its place at the endpoint of the attempt in progress, as a
        :class:`queue_client.Admission`; None without a queue.
    :param grant: the next attempt, if it was granted while the last one ran; see
        :class:`retry_grants.RetryGrant`.
    :param owes_retry: whether the next attempt is a retry that is not charged yet.
    """

    tried: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    sends: int = 0
    connection: int = 0
    reason: str = "no endpoint"
    withheld: bool = False
    unreachable: bool = False
    broken_peers: set[str] = attrs.field(factory=set)
    forwarded: bool = False
    wait_until: float = math.inf
    admission: typing.Any = None
    grant: typing.Any = None
    owes_retry: bool = False
    _newly_tried: str = attrs.field(default="", init=False)

    def count_endpoint(self, endpoint_id: str) -> None:
        """Count an endpoint that the request is about to be sent to.

        :param endpoint_id: the endpoint.
        """
        self._newly_tried = "" if endpoint_id in self.tried else endpoint_id
        self.tried.add(endpoint_id)

    def uncount_endpoint(self) -> None:
        """Uncount the last endpoint, which got nothing, unless it counted before."""
        self.tried.discard(self._newly_tried)

    @property
    def is_granted(self) -> bool:
        """Return whether the owner of a queue granted the attempt in progress."""
        return self.admission is not None and self.admission.is_granted

    def began(self, seconds: float) -> None:
        """Record that the answer of the attempt in progress has begun.

        :param seconds: time from sending the request until then.
        """
        if self.admission is not None:
            self.admission.began(seconds)

    def was_full(self) -> None:
        """Record that the endpoint of the attempt in progress had no room."""
        if self.admission is not None:
            self.admission.was_full()

    def release(self) -> None:
        """Release the place of the attempt in progress, if it has one."""
        admission, self.admission = self.admission, None
        if admission is None:
            return
        if self.withheld or self.unreachable:
            admission.withdraw()
        else:
            admission.ended()

    def withdraw(self) -> None:
        """Release the place of an attempt that was not sent, if it has one."""
        admission, self.admission = self.admission, None
        if admission is not None:
            admission.withdraw()
