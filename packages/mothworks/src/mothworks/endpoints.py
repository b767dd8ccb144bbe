"""Endpoints: the interface of the plug-ins that speak to back ends.

A plug-in is mounted by the endpoint's ``kind``. It sends one request and
hands back the answer's bytes as they come, asks for health and residents,
and passes orders to load and unload.
"""

import collections.abc

import attrs
import result

from mothworks import catalogue, requests


@attrs.frozen
class SendFailure:
    """An attempt at an endpoint gave no answer.

    :param reason: what failed.
    :param sent: whether the first byte may have left this VM.
    :param refused: the endpoint itself refused before running it.
    """

    reason: str
    sent: bool
    refused: bool = False


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
    """

    residents: tuple[Resident, ...] = ()
    running: int = 0
    waiting: int = 0
    draining: bool = False


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

    def send(
        self, endpoint: catalogue.Endpoint, request: requests.Request
    ) -> result.Result[Answer, SendFailure]:
        """Send a request and wait for the answer's head.

        :param endpoint: where to.
        :param request: what to send, once.
        """
        raise NotImplementedError

    def report(self, endpoint: catalogue.Endpoint) -> result.Result[Report, str]:
        """Ask an endpoint for its health, residents and load.

        :param endpoint: the endpoint to ask.
        """
        raise NotImplementedError
