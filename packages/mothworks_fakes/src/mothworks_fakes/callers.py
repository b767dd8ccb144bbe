"""A caller that does what callers do: it sends again until it has an answer.

It keeps one story for each request, from which history checks judge.
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

#: Times that a caller sends the same request.
MOST_SENDS = 60
#: Pause of a caller before it sends again, seconds.
RESEND_S = 0.3
#: Longest silence that a caller accepts, seconds.
PATIENCE_S = 20.0

_BROKEN = (OSError, geventhttpclient.response.HTTPParseError)


class Kind(enum.StrEnum):
    """What is asked for."""

    #: A streamed answer of a model, repeatable.
    STREAM = "stream"
    #: A call of a service that may run at most once.
    ORDER = "order"


@attrs.frozen
class Ask:
    """One request of a caller.

    :param kind: what is asked for.
    :param target: the model or service.
    :param number: makes body and idempotency key unique.
    :param tokens: tokens of a stream.
    """

    kind: Kind
    target: str
    number: int
    tokens: int = 8

    @property
    def path(self) -> str:
        """Return the path on a node."""
        if self.kind is Kind.ORDER:
            return f"/services/{self.target}/confirm"
        return "/v1/chat/completions"

    @property
    def body(self) -> bytes:
        """Return the body, the same for each sending."""
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
        """Return the body's hash, as engines write it into tokens."""
        return hashlib.sha256(self.body).hexdigest()[:12]


@attrs.define
class Answer:
    """What the caller got from one sending.

    :param url: the node asked.
    :param status: the HTTP status; 0 where the connection broke.
    :param ran: what a refusal said about running.
    :param body: the body as far as it came.
    :param retry: whether a refusal said when to send the request again.
    :param request_id: the id that the node gave this sending.
    :param runs: runs that the endpoints had seen by then: of an order, of all
        its sendings; of a stream, which has no key, of this sending.
    """

    url: str
    status: int = 0
    ran: str = ""
    retry: bool = False
    request_id: str = ""
    body: bytes = b""
    runs: int = 0


@attrs.define
class Story:
    """What happened to one request.

    :param ask: the request.
    :param answers: the caller's answers, in order.
    """

    ask: Ask
    answers: list[Answer] = attrs.field(factory=list)

    def is_over(self) -> bool:
        """Return whether the last answer is final."""
        if not self.answers:
            return False
        last = self.answers[-1]
        if self.ask.kind is Kind.ORDER:
            return last.status == 200 or (last.ran == "unknown" and not last.retry)
        return last.status == 200 and last.body.endswith(b"[DONE]\n\n")

    def check(self) -> list[str]:
        """Return what the story violates."""
        violations = [
            f"{self.ask}: {answer.url} said ran: no after {answer.runs} runs"
            for answer in self.answers
            if answer.ran == "no" and answer.runs
        ]
        if not self.is_over():
            last = self.answers[-1] if self.answers else None
            return [*violations, f"{self.ask}: no final answer, last {last}"]
        if self.ask.kind is Kind.ORDER:
            return violations + self._check_order(self.answers[-1])
        return violations + self._check_stream(self.answers[-1])

    def _check_order(self, answer: Answer) -> list[str]:
        violations = []
        if answer.runs > 1:
            violations.append(f"{self.ask}: the order ran {answer.runs} times")
        if answer.status == 200 and answer.runs != 1:
            violations.append(f"{self.ask}: an answer after {answer.runs} runs")
        if answer.status == 200:
            echo = orjson.loads(answer.body).get("echo", "")
            if echo.encode() != self.ask.body:
                violations.append(f"{self.ask}: the answer of another order")
        return violations

    def _check_stream(self, answer: Answer) -> list[str]:
        record = history.Record(
            number=self.ask.number,
            traffic="stream",
            url=answer.url,
            digest=self.ask.digest,
            due_s=0.0,
            wanted_tokens=self.ask.tokens,
            status=answer.status,
        )
        record.take_stream(answer.body)
        return history.check_answers([record])


class Caller:
    """Sends requests with one key.

    :param key: the caller's API key.
    """

    def __init__(self, key: str):
        self.key = key

    def ask(
        self,
        story: Story,
        next_url: collections.abc.Callable[[], str],
        count_runs: collections.abc.Callable[[Ask, str], int],
    ) -> None:
        """Send a request until it has a final answer.

        :param story: the request; its answers are added here.
        :param next_url: returns the node for the next sending.
        :param count_runs: returns the runs of a request, see :class:`Answer`.
        """
        for _ in range(MOST_SENDS):
            answer = self.send(story.ask, next_url())
            answer.runs = count_runs(story.ask, answer.request_id)
            story.answers.append(answer)
            if story.is_over():
                return
            gevent.sleep(RESEND_S)

    def send(self, ask: Ask, url: str) -> Answer:
        """Send a request once.

        :param ask: the request.
        :param url: the node's base URL.
        """
        headers = {
            "Authorization": f"Bearer {self.key}",
            "Content-Type": "application/json",
        }
        if ask.kind is Kind.ORDER:
            headers["Idempotency-Key"] = f"order-{ask.number}"
        http = geventhttpclient.HTTPClient.from_url(url, network_timeout=PATIENCE_S)
        answer = Answer(url)
        try:
            reply = http.post(ask.path, ask.body, headers)
            answer.ran = reply.get("mothworks-ran", "")
            answer.retry = "retry-after" in reply
            answer.request_id = reply.get("x-request-id", "")
            answer.body = bytes(reply.read())
            answer.status = reply.status_code
        except _BROKEN:
            # A connection that broke leaves status 0; what came of the body
            # is of no use to a caller who cannot tell how it would go on.
            pass
        finally:
            http.close()
        return answer
