"""Object API plug-in ``http``: versions in ETag, conditions in If-Match.

``GET /objects/KEY``, ``PUT`` and ``DELETE`` with ``If-Match`` (or
``If-None-Match: *`` to create), ``GET /objects?prefix=`` for a list and
``GET /watch?prefix=&cursor=&wait=`` for a long poll.
"""

import urllib.parse

import attrs
import orjson
import result

from mothworks import endpoints, objects, plugins, settings, transport

#: Maximum number of connections to the object API.
MAX_CONNECTIONS = 64
#: Time that a long poll's reply may take beyond its wait, seconds.
WATCH_GRACE_S = 2.0
#: Port of a URL without one.
DEFAULT_PORT = 80


@attrs.frozen
class Reply:
    """A complete reply of the object API.

    :param status: the HTTP status.
    :param etag: the object's version; empty if the reply has none.
    :param body: the whole body.
    """

    status: int
    etag: str
    body: bytes


@plugins.register(plugins.OBJECT_API, "http")
class HttpObjects(objects.Api):
    """Client of an object API over HTTP; it never repeats a request.

    geventhttpclient's own client sends a PUT again after a broken connection.
    If the first one took effect, the second gets a conflict, and the writer
    wrongly concludes that nothing was written.

    :param api_settings: the URL and the timeout of the object API.
    """

    def __init__(self, api_settings: settings.ObjectApi):
        url = urllib.parse.urlsplit(api_settings.url)
        self.address = (url.hostname, url.port or DEFAULT_PORT)
        self.base_path = url.path.rstrip("/")
        self.api_settings = api_settings
        self.transport = transport.Transport(api_settings.timeout_s, MAX_CONNECTIONS)
        self.watch_transport_by_wait: dict[float, transport.Transport] = {}

    def get(self, key: str) -> result.Result[objects.Stored, objects.ReadError]:
        """Read one object; see :meth:`objects.Api.get`."""
        match self._read(self.transport, _path(key)):
            case result.Ok(Reply(200, etag, body)):
                return result.Ok(objects.Stored(key, etag, body))
            case result.Ok(Reply(404)):
                return result.Err(objects.Missing(key))
            case result.Ok(Reply(status)):
                return result.Err(objects.Unavailable(f"status {status}"))
            case error:
                return error

    def put(
        self, key: str, body: bytes, version: str | None
    ) -> result.Result[str, objects.WriteError]:
        """Write one object; see :meth:`objects.Api.put`."""
        return self._write("PUT", key, body, version)

    def delete(self, key: str, version: str) -> result.Result[None, objects.WriteError]:
        """Delete one object; see :meth:`objects.Api.delete`."""
        return self._write("DELETE", key, b"", version).map(lambda _: None)

    def list(self, prefix: str) -> result.Result[dict[str, str], objects.Unavailable]:
        """List versions by key; see :meth:`objects.Api.list`."""
        query = urllib.parse.urlencode({"prefix": prefix})
        return self._read_json(self.transport, f"/objects?{query}")

    def watch(
        self, prefix: str, cursor: str, wait_s: float
    ) -> result.Result[objects.Changes, objects.Unavailable]:
        """Wait for a change; see :meth:`objects.Api.watch`."""
        query = urllib.parse.urlencode(
            {"prefix": prefix, "cursor": cursor, "wait": wait_s}
        )
        watch_transport = self.watch_transport_by_wait.get(wait_s)
        if watch_transport is None:
            watch_transport = transport.Transport(
                wait_s + WATCH_GRACE_S, MAX_CONNECTIONS
            )
            self.watch_transport_by_wait[wait_s] = watch_transport
        return self._read_json(watch_transport, f"/watch?{query}").map(
            lambda document: objects.Changes(
                document["cursor"], tuple(document["keys"])
            )
        )

    def _exchange(
        self,
        http_transport: transport.Transport,
        method: str,
        path: str,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
    ) -> result.Result[Reply, endpoints.SendFailure]:
        path = self.base_path + path
        match http_transport.exchange(self.address, method, path, headers, body):
            case result.Ok(answer):
                pass
            case error:
                return error
        match transport.read_body(answer):
            case result.Ok(received):
                pass
            case result.Err(reason):
                return result.Err(endpoints.SendFailure(reason, True))
        return result.Ok(Reply(answer.status, answer.header("etag"), received))

    def _read(self, http_transport: transport.Transport, path: str):
        return self._exchange(http_transport, "GET", path).map_err(
            lambda failure: objects.Unavailable(failure.reason)
        )

    def _read_json(self, http_transport: transport.Transport, path: str):
        match self._read(http_transport, path):
            case result.Ok(Reply(200, _, body)):
                pass
            case result.Ok(Reply(status)):
                return result.Err(objects.Unavailable(f"status {status}"))
            case error:
                return error
        try:
            return result.Ok(orjson.loads(body))
        except orjson.JSONDecodeError as error:
            return result.Err(objects.Unavailable(f"not valid JSON: {error}"))

    def _write(
        self, method: str, key: str, body: bytes, version: str | None
    ) -> result.Result[str, objects.WriteError]:
        condition = ("If-Match", version) if version else ("If-None-Match", "*")
        match self._exchange(self.transport, method, _path(key), (condition,), body):
            case result.Ok(reply):
                pass
            case result.Err(failure) if failure.may_have_arrived:
                return result.Err(objects.Unknown(failure.reason))
            case result.Err(failure):
                return result.Err(objects.Unavailable(failure.reason))
        match reply.status:
            case 200 | 201 | 204:
                return result.Ok(reply.etag)
            case 404 | 409 | 412:
                return result.Err(objects.Conflict(key))
            case 429 | 503:
                return result.Err(objects.Unavailable(f"status {reply.status}"))
            case status:
                return result.Err(objects.Unknown(f"status {status}"))


def _path(key: str) -> str:
    return "/objects/" + urllib.parse.quote(key, safe="/")
