"""The placement map: which endpoints answer for a model now.

Each endpoint's owner announces its state when it changes. Every VM keeps
the newest announcement of each endpoint and an index by model.
"""

import enum
import random
import time

import attrs

from mothworks import configuration, kernel, membership, messages, peers, plugins

#: Seconds between exchanges with a random peer.
REPAIR_S = 1.0


class EndpointState(enum.StrEnum):
    """Whether an endpoint takes new work."""

    OPEN = "open"
    DRAINING = "draining"
    DOWN = "down"


@messages.message(20)
@attrs.frozen
class EndpointStatus:
    """An owner's announcement about one endpoint.

    :param endpoint: its name.
    :param sequence: larger is newer, also across owners.
    :param state: an :class:`EndpointState`.
    :param models: names of its resident models and adapters.
    """

    endpoint: str
    sequence: int
    state: str
    models: tuple[str, ...] = attrs.field(converter=tuple)


@plugins.register(plugins.PART, "placement")
class Placement(kernel.Part):
    """Keeps the newest status of every endpoint.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.membership = node_kernel.get(membership.Membership)
        self.peers = node_kernel.get(peers.Peers)
        self.status_by_endpoint: dict[str, EndpointStatus] = {}
        self.endpoints_by_model: dict[str, set[str]] = {}
        self.peers.handle(EndpointStatus, self._receive)

    def start(self) -> None:
        """Start to repair what announcements missed."""
        self.tasks.every(REPAIR_S, self._repair)

    def announce(
        self, endpoint: str, state: EndpointState, models: tuple[str, ...]
    ) -> None:
        """Tell every VM about an endpoint, if anything changed.

        :param endpoint: an endpoint that this VM owns.
        :param state: whether it takes new work.
        :param models: names of its resident models and adapters.
        """
        known = self.status_by_endpoint.get(endpoint)
        if known is not None and (known.state, known.models) == (state, models):
            return
        # Wall time lets a new owner, which may not have heard the last
        # announcement, go on above it; the maximum covers clock steps.
        floor = known.sequence + 1 if known else 0
        sequence = max(floor, time.time_ns() // 1_000_000)
        status = EndpointStatus(endpoint, sequence, state, models)
        self.take(status)
        self.peers.send_all(status)

    def take(self, status: EndpointStatus) -> bool:
        """Keep a status if it is newer than the one known.

        :param status: an announcement.
        :returns: whether it was newer.
        """
        known = self.status_by_endpoint.get(status.endpoint)
        if known is not None and known.sequence >= status.sequence:
            return False
        for model in known.models if known else ():
            self.endpoints_by_model[model].discard(status.endpoint)
        for model in status.models:
            self.endpoints_by_model.setdefault(model, set()).add(status.endpoint)
        self.status_by_endpoint[status.endpoint] = status
        return True

    def open_endpoints(self, target: str) -> list[str]:
        """Return the endpoints that take new work for a target.

        :param target: a model, adapter or service.
        """
        names = self.candidates(target)
        return [name for name in names if not self.why_closed(name)]

    def candidates(self, target: str) -> list[str]:
        """Return the endpoints that have a target, open or not.

        :param target: a model, adapter or service.
        """
        by_service = self.configuration.index.endpoints_by_service
        if target in by_service:
            return [endpoint.name for endpoint in by_service[target]]
        return sorted(self.endpoints_by_model.get(target, ()))

    def why_closed(self, name: str) -> str:
        """Return why an endpoint takes no new work; empty where it does.

        :param name: the endpoint's name.
        """
        status = self.status_by_endpoint.get(name)
        declared = self.configuration.index.endpoint_by_name.get(name)
        if declared is None:
            return "not declared"
        if declared.drain:
            return "drained by an operator"
        if name in self.membership.leaving_endpoints:
            return "its VM is leaving"
        if status is None:
            return "no report from its owner yet"
        if status.state != EndpointState.OPEN:
            return status.state
        return ""

    def _repair(self) -> None:
        # An announcement is lost on a VM that joins later or was cut off:
        # it would never route to the endpoint. A random exchange reaches it.
        others = self.membership.peers()
        if others:
            peer = random.choice(others).name
            for status in list(self.status_by_endpoint.values()):
                self.peers.send(peer, status)

    def _receive(self, _: str, status: EndpointStatus, __: peers.Answer) -> None:
        self.take(status)
