"""HTTP requests of callers and replies to them, shared by all protocols."""

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

#: Reason phrases of the statuses of replies that a node itself creates.
REASON_PHRASES = {
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

#: Retry-After of the refusal while too many bodies are arriving, seconds.
UPLOADS_RETRY_AFTER_S = 1.0
#: Maximum number of digits in the header Request-Timeout.
MAX_TIMEOUT_DIGITS = 6
JSON = ("Content-Type", "application/json")
#: Key of the caller's connection in the WSGI environment.
CONNECTION = "mothworks.connection"
#: Header of every reply that carries the request's id.
REQUEST_ID = "X-Request-Id"


def new_id() -> str:
    """Return a new unique request id."""
    return uuid.uuid4().hex


@attrs.frozen
class Reply:
    """The reply to one call.

    :param status: the HTTP status.
    :param headers: its headers.
    :param body: the body's chunks, which may be generated while they are sent.
    :param refusal: the refusal that the body describes, for logs and metrics.
    """

    status: int
    headers: list[tuple[str, str]]
    body: collections.abc.Iterable[bytes]
    refusal: outcomes.Refusal | None = None


@attrs.define
class Call:
    """One HTTP request to this VM.

    :param environ: the WSGI environment.
    :param limits: limits of this VM.
    :param uploads: memory limit for bodies that are arriving.
    :param id: the request's id.
    :param received_at: monotonic time of arrival, seconds.
    :param watch: detects that the caller disconnects; None until started.
    """

    environ: dict[str, typing.Any]
    limits: settings.Limits
    uploads: uploads.Uploads
    id: str = attrs.field(factory=new_id)
    received_at: float = attrs.field(factory=time.monotonic)
    watch: caller_watch.DisconnectWatch | None = None

    def start_watch(self) -> caller_watch.DisconnectWatch:
        """Start to watch for a disconnect; call it once the body was read."""
        self.watch = caller_watch.DisconnectWatch(self.environ[CONNECTION].socket)
        return self.watch

    def stop_watch(self) -> None:
        """Stop the watch for a disconnect, if it was started."""
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
        """Return a header's value, or an empty string if it is absent.

        :param name: the header's name.
        """
        return self.environ.get("HTTP_" + name.upper().replace("-", "_"), "")

    def bearer_hash(self) -> str | None:
        """Return the SHA-256 hash of the bearer key, or None if there is no key."""
        scheme, _, key = self.header("authorization").partition(" ")
        if scheme.lower() != "bearer" or not key:
            return None
        return hashlib.sha256(key.strip().encode("latin-1")).hexdigest()

    def deadline(self) -> result.Result[float, outcomes.Refusal]:
        """Return the monotonic time after which the caller needs no answer.

        The header ``Request-Timeout`` sets it, in seconds after the arrival;
        without the header there is no deadline.
        """
        value = self.header("request-timeout")
        if not value:
            return result.Ok(math.inf)
        is_number = (
            value.isascii() and value.isdecimal() and len(value) <= MAX_TIMEOUT_DIGITS
        )
        if not (is_number and int(value)):
            message = "Request-Timeout must be a whole number of seconds above 0"
            return result.Err(outcomes.invalid(message))
        return result.Ok(self.received_at + int(value))

    def body(self) -> result.Result[bytes, outcomes.Refusal]:
        """Read the whole body within the limits on bytes and time."""
        max_bytes = self.limits.body_bytes
        length = int(self.environ.get("CONTENT_LENGTH") or 0)
        if length > max_bytes:
            return result.Err(_body_too_long(max_bytes))
        reserved_bytes = (
            max_bytes if self.environ["wsgi.input"].chunked_input else length
        )
        if not self.uploads.reserve(reserved_bytes):
            message = "too many request bodies are arriving at this node"
            return result.Err(
                outcomes.overloaded(message, UPLOADS_RETRY_AFTER_S, "uploads")
            )
        try:
            return self._read(max_bytes)
        finally:
            self.uploads.free(reserved_bytes)

    def _read(self, max_bytes: int) -> result.Result[bytes, outcomes.Refusal]:
        try:
            with gevent.Timeout(self.limits.upload_s):
                source = self.environ["wsgi.input"]
                body = self.environ[CONNECTION].read_body(source, max_bytes + 1)
        except (gevent.Timeout, TimeoutError):
            message = f"the body did not arrive within {self.limits.upload_s:g} s"
            return result.Err(outcomes.invalid(message, "upload_timeout", 408))
        except (OSError, ValueError):
            # The server raises these for malformed chunks, too.
            return result.Err(
                outcomes.invalid(
                    "the body is incomplete or malformed", "truncated_body"
                )
            )
        if len(body) > max_bytes:
            return result.Err(_body_too_long(max_bytes))
        return result.Ok(body)


def authenticate(
    call: Call, index: catalogue.Index
) -> result.Result[catalogue.Caller, outcomes.Refusal]:
    """Return the caller whose API key a call carries.

    :param call: the call.
    :param index: the catalogue in force.
    """
    key_hash = call.bearer_hash()
    caller = index.caller_by_key_hash.get(key_hash) if key_hash else None
    # The lookup uses the key's hash, so its timing reveals nothing about a key;
    # the comparison is constant-time nevertheless.
    if caller is None or not hmac.compare_digest(caller.key_sha256, key_hash):
        return result.Err(
            outcomes.invalid("a valid API key is needed", "invalid_api_key", 401)
        )
    return result.Ok(caller)


def refuse(refusal: outcomes.Refusal, fractions: bool = False) -> Reply:
    """Return the error reply for a refusal.

    :param refusal: why the request is refused.
    :param fractions: whether callers accept fractions of a second in
        Retry-After, for which HTTP allows whole seconds only.
    """
    headers = [JSON, ("Mothworks-Ran", refusal.ran)]
    if refusal.retry_after is not None:
        exact = f"{refusal.retry_after:g}"
        rounded = str(max(1, round(refusal.retry_after)))
        headers.append(("Retry-After", exact if fractions else rounded))
    return Reply(refusal.status, headers, [refusal.body()], refusal)


def serialize(reply: Reply, request_id: str) -> bytes:
    """Return the bytes of a reply, for a connection that closes after it.

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
    """Return a reply whose body is a value as JSON.

    :param value: the value, made of dicts, lists, strings and numbers.
    :param status: the HTTP status.
    """
    return Reply(status, [JSON], [orjson.dumps(value)])


def status_line(status: int) -> str:
    """Return the status code with its reason phrase.

    :param status: the HTTP status.
    """
    return f"{status} {REASON_PHRASES.get(status, 'Status')}"


def _body_too_long(max_bytes: int) -> outcomes.Refusal:
    return outcomes.invalid(
        f"the body is longer than {max_bytes} bytes", "body_too_long", 413
    )
