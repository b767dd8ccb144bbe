"""Fleet size: how many VMs are live, and the recent peak of that number.

Each side of a partition considers the VMs of the other side dead. What it uses of the
fleet's budgets must still leave the other side its share.
"""

from mothworks import kernel, membership
from mothworks_gateway import boot_clock

#: Time for which the peak is retained while a majority of those VMs is still live,
#: seconds: longer than a partition that callers should notice.
PEAK_RETENTION_S = 60.0
#: The same while only a minority is live, seconds: it is more likely that this VM is on
#: the smaller side of a partition than that so many VMs are gone for good.
MINORITY_PEAK_RETENTION_S = 600.0


class FleetSize(kernel.Part):
    """Counts the VMs of this VM's region.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.membership = node_kernel.get(membership.Membership)
        self.membership.on_change.append(self._update)
        #: Number of live VMs, including this one.
        self.live = 1
        #: Recent peak of live VMs.
        self._peak = 1
        #: Time at which so many were last live, on the clock of :func:`boot_clock.now`.
        self._peak_at = boot_clock.now()
        self._update()

    @property
    def peak(self) -> int:
        """Return the recent peak of live VMs, including this one."""
        now = boot_clock.now()
        is_minority = 2 * self.live <= self._peak
        retention_s = MINORITY_PEAK_RETENTION_S if is_minority else PEAK_RETENTION_S
        if self.live >= self._peak:
            self._peak_at = now
        elif now - self._peak_at > retention_s:
            self._peak, self._peak_at = self.live, now
        return self._peak

    def learn_peak(self, peak: int) -> None:
        """Take over the peak that another VM has seen, if it is higher.

        :param peak: its peak.
        """
        if peak > self.peak:
            self._peak, self._peak_at = peak, boot_clock.now()

    def _update(self) -> None:
        """Update the counts after membership changed."""
        # The property first settles the peak with the count from before this change.
        peak = self.peak
        self.live = 1 + len(self.membership.region_peers())
        if self.live >= peak:
            self._peak, self._peak_at = self.live, boot_clock.now()
