"""Caller protocol ``/deferred/``: the state or answer of deferred work."""

import result

from mothworks import (
    calls,
    configuration,
    deferred,
    deferred_records,
    kernel,
    outcomes,
    plugins,
    requests,
)

PATH = "/deferred/"


@plugins.register(plugins.CALLER_PROTOCOL, PATH)
class DeferredCalls:
    """Serves ``GET /deferred/<id>``.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        self.configuration = node_kernel.get(configuration.Configuration)
        self.deferred = node_kernel.get(deferred.Deferred)

    def serve(self, call: calls.Call) -> calls.Reply:
        """Answer one call.

        :param call: the call.
        """
        if call.method != "GET":
            message = "only GET is allowed here"
            return calls.refuse(outcomes.invalid(message, "method_not_allowed", 405))
        work_id = call.path.removeprefix(PATH)
        lookup = calls.authenticate(call, self.configuration.index).and_then(
            lambda caller: self.deferred.find(work_id, caller.name)
        )
        match lookup:
            case result.Ok(deferred_records.Finished() as finished):
                headers = [*finished.headers, ("Mothworks-State", "done")]
                return calls.Reply(finished.status, headers, [finished.body])
            case result.Ok(deferred.Unfinished(running)):
                return _accepted(work_id, "running" if running else "waiting")
            case result.Err(refusal):
                return calls.refuse(refusal)


def is_requested(call: calls.Call) -> bool:
    """Return whether a call requests deferral, by its ``Prefer`` header.

    :param call: the call.
    """
    preferences = call.header("prefer").lower().split(",")
    return any(item.strip() == "respond-async" for item in preferences)


def accept(part: deferred.Deferred, request: requests.Request) -> calls.Reply:
    """Store a request, and reply with the path of its answer.

    :param part: the node's part that stores deferred work.
    :param request: the request.
    """
    match part.accept(request):
        case result.Ok(work_id):
            return _accepted(work_id, "waiting")
        case result.Err(refusal):
            return calls.refuse(refusal)


def _accepted(work_id: str, state: str) -> calls.Reply:
    value = {"id": work_id, "state": state}
    reply = calls.json_reply(value, 202)
    reply.headers.extend(
        (
            ("Location", PATH + work_id),
            ("Preference-Applied", "respond-async"),
            ("Mothworks-State", state),
            ("Retry-After", str(round(deferred.POLL_INTERVAL_S))),
        )
    )
    return reply
