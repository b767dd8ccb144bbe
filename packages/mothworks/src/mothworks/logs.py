"""Structured logging by logbook, as text or one JSON object a line."""

import os
import select
import sys
import time
import typing

import gevent
import logbook
import orjson

from mothworks import settings

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
    "{record.extra[vm]} {record.channel} {record.extra[request_id]} {record.message}"
)


class JsonHandler(logbook.StreamHandler):
    """Writes each record as one JSON object."""

    def format(self, record: logbook.LogRecord) -> str:
        """Return the record's line."""
        line = {
            "time": record.time.isoformat(),
            "level": record.level_name.lower(),
            "channel": record.channel,
            "message": record.message,
            **record.extra,
        }
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return orjson.dumps(line, default=str).decode()


class BoundedHandler(JsonHandler):
    """Writes JSON lines to a descriptor, bounded in rate and never waiting.

    Under load, or where nobody reads the other end, lines are left out; the
    next line that is written says how many.

    :param descriptor: where to, a pipe or a file.
    :param level: lowest level that is written.
    :param lines_per_s: lines a second on average; twice as many in a burst.
    """

    def __init__(self, descriptor: int, level: int, lines_per_s: float):
        super().__init__(sys.stdout, level=level)
        self.descriptor = descriptor
        self.lines_per_s = lines_per_s
        self.allowance = 2 * lines_per_s
        self.filled = time.monotonic()
        self.left_out = 0
        self.writable = select.poll()
        self.writable.register(descriptor, select.POLLOUT)

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or count it as left out."""
        now = time.monotonic()
        earned = (now - self.filled) * self.lines_per_s
        self.filled = now
        self.allowance = min(2 * self.lines_per_s, self.allowance + earned)
        if self.allowance < 1 or not self._writable():
            self.left_out += 1
            return
        self.allowance -= 1
        if self.left_out:
            record.extra["left_out"] = self.left_out
        data = self.format(record).encode()[: select.PIPE_BUF - 1] + b"\n"
        try:
            os.write(self.descriptor, data)
        except OSError:
            # The reader is gone; there is nowhere left to say so.
            self.left_out += 1
        else:
            self.left_out = 0

    def _writable(self) -> bool:
        # A pipe that polls as writable takes PIPE_BUF bytes without waiting.
        return any(event & select.POLLOUT for _, event in self.writable.poll(0))


def event(log: logbook.Logger, what: str, /, **fields: typing.Any) -> None:
    """Log one decision or change, as fields that programs can filter by.

    :param log: the logger of the part that decided.
    :param what: what kind of decision it was.
    :param fields: its inputs, their age or version, and the outcome.
    """
    log.info(what, extra=fields)


def install_bounded(chosen: settings.Logs, vm: str, lines_per_s: float) -> None:
    """Send the process' log records to standard output, bounded.

    :param chosen: the log settings.
    :param vm: the VM's name, which each line carries.
    :param lines_per_s: see :class:`BoundedHandler`.
    """
    logbook.set_datetime_format("utc")

    def add_vm(record: logbook.LogRecord) -> None:
        record.extra["vm"] = vm

    level = logbook.lookup_level(chosen.level.upper())
    logbook.Processor(add_vm).push_application()
    BoundedHandler(sys.stdout.fileno(), level, lines_per_s).push_application()


def install(chosen: settings.Logs, vm: str) -> None:
    """Send the process' log records to standard error.

    :param chosen: the log settings.
    :param vm: the VM's name, which each line carries.
    """
    logbook.set_datetime_format("utc")

    def add_context(record: logbook.LogRecord) -> None:
        record.extra["vm"] = vm
        record.extra["request_id"] = current_request_id()

    level = logbook.lookup_level(chosen.level.upper())
    if chosen.json:
        handler = JsonHandler(sys.stderr, level=level)
    else:
        handler = logbook.StreamHandler(
            sys.stderr, level=level, format_string=TEXT_FORMAT
        )
    logbook.Processor(add_context).push_application()
    handler.push_application()


def set_request_id(request_id: str) -> None:
    """Name the request that the current task works for.

    :param request_id: appears on each log line of the task.
    """
    gevent.getcurrent().request_id = request_id


def current_request_id() -> str:
    """Return the id of the current task's request, or ``-``."""
    return getattr(gevent.getcurrent(), "request_id", "-")
