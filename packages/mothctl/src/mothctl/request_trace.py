"""Traces a request through the logs of all VMs: its own lines, and what explains them.

Another line may explain one of the request's lines if both share an endpoint, a model
or the VM, and if it was written shortly before that line or, for endpoints, after it.
Lines about the lease need nothing in common with the request's.
"""

import collections.abc
import datetime
import typing

import attrs
import orjson
import result

#: Fields that a printed line shows in its first columns or omits.
LEADING_FIELDS = frozenset(("time", "level", "channel", "message", "vm", "request_id"))


@attrs.frozen
class Line:
    """A line of a VM's log.

    :param at: time at which it was written, by the VM's clock, UTC.
    :param vm: the VM.
    :param message: the event that it reports, such as ``refused``.
    :param fields: all fields of the log line.
    """

    at: datetime.datetime
    vm: str
    message: str
    fields: dict[str, typing.Any]

    @property
    def request(self) -> str:
        """Return the ID of the request that the line is about, or an empty string."""
        return self.fields.get("request") or ""


@attrs.frozen
class Context:
    """Messages that may explain the lines of a request.

    :param messages: the messages.
    :param shared: the field that must be equal in both lines; empty for none.
    :param before_s: maximum time by which they precede the request's line, seconds.
    :param after_s: maximum time by which they follow the request's line, seconds.
    """

    messages: frozenset[str]
    shared: str
    before_s: float
    after_s: float = 0.0

    def explains(self, line: Line, own: Line) -> bool:
        """Return whether a line may explain one of the request's lines.

        :param line: the line.
        :param own: the request's line.
        """
        if line.message not in self.messages or line.request:
            return False
        age_s = (own.at - line.at).total_seconds()
        if not -self.after_s <= age_s <= self.before_s:
            return False
        value = own.fields.get(self.shared)
        return not self.shared or bool(value) and line.fields.get(self.shared) == value


CONTEXTS = (
    Context(frozenset(("load decided", "order", "not held")), "model", 5.0),
    Context(
        frozenset(
            (
                "endpoint",
                "endpoint limit",
                "endpoint passed over",
                "entry unreadable",
                "no report",
                "order",
            )
        ),
        "endpoint",
        5.0,
        # The registry notices an endpoint's crash only after requests broke off.
        after_s=2.0,
    ),
    Context(
        frozenset(
            (
                "declaration",
                "declaration unproven",
                "declaration proven",
                "dependency lost",
                "dependency regained",
                "feed",
                "health published",
                "owner silent",
                "reload",
                "start",
                "stop",
                "watch",
            )
        ),
        "vm",
        10.0,
    ),
    Context(frozenset(("lease",)), "", 10.0),
)


@attrs.frozen
class Trace:
    """A request's lines and those that may explain them, ordered by time.

    :param request: the request's ID.
    :param own: the request's lines.
    :param around: the lines that may explain them.
    """

    request: str
    own: tuple[Line, ...]
    around: tuple[Line, ...]

    @property
    def left_out(self) -> dict[str, int]:
        """Return the number of lines that each VM left out just before these lines."""
        count_by_vm: dict[str, int] = {}
        for line in (*self.own, *self.around):
            left_out = line.fields.get("left_out", 0)
            if left_out:
                count_by_vm[line.vm] = count_by_vm.get(line.vm, 0) + left_out
        return count_by_vm


def read(texts: collections.abc.Iterable[str]) -> list[Line]:
    """Parse log lines, ordered by time; lines of other programs are skipped.

    :param texts: lines of any logs. A prefix before the first brace, such as the name
        of a container, is ignored.
    """
    parsed_lines = (_line(text) for text in texts)
    return sorted(filter(None, parsed_lines), key=lambda line: line.at)


def trace(lines: list[Line], request: str) -> result.Result[Trace, str]:
    """Collect the lines of a request and those that may explain them.

    :param lines: the lines of all VMs, ordered by time.
    :param request: the request's ID.
    :returns: the trace, or an error message.
    """
    own = tuple(line for line in lines if line.request == request)
    if not own:
        return result.Err(f"no line names the request {request}")
    around = tuple(
        line
        for line in lines
        if any(
            context.explains(line, own_line) for context in CONTEXTS for own_line in own
        )
    )
    return result.Ok(Trace(request, own, around))


def render(traced: Trace) -> str:
    """Return a trace as text, in which ``*`` marks the request's lines.

    :param traced: the trace.
    """
    lines_by_time = sorted((*traced.own, *traced.around), key=lambda line: line.at)
    rows = [_row(line, line.request == traced.request) for line in lines_by_time]
    rows += [
        f"INCOMPLETE: {vm} left out {count} lines"
        for vm, count in sorted(traced.left_out.items())
    ]
    return "\n".join(rows)


def _line(text: str) -> Line | None:
    try:
        fields = orjson.loads(text[text.index("{") :])
        at = datetime.datetime.fromisoformat(fields["time"])
        return Line(at, fields["vm"], fields["message"], fields)
    except (ValueError, KeyError, TypeError):
        return None


def _row(line: Line, is_own: bool) -> str:
    shown_fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in LEADING_FIELDS and value not in ("", None)
    )
    mark = "*" if is_own else " "
    return f"{mark} {line.at:%H:%M:%S.%f} {line.vm} {line.message}: {shown_fields}"
