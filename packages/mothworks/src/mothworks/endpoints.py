"""Endpoints: the interface of the plug-ins that speak to back ends.

A plug-in is mounted by the endpoint's ``kind``. It sends one request and
hands back the answer's bytes as they come, asks for health and residents,
and passes orders to load and unload.
"""

import collections.abc
import enum

import attrs
import result

from mothworks import catalogue, requests


@attrs.frozen
class SendFailure:
    """An attempt at an endpoint gave no answer.

    :param reason: what failed.
    :param sent: whether the first byte may have left this VM.
    :param refused: the endpoint itself refused before running it.
    :param answered: the endpoint answered with an error of its own, so its
        process lives.
    """

    reason: str
    sent: bool
    refused: bool = False
    answered: bool = False


@attrs.frozen
class Resident:
    """A model or adapter in an endpoint's memory.

    :param name: the model or adapter.
    :param version: the model's version.
    :param memory_mb: accelerator memory it takes, MB.
    """

    name: str
    version: str
    memory_mb: int


@attrs.frozen
class Report:
    """What an endpoint says of itself; load reports lag.

    :param residents: models and adapters in memory.
    :param running: requests in its batch.
    :param waiting: requests in its own queue.
    :param draining: it is leaving.
    :param loading: models and adapters that take memory but do not answer yet.
    """

    residents: tuple[Resident, ...] = ()
    running: int = 0
    waiting: int = 0
    draining: bool = False
    loading: tuple[Resident, ...] = ()


class OrderKind(enum.StrEnum):
    """What an order asks of an endpoint."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@attrs.frozen
class Order:
    """An order to an endpoint; every copy of it carries the same id.

    :param id: unique among all orders.
    :param kind: what is asked.
    :param name: the model or adapter; for a change of role, the new role.
    :param version: the model's version.
    :param memory_mb: accelerator memory of a load, MB.
    :param fence: the fencing number; a later order has a higher one.
    :param base: the model that an adapter belongs to; empty for a model.
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
    """The endpoint did not carry out an order and says so.

    :param reason: why.
    :param highest_fence: the endpoint's fencing number, where the order's
        own was too old; otherwise 0.
    """

    reason: str
    highest_fence: int = 0


@attrs.frozen
class OrderUnknown:
    """It is not known yet whether an order was, or will be, carried out.

    :param reason: what failed, or that the endpoint is still at it.
    """

    reason: str


OrderFailure = OrderRefused | OrderUnknown


class Answer:
    """An endpoint's answer while it arrives.

    :param status: the HTTP status.
    :param headers: the headers to pass on.
    """

    def __init__(self, status: int, headers: list[tuple[str, str]]):
        self.status = status
        self.headers = headers

    def chunks(self) -> collections.abc.Iterator[bytes]:
        """Yield the body as it arrives; raises OSError where it breaks."""
        raise NotImplementedError

    def close(self) -> None:
        """Release the connection; cancels an answer that is not complete."""


class Adapter:
    """Interface of the plug-ins of kind :data:`plugins.ENDPOINT`."""

    #: Whether endpoints of this kind can continue a stream at an offset.
    resumes = False
    #: Whether urgent work takes the place of bulk work in a full batch.
    preempts = False

    def send(
        self, endpoint: catalogue.Endpoint, request: requests.Request, offset: int = 0
    ) -> result.Result[Answer, SendFailure]:
        """Send a request and wait for the answer's head.

        :param endpoint: where to.
        :param request: what to send, once.
        :param offset: events of the stream that the caller has already; above
            0 only where :attr:`resumes` is set.
        """
        raise NotImplementedError

    def report(self, endpoint: catalogue.Endpoint) -> result.Result[Report, str]:
        """Ask an endpoint for its health, residents and load.

        :param endpoint: the endpoint to ask.
        """
        raise NotImplementedError

    def order(
        self, endpoint: catalogue.Endpoint, order: Order
    ) -> result.Result[None, OrderFailure]:
        """Send one copy of an order.

        :param endpoint: where to.
        :param order: the order; sending it again does no harm.
        :returns: Ok once the endpoint has carried it out.
        """
        return result.Err(OrderRefused("this kind of endpoint takes no orders"))
