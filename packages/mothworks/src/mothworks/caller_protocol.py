"""Caller protocol: what all protocols that run callers' requests share."""

import collections.abc

import result

from mothworks import (
    calls,
    catalogue,
    configuration,
    deferred,
    deferred_calls,
    dispatch,
    kernel,
    outcomes,
    recorded,
    requests,
)


class CallerProtocol:
    """Base of the protocols that turn calls into requests and run them.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        self.configuration = node_kernel.get(configuration.Configuration)
        self.dispatch = node_kernel.get(dispatch.Dispatch)
        self.deferred = node_kernel.get(deferred.Deferred)

    def serve(self, call: calls.Call) -> calls.Reply:
        """Answer one call.

        :param call: the call.
        """
        match calls.authenticate(call, self.configuration.index):
            case result.Ok(caller):
                return self.answer(call, caller)
            case result.Err(refusal):
                return calls.refuse(refusal)

    def answer(self, call: calls.Call, caller: catalogue.Caller) -> calls.Reply:
        """Answer the call of a known caller.

        :param call: the call.
        :param caller: who calls.
        """
        raise NotImplementedError

    def read(
        self, call: calls.Call, caller: catalogue.Caller, body: bytes
    ) -> result.Result[requests.Request, outcomes.Refusal]:
        """Return the request that a call makes.

        :param call: the call.
        :param caller: who calls.
        :param body: its whole body.
        """
        raise NotImplementedError

    def body_of(
        self, running: recorded.Running
    ) -> collections.abc.Iterable[bytes] | recorded.Running:
        """Return what the caller is sent of an answer.

        :param running: the running request.
        """
        return running

    def run(self, call: calls.Call, caller: catalogue.Caller) -> calls.Reply:
        """Read a call's body, and run or defer the request that it makes.

        :param call: the call.
        :param caller: who calls.
        """
        read = call.body().and_then(lambda body: self.read(call, caller, body))
        if read.is_ok() and deferred_calls.wanted(call):
            return deferred_calls.accept(self.deferred, read.ok_value)
        begun = read.and_then(
            lambda request: self.dispatch.begin(request, call.start_watch())
        )
        match begun:
            case result.Ok(running):
                answer = running.answer
                body = self.body_of(running)
                return calls.Reply(answer.status, answer.headers, body)
            case result.Err(refusal):
                return calls.refuse(refusal)
