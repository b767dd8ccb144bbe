"""Retry budget: limits retries over all VMs.

Without it, failing endpoints would double the number of requests just when capacity is
short. For all VMs together, the deployment allows a share of a service's recent
requests plus a fixed number of retries. Each VM may use the share of its own requests
and an equal part of the fixed number. The divisor is the number of VMs that were live
recently: otherwise, each side of a network partition would use the whole fixed number.
"""

import collections

import logbook

from mothworks import kernel, logs
from mothworks_gateway import fleet_size, sliding_windows

log = logbook.Logger("retry_budget")

#: Share of the allowance that is used; the rest covers moments in which VMs disagree
#: on how many VMs there are.
ALLOWANCE_SHARE = 0.8


class RetryBudget(kernel.Part):
    """Counts requests and retries by service.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.fleet = node_kernel.get(fleet_size.FleetSize)
        self.requests_by_service = self._new_window_by_service()
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

        :param service: the service that the request is sent to.
        :param request_id: the request's id, for the log.
        """
        if not self.may_spend(service):
            return False
        self.retries_by_service[service].add()
        self.retries_total.inc({"service": service, "outcome": "charged"})
        logs.event(
            log,
            "retry charged",
            request=request_id,
            service=service,
            requests=self.requests_by_service[service].count(),
            retries=self.retries_by_service[service].count(),
            fleet=self.fleet.peak,
            left=int(self._left(service)),
            outcome="charged",
        )
        return True

    def may_spend(self, service: str) -> bool:
        """Return whether a retry of the budget is left.

        :param service: the service that the request is sent to.
        """
        if self._left(service) >= 1:
            return True
        self.retries_total.inc({"service": service, "outcome": "refused"})
        return False

    def _left(self, service: str) -> float:
        """Return the number of retries that this VM may still spend now."""
        retries = self.retries_by_service[service].count()
        requests = self.requests_by_service[service].count()
        bounds = self.kernel.settings.bounds
        slack_per_vm = bounds.retry_slack / self.fleet.peak
        allowed = ALLOWANCE_SHARE * (bounds.retry_share * requests + slack_per_vm)
        return allowed - retries

    def _new_window_by_service(
        self,
    ) -> collections.defaultdict[str, sliding_windows.WindowedCount]:
        seconds = self.kernel.settings.bounds.retry_window_s
        return collections.defaultdict(lambda: sliding_windows.WindowedCount(seconds))
