"""The catalogue: what operators declare, the same for every VM.

Models, adapters, versions, services, callers, endpoints, and how this
deployment weighs attainment against moves. The file is JSON with comments;
it is checked whole, and nothing of a wrong catalogue is taken.
"""

import collections
import collections.abc
import enum
import functools

import attrs

from mothworks import settings

#: Least longest delay of an order, seconds: an owner's pause between its last
#: look at a ledger and its order is part of it.
LEAST_LATE_ORDER_S = 5.0


class Urgency(enum.StrEnum):
    """Class of a caller's work; a lower rank goes first."""

    URGENT = "urgent"
    STANDARD = "standard"
    BULK = "bulk"

    @property
    def rank(self) -> int:
        """Return the order among classes, 0 first."""
        return list(Urgency).index(self)


@attrs.frozen
class DataCentre:
    """A data centre and the region it stands in.

    :param name: its name, which settings and endpoints use.
    :param region: the region's name.
    """

    name: str
    region: str


@attrs.frozen
class Model:
    """A model that must always answer its callers.

    :param name: as callers name it.
    :param memory_mb: weights in accelerator memory, MB.
    :param working_mb: least room for KV cache beside the weights, MB.
    :param version: a new value rolls the model over to new weights.
    :param replicas: fewest resident replicas.
    """

    name: str
    memory_mb: int = attrs.field(validator=settings.check_positive)
    working_mb: int = 0
    version: str = "1"
    replicas: int = attrs.field(default=1, validator=settings.check_positive)


@attrs.frozen
class Adapter:
    """An adapter (LoRA) of a model; callers name it like a model.

    :param name: as callers name it.
    :param model: the model it adapts.
    :param memory_mb: its accelerator memory, MB.
    """

    name: str
    model: str
    memory_mb: int = attrs.field(validator=settings.check_positive)


@attrs.frozen
class Service:
    """A plain service beside the engines.

    :param name: as in the path ``/services/<name>/``.
    :param repeatable: whether a call may run twice.
    """

    name: str
    repeatable: bool = False


@attrs.frozen
class Caller:
    """Someone who may call, and how urgent their work is.

    :param name: the caller's name.
    :param key_sha256: hash of the caller's key.
    :param urgency: class of all the caller's work.
    :param first_token_ms: target for the first token, milliseconds.
    :param between_tokens_ms: target between tokens, milliseconds.
    :param models: models, adapters and services allowed; empty allows all.
    :param share: largest share of any queue the caller may fill, 0 to 1.
    """

    name: str
    key_sha256: str = attrs.field(validator=settings.check_key_hash)
    urgency: Urgency = Urgency.STANDARD
    first_token_ms: int = attrs.field(default=1600, validator=settings.check_positive)
    between_tokens_ms: int = attrs.field(default=35, validator=settings.check_positive)
    models: tuple[str, ...] = ()
    share: float = 1.0


@attrs.frozen
class Endpoint:
    """A back end: a model engine, or an instance of a plain service.

    :param name: its name, and that of its VM in the platform's list.
    :param kind: the plug-in that speaks its protocol.
    :param address: its IP number.
    :param port: its TCP port.
    :param data_centre: where it runs.
    :param memory_mb: accelerator memory for models, MB; 0 for services.
    :param accelerators: how many accelerators it uses.
    :param fencing: whether it refuses orders with an old fencing number.
    :param service: the plain service it is an instance of.
    :param slots: most requests at a time, before the limit adapts.
    :param drain: it gets no new work, so that it can be taken away.
    :param priorities: whether it lets urgent requests go first, and pauses less
        urgent ones for them.
    """

    name: str
    kind: str
    address: str = attrs.field(validator=settings.check_ip_address)
    port: int = attrs.field(validator=settings.check_port)
    data_centre: str
    memory_mb: int = 0
    accelerators: int = 0
    fencing: bool = True
    service: str | None = None
    slots: int = attrs.field(default=16, validator=settings.check_positive)
    drain: bool = False
    priorities: bool = True


@attrs.frozen
class Weights:
    """How the deployment weighs its two measures, and its weight store.

    :param attainment: worth of one more request per second in target.
    :param moves: cost of one load, unload or relocation.
    :param loads_per_s: loads that the store starts each second.
    :param parallel_loads: loads that the store runs at full speed.
    :param late_order_s: longest delay of a copy of an order on its way to an
        endpoint, seconds; memory is kept for it that long. It bounds the
        pause of a VM between its last look at a ledger and its order too.
    """

    attainment: float = 1.0
    moves: float = 1.0
    loads_per_s: float = attrs.field(default=2.0, validator=settings.check_positive)
    parallel_loads: int = attrs.field(default=8, validator=settings.check_positive)
    late_order_s: float = attrs.field(default=30.0)

    @late_order_s.validator
    def _covers_a_pause(self, attribute: attrs.Attribute, value: float) -> None:
        if value < LEAST_LATE_ORDER_S:
            raise ValueError(
                f"late_order_s: expected at least {LEAST_LATE_ORDER_S:g}, found {value}"
            )


@attrs.frozen
class Retention:
    """How long what the system keeps for callers is kept.

    :param claims_s: time for which a resend with the same Idempotency-Key
        is recognised, seconds.
    :param deferred_s: time for which the answer of deferred work can be
        fetched, seconds.
    :param quarantine_s: time for which a request that crashed endpoints is
        refused, seconds.
    :param audit_s: time for which the audit trail is kept, seconds.
    """

    claims_s: float = attrs.field(default=86_400.0, validator=settings.check_positive)
    deferred_s: float = attrs.field(default=86_400.0, validator=settings.check_positive)
    quarantine_s: float = attrs.field(
        default=3_600.0, validator=settings.check_positive
    )
    audit_s: float = attrs.field(
        default=90 * 86_400.0, validator=settings.check_positive
    )


@attrs.frozen
class Catalogue:
    """Everything that operators declare.

    :param data_centres: data centres and their regions.
    :param models: models by declaration.
    :param adapters: adapters of those models.
    :param services: plain services.
    :param callers: who may call.
    :param endpoints: all back ends.
    :param weights: how measures are weighed.
    :param retention: how long what is kept for callers is kept.
    """

    data_centres: tuple[DataCentre, ...] = ()
    models: tuple[Model, ...] = ()
    adapters: tuple[Adapter, ...] = ()
    services: tuple[Service, ...] = ()
    callers: tuple[Caller, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    weights: Weights = Weights()
    retention: Retention = Retention()


class Index:
    """A catalogue's items by name, built once per revision.

    :param catalogue: a checked catalogue.
    """

    def __init__(self, catalogue: Catalogue):
        self.catalogue = catalogue
        self.region_by_data_centre = {
            item.name: item.region for item in catalogue.data_centres
        }
        self.model_by_name = {item.name: item for item in catalogue.models}
        self.adapter_by_name = {item.name: item for item in catalogue.adapters}
        self.service_by_name = {item.name: item for item in catalogue.services}
        self.caller_by_name = {item.name: item for item in catalogue.callers}
        self.endpoint_by_name = {item.name: item for item in catalogue.endpoints}

    @functools.cached_property
    def caller_by_key_hash(self) -> dict[str, Caller]:
        """Return callers by the hash of their key."""
        return {item.key_sha256: item for item in self.catalogue.callers}

    @functools.cached_property
    def endpoints_by_service(self) -> dict[str, list[Endpoint]]:
        """Return each service's instances."""
        by_service = collections.defaultdict(list)
        for endpoint in self.catalogue.endpoints:
            if endpoint.service is not None:
                by_service[endpoint.service].append(endpoint)
        return by_service
