"""Client of the nodes' operator API."""

import typing

import attrs
import geventhttpclient
import geventhttpclient.response
import orjson
import result

#: Timeout for a node's reply, seconds.
REPLY_TIMEOUT_S = 30.0
#: Timeout for opening a connection, seconds.
CONNECT_TIMEOUT_S = 2.0


@attrs.frozen
class CallError:
    """A call to a node failed.

    :param status: the HTTP status; 0 where no node answered.
    :param message: one sentence, or one line per problem.
    :param difference: differences to another operator's change, if the call conflicts
        with it.
    """

    status: int
    message: str
    difference: tuple[dict, ...] = ()


class Client:
    """Calls any one of the nodes.

    :param urls: base URLs of nodes, separated by commas. The next one is
        tried only if the connection to the previous one was refused.
    :param key: the operator's key.
    """

    def __init__(self, urls: str, key: str):
        headers = {"Authorization": f"Bearer {key}"}
        self.nodes = [
            geventhttpclient.HTTPClient.from_url(
                url.strip(),
                headers=headers,
                connection_timeout=CONNECT_TIMEOUT_S,
                network_timeout=REPLY_TIMEOUT_S,
            )
            for url in urls.split(",")
        ]

    def get(self, path: str) -> result.Result[typing.Any, CallError]:
        """Send a GET request.

        :param path: path below ``/operate/``.
        """
        return self._call("GET", path, b"")

    def put(self, path: str, value: typing.Any) -> result.Result[typing.Any, CallError]:
        """Send a PUT request with a JSON body.

        :param path: path below ``/operate/``.
        :param value: plain values of the body.
        """
        return self._call("PUT", path, orjson.dumps(value))

    def post(
        self, path: str, value: typing.Any
    ) -> result.Result[typing.Any, CallError]:
        """Send a POST request with a JSON body.

        :param path: path below ``/operate/``.
        :param value: plain values of the body.
        """
        return self._call("POST", path, orjson.dumps(value))

    def _call(self, method: str, path: str, body: bytes):
        failures = []
        for node in self.nodes:
            try:
                reply = node.request(method, f"/operate/{path}", body)
                return _outcome(reply.status_code, reply.read())
            except ConnectionRefusedError as error:
                failures.append(f"{node.host}:{node.port}: {error}")
            except (OSError, geventhttpclient.response.HTTPParseError) as error:
                message = f"{node.host}:{node.port} does not answer: {error}"
                return result.Err(CallError(0, message))
        return result.Err(CallError(0, "no node answers: " + "; ".join(failures)))


def _outcome(status: int, body: bytes) -> result.Result[typing.Any, CallError]:
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError:
        return result.Err(CallError(status, "the node's reply is not JSON"))
    if status == 200:
        return result.Ok(value)
    message = value.get("error", {}).get("message", "no reason given")
    return result.Err(CallError(status, message, tuple(value.get("difference", ()))))
