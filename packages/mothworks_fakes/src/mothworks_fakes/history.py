"""Histories of runs, and checks of what must always hold in them.

Each check returns a list of violations; an empty list means that the run
kept the promise. The checks use only what callers and endpoints saw, never
what the nodes say of themselves.
"""

import collections
import collections.abc

import attrs
import orjson

from mothworks_fakes import engine


@attrs.define
class Record:
    """What one caller saw of one request.

    :param number: unique in the run.
    :param traffic: the kind of request.
    :param url: the node that was asked.
    :param digest: hash of the body; engines write it into each token.
    :param due_s: when it was due, seconds from the run's start.
    :param wanted_tokens: tokens that were asked for.
    :param status: the HTTP status; 0 without an answer.
    :param ran: what a refusal said about running.
    :param first_token_s: time from due to the first token, seconds.
    :param last_token_s: time from due to the end of the stream, seconds.
    :param end_s: when it ended, seconds from the run's start.
    :param tokens: what was received, in order.
    :param done: whether the stream ended with ``[DONE]``.
    :param error: why there is no complete answer; empty otherwise.
    """

    number: int
    traffic: str
    url: str
    digest: str
    due_s: float
    wanted_tokens: int
    status: int = 0
    ran: str = ""
    first_token_s: float | None = None
    last_token_s: float | None = None
    end_s: float = 0.0
    tokens: list[str] = attrs.field(factory=list)
    done: bool = False
    error: str = ""

    @property
    def complete(self) -> bool:
        """Return whether the caller got the whole answer."""
        return self.done and not self.error

    @property
    def between_tokens_s(self) -> float | None:
        """Return the mean time between tokens, seconds."""
        if self.first_token_s is None or len(self.tokens) < 2:
            return None
        return (self.last_token_s - self.first_token_s) / (len(self.tokens) - 1)

    def take_stream(self, text: bytes) -> None:
        """Read a whole stream of server-sent events.

        :param text: the body as received.
        """
        for event in text.split(b"\n\n"):
            data = event.removeprefix(b"data: ").strip()
            if not data:
                continue
            if data == b"[DONE]":
                self.done = True
                continue
            value = orjson.loads(data)
            if "error" in value:
                self.error = value["error"]["message"]
                self.ran = value["error"].get("ran", "")
                continue
            choice = value["choices"][0]
            self.tokens.append(choice["delta"]["content"].strip())


def check_answers(records: collections.abc.Iterable[Record]) -> list[str]:
    """Check that each request ended, and each answer is whole and its own.

    :param records: what callers saw.
    """
    violations = []
    for record in records:
        expected = [f"{record.digest}-{place}" for place in range(len(record.tokens))]
        if record.tokens != expected:
            violations.append(f"request {record.number}: tokens of another answer")
        if record.done and len(record.tokens) != record.wanted_tokens:
            violations.append(
                f"request {record.number}: [DONE] after {len(record.tokens)} of "
                f"{record.wanted_tokens} tokens"
            )
        if record.done and record.error:
            violations.append(f"request {record.number}: [DONE] and an error")
        if not record.done and not record.error:
            violations.append(f"request {record.number}: no answer and no error")
    return violations


def check_refusals(
    records: collections.abc.Iterable[Record],
    runs: collections.abc.Iterable[engine.Run],
) -> list[str]:
    """Check that what was said not to have run did not run.

    :param records: what callers saw.
    :param runs: what all engines began to run.
    """
    started = {run.body_hash for run in runs}
    return [
        f"request {record.number}: refused with ran: no, but it ran"
        for record in records
        if record.ran == "no" and record.digest in started
    ]


def check_at_most_once(bodies: collections.Counter[bytes]) -> list[str]:
    """Check that no non-repeatable call ran twice.

    :param bodies: how often each service saw each body.
    """
    return [
        f"{body!r:.60} ran {count} times" for body, count in bodies.items() if count > 1
    ]


def check_revisions(
    seen_by_vm: collections.abc.Mapping[str, collections.abc.Sequence[int]],
) -> list[str]:
    """Check that no VM's revision ever went back.

    :param seen_by_vm: the revisions that each VM showed, in order of time.
    """
    violations = []
    for vm, revisions in seen_by_vm.items():
        for earlier, later in zip(revisions, revisions[1:], strict=False):
            if later < earlier:
                violations.append(f"{vm}: revision {earlier}, then {later}")
    return violations


def check_memory(engines: collections.abc.Iterable[engine.Engine]) -> list[str]:
    """Check that no accelerator's memory was ever overcommitted.

    :param engines: engines, which count their own peak.
    """
    return [
        f"{item.url}: {item.peak_memory_mb} MB of {item.memory_mb} MB"
        for item in engines
        if item.peak_memory_mb > item.memory_mb
    ]
