"""Deletes audit objects whose time is over; one VM of all does it."""

import datetime

import logbook
import result

from mothworks import (
    audit,
    configuration,
    kernel,
    membership,
    objects,
    ownership,
    plugins,
)

log = logbook.Logger("audit")

#: Seconds between passes.
PERIOD_S = 3600.0
#: Days before the oldest kept day that a pass looks at, for the case that no
#: VM made a pass for that long.
DAYS = 14
#: Most deletions of one pass, so that they stay a small share of the writes.
MOST = 500
DAY_S = 86_400.0


@plugins.register(plugins.PART, "audit_retention")
class AuditRetention(kernel.Part):
    """Makes a pass each hour where this VM is the one to do it.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.api = node_kernel.get(objects.Objects).api
        self.configuration = node_kernel.get(configuration.Configuration)
        self.membership = node_kernel.get(membership.Membership)

    def start(self) -> None:
        """Start to make passes."""
        self.tasks.every(PERIOD_S, self._pass_if_chosen)

    def clean(self, today: datetime.date) -> int:
        """Delete what is older than the catalogue's retention.

        :param today: the present day, UTC.
        :returns: how many objects were deleted.
        """
        kept_s = self.configuration.index.catalogue.retention.audit_s
        oldest = today - datetime.timedelta(days=int(kept_s // DAY_S))
        deleted = 0
        for back in range(1, DAYS + 1):
            day = oldest - datetime.timedelta(days=back)
            listed = self.api.list(f"{audit.PREFIX}{day}/")
            if listed.is_err():
                log.info("old audit objects stay: {}", listed.err())
                return deleted
            for key, version in listed.ok().items():
                if deleted >= MOST:
                    return deleted
                # One that is gone or changed already is met again next time.
                if isinstance(self.api.delete(key, version), result.Ok):
                    deleted += 1
        return deleted

    def _pass_if_chosen(self) -> None:
        chosen = ownership.highest("audit", self.membership.live())
        if chosen is not None and chosen.name == self.kernel.settings.name:
            self.clean(datetime.datetime.now(datetime.UTC).date())
