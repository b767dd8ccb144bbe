"""Retry budget: limits retries over all VMs.

Without it, failing endpoints would double the number of requests just when capacity is
short. For all VMs together, the deployment allows a share of a service's recent
requests plus a fixed number of retries. Each VM may use the share of its own requests,
which a process that starts has to earn anew. The fixed number is held by all VMs
together (:mod:`shared_retries`).
"""

import collections

import logbook

from mothworks import kernel, logs
from mothworks_gateway import shared_retries, sliding_windows

log = logbook.Logger("retry_budget")

#: Share of the allowance per request that is used; the rest covers requests that are
#: counted later than their retries.
ALLOWANCE_SHARE = 0.8


class RetryBudget(kernel.Part):
    """Counts requests and retries by service.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.shared = node_kernel.get(shared_retries.SharedRetries)
        self.requests_by_service = self._new_window_by_service()
        #: Retries that were charged to the share of this VM's requests.
        self.retries_by_service = self._new_window_by_service()
        self.retries_total = node_kernel.metrics.counter(
            "retries_total", "Retries that the budget allowed or refused."
        )

    def add_request(self, service: str) -> None:
        """Count a caller's request towards the budget.

        :param service: the service that runs it.
        """
        self.requests_by_service[service].add()

    def try_spend(self, service: str, request_id: str) -> bool:
        """Spend one retry of the budget; returns whether one was left.

        It may wait for another VM's reply.

        :param service: the service that the request is sent to.
        :param request_id: the request's id, for the log.
        """
        if self._left(service) >= 1:
            self.retries_by_service[service].add()
            self._record(service, request_id, "", int(self._left(service)))
            return True
        grant = self.shared.acquire(service)
        if grant is None:
            self._count(service, "refused")
            return False
        self._record(service, request_id, grant.granter, grant.left)
        return True

    def may_spend(self, service: str) -> bool:
        """Return whether a retry of the budget may be left.

        :param service: the service that the request is sent to.
        """
        if self._left(service) >= 1 or self.shared.may_acquire(service):
            return True
        self._count(service, "refused")
        return False

    def _left(self, service: str) -> float:
        """Return the retries that are left of the share of this VM's requests."""
        requests = self.requests_by_service[service].count()
        share = ALLOWANCE_SHARE * self.kernel.settings.bounds.retry_share
        return share * requests - self.retries_by_service[service].count()

    def _record(self, service: str, request_id: str, granter: str, left: int) -> None:
        self._count(service, "charged")
        logs.event(
            log,
            "retry charged",
            request=request_id,
            service=service,
            requests=self.requests_by_service[service].count(),
            retries=self.retries_by_service[service].count(),
            granter=granter,
            left=left,
            outcome="charged to the fixed number" if granter else "charged to requests",
        )

    def _count(self, service: str, outcome: str) -> None:
        self.retries_total.inc({"service": service, "outcome": outcome})

    def _new_window_by_service(
        self,
    ) -> collections.defaultdict[str, sliding_windows.WindowedCount]:
        seconds = self.kernel.settings.bounds.retry_window_s
        return collections.defaultdict(lambda: sliding_windows.WindowedCount(seconds))
