"""Deletes audit objects that have passed their retention time.

One VM of the deployment, selected by rendezvous hashing, does this.
"""

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

#: Interval between passes, seconds.
PASS_INTERVAL_S = 3600.0
#: A pass deletes the objects of this many days before the oldest retained day,
#: which covers up to as many days without a pass.
LOOKBACK_DAYS = 14
#: Maximum number of deletions per pass, so that they stay a small share of the
#: object API's writes.
MAX_DELETIONS = 500
SECONDS_PER_DAY = 86_400.0


@plugins.register(plugins.PART, "audit_retention")
class AuditRetention(kernel.Part):
    """Deletes expired objects each hour while this VM is the selected one.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.api = node_kernel.get(objects.Objects).api
        self.configuration = node_kernel.get(configuration.Configuration)
        self.membership = node_kernel.get(membership.Membership)

    def start(self) -> None:
        """Start the hourly passes."""
        self.tasks.every(PASS_INTERVAL_S, self._delete_if_selected)

    def delete_expired(self, today: datetime.date) -> int:
        """Delete the objects that are older than the catalogue's retention time.

        :param today: the current date, UTC.
        :returns: the number of deleted objects.
        """
        retention_s = self.configuration.index.catalogue.retention.audit_s
        oldest_retained = today - datetime.timedelta(
            days=int(retention_s // SECONDS_PER_DAY)
        )
        deleted = 0
        for days_back in range(1, LOOKBACK_DAYS + 1):
            day = oldest_retained - datetime.timedelta(days=days_back)
            listing = self.api.list(f"{audit.PREFIX}{day}/")
            if listing.is_err():
                log.info("expired audit objects were not deleted: {}", listing.err())
                return deleted
            for key, version in listing.ok().items():
                if deleted >= MAX_DELETIONS:
                    return deleted
                # An object that was deleted or changed meanwhile is left to a later
                # pass.
                if isinstance(self.api.delete(key, version), result.Ok):
                    deleted += 1
        return deleted

    def _delete_if_selected(self) -> None:
        selected = ownership.rendezvous_owner("audit", self.membership.live())
        if selected is not None and selected.name == self.kernel.settings.name:
            self.delete_expired(datetime.datetime.now(datetime.UTC).date())
