"""Client of a node's operator interface."""

import typing

import attrs
import geventhttpclient
import geventhttpclient.response
import orjson
import result

#: Longest wait for a node's reply, seconds.
TIMEOUT_S = 30.0


@attrs.frozen
class CallError:
    """A node did not do what was asked.

    :param status: the HTTP status; 0 where no node answered.
    :param message: one sentence, or one line a problem.
    """

    status: int
    message: str


class Client:
    """Calls one node; any node will do.

    :param url: the node's base URL.
    :param key: the operator's key.
    """

    def __init__(self, url: str, key: str):
        headers = {"Authorization": f"Bearer {key}"}
        self.http = geventhttpclient.HTTPClient.from_url(
            url, headers=headers, network_timeout=TIMEOUT_S
        )

    def get(self, path: str) -> result.Result[typing.Any, CallError]:
        """Read a page.

        :param path: below ``/operate/``.
        """
        return self._call("GET", path, b"")

    def put(self, path: str, value: typing.Any) -> result.Result[typing.Any, CallError]:
        """Replace something.

        :param path: below ``/operate/``.
        :param value: plain values.
        """
        return self._call("PUT", path, orjson.dumps(value))

    def _call(self, method: str, path: str, body: bytes):
        try:
            reply = self.http.request(method, f"/operate/{path}", body)
            text = reply.read()
            value = orjson.loads(text)
        except (OSError, ValueError, geventhttpclient.response.HTTPParseError) as error:
            return result.Err(CallError(0, f"the node does not answer: {error}"))
        if reply.status_code != 200:
            message = value.get("error", {}).get("message", "no reason given")
            return result.Err(CallError(reply.status_code, message))
        return result.Ok(value)
