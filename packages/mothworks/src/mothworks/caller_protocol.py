"""Base class of the protocols that run callers' requests."""

import collections.abc

import result

from mothworks import (
    answer_recording,
    calls,
    catalogue,
    configuration,
    deferred,
    deferred_calls,
    dispatch,
    kernel,
    outcomes,
    requests,
)


class CallerProtocol:
    """Decodes calls into requests and runs them; base of the caller protocols.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        self.configuration = node_kernel.get(configuration.Configuration)
        self.dispatch = node_kernel.get(dispatch.Dispatch)
        self.deferred = node_kernel.get(deferred.Deferred)

    def serve(self, call: calls.Call) -> calls.Reply:
        """Authenticate the caller and handle the call.

        :param call: the call.
        """
        match calls.authenticate(call, self.configuration.index):
            case result.Ok(caller):
                return self.handle(call, caller)
            case result.Err(refusal):
                return calls.refuse(refusal)

    def handle(self, call: calls.Call, caller: catalogue.Caller) -> calls.Reply:
        """Handle the call of an authenticated caller.

        :param call: the call.
        :param caller: the caller.
        """
        raise NotImplementedError

    def decode_request(
        self, call: calls.Call, caller: catalogue.Caller, body: bytes
    ) -> result.Result[requests.Request, outcomes.Refusal]:
        """Decode the request of a call.

        :param call: the call.
        :param caller: the caller.
        :param body: the complete body of the call.
        """
        raise NotImplementedError

    def response_body(
        self, running: answer_recording.AnsweredRequest
    ) -> collections.abc.Iterable[bytes] | answer_recording.AnsweredRequest:
        """Return the body of the response to the caller.

        :param running: the running request.
        """
        return running

    def run(self, call: calls.Call, caller: catalogue.Caller) -> calls.Reply:
        """Read a call's body, decode its request, and run or defer it.

        :param call: the call.
        :param caller: the caller.
        """
        decoded = call.body().and_then(
            lambda body: self.decode_request(call, caller, body)
        )
        if decoded.is_ok() and deferred_calls.is_requested(call):
            return deferred_calls.accept(self.deferred, decoded.ok_value)
        started = decoded.and_then(
            lambda request: self.dispatch.begin(request, call.start_watch())
        )
        match started:
            case result.Ok(running):
                answer = running.answer
                body = self.response_body(running)
                return calls.Reply(answer.status, answer.headers, body)
            case result.Err(refusal):
                return calls.refuse(refusal)
