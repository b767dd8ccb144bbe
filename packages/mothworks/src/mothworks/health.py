"""Monitors the health of the endpoints that this VM owns.

One task per owned endpoint polls its report and publishes the endpoint's state.
"""

import gevent
import logbook
import result

from mothworks import (
    audit,
    catalogue,
    configuration,
    endpoints,
    kernel,
    members,
    membership,
    ownership,
    placement,
    plugins,
)

log = logbook.Logger("health")

#: Seconds between polls of one endpoint's report.
REPORT_INTERVAL_S = 1.0
#: Consecutive failed polls after which an endpoint counts as down.
FAILURES_UNTIL_DOWN = 2


class Adapters:
    """The endpoint adapters of one node, created on first use."""

    def __init__(self):
        self.adapter_by_kind: dict[str, endpoints.Adapter] = {}

    def get(self, kind: str) -> endpoints.Adapter:
        """Return the adapter of a kind.

        :param kind: an endpoint's kind.
        """
        adapter = self.adapter_by_kind.get(kind)
        if adapter is None:
            adapter = plugins.find(plugins.ENDPOINT, kind)()
            self.adapter_by_kind[kind] = adapter
        return adapter


@plugins.register(plugins.PART, "health")
class Health(kernel.Part):
    """Polls owned endpoints and publishes their state.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.membership = node_kernel.get(membership.Membership)
        self.placement = node_kernel.get(placement.Placement)
        self.audit = node_kernel.get(audit.Audit)
        self.adapters = Adapters()
        self.ownership = ownership.Ownership()
        self.report_by_endpoint: dict[str, endpoints.Report] = {}
        self.task_by_endpoint: dict[str, gevent.Greenlet] = {}
        #: Resident models and adapters that are about to be unloaded.
        self.withheld_by_endpoint: dict[str, frozenset[str]] = {}
        #: Functions called without arguments after :meth:`owned` changed.
        self.on_owned_changed: list = []
        self.configuration.change_callbacks.append(self.update_owned)
        self.membership.on_change.append(self.update_owned)

    def start(self) -> None:
        """Start to poll the endpoints that this VM owns."""
        self.update_owned()

    def owner(self, endpoint: catalogue.Endpoint) -> members.Member | None:
        """Return the VM that owns an endpoint now.

        :param endpoint: the endpoint.
        """
        return self.ownership.owner(endpoint)

    def owned(self) -> frozenset[str]:
        """Return the names of the endpoints that this VM owns."""
        return frozenset(self.task_by_endpoint)

    def withhold(self, name: str, models: frozenset[str]) -> None:
        """Publish that an endpoint no longer serves some of its models.

        :param name: an owned endpoint.
        :param models: resident models and adapters that get no new requests; empty
            to make all of them available again.
        """
        self.withheld_by_endpoint[name] = models
        report = self.report_by_endpoint.get(name)
        if report is not None:
            self._publish(name, report)

    def report_now(self, name: str) -> bool:
        """Fetch an owned endpoint's report now and publish its state.

        :param name: an owned endpoint.
        :returns: whether the endpoint is owned and sent a report.
        """
        endpoint = self.configuration.index.endpoint_by_name.get(name)
        if endpoint is None:
            return False
        match self.adapters.get(endpoint.kind).report(endpoint):
            case result.Ok(report) if name in self.task_by_endpoint:
                self.report_by_endpoint[name] = report
                self._publish(name, report)
                return True
        return False

    def update_owned(self) -> None:
        """Start and stop polling tasks after ownership may have changed."""
        own_name = self.kernel.settings.name
        self.ownership.update(self.configuration.index, self.membership.live())
        owned = set()
        for endpoint in self.configuration.index.catalogue.endpoints:
            owner = self.owner(endpoint)
            if owner is not None and owner.name == own_name:
                owned.add(endpoint.name)
        previously_owned = self.owned()
        for name in previously_owned - owned:
            self.task_by_endpoint.pop(name).kill(block=False)
            self.report_by_endpoint.pop(name, None)
            self._record_ownership(name, "gave up ownership")
            self.withheld_by_endpoint.pop(name, None)
        for name in owned - previously_owned:
            self.task_by_endpoint[name] = self.tasks.spawn(self._poll, name)
            self._record_ownership(name, "took ownership")
        if owned != previously_owned:
            for notify in self.on_owned_changed:
                notify()

    def _record_ownership(self, name: str, what: str) -> None:
        why = f"{len(self.membership.live())} live VMs"
        revision = self.configuration.revision
        self.audit.record(
            audit.Kind.OWNERSHIP, name, what, why, before=revision, after=revision
        )

    def _poll(self, name: str) -> None:
        failures = 0
        while True:
            endpoint = self.configuration.index.endpoint_by_name.get(name)
            if endpoint is None:
                return
            match self.adapters.get(endpoint.kind).report(endpoint):
                case result.Ok(report):
                    failures = 0
                    self.report_by_endpoint[name] = report
                    self._publish(name, report)
                case result.Err(reason):
                    failures += 1
                    log.debug("{}: {}", name, reason)
                    if failures == FAILURES_UNTIL_DOWN:
                        log.warning("{} is down: {}", name, reason)
                        self.placement.announce(name, placement.EndpointState.DOWN, ())
            gevent.sleep(REPORT_INTERVAL_S)

    def _publish(self, name: str, report: endpoints.Report) -> None:
        state = placement.EndpointState.OPEN
        if report.draining:
            state = placement.EndpointState.DRAINING
        withheld = self.withheld_by_endpoint.get(name, frozenset())
        resident = {item.name for item in report.residents}
        models = tuple(sorted(resident - withheld))
        self.placement.announce(name, state, models)
