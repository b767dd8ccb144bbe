"""A caller that retries each request until it has a final answer.

It records every attempt of a request, and checks the recorded history.
"""

import collections.abc
import enum
import hashlib

import attrs
import gevent
import geventhttpclient
import geventhttpclient.response
import orjson

from mothworks_fakes import history

#: Maximum number of attempts of a request.
MAX_ATTEMPTS = 60
#: Delay before a retry, seconds.
RETRY_DELAY_S = 0.3
#: Maximum time without received data, seconds.
READ_TIMEOUT_S = 20.0

_CONNECTION_ERRORS = (OSError, geventhttpclient.response.HTTPParseError)


class Kind(enum.StrEnum):
    """Kind of a request."""

    #: A streamed completion of a model; it may run more than once.
    STREAM = "stream"
    #: A call of a service that may run at most once.
    ORDER = "order"


@attrs.frozen
class Request:
    """One request of a caller.

    :param kind: the kind of the request.
    :param target: the model or service.
    :param number: unique number; makes body and idempotency key unique.
    :param tokens: number of tokens of a stream.
    """

    kind: Kind
    target: str
    number: int
    tokens: int = 8

    @property
    def path(self) -> str:
        """Return the path of the call."""
        if self.kind is Kind.ORDER:
            return f"/services/{self.target}/confirm"
        return "/v1/chat/completions"

    @property
    def body(self) -> bytes:
        """Return the body, which is the same in each attempt."""
        messages = [{"role": "user", "content": f"request {self.number}"}]
        return orjson.dumps(
            {
                "model": self.target,
                "messages": messages,
                "max_tokens": self.tokens,
                "stream": True,
            }
        )

    @property
    def digest(self) -> str:
        """Return the hash of the body, which engines write into each token."""
        return hashlib.sha256(self.body).hexdigest()[:12]


@attrs.define
class Attempt:
    """The result of one attempt.

    :param url: base URL of the node that received it.
    :param status: the HTTP status; 0 if the connection broke.
    :param ran: what a refusal states about whether the request ran.
    :param retry: whether the response has a ``Retry-After`` header.
    :param request_id: the request id that the node assigned to this attempt.
    :param body: the received body; empty if the connection broke.
    :param runs: runs that the endpoints have started by then: for an order, of
        all attempts; for a stream, which has no idempotency key, of this attempt.
    """

    url: str
    status: int = 0
    ran: str = ""
    retry: bool = False
    request_id: str = ""
    body: bytes = b""
    runs: int = 0


@attrs.define
class RequestHistory:
    """The history of one request.

    :param request: the request.
    :param attempts: its attempts, in order.
    """

    request: Request
    attempts: list[Attempt] = attrs.field(factory=list)

    def is_final(self) -> bool:
        """Return whether the last attempt is final.

        A complete answer is, and so is the refusal of an order that may have run and
        that the caller must not retry.
        """
        if not self.attempts:
            return False
        last = self.attempts[-1]
        if self.request.kind is Kind.ORDER:
            return last.status == 200 or (last.ran == "unknown" and not last.retry)
        return last.status == 200 and last.body.endswith(b"[DONE]\n\n")

    def check(self) -> list[str]:
        """Return the violations in this history."""
        violations = [
            f"{self.request}: {attempt.url} states ran: no after {attempt.runs} runs"
            for attempt in self.attempts
            if attempt.ran == "no" and attempt.runs
        ]
        if not self.is_final():
            last = self.attempts[-1] if self.attempts else None
            return [
                *violations,
                f"{self.request}: no final answer; last attempt: {last}",
            ]
        if self.request.kind is Kind.ORDER:
            return violations + self._check_order(self.attempts[-1])
        return violations + self._check_stream(self.attempts[-1])

    def _check_order(self, attempt: Attempt) -> list[str]:
        violations = []
        if attempt.runs > 1:
            violations.append(f"{self.request}: the order ran {attempt.runs} times")
        if attempt.status == 200 and attempt.runs != 1:
            violations.append(f"{self.request}: answered after {attempt.runs} runs")
        if attempt.status == 200:
            echo = orjson.loads(attempt.body).get("echo", "")
            if echo.encode() != self.request.body:
                violations.append(
                    f"{self.request}: received the answer to another order"
                )
        return violations

    def _check_stream(self, attempt: Attempt) -> list[str]:
        record = history.Record(
            number=self.request.number,
            traffic="stream",
            url=attempt.url,
            digest=self.request.digest,
            due_s=0.0,
            wanted_tokens=self.request.tokens,
            status=attempt.status,
        )
        record.parse_stream(attempt.body)
        return history.check_answers([record])


class Caller:
    """Sends requests with one key.

    :param key: the caller's API key.
    """

    def __init__(self, key: str):
        self.key = key

    def send_until_final(
        self,
        request_history: RequestHistory,
        next_url: collections.abc.Callable[[], str],
        count_runs: collections.abc.Callable[[Request, str], int],
    ) -> None:
        """Send a request until it has a final answer.

        :param request_history: the request's history; the attempts are added to it.
        :param next_url: returns the base URL for the next attempt.
        :param count_runs: returns the runs of a request, see :class:`Attempt`.
        """
        for _ in range(MAX_ATTEMPTS):
            attempt = self.send(request_history.request, next_url())
            attempt.runs = count_runs(request_history.request, attempt.request_id)
            request_history.attempts.append(attempt)
            if request_history.is_final():
                return
            gevent.sleep(RETRY_DELAY_S)

    def send(self, request: Request, url: str) -> Attempt:
        """Send a request once.

        :param request: the request.
        :param url: the node's base URL.
        """
        headers = {
            "Authorization": f"Bearer {self.key}",
            "Content-Type": "application/json",
        }
        if request.kind is Kind.ORDER:
            headers["Idempotency-Key"] = f"order-{request.number}"
        http = geventhttpclient.HTTPClient.from_url(url, network_timeout=READ_TIMEOUT_S)
        attempt = Attempt(url)
        try:
            response = http.post(request.path, request.body, headers)
            attempt.ran = response.get("mothworks-ran", "")
            attempt.retry = "retry-after" in response
            attempt.request_id = response.get("x-request-id", "")
            attempt.body = bytes(response.read())
            attempt.status = response.status_code
        except _CONNECTION_ERRORS:
            # Status 0 marks a broken connection. What was received of the body is
            # discarded: a caller cannot use an incomplete answer.
            pass
        finally:
            http.close()
        return attempt
