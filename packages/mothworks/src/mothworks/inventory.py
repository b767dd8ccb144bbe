"""Inventory: rows built from this VM's own state, without calls to other VMs."""

import collections

import gevent

from mothworks import (
    catalogue,
    configuration,
    health,
    kernel,
    membership,
    placement,
    row_classes,
)

#: Endpoints after which a long listing yields to other tasks. Finding an owner
#: hashes every VM of a data centre: with 4,700 endpoints, a listing that does
#: not yield delays requests by a considerable part of a second.
YIELD_EVERY = 20


class Inventory(kernel.Part):
    """Lists models, endpoints, callers and VMs.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.health = node_kernel.get(health.Health)
        self.membership = node_kernel.get(membership.Membership)
        self.placement = node_kernel.get(placement.Placement)

    def models(self) -> list[row_classes.ModelRow]:
        """Return the declared models and adapters."""
        index = self.configuration.index
        items = (*index.model_by_name.values(), *index.adapter_by_name.values())
        return [self.model(item) for item in items]

    def model(self, item: catalogue.Model | catalogue.Adapter) -> row_classes.ModelRow:
        """Return the row of one model or adapter.

        :param item: its declaration.
        """
        names = self.placement.endpoints_holding(item.name)
        open_names = [name for name in names if not self.placement.closed_reason(name)]
        base = item.model if isinstance(item, catalogue.Adapter) else ""
        declared = self.configuration.index.model_by_name.get(base or item.name)
        version = declared.version if declared else ""
        return row_classes.ModelRow(
            model=item.name,
            base=base,
            version=version,
            memory_mb=item.memory_mb,
            replicas=len(names),
            open=len(open_names),
            endpoints=tuple(names),
        )

    def endpoints(self) -> list[row_classes.EndpointRow]:
        """Return the declared endpoints; yields to other tasks in between."""
        rows = []
        for position, item in enumerate(self.configuration.index.catalogue.endpoints):
            if position % YIELD_EVERY == 0:
                gevent.sleep(0)
            rows.append(self.endpoint(item))
        return rows

    def endpoint(self, item: catalogue.Endpoint) -> row_classes.EndpointRow:
        """Return the row of one endpoint.

        :param item: its declaration.
        """
        status = self.placement.status_by_endpoint.get(item.name)
        owner = self.health.owner(item)
        return row_classes.EndpointRow(
            endpoint=item.name,
            kind=item.kind,
            data_centre=item.data_centre,
            owner=owner.name if owner else "",
            state=status.state if status else "unknown",
            drain=item.drain,
            leaving=item.name in self.membership.leaving_endpoints,
            memory_mb=item.memory_mb,
            models=tuple(status.models) if status else (),
        )

    def callers(self) -> list[row_classes.CallerRow]:
        """Return the declared callers, without the hashes of their keys."""
        return [
            row_classes.CallerRow(
                caller=item.name,
                urgency=item.urgency,
                first_token_ms=item.first_token_ms,
                between_tokens_ms=item.between_tokens_ms,
                models=item.models,
                share=item.share,
            )
            for item in self.configuration.index.catalogue.callers
        ]

    def peers(self) -> list[row_classes.PeerRow]:
        """Return the live VMs; yields to other tasks in between."""
        owned = collections.Counter(row.owner for row in self.endpoints())
        return [
            row_classes.PeerRow(
                vm=member.name,
                address=member.address,
                port=member.port,
                peer_port=member.peer_port,
                data_centre=member.data_centre,
                region=member.region,
                leaving=member.leaving,
                endpoints=owned[member.name],
            )
            for member in self.membership.live()
        ]

    def accelerators(self) -> int:
        """Return the number of accelerators of the endpoints that accept work."""
        return sum(
            item.accelerators
            for item in self.configuration.index.catalogue.endpoints
            if not self.placement.closed_reason(item.name)
        )
