"""Calls: the HTTP side of one caller's request, shared by all protocols."""

import collections.abc
import hashlib
import hmac
import math
import time
import typing
import uuid

import attrs
import gevent
import orjson
import result

from mothworks import caller_watch, catalogue, outcomes, settings, uploads

StartResponse = collections.abc.Callable[[str, list[tuple[str, str]]], typing.Any]

#: Reason phrases of the statuses that nodes send themselves.
REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    414: "URI Too Long",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

#: Hint to a caller whose body finds no room, seconds.
UPLOADS_RETRY_S = 1.0
#: Most digits of a timeout that a caller names.
TIMEOUT_DIGITS = 6
JSON = ("Content-Type", "application/json")
#: Name in the WSGI environment of the connection that carries the call.
CONNECTION = "mothworks.connection"
#: Header that carries a request's id in every reply.
REQUEST_ID = "X-Request-Id"


def new_id() -> str:
    """Return a new request's id."""
    return uuid.uuid4().hex


@attrs.frozen
class Reply:
    """What a handler answers.

    :param status: the HTTP status.
    :param headers: its headers.
    :param body: the body's pieces, which may be produced as they are sent.
    :param refusal: the refusal that it carries, for logs and metrics.
    """

    status: int
    headers: list[tuple[str, str]]
    body: collections.abc.Iterable[bytes]
    refusal: outcomes.Refusal | None = None


@attrs.define
class Call:
    """One HTTP request to this VM.

    :param environ: the WSGI environment.
    :param limits: bounds of this VM.
    :param uploads: room for bodies that arrive.
    :param id: the request's id.
    :param arrived: monotonic time of arrival, seconds.
    :param watch: notices when the caller leaves, once started.
    """

    environ: dict[str, typing.Any]
    limits: settings.Limits
    uploads: uploads.Uploads
    id: str = attrs.field(factory=new_id)
    arrived: float = attrs.field(factory=time.monotonic)
    watch: caller_watch.Watch | None = None

    def start_watch(self) -> caller_watch.Watch:
        """Watch for the caller to leave, from when its body was read."""
        self.watch = caller_watch.Watch(self.environ[CONNECTION].socket)
        return self.watch

    def stop_watch(self) -> None:
        """Stop watching, if the watch was started."""
        if self.watch is not None:
            self.watch.stop()

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return self.environ["REQUEST_METHOD"]

    @property
    def path(self) -> str:
        """Return the path, percent-decoded."""
        return self.environ["PATH_INFO"]

    @property
    def raw_path(self) -> str:
        """Return the path as it was sent, without its query."""
        return self.environ[CONNECTION].path.partition("?")[0]

    def header(self, name: str) -> str:
        """Return a header's value, or an empty text.

        :param name: the header's name.
        """
        return self.environ.get("HTTP_" + name.upper().replace("-", "_"), "")

    def bearer_hash(self) -> str | None:
        """Return the SHA-256 hash of the bearer key, or None without one."""
        scheme, _, key = self.header("authorization").partition(" ")
        if scheme.lower() != "bearer" or not key:
            return None
        return hashlib.sha256(key.strip().encode("latin-1")).hexdigest()

    def deadline(self) -> result.Result[float, outcomes.Refusal]:
        """Return the monotonic time after which no answer is of use.

        Callers may name it by the header ``Request-Timeout``, in seconds.
        """
        value = self.header("request-timeout")
        if not value:
            return result.Ok(math.inf)
        number = value.isascii() and value.isdecimal() and len(value) <= TIMEOUT_DIGITS
        if not (number and int(value)):
            message = "Request-Timeout must be a whole number of seconds above 0"
            return result.Err(outcomes.invalid(message))
        return result.Ok(self.arrived + int(value))

    def body(self) -> result.Result[bytes, outcomes.Refusal]:
        """Read the whole body, bounded in bytes and time."""
        most = self.limits.body_bytes
        length = int(self.environ.get("CONTENT_LENGTH") or 0)
        if length > most:
            return result.Err(_too_long(most))
        reserved = most if self.environ["wsgi.input"].chunked_input else length
        if not self.uploads.reserve(reserved):
            message = "too many bodies arrive at this node"
            return result.Err(outcomes.overloaded(message, UPLOADS_RETRY_S, "uploads"))
        try:
            return self._read(most)
        finally:
            self.uploads.free(reserved)

    def _read(self, most: int) -> result.Result[bytes, outcomes.Refusal]:
        try:
            with gevent.Timeout(self.limits.upload_s):
                body = self.environ["wsgi.input"].read(most + 1)
        except (gevent.Timeout, TimeoutError):
            message = f"the body did not arrive within {self.limits.upload_s:g} s"
            return result.Err(outcomes.invalid(message, "upload_timeout", 408))
        except (OSError, ValueError):
            # Also what the server raises for chunks that are no HTTP.
            return result.Err(outcomes.invalid("the body broke off", "truncated_body"))
        if len(body) > most:
            return result.Err(_too_long(most))
        return result.Ok(body)


def authenticate(
    call: Call, index: catalogue.Index
) -> result.Result[catalogue.Caller, outcomes.Refusal]:
    """Return the caller whose key a call carries.

    :param call: the call.
    :param index: the catalogue in force.
    """
    key_hash = call.bearer_hash()
    caller = index.caller_by_key_hash.get(key_hash) if key_hash else None
    # The lookup is by the key's hash, so its timing says nothing of a key;
    # the comparison is in constant time all the same.
    if caller is None or not hmac.compare_digest(caller.key_sha256, key_hash):
        return result.Err(
            outcomes.invalid("a valid API key is needed", "invalid_api_key", 401)
        )
    return result.Ok(caller)


def refuse(refusal: outcomes.Refusal, fractions: bool = False) -> Reply:
    """Return the reply that carries a refusal.

    :param refusal: why there is no answer.
    :param fractions: whether callers understand parts of a second in the hint
        when to come back, which HTTP counts in whole ones.
    """
    headers = [JSON, ("Mothworks-Ran", refusal.ran)]
    if refusal.retry_after is not None:
        exact = f"{refusal.retry_after:g}"
        whole = str(max(1, round(refusal.retry_after)))
        headers.append(("Retry-After", exact if fractions else whole))
    return Reply(refusal.status, headers, [refusal.body()], refusal)


def raw(reply: Reply, request_id: str) -> bytes:
    """Return a whole reply as bytes, after which the connection closes.

    :param reply: the reply, its body a list.
    :param request_id: the request's id.
    """
    body = b"".join(reply.body)
    lines = [f"HTTP/1.1 {status_line(reply.status)}"]
    lines += [f"{name}: {value}" for name, value in reply.headers]
    lines += [f"{REQUEST_ID}: {request_id}", "Connection: close"]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def json_reply(value: typing.Any, status: int = 200) -> Reply:
    """Return a reply of plain values as JSON.

    :param value: maps, lists, texts and numbers.
    :param status: the HTTP status.
    """
    return Reply(status, [JSON], [orjson.dumps(value)])


def status_line(status: int) -> str:
    """Return a status with its reason phrase.

    :param status: the HTTP status.
    """
    return f"{status} {REASONS.get(status, 'Status')}"


def _too_long(most: int) -> outcomes.Refusal:
    return outcomes.invalid(
        f"the body is longer than {most} bytes", "body_too_long", 413
    )
