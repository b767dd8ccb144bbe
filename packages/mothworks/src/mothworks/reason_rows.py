"""Rows of what ``why`` explains, and of counts between VMs."""

import attrs


@attrs.frozen
class CountRow:
    """How many requests of one class ended in one way, on one VM.

    :param urgency: the class.
    :param verdict: an :class:`attainment.Verdict`.
    :param count: requests of the last minute.
    """

    urgency: str
    verdict: str
    count: int


@attrs.frozen
class TraceRow:
    """A request at the VM that it reached.

    :param request: its id.
    :param entry: the VM that it reached.
    :param caller: the caller's name.
    :param urgency: class of the request.
    :param model: the model, adapter or service asked for.
    :param state: running, or how it ended.
    :param age_ms: time since it arrived, milliseconds.
    :param deadline_ms: time left to the first token's target, milliseconds;
        below 0 where it has passed.
    """

    request: str
    entry: str
    caller: str
    urgency: str
    model: str
    state: str
    age_ms: int
    deadline_ms: int


@attrs.frozen
class StepRow:
    """A step of a request, or an endpoint that it may yet go to.

    :param at_ms: time since the request arrived, milliseconds.
    :param endpoint: the endpoint concerned; empty for none.
    :param what: what happened or was decided there.
    """

    at_ms: int
    endpoint: str
    what: str


@attrs.frozen
class PlaceRow:
    """An endpoint as a place for a model, in its planner's numbers.

    :param endpoint: the endpoint.
    :param planner: the VM that plans for it.
    :param free_mb: memory that a load may take now, MB.
    :param needed_mb: memory that the model needs there, MB.
    :param verdict: why it can't be loaded there, or that it can.
    """

    endpoint: str
    planner: str
    free_mb: int
    needed_mb: int
    verdict: str


@attrs.frozen
class ReplicaRow:
    """An endpoint that has a model, and why it takes work or not.

    :param endpoint: the endpoint.
    :param data_centre: where it runs.
    :param owner: the VM that owns it.
    :param takes_work: ``yes``, or why not.
    :param running: requests in its batch; -1 where its owner did not answer.
    :param slots: most requests in the batch now.
    :param queued: requests that wait for it.
    :param longest_ms: longest wait of them, milliseconds.
    """

    endpoint: str
    data_centre: str
    owner: str
    takes_work: str
    running: int
    slots: int
    queued: int
    longest_ms: int
