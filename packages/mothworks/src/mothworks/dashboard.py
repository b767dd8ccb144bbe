"""Caller protocol ``/dashboard``: one static HTML page for browsers.

It lists the collections of ``show``: attainment per accelerator, queues,
moves, models, endpoints and VMs. The operator's key is the password of HTTP
basic authentication, because browsers send no bearer tokens; any user name is
accepted. The page is read-only and contains no secrets.
"""

import base64
import binascii
import collections.abc
import datetime
import functools
import hashlib
import html
import importlib.resources
import string
import typing

import attrs
import result

from mothworks import (
    answers,
    calls,
    configuration,
    kernel,
    operator_keys,
    outcomes,
    plugins,
    queries,
    statements,
)

#: Maximum number of rows shown of one table; the others are counted below it.
MAX_ROWS = 60
#: Cell texts that are highlighted as alarms.
ALARM_TEXTS = frozenset(("down", "unknown", "no"))

C = statements.Collection


@attrs.frozen
class Section:
    """A table of the page.

    :param title: its heading.
    :param collection: the collection that it lists.
    :param columns: the fields that it shows.
    :param sort_key: sort key of the rows.
    """

    title: str
    collection: statements.Collection
    columns: tuple[str, ...]
    sort_key: collections.abc.Callable[[typing.Any], typing.Any]


SECTIONS = (
    Section(
        "Attainment of the last minute",
        C.ATTAINMENT,
        (
            "urgency",
            "requests",
            "met",
            "late",
            "failed",
            "refused",
            "in_target",
            "accelerators",
            "met_a_minute",
        ),
        lambda row: 0,
    ),
    Section(
        "Queues",
        C.QUEUES,
        (
            "endpoint",
            "owner",
            "running",
            "slots",
            "urgent",
            "standard",
            "bulk",
            "longest_ms",
        ),
        lambda row: (-row.urgent, -row.queued, row.endpoint),
    ),
    Section(
        "Moves",
        C.MOVES,
        ("endpoint", "order", "model", "state", "number", "reserved_mb", "why"),
        lambda row: (row.endpoint, row.state),
    ),
    Section(
        "Models",
        C.MODELS,
        ("model", "base", "version", "replicas", "open", "endpoints"),
        lambda row: (row.open, row.model),
    ),
    Section(
        "Endpoints",
        C.ENDPOINTS,
        ("endpoint", "data_centre", "owner", "state", "drain", "leaving", "models"),
        lambda row: (row.state == "open", row.endpoint),
    ),
    Section(
        "VMs",
        C.PEERS,
        ("vm", "data_centre", "region", "address", "port", "leaving", "endpoints"),
        lambda row: row.vm,
    ),
)


@plugins.register(plugins.CALLER_PROTOCOL, "/dashboard")
class Dashboard:
    """Renders and serves the page.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        self.kernel = node_kernel
        self.configuration = node_kernel.get(configuration.Configuration)
        self.queries = node_kernel.get(queries.Queries)

    def serve(self, call: calls.Call) -> calls.Reply:
        """Answer one call.

        :param call: the call.
        """
        if call.path.rstrip("/") != "/dashboard" or call.method != "GET":
            return calls.refuse(
                outcomes.invalid(f"no resource at {call.path!r:.80}", "not_found", 404)
            )
        operators = self.kernel.settings.operators
        if operator_keys.find(operators, _password_hash(call)) is None:
            challenge = ("WWW-Authenticate", 'Basic realm="mothworks operator key"')
            return calls.Reply(401, [challenge], [b"an operator's key is needed"])
        headers = [
            ("Content-Type", "text/html; charset=utf-8"),
            ("Cache-Control", "no-store"),
            (
                "Content-Security-Policy",
                "default-src 'none'; style-src 'unsafe-inline'",
            ),
        ]
        return calls.Reply(200, headers, [self._render_page().encode()])

    def _render_page(self) -> str:
        warnings, sections = [], []
        for section in SECTIONS:
            match self.queries.answer(statements.Show(section.collection)):
                case result.Ok(answer):
                    sections.append(_render_section(section, answer.tables[0]))
                    if answer.unanswered:
                        names = ", ".join(answer.unanswered)
                        warnings.append(f"{section.title}: no answer from {names}")
                    warnings += [f"{section.title}: {note}" for note in answer.notes]
                case result.Err(refusal):
                    warnings.append(f"{section.title}: {refusal.message}")
        now = datetime.datetime.now(datetime.UTC)
        return _template().substitute(
            vm=html.escape(self.kernel.settings.name),
            revision=self.configuration.revision,
            time=now.isoformat(timespec="seconds"),
            warnings="\n".join(_render_warning(text) for text in warnings),
            sections="\n".join(sections),
        )


@functools.cache
def _template() -> string.Template:
    page = importlib.resources.files("mothworks") / "dashboard.html"
    return string.Template(page.read_text(encoding="utf-8"))


def _password_hash(call: calls.Call) -> str:
    scheme, _, encoded = call.header("authorization").partition(" ")
    if scheme.lower() != "basic":
        return call.bearer_hash() or ""
    try:
        decoded = base64.b64decode(encoded, validate=True)
    except (binascii.Error, ValueError):
        return ""
    _, _, password = decoded.partition(b":")
    return hashlib.sha256(password).hexdigest()


def _render_warning(text: str) -> str:
    return f'<p class="warning">{html.escape(text)}</p>'


def _render_section(section: Section, table: answers.Table) -> str:
    title = f"<h2>{html.escape(section.title)}</h2>"
    rows = sorted(table.rows, key=section.sort_key)
    if not rows:
        return f"{title}\n<p>none</p>"
    header = "".join(
        f"<th{_number_class(getattr(rows[0], column))}>{column.replace('_', ' ')}</th>"
        for column in section.columns
    )
    lines = [f"<tr>{header}</tr>"]
    for row in rows[:MAX_ROWS]:
        cells = "".join(
            _render_cell(getattr(row, column)) for column in section.columns
        )
        lines.append(f"<tr>{cells}</tr>")
    omitted = len(rows) - MAX_ROWS
    footer = f"\n<p>and {omitted} more</p>" if omitted > 0 else ""
    return f"{title}\n<table>\n" + "\n".join(lines) + f"\n</table>{footer}"


def _number_class(value: typing.Any) -> str:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return ' class="number"' if is_number else ""


def _render_cell(value: typing.Any) -> str:
    match value:
        case bool():
            text = "yes" if value else ""
        case tuple() | list():
            text = ", ".join(map(str, value))
        case _:
            text = str(value)
    css = ' class="alarm"' if text in ALARM_TEXTS else _number_class(value)
    return f"<td{css}>{html.escape(text)}</td>"
