"""Fan-out: an operator's question to other VMs, for facts that only they have.

The asked VM relays the question to its peers over their usual connections
and gathers typed rows. Answers are bounded, and a VM that does not answer is
named, so that a partial picture is never taken for the whole.
"""

import collections.abc
import enum
import typing

import attrs
import gevent.pool
import logbook
import result

from mothworks import kernel, membership, messages, peers, plugins

log = logbook.Logger("fan_out")

#: Longest wait for one VM, seconds.
TIMEOUT_S = 1.0
#: Most rows from one VM.
MOST_ROWS = 200


class Topic(enum.StrEnum):
    """What other VMs can be asked."""

    WAITING = "waiting"
    TRACE = "trace"
    STEPS = "steps"
    BATCHES = "batches"
    MOVES = "moves"
    PLACES = "places"
    ATTAINMENT = "attainment"


@messages.message(80)
@attrs.frozen
class Question:
    """Asks a peer for rows.

    :param topic: a :class:`Topic`.
    :param argument: narrows the topic, as each topic defines.
    :param most: most rows in the answer.
    """

    topic: str
    argument: str
    most: int


@messages.message(81)
@attrs.frozen
class Facts:
    """The answer to :class:`Question`.

    :param rows: each row's fields in the order of its class.
    :param left_out: rows beyond the most asked for.
    """

    rows: tuple[tuple, ...] = attrs.field(converter=tuple)
    left_out: int = 0


@attrs.frozen
class Wanted:
    """A topic to ask several VMs about.

    :param topic: the topic.
    :param argument: narrows it.
    :param vms: names of the VMs to ask; None for all live ones.
    """

    topic: Topic
    argument: str = ""
    vms: frozenset[str] | None = None


@attrs.frozen
class Gathered:
    """What all asked VMs said.

    :param rows: typed rows.
    :param unanswered: VMs that did not answer in time.
    :param left_out: rows that were beyond the bound.
    """

    rows: tuple[typing.Any, ...]
    unanswered: tuple[str, ...] = ()
    left_out: int = 0


#: Returns this VM's rows for an argument; must not block.
Source = collections.abc.Callable[[str], list]


@attrs.frozen
class _Served:
    row_class: type
    source: Source


@plugins.register(plugins.PART, "fan_out")
class FanOut(kernel.Part):
    """Asks peers and answers theirs.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.membership = node_kernel.get(membership.Membership)
        self.peers = node_kernel.get(peers.Peers)
        self.served_by_topic: dict[str, _Served] = {}
        self.peers.handle(Question, self._serve)

    def serve(self, topic: Topic, row_class: type, source: Source) -> None:
        """Answer a topic from now on.

        :param topic: the topic.
        :param row_class: class of its rows, the same on every VM.
        :param source: returns this VM's rows.
        """
        self.served_by_topic[topic] = _Served(row_class, source)

    def ask(
        self,
        topic: Topic,
        argument: str = "",
        vms: collections.abc.Collection[str] | None = None,
    ) -> Gathered:
        """Ask VMs, this one among them, and wait for their rows.

        :param topic: the topic.
        :param argument: narrows it.
        :param vms: names of the VMs to ask; None for all live ones.
        """
        if vms is None:
            vms = [member.name for member in self.membership.live()]
        question = Question(topic, argument, MOST_ROWS)
        names = sorted(vms)
        pool = gevent.pool.Pool(max(1, len(names)))
        facts = pool.map(lambda vm: self._ask_one(vm, question), names)
        row_class = self.served_by_topic[topic].row_class
        rows, unanswered, left_out = [], [], 0
        for vm, fact in zip(names, facts, strict=True):
            read = None if fact is None else _rows(row_class, fact)
            if read is None:
                unanswered.append(vm)
                continue
            rows += read
            left_out += fact.left_out
        return Gathered(tuple(rows), tuple(unanswered), left_out)

    def ask_each(self, *wanted: Wanted) -> list[Gathered]:
        """Ask several topics at the same time; see :meth:`ask`.

        One after the other, a VM that does not answer would cost its timeout
        for every topic.

        :param wanted: what to ask.
        """
        pool = gevent.pool.Pool(len(wanted))
        return pool.map(
            lambda item: self.ask(item.topic, item.argument, item.vms), wanted
        )

    def _ask_one(self, vm: str, question: Question) -> Facts | None:
        if vm == self.kernel.settings.name:
            return self._facts(question)
        match self.peers.call(vm, question, TIMEOUT_S):
            case result.Ok(Facts() as facts):
                return facts
            case result.Ok(other):
                log.warning("{} answered with {}", vm, type(other).__name__)
                return None
            case result.Err(failure):
                log.info("{} did not answer: {}", vm, failure.reason)
                return None

    def _serve(self, _: str, question: Question, answer: peers.Answer) -> None:
        answer(self._facts(question))

    def _facts(self, question: Question) -> Facts:
        served = self.served_by_topic.get(question.topic)
        if served is None:
            return Facts(())
        rows = served.source(question.argument)
        kept = [attrs.astuple(row, recurse=False) for row in rows[: question.most]]
        return Facts(tuple(kept), len(rows) - len(kept))


def _rows(row_class: type, facts: Facts) -> list | None:
    """Return typed rows, or None where another version's fields do not fit."""
    known = len(attrs.fields(row_class))
    try:
        return [row_class(*row[:known]) for row in facts.rows]
    except TypeError:
        return None
