"""Interface of the plug-ins that communicate with endpoints.

The endpoint's ``kind`` selects the plug-in. The plug-in sends requests and
streams their answers, requests reports of health and resident models, and sends
orders to load and unload models.
"""

import collections.abc
import enum

import attrs
import result

from mothworks import catalogue, requests


@attrs.frozen
class SendFailure:
    """An attempt to send a request to an endpoint yielded no usable answer.

    :param reason: what failed.
    :param may_have_arrived: whether the first byte may have been sent.
    :param refused: whether the endpoint refused the request before running it.
    :param answered: whether the endpoint answered with an error, which shows
        that its process is alive.
    :param retry_after_s: time for which an endpoint that refused wants no requests,
        seconds; 0 if it named none.
    :param withheld: whether the sender itself did not send the request, because it was
        no longer valid once the connection was open.
    """

    reason: str
    may_have_arrived: bool
    refused: bool = False
    answered: bool = False
    retry_after_s: float = 0.0
    withheld: bool = False


@attrs.frozen
class Resident:
    """A model or adapter that is loaded at an endpoint.

    :param name: the model or adapter.
    :param version: the model's version.
    :param memory_mb: accelerator memory that it occupies, MB.
    """

    name: str
    version: str
    memory_mb: int


@attrs.frozen
class Report:
    """An endpoint's report of its state; its load figures lag behind.

    :param residents: models and adapters in memory.
    :param running: number of requests in its batch.
    :param waiting: number of requests in its own queue.
    :param draining: whether it is shutting down.
    :param loading: models and adapters that occupy memory but cannot serve
        requests yet.
    """

    residents: tuple[Resident, ...] = ()
    running: int = 0
    waiting: int = 0
    draining: bool = False
    loading: tuple[Resident, ...] = ()


class OrderKind(enum.StrEnum):
    """Kinds of orders to an endpoint."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@attrs.frozen
class Order:
    """An order to an endpoint; resent copies carry the same id.

    :param id: unique among all orders.
    :param kind: the kind of order.
    :param name: the model or adapter; for a change of role, the new role.
    :param version: the model's version.
    :param memory_mb: accelerator memory for a load, MB.
    :param fence: the fencing token; later orders have higher ones.
    :param base: the base model of an adapter; empty for a model.
    """

    id: str
    kind: OrderKind
    name: str
    version: str
    memory_mb: int
    fence: int
    base: str = ""


@attrs.frozen
class OrderRefused:
    """The endpoint refused an order and did not execute it.

    :param reason: why.
    :param highest_fence: the endpoint's fencing token if the order's was too
        old; otherwise 0.
    """

    reason: str
    highest_fence: int = 0


@attrs.frozen
class OrderUnknown:
    """It is unknown whether an order was, or will be, executed.

    :param reason: what failed, or that the endpoint is still executing it.
    """

    reason: str


OrderFailure = OrderRefused | OrderUnknown


class Answer:
    """An endpoint's answer, which is streamed as it arrives.

    :param status: the HTTP status.
    :param headers: the headers to forward.
    """

    def __init__(self, status: int, headers: list[tuple[str, str]]):
        self.status = status
        self.headers = headers

    def chunks(self) -> collections.abc.Iterator[bytes]:
        """Yield the body as it arrives; raise OSError if it ends early."""
        raise NotImplementedError

    def close(self) -> None:
        """Release the connection; cancel the answer if it is incomplete."""


class Adapter:
    """Interface of the plug-ins of kind :data:`plugins.ENDPOINT`."""

    #: Whether endpoints of this kind can resume a stream at an offset.
    can_resume = False
    #: Whether urgent requests preempt bulk requests in a full batch.
    can_preempt = False

    def send(
        self, endpoint: catalogue.Endpoint, request: requests.Request, offset: int = 0
    ) -> result.Result[Answer, SendFailure]:
        """Send a request and wait for the answer's head.

        :param endpoint: the endpoint to send to.
        :param request: the request, which is sent at most once.
        :param offset: number of the stream's events that the caller already
            has; above 0 only if :attr:`can_resume` is set.
        """
        raise NotImplementedError

    def report(self, endpoint: catalogue.Endpoint) -> result.Result[Report, str]:
        """Request an endpoint's report of health, residents and load.

        :param endpoint: the endpoint.
        """
        raise NotImplementedError

    def order(
        self, endpoint: catalogue.Endpoint, order: Order
    ) -> result.Result[None, OrderFailure]:
        """Send one copy of an order.

        :param endpoint: the endpoint to send to.
        :param order: the order; resending it is safe.
        :returns: Ok once the endpoint has executed it.
        """
        return result.Err(OrderRefused("this kind of endpoint accepts no orders"))
