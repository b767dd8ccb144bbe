"""Endpoint plug-in ``application``: instances of plain services.

Calls are passed on unchanged. ``GET /health`` reports whether an instance is
ready; status 503 means that it is draining.
"""

import result

from mothworks import catalogue, endpoints, plugins, requests, transport


@plugins.register(plugins.ENDPOINT, "application")
class Application(endpoints.Adapter):
    """Implements the protocol of plain services."""

    def __init__(self):
        self.transport = transport.Transport()

    def send(
        self, endpoint: catalogue.Endpoint, request: requests.Request, offset: int = 0
    ) -> result.Result[endpoints.Answer, endpoints.SendFailure]:
        """Send a call; see :meth:`endpoints.Adapter.send`.

        Error responses of the service are passed on to the caller.
        """
        return self.transport.exchange(
            (endpoint.address, endpoint.port),
            request.method,
            request.path,
            (*request.headers, ("X-Request-Id", request.id)),
            request.body,
            transport.SendOptions(new_connection=not request.repeatable),
        )

    def report(
        self, endpoint: catalogue.Endpoint
    ) -> result.Result[endpoints.Report, str]:
        """Request the health; see :meth:`endpoints.Adapter.report`."""
        response = self.transport.exchange(
            (endpoint.address, endpoint.port), "GET", "/health", (), b""
        )
        return response.map_err(lambda failure: failure.reason).and_then(_parse_report)


def _parse_report(answer: transport.HttpAnswer) -> result.Result[endpoints.Report, str]:
    read = transport.read_body(answer)
    if read.is_err():
        return read
    if answer.status == 503:
        return result.Ok(endpoints.Report(draining=True))
    if answer.status != 200:
        return result.Err(f"status {answer.status}")
    return result.Ok(endpoints.Report())
