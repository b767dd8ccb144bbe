"""Rows of the collections that ``show`` lists, one class for each.

The fields are the columns of the table and the names allowed in ``where``.
"""

import attrs

from mothworks import audit, statements


@attrs.frozen
class ModelRow:
    """A model or adapter.

    :param model: its name.
    :param base: the base model of an adapter; empty for a model.
    :param version: the declared version of its weights.
    :param memory_mb: accelerator memory that it occupies, MB.
    :param replicas: number of endpoints that serve it.
    :param open: number of these that accept new work.
    :param endpoints: names of the endpoints that serve it.
    """

    model: str
    base: str
    version: str
    memory_mb: int
    replicas: int
    open: int
    endpoints: tuple[str, ...]


@attrs.frozen
class EndpointRow:
    """An endpoint, as known to the VM that answers.

    :param endpoint: its name.
    :param kind: the plug-in that implements its protocol.
    :param data_centre: its data centre.
    :param owner: the VM that owns it; empty if its region has none.
    :param state: open, draining, down or unknown.
    :param drain: whether an operator drained it.
    :param leaving: whether the platform lists its VM as leaving.
    :param memory_mb: its accelerator memory for models, MB.
    :param models: the models and adapters resident on it.
    """

    endpoint: str
    kind: str
    data_centre: str
    owner: str
    state: str
    drain: bool
    leaving: bool
    memory_mb: int
    models: tuple[str, ...]


@attrs.frozen
class CallerRow:
    """A caller.

    :param caller: its name.
    :param urgency: urgency class of all its requests.
    :param first_token_ms: target for the time to the first token, milliseconds.
    :param between_tokens_ms: target for the mean time between tokens,
        milliseconds.
    :param models: models, adapters and services that it may call; empty for all.
    :param share: largest share of any queue that its requests may occupy.
    """

    caller: str
    urgency: str
    first_token_ms: int
    between_tokens_ms: int
    models: tuple[str, ...]
    share: float


@attrs.frozen
class WaitingRow:
    """A request in the queue of an endpoint's owner.

    :param request: its ID.
    :param endpoint: the endpoint that it waits for.
    :param owner: the VM that owns the endpoint and its queue.
    :param position: position in the queue, from 1.
    :param queued: number of requests queued for the endpoint.
    :param running: requests in the endpoint's batch.
    :param slots: current limit of requests in the batch.
    :param urgency: urgency class of the request.
    :param caller: the caller's name.
    :param model: the requested model, adapter or service.
    :param waited_ms: time in the queue, milliseconds.
    :param deadline_ms: time left until the queue drops it, milliseconds.
    """

    request: str
    endpoint: str
    owner: str
    position: int
    queued: int
    running: int
    slots: int
    urgency: str
    caller: str
    model: str
    waited_ms: int
    deadline_ms: int


@attrs.frozen
class MoveRow:
    """An unfinished order to an endpoint.

    :param endpoint: the endpoint.
    :param model: the model or adapter.
    :param order: load, unload or role.
    :param state: sent, or waiting behind another order.
    :param number: the order's fencing token; 0 while it waits.
    :param owner: the VM that sends the order.
    :param reserved_mb: memory reserved for it, MB; 0 while it waits.
    :param why: the planner's reason; only while it waits.
    """

    endpoint: str
    model: str
    order: str
    state: str
    number: int
    owner: str
    reserved_mb: int
    why: str


@attrs.frozen
class PeerRow:
    """A VM that runs a node.

    :param vm: its name.
    :param address: its IP address.
    :param port: its port for callers.
    :param peer_port: its port for other VMs.
    :param data_centre: its data centre.
    :param region: the region of the data centre.
    :param leaving: whether it is shutting down.
    :param endpoints: number of endpoints that it owns.
    """

    vm: str
    address: str
    port: int
    peer_port: int
    data_centre: str
    region: str
    leaving: bool
    endpoints: int


@attrs.frozen
class QuarantineRow:
    """A request that is suspected of crashing endpoints.

    :param suspect: hash of caller, model and body; the argument of ``lift``.
    :param state: suspect (runs alone) or quarantined (refused).
    :param points: 2 for each crash, 1 for each single broken connection.
    :param caller: the caller's name.
    :param model: the model, adapter or service.
    :param at: time of the last change, ISO 8601, UTC.
    """

    suspect: str
    state: str
    points: int
    caller: str
    model: str
    at: str


@attrs.frozen
class AttainmentRow:
    """Outcomes of a class' requests in the last minute, over all VMs.

    :param urgency: the urgency class, or all.
    :param requests: requests that ended.
    :param met: complete responses within the caller's targets.
    :param late: complete responses that missed a target.
    :param failed: interrupted responses, and failed requests that may have run.
    :param refused: requests refused without having run.
    :param cancelled: requests whose caller disconnected.
    :param in_target: share of met among requests not cancelled, 0 to 1.
    :param accelerators: accelerators of the endpoints that accept new work.
    :param met_a_minute: met requests per minute and accelerator.
    """

    urgency: str
    requests: int
    met: int
    late: int
    failed: int
    refused: int
    cancelled: int
    in_target: float
    accelerators: int
    met_a_minute: float


@attrs.frozen
class BatchRow:
    """An endpoint's batch and queue, as kept by its owner.

    :param endpoint: the endpoint.
    :param owner: the VM that owns it.
    :param running: requests in its batch.
    :param slots: current limit of requests in the batch.
    :param queued: requests queued for it.
    :param urgent: queued requests of class urgent.
    :param standard: queued requests of class standard.
    :param bulk: queued requests of class bulk.
    :param longest_ms: longest time in the queue so far, milliseconds.
    """

    endpoint: str
    owner: str
    running: int
    slots: int
    queued: int
    urgent: int
    standard: int
    bulk: int
    longest_ms: int


_class_by_collection = {
    statements.Collection.MODELS: ModelRow,
    statements.Collection.ENDPOINTS: EndpointRow,
    statements.Collection.CALLERS: CallerRow,
    statements.Collection.WAITING: WaitingRow,
    statements.Collection.MOVES: MoveRow,
    statements.Collection.PEERS: PeerRow,
    statements.Collection.AUDIT: audit.Entry,
    statements.Collection.QUARANTINE: QuarantineRow,
    statements.Collection.ATTAINMENT: AttainmentRow,
    statements.Collection.QUEUES: BatchRow,
}


def row_class(collection: statements.Collection) -> type:
    """Return the class of a collection's rows.

    :param collection: the collection.
    """
    return _class_by_collection[collection]


def fields(collection: statements.Collection) -> tuple[str, ...]:
    """Return the fields of a collection's rows, in the order of the columns.

    :param collection: the collection.
    """
    return tuple(field.name for field in attrs.fields(row_class(collection)))
