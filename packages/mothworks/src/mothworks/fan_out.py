"""Fan-out: queries other VMs for rows that only they have.

The VM that an operator queries forwards the query to its peers over the
existing connections and collects typed rows. Replies are limited in size. VMs
that do not reply are listed, so that a partial result is never mistaken for a
complete one.
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

#: Timeout of the call to one VM, seconds.
REPLY_TIMEOUT_S = 1.0
#: Maximum number of rows from one VM.
MAX_ROWS_PER_VM = 200


class Topic(enum.StrEnum):
    """Kinds of rows that VMs can be queried for."""

    WAITING = "waiting"
    TRACE = "trace"
    STEPS = "steps"
    BATCHES = "batches"
    MOVES = "moves"
    LOAD_TARGETS = "places"
    ATTAINMENT = "attainment"


@messages.message(80)
@attrs.frozen
class RowsRequest:
    """Requests rows from a peer.

    :param topic: a :class:`Topic`.
    :param argument: filters the rows, as each topic defines.
    :param max_rows: maximum number of rows in the reply.
    """

    topic: str
    argument: str
    max_rows: int


@messages.message(81)
@attrs.frozen
class RowsReply:
    """The reply to :class:`RowsRequest`.

    :param rows: each row's fields in the order of its class.
    :param left_out: number of rows beyond the requested maximum.
    """

    rows: tuple[tuple, ...] = attrs.field(converter=tuple)
    left_out: int = 0


@attrs.frozen
class Query:
    """A query of one topic.

    :param topic: the topic.
    :param argument: filters the rows, as the topic defines.
    :param vms: names of the VMs to query; None for all live ones.
    """

    topic: Topic
    argument: str = ""
    vms: frozenset[str] | None = None


@attrs.frozen
class QueryResult:
    """Rows that answer a query, and what they lack.

    :param rows: typed rows.
    :param unanswered: VMs that did not send a valid reply in time.
    :param left_out: number of rows beyond the maximum per VM; for the audit
        trail, number of older objects that were not read.
    """

    rows: tuple[typing.Any, ...]
    unanswered: tuple[str, ...] = ()
    left_out: int = 0


#: Returns this VM's rows for an argument; must not block.
RowSource = collections.abc.Callable[[str], list]


@attrs.frozen
class _Handler:
    row_class: type
    source: RowSource


@plugins.register(plugins.PART, "fan_out")
class FanOut(kernel.Part):
    """Queries peers for rows and serves their queries.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.membership = node_kernel.get(membership.Membership)
        self.peers = node_kernel.get(peers.Peers)
        self.handler_by_topic: dict[str, _Handler] = {}
        self.peers.handle(RowsRequest, self._serve_request)

    def register(self, topic: Topic, row_class: type, source: RowSource) -> None:
        """Register the source of a topic's rows on this VM.

        :param topic: the topic.
        :param row_class: class of its rows, the same on every VM.
        :param source: returns this VM's rows.
        """
        self.handler_by_topic[topic] = _Handler(row_class, source)

    def query(
        self,
        topic: Topic,
        argument: str = "",
        vms: collections.abc.Collection[str] | None = None,
    ) -> QueryResult:
        """Query VMs, by default all including this one, and wait for their rows.

        :param topic: the topic.
        :param argument: filters the rows, as the topic defines.
        :param vms: names of the VMs to query; None for all live ones.
        """
        if vms is None:
            vms = [member.name for member in self.membership.live()]
        request = RowsRequest(topic, argument, MAX_ROWS_PER_VM)
        names = sorted(vms)
        pool = gevent.pool.Pool(max(1, len(names)))
        replies = pool.map(lambda vm: self._request_rows(vm, request), names)
        row_class = self.handler_by_topic[topic].row_class
        rows, unanswered, left_out = [], [], 0
        for vm, reply in zip(names, replies, strict=True):
            vm_rows = None if reply is None else _rows(row_class, reply)
            if vm_rows is None:
                unanswered.append(vm)
                continue
            rows += vm_rows
            left_out += reply.left_out
        return QueryResult(tuple(rows), tuple(unanswered), left_out)

    def query_all(self, *queries: Query) -> list[QueryResult]:
        """Run several queries concurrently; see :meth:`query`.

        One after the other, each query would wait for the timeout of a VM that
        does not reply.

        :param queries: the queries.
        """
        pool = gevent.pool.Pool(len(queries))
        return pool.map(
            lambda query: self.query(query.topic, query.argument, query.vms), queries
        )

    def _request_rows(self, vm: str, request: RowsRequest) -> RowsReply | None:
        if vm == self.kernel.settings.name:
            return self._local_rows(request)
        match self.peers.call(vm, request, REPLY_TIMEOUT_S):
            case result.Ok(RowsReply() as reply):
                return reply
            case result.Ok(other):
                log.warning("{} replied with {}", vm, type(other).__name__)
                return None
            case result.Err(failure):
                log.info("{} did not reply: {}", vm, failure.reason)
                return None

    def _serve_request(self, _: str, request: RowsRequest, answer: peers.Reply) -> None:
        answer(self._local_rows(request))

    def _local_rows(self, request: RowsRequest) -> RowsReply:
        handler = self.handler_by_topic.get(request.topic)
        if handler is None:
            return RowsReply(())
        rows = handler.source(request.argument)
        returned = [
            attrs.astuple(row, recurse=False) for row in rows[: request.max_rows]
        ]
        return RowsReply(tuple(returned), len(rows) - len(returned))


def _rows(row_class: type, reply: RowsReply) -> list | None:
    """Return typed rows, or None if a peer's program version lacks some fields."""
    field_count = len(attrs.fields(row_class))
    try:
        return [row_class(*row[:field_count]) for row in reply.rows]
    except TypeError:
        return None
