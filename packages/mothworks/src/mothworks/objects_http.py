"""Object API plug-in ``http``: versions in ETag, conditions in If-Match.

``GET /objects/KEY``, ``PUT`` and ``DELETE`` with ``If-Match`` (or
``If-None-Match: *`` to create), ``GET /objects?prefix=`` for a list and
``GET /watch?prefix=&cursor=&wait=`` for a long poll.
"""

import urllib.parse

import geventhttpclient
import geventhttpclient.response
import orjson
import result

from mothworks import objects, plugins, settings

#: Connections kept to the object API.
CONNECTIONS = 8
#: Time that a long poll's reply may take beyond the wait, seconds.
WATCH_GRACE_S = 5.0

_FAILURES = (OSError, geventhttpclient.response.HTTPParseError)


@plugins.register(plugins.OBJECT_API, "http")
class HttpObjects(objects.Api):
    """Client of an object API over HTTP.

    :param chosen: where it answers.
    """

    def __init__(self, chosen: settings.ObjectApi):
        self.chosen = chosen
        self.client = self._connect(chosen.timeout_s, CONNECTIONS)
        self.watch_client_by_wait: dict[float, geventhttpclient.HTTPClient] = {}

    def get(self, key: str) -> result.Result[objects.Stored, objects.ReadError]:
        """Read one object; see :meth:`objects.Api.get`."""
        try:
            reply = self.client.get(_path(key))
            body = bytes(reply.read())
        except _FAILURES as error:
            return result.Err(objects.Unavailable(str(error)))
        match reply.status_code:
            case 200:
                return result.Ok(objects.Stored(key, reply["etag"], body))
            case 404:
                return result.Err(objects.Missing(key))
            case status:
                return result.Err(objects.Unavailable(f"status {status}"))

    def put(
        self, key: str, body: bytes, version: str | None
    ) -> result.Result[str, objects.WriteError]:
        """Write one object; see :meth:`objects.Api.put`."""
        return self._write("PUT", key, body, version).map(lambda reply: reply["etag"])

    def delete(self, key: str, version: str) -> result.Result[None, objects.WriteError]:
        """Delete one object; see :meth:`objects.Api.delete`."""
        return self._write("DELETE", key, b"", version).map(lambda _: None)

    def list(self, prefix: str) -> result.Result[dict[str, str], objects.Unavailable]:
        """List versions by key; see :meth:`objects.Api.list`."""
        query = urllib.parse.urlencode({"prefix": prefix})
        return self._read_json(self.client, f"/objects?{query}")

    def watch(
        self, prefix: str, cursor: str, wait_s: float
    ) -> result.Result[objects.Changes, objects.Unavailable]:
        """Wait for a change; see :meth:`objects.Api.watch`."""
        query = urllib.parse.urlencode(
            {"prefix": prefix, "cursor": cursor, "wait": wait_s}
        )
        client = self.watch_client_by_wait.get(wait_s)
        if client is None:
            client = self._connect(wait_s + WATCH_GRACE_S, CONNECTIONS)
            self.watch_client_by_wait[wait_s] = client
        return self._read_json(client, f"/watch?{query}").map(
            lambda seen: objects.Changes(seen["cursor"], tuple(seen["keys"]))
        )

    def _connect(self, timeout_s: float, size: int) -> geventhttpclient.HTTPClient:
        return geventhttpclient.HTTPClient.from_url(
            self.chosen.url,
            concurrency=size,
            connection_timeout=self.chosen.timeout_s,
            network_timeout=timeout_s,
        )

    def _read_json(self, client: geventhttpclient.HTTPClient, path: str):
        try:
            reply = client.get(path)
            body = reply.read()
        except _FAILURES as error:
            return result.Err(objects.Unavailable(str(error)))
        if reply.status_code != 200:
            return result.Err(objects.Unavailable(f"status {reply.status_code}"))
        return result.Ok(orjson.loads(body))

    def _write(self, method: str, key: str, body: bytes, version: str | None):
        condition = {"If-None-Match": "*"} if version is None else {"If-Match": version}
        try:
            reply = self.client.request(method, _path(key), body, condition)
            reply.read()
        except ConnectionRefusedError as error:
            return result.Err(objects.Unavailable(str(error)))
        except _FAILURES as error:
            return result.Err(objects.Unknown(str(error)))
        match reply.status_code:
            case 200 | 201 | 204:
                return result.Ok(reply)
            case 409 | 412:
                return result.Err(objects.Conflict(key))
            case 429 | 503:
                return result.Err(objects.Unavailable(f"status {reply.status_code}"))
            case status:
                return result.Err(objects.Unknown(f"status {status}"))


def _path(key: str) -> str:
    return "/objects/" + urllib.parse.quote(key, safe="/")
