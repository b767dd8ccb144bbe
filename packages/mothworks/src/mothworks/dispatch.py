"""Dispatch: takes a request to an endpoint and brings back its answer."""

import collections.abc

import attrs
import result

from mothworks import (
    configuration,
    endpoints,
    health,
    kernel,
    outcomes,
    placement,
    plugins,
    requests,
    routing,
    slots,
)

#: Endpoints that one request may try.
MOST_ATTEMPTS = 3
#: Hint to a caller where a model has no endpoint now, seconds.
NO_ENDPOINT_RETRY_S = 2.0


@attrs.frozen
class Running:
    """A request whose answer has begun.

    :param answer: the endpoint's answer.
    :param grant: the slot that it holds.
    """

    answer: endpoints.Answer
    grant: slots.Grant


@plugins.register(plugins.PART, "dispatch")
class Dispatch(kernel.Part):
    """Runs requests.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.configuration = node_kernel.get(configuration.Configuration)
        self.health = node_kernel.get(health.Health)
        self.placement = node_kernel.get(placement.Placement)
        self.slots = node_kernel.get(slots.Slots)
        chosen = node_kernel.settings.routing
        self.policy: routing.Policy = plugins.find(plugins.ROUTING, chosen)()
        self.requests_total = node_kernel.metrics.counter(
            "requests_total", "Requests by target and outcome."
        )

    def begin(
        self, request: requests.Request
    ) -> result.Result[Running, outcomes.Refusal]:
        """Get a slot, send the request and wait for its answer's head.

        :param request: the request.
        :returns: the running request, to be ended with :meth:`end`.
        """
        tried: set[str] = set()
        refusal = self._no_endpoint(request)
        for _ in range(MOST_ATTEMPTS):
            endpoint = self._choose(request, tried)
            if endpoint is None:
                break
            tried.add(endpoint.name)
            match self._acquire(request, endpoint):
                case result.Ok(grant):
                    pass
                case result.Err(refusal):
                    continue
            self.policy.running_by_endpoint[endpoint.name] += 1
            match self.health.adapters.get(endpoint.kind).send(endpoint, request):
                case result.Ok(answer):
                    return result.Ok(Running(answer, grant))
                case result.Err(failure):
                    self._release(grant, slots.End(_outcome(failure)))
            refusal = _refusal(failure)
            ran = failure.sent and not failure.refused
            if ran and not request.repeatable:
                break
        return result.Err(refusal)

    def chunks(self, running: Running) -> collections.abc.Iterator[bytes]:
        """Yield the answer's body; closing the iterator cancels the rest.

        :param running: what :meth:`begin` returned.
        """
        end = slots.End(slots.Outcome.CANCELLED)
        try:
            yield from running.answer.chunks()
            end = slots.End(slots.Outcome.OK)
        except OSError:
            end = slots.End(slots.Outcome.CRASHED)
            raise
        finally:
            self.end(running, end)

    def end(self, running: Running, end: slots.End) -> None:
        """Release the connection and the slot.

        :param running: what :meth:`begin` returned.
        :param end: how the request ended.
        """
        running.answer.close()
        self._release(running.grant, end)

    def _choose(self, request: requests.Request, tried: set[str]):
        names = self.placement.open_endpoints(request.target)
        names = [name for name in names if name not in tried]
        if not names:
            return None
        first = self.policy.order(names)[0]
        return self.configuration.index.endpoint_by_name[first]

    def _acquire(self, request: requests.Request, endpoint):
        if self.policy.asks_owner:
            return self.slots.acquire(request, endpoint)
        return result.Ok(slots.Grant(request.id, endpoint, ""))

    def _release(self, grant: slots.Grant, end: slots.End) -> None:
        self.policy.running_by_endpoint[grant.endpoint.name] -= 1
        self.slots.release(grant, end)

    def _no_endpoint(self, request: requests.Request) -> outcomes.Refusal:
        return outcomes.overloaded(
            f"no endpoint takes work for {request.target!r} now",
            NO_ENDPOINT_RETRY_S,
            "no_endpoint",
        )


def _outcome(failure: endpoints.SendFailure) -> slots.Outcome:
    if failure.sent and not failure.refused:
        return slots.Outcome.CRASHED
    return slots.Outcome.FAILED


def _refusal(failure: endpoints.SendFailure) -> outcomes.Refusal:
    if failure.sent and not failure.refused:
        return outcomes.unknown(f"the endpoint gave no answer: {failure.reason}")
    return outcomes.overloaded(
        f"the endpoint did not take the request: {failure.reason}", 1.0
    )
