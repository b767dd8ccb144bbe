"""Rows of the answers to ``why``, and of the counts that VMs exchange."""

import attrs


@attrs.frozen
class CountRow:
    """Requests of one class that ended with one verdict on one VM.

    :param urgency: the urgency class.
    :param verdict: an :class:`attainment.Verdict`.
    :param count: number of requests in the last minute.
    """

    urgency: str
    verdict: str
    count: int


@attrs.frozen
class TraceRow:
    """A request, as traced by the VM that received it.

    :param request: its ID.
    :param entry: the VM that received it from the caller.
    :param caller: the caller's name.
    :param urgency: urgency class of the request.
    :param model: the requested model, adapter or service.
    :param state: running, or the outcome.
    :param age_ms: time since it arrived, milliseconds.
    :param deadline_ms: time left until the first-token target, milliseconds;
        below 0 if the target has passed.
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
    """A step of a request, or the state of a candidate endpoint.

    :param at_ms: time since the request arrived, milliseconds.
    :param endpoint: the endpoint concerned; empty for none.
    :param what: the event, decision or state.
    """

    at_ms: int
    endpoint: str
    what: str


@attrs.frozen
class LoadTargetRow:
    """An endpoint that a model could be loaded on, as its planner sees it.

    :param endpoint: the endpoint.
    :param planner: the VM that plans for the endpoint.
    :param free_mb: memory available to a load now, MB.
    :param needed_mb: memory that the model requires there, MB.
    :param verdict: ``fits``, or why the model can't be loaded there now.
    """

    endpoint: str
    planner: str
    free_mb: int
    needed_mb: int
    verdict: str


@attrs.frozen
class ReplicaRow:
    """An endpoint that serves a model, and whether it accepts new work.

    :param endpoint: the endpoint.
    :param data_centre: its data centre.
    :param owner: the VM that owns it.
    :param takes_work: ``yes``, or why it accepts no new work.
    :param running: requests in its batch; -1 if its owner did not respond.
    :param slots: current limit of requests in the batch.
    :param queued: requests queued for it.
    :param longest_ms: longest time in the queue so far, milliseconds.
    """

    endpoint: str
    data_centre: str
    owner: str
    takes_work: str
    running: int
    slots: int
    queued: int
    longest_ms: int
