"""Recorded histories of runs, and checks of their invariants.

Each check returns a list of violations; an empty list means that the invariant
holds. The checks use only observations of callers and endpoints, never what
the nodes report about themselves.
"""

import collections
import collections.abc

import attrs
import orjson

from mothworks_fakes import engine


@attrs.define
class Record:
    """A caller's observations of one request.

    :param number: unique in the run.
    :param traffic: name of its class of requests.
    :param url: base URL of the node that received it.
    :param digest: hash of the body; engines write it into each token.
    :param due_s: scheduled time, seconds from the run's start.
    :param wanted_tokens: number of tokens requested.
    :param status: the HTTP status; 0 without a response.
    :param ran: what a refusal states about whether the request ran.
    :param first_token_s: time from ``due_s`` to the first token, seconds.
    :param last_token_s: time from ``due_s`` to the last event, seconds.
    :param end_s: end of the request, seconds from the run's start.
    :param tokens: the received tokens, in order.
    :param done: whether the stream ended with ``[DONE]``.
    :param error: why the answer is incomplete; empty otherwise.
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
        """Return whether the caller received the whole answer."""
        return self.done and not self.error

    @property
    def between_tokens_s(self) -> float | None:
        """Return the mean time between tokens, seconds."""
        if self.first_token_s is None or len(self.tokens) < 2:
            return None
        return (self.last_token_s - self.first_token_s) / (len(self.tokens) - 1)

    def parse_stream(self, text: bytes) -> None:
        """Parse a whole stream of server-sent events.

        :param text: the received body.
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
    """Check that each request ended with its own complete answer or an error.

    :param records: the callers' observations.
    """
    violations = []
    for record in records:
        expected = [f"{record.digest}-{index}" for index in range(len(record.tokens))]
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
    """Check that no request ran whose refusal states that it did not run.

    :param records: the callers' observations.
    :param runs: the runs that all engines started.
    """
    run_digests = {run.digest for run in runs}
    return [
        f"request {record.number}: refused with ran: no, but it ran"
        for record in records
        if record.ran == "no" and record.digest in run_digests
    ]


def check_at_most_once(bodies: collections.Counter[bytes]) -> list[str]:
    """Check that no non-repeatable call ran more than once.

    :param bodies: number of calls by body.
    """
    return [
        f"{body!r:.60} ran {count} times" for body, count in bodies.items() if count > 1
    ]


def check_revisions(
    revisions_by_vm: collections.abc.Mapping[str, collections.abc.Sequence[int]],
) -> list[str]:
    """Check that no VM's revision ever decreased.

    :param revisions_by_vm: the revisions that each VM showed, in chronological
        order.
    """
    violations = []
    for vm, revisions in revisions_by_vm.items():
        for earlier, later in zip(revisions, revisions[1:], strict=False):
            if later < earlier:
                violations.append(f"{vm}: revision {earlier}, then {later}")
    return violations


def check_memory(engines: collections.abc.Iterable[engine.Engine]) -> list[str]:
    """Check that no accelerator's memory was ever overcommitted.

    :param engines: the engines, which record their peak memory.
    """
    return [
        f"{item.url}: {item.peak_memory_mb} MB of {item.memory_mb} MB"
        for item in engines
        if item.peak_memory_mb > item.memory_mb
    ]
