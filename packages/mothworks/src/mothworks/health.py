"""Health of the endpoints that this VM owns.

One task asks each owned endpoint for its report and announces what changed.
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

#: Seconds between reports of one endpoint.
PERIOD_S = 1.0
#: Failed reports in a row after which an endpoint counts as down.
FAILURES_UNTIL_DOWN = 2


class Adapters:
    """The endpoint plug-ins of one node, built on first use."""

    def __init__(self):
        self.by_kind: dict[str, endpoints.Adapter] = {}

    def get(self, kind: str) -> endpoints.Adapter:
        """Return the adapter that is mounted for a kind.

        :param kind: an endpoint's kind.
        """
        adapter = self.by_kind.get(kind)
        if adapter is None:
            adapter = plugins.find(plugins.ENDPOINT, kind)()
            self.by_kind[kind] = adapter
        return adapter


@plugins.register(plugins.PART, "health")
class Health(kernel.Part):
    """Watches owned endpoints.

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
        #: Models and adapters that are resident but about to be unloaded.
        self.withheld_by_endpoint: dict[str, frozenset[str]] = {}
        #: Functions to call after :meth:`owned` changed, without arguments.
        self.on_owned: list = []
        self.configuration.on_change.append(self.assign)
        self.membership.on_change.append(self.assign)

    def start(self) -> None:
        """Start to watch what this VM owns."""
        self.assign()

    def owner(self, endpoint: catalogue.Endpoint) -> members.Member | None:
        """Return the VM that owns an endpoint now.

        :param endpoint: the endpoint.
        """
        return self.ownership.owner(endpoint)

    def owned(self) -> frozenset[str]:
        """Return the names of the endpoints that this VM owns."""
        return frozenset(self.task_by_endpoint)

    def withhold(self, name: str, models: frozenset[str]) -> None:
        """Announce that an endpoint no longer answers for some residents.

        :param name: an owned endpoint.
        :param models: its models and adapters that get no new requests; empty
            offers all of them again.
        """
        self.withheld_by_endpoint[name] = models
        report = self.report_by_endpoint.get(name)
        if report is not None:
            self._announce(name, report)

    def refresh(self, name: str) -> bool:
        """Ask an owned endpoint for its report now and announce it.

        :param name: an owned endpoint.
        :returns: whether it answered.
        """
        endpoint = self.configuration.index.endpoint_by_name.get(name)
        if endpoint is None:
            return False
        match self.adapters.get(endpoint.kind).report(endpoint):
            case result.Ok(report) if name in self.task_by_endpoint:
                self.report_by_endpoint[name] = report
                self._announce(name, report)
                return True
        return False

    def assign(self) -> None:
        """Start and stop watches so that they fit what this VM owns."""
        own_name = self.kernel.settings.name
        self.ownership.update(self.configuration.index, self.membership.live())
        owned = set()
        for endpoint in self.configuration.index.catalogue.endpoints:
            owner = self.owner(endpoint)
            if owner is not None and owner.name == own_name:
                owned.add(endpoint.name)
        before = self.owned()
        for name in before - owned:
            self.task_by_endpoint.pop(name).kill(block=False)
            self.report_by_endpoint.pop(name, None)
            self._record_ownership(name, "gave up ownership")
            self.withheld_by_endpoint.pop(name, None)
        for name in owned - before:
            self.task_by_endpoint[name] = self.tasks.spawn(self._watch, name)
            self._record_ownership(name, "took ownership")
        if owned != before:
            for notify in self.on_owned:
                notify()

    def _record_ownership(self, name: str, what: str) -> None:
        why = f"{len(self.membership.live())} live VMs"
        revision = self.configuration.revision
        self.audit.record(
            audit.Kind.OWNERSHIP, name, what, why, before=revision, after=revision
        )

    def _watch(self, name: str) -> None:
        failures = 0
        while True:
            endpoint = self.configuration.index.endpoint_by_name.get(name)
            if endpoint is None:
                return
            match self.adapters.get(endpoint.kind).report(endpoint):
                case result.Ok(report):
                    failures = 0
                    self.report_by_endpoint[name] = report
                    self._announce(name, report)
                case result.Err(reason):
                    failures += 1
                    log.debug("{}: {}", name, reason)
                    if failures == FAILURES_UNTIL_DOWN:
                        log.warning("{} is down: {}", name, reason)
                        self.placement.announce(name, placement.EndpointState.DOWN, ())
            gevent.sleep(PERIOD_S)

    def _announce(self, name: str, report: endpoints.Report) -> None:
        state = placement.EndpointState.OPEN
        if report.draining:
            state = placement.EndpointState.DRAINING
        withheld = self.withheld_by_endpoint.get(name, frozenset())
        resident = {item.name for item in report.residents}
        models = tuple(sorted(resident - withheld))
        self.placement.announce(name, state, models)
