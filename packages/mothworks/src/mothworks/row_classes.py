"""Rows that ``show`` lists: one class for each collection.

The fields are what ``where`` can name, and the columns of the table.
"""

import attrs

from mothworks import audit, statements


@attrs.frozen
class ModelRow:
    """A model or adapter.

    :param model: its name.
    :param base: the model that an adapter adapts; empty for a model.
    :param version: the declared version of its weights.
    :param memory_mb: its accelerator memory, MB.
    :param replicas: endpoints that have it.
    :param open: of these, how many take new work.
    :param endpoints: their names.
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
    """An endpoint, as the asked VM knows it.

    :param endpoint: its name.
    :param kind: the plug-in that speaks its protocol.
    :param data_centre: where it runs.
    :param owner: the VM that owns it; empty where its region has none.
    :param state: open, draining, down or unknown.
    :param drain: an operator drained it.
    :param leaving: the platform lists its VM as leaving.
    :param memory_mb: its accelerator memory for models, MB.
    :param models: its resident models and adapters.
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
    :param urgency: class of all its work.
    :param first_token_ms: target for the first token, milliseconds.
    :param between_tokens_ms: target between tokens, milliseconds.
    :param models: what it may call; empty for all.
    :param share: largest share of any queue that it may fill.
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

    :param request: its id.
    :param endpoint: the endpoint that it waits for.
    :param owner: the VM that holds the queue.
    :param position: place in the order of service, from 1.
    :param queued: how many wait for the endpoint.
    :param running: requests in the endpoint's batch.
    :param slots: most requests in the batch now.
    :param urgency: class of the request.
    :param caller: the caller's name.
    :param model: the model, adapter or service asked for.
    :param waited_ms: time in the queue, milliseconds.
    :param deadline_ms: time left until the queue gives it up, milliseconds.
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
    """An order to an endpoint that is not finished.

    :param endpoint: the endpoint that has the order.
    :param model: the model or adapter.
    :param order: load, unload or role.
    :param state: sent, or waiting behind another order.
    :param number: the order's fencing number; 0 while it waits.
    :param owner: the VM that gives the order.
    :param reserved_mb: memory held for it, MB; 0 while it waits.
    :param why: the planner's reason, while it waits.
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
    :param address: its IP number.
    :param port: its port for callers.
    :param peer_port: its port for peers.
    :param data_centre: where it runs.
    :param region: that data centre's region.
    :param leaving: it is shutting down.
    :param endpoints: how many endpoints it owns.
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
    """A request that endpoints crashed on.

    :param suspect: hash of caller, model and body, as ``lift`` takes it.
    :param state: suspect (runs alone) or quarantined (refused).
    :param points: 2 for a crash, 1 for a connection that broke alone.
    :param caller: the caller's name.
    :param model: the model, adapter or service.
    :param at: ISO time of the last change, UTC.
    """

    suspect: str
    state: str
    points: int
    caller: str
    model: str
    at: str


@attrs.frozen
class AttainmentRow:
    """What became of a class' requests in the last minute, over all VMs.

    :param urgency: the class, or all.
    :param requests: requests that ended.
    :param met: whole answers within the caller's targets.
    :param late: whole answers later than a target.
    :param failed: answers that broke off, and requests that may have run.
    :param refused: requests refused without having run.
    :param cancelled: requests whose caller left.
    :param in_target: share of met requests, cancelled ones aside, 0 to 1.
    :param accelerators: accelerators of the endpoints that take work.
    :param met_a_minute: met requests a minute and accelerator.
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
    """An endpoint's batch and queue, at its owner.

    :param endpoint: the endpoint.
    :param owner: the VM that owns it.
    :param running: requests in its batch.
    :param slots: most requests in the batch now.
    :param queued: requests that wait for it.
    :param urgent: of these, the urgent ones.
    :param standard: the standard ones.
    :param bulk: the bulk ones.
    :param longest_ms: longest wait of them, milliseconds.
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

    :param collection: what is listed.
    """
    return _class_by_collection[collection]


def fields(collection: statements.Collection) -> tuple[str, ...]:
    """Return the fields of a collection's rows, in the order of columns.

    :param collection: what is listed.
    """
    return tuple(field.name for field in attrs.fields(row_class(collection)))
