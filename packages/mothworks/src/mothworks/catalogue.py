"""The catalogue: configuration by operators that is common to all VMs.

It declares models, adapters, versions, services, callers and endpoints, and the
weights of attainment and moves in placement. The file is JSON with comments. It
is validated as a whole; an invalid catalogue is rejected entirely.
"""

import collections
import collections.abc
import enum
import functools

import attrs

from mothworks import settings

#: Lower bound of the setting ``late_order_s``, seconds. That delay includes the
#: time an owner may be paused between its last read of a ledger and its order.
MIN_LATE_ORDER_S = 5.0


class Urgency(enum.StrEnum):
    """Priority class of a caller's requests; a lower rank is served first."""

    URGENT = "urgent"
    STANDARD = "standard"
    BULK = "bulk"

    @property
    def rank(self) -> int:
        """Return the position among the classes; 0 is the most urgent."""
        return list(Urgency).index(self)


@attrs.frozen
class DataCentre:
    """A data centre and its region.

    :param name: its name, to which settings and endpoints refer.
    :param region: the region's name.
    """

    name: str
    region: str


@attrs.frozen
class Model:
    """A model that must always be available to its callers.

    :param name: the name that callers use.
    :param memory_mb: accelerator memory for the weights, MB.
    :param working_mb: minimum memory for KV cache beside the weights, MB.
    :param version: the version of the weights; a new value starts a rolling
        update.
    :param replicas: minimum number of resident replicas.
    """

    name: str
    memory_mb: int = attrs.field(validator=settings.check_positive)
    working_mb: int = 0
    version: str = "1"
    replicas: int = attrs.field(default=1, validator=settings.check_positive)


@attrs.frozen
class Adapter:
    """An adapter (LoRA) of a model; callers request it like a model.

    :param name: the name that callers use.
    :param model: its base model.
    :param memory_mb: accelerator memory that it occupies, MB.
    """

    name: str
    model: str
    memory_mb: int = attrs.field(validator=settings.check_positive)


@attrs.frozen
class Service:
    """A plain HTTP service, served beside the models.

    :param name: its name in the path ``/services/<name>/``.
    :param repeatable: whether a call may run twice.
    """

    name: str
    repeatable: bool = False


@attrs.frozen
class Caller:
    """A client with an API key, and the urgency of its requests.

    :param name: the caller's name.
    :param key_sha256: SHA-256 hash of the caller's API key.
    :param urgency: priority class of all the caller's requests.
    :param first_token_ms: target time to the first token, milliseconds.
    :param between_tokens_ms: target time between tokens, milliseconds.
    :param models: allowed models, adapters and services; empty allows all.
    :param share: largest share of a queue that the caller may occupy, 0 to 1.
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
    :param kind: the plug-in that implements its protocol.
    :param address: its IP address.
    :param port: its TCP port.
    :param data_centre: the data centre in which it runs.
    :param memory_mb: accelerator memory for models, MB; 0 for services.
    :param accelerators: number of its accelerators.
    :param fencing: whether it refuses orders with an outdated fencing token.
    :param service: the plain service of which it is an instance; None for a model
        engine.
    :param slots: initial limit on concurrent requests, which then adapts.
    :param drain: whether it gets no new requests, so that it can be removed.
    :param priorities: whether it schedules urgent requests first and pauses
        less urgent ones for them.
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
    """Weights of the placement's objectives, and limits of the weight store.

    :param attainment: value of one more request per second within its targets.
    :param moves: cost of one load, unload or relocation.
    :param loads_per_s: loads that the weight store can start per second.
    :param parallel_loads: concurrent loads that the weight store serves at full
        speed.
    :param late_order_s: longest delay of a copy of an order in transit to an
        endpoint, seconds; memory stays reserved for it that long. It also bounds
        a VM's pause between its last read of a ledger and its order.
    """

    attainment: float = 1.0
    moves: float = 1.0
    loads_per_s: float = attrs.field(default=2.0, validator=settings.check_positive)
    parallel_loads: int = attrs.field(default=8, validator=settings.check_positive)
    late_order_s: float = attrs.field(default=30.0)

    @late_order_s.validator
    def _check_late_order_s(self, attribute: attrs.Attribute, value: float) -> None:
        if value < MIN_LATE_ORDER_S:
            raise ValueError(
                f"late_order_s: expected at least {MIN_LATE_ORDER_S:g}, found {value}"
            )


@attrs.frozen
class Retention:
    """Retention periods of stored data.

    :param claims_s: time for which a resend with the same Idempotency-Key is
        recognised, seconds.
    :param deferred_s: time for which the answer to deferred work can be fetched,
        seconds.
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
    """All configuration that operators declare.

    :param data_centres: data centres and their regions.
    :param models: declared models.
    :param adapters: adapters of those models.
    :param services: plain services.
    :param callers: clients that may send requests.
    :param endpoints: model engines and instances of services.
    :param weights: weights of the placement's objectives.
    :param retention: retention periods of stored data.
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

    :param catalogue: a valid catalogue.
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
        """Return callers by the hash of their API key."""
        return {item.key_sha256: item for item in self.catalogue.callers}

    @functools.cached_property
    def endpoints_by_service(self) -> dict[str, list[Endpoint]]:
        """Return the instances of each service by its name."""
        instances_by_service = collections.defaultdict(list)
        for endpoint in self.catalogue.endpoints:
            if endpoint.service is not None:
                instances_by_service[endpoint.service].append(endpoint)
        return instances_by_service
