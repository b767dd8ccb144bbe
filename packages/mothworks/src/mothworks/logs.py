"""Structured logging with logbook, as text or as one JSON object per line."""

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
    """Writes each record as one JSON object on a line."""

    def format(self, record: logbook.LogRecord) -> str:
        """Return the line of a record."""
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


class RateLimitedHandler(JsonHandler):
    """Writes JSON lines to a file descriptor at a limited rate without blocking.

    If lines exceed the rate, or nothing reads the other end of a pipe, lines
    are dropped. The next line that is written contains their number in the
    field ``left_out``. A line is truncated to what a pipe accepts without blocking,
    ``PIPE_BUF`` bytes; it is then not valid JSON.

    :param descriptor: the descriptor of a pipe or a file.
    :param level: lowest level that is written.
    :param lines_per_s: average lines per second; a burst may have twice as many.
    """

    def __init__(self, descriptor: int, level: int, lines_per_s: float):
        super().__init__(sys.stdout, level=level)
        self.descriptor = descriptor
        self.lines_per_s = lines_per_s
        self.tokens = 2 * lines_per_s
        self.refilled_at = time.monotonic()
        self.dropped_lines = 0
        self.poller = select.poll()
        self.poller.register(descriptor, select.POLLOUT)

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        now = time.monotonic()
        refill = (now - self.refilled_at) * self.lines_per_s
        self.refilled_at = now
        self.tokens = min(2 * self.lines_per_s, self.tokens + refill)
        if self.tokens < 1 or not self._is_writable():
            self.dropped_lines += 1
            return
        self.tokens -= 1
        if self.dropped_lines:
            record.extra["left_out"] = self.dropped_lines
        data = self.format(record).encode()[: select.PIPE_BUF - 1] + b"\n"
        try:
            os.write(self.descriptor, data)
        except OSError:
            # The reader closed the pipe, so the failure cannot be logged.
            self.dropped_lines += 1
        else:
            self.dropped_lines = 0

    def _is_writable(self) -> bool:
        # A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
        return any(event & select.POLLOUT for _, event in self.poller.poll(0))


def event(log: logbook.Logger, text: str, /, **fields: typing.Any) -> None:
    """Log a decision or change with fields by which log lines can be filtered.

    :param log: the logger of the deciding part.
    :param text: the kind of decision.
    :param fields: its inputs, their age or version, and the outcome.
    """
    log.info(text, extra=fields)


def install_bounded(log_settings: settings.Logs, vm: str, lines_per_s: float) -> None:
    """Write the process' log records to standard output at a limited rate.

    :param log_settings: the log settings.
    :param vm: the VM's name, added to each line.
    :param lines_per_s: see :class:`RateLimitedHandler`.
    """
    logbook.set_datetime_format("utc")

    def add_vm(record: logbook.LogRecord) -> None:
        record.extra["vm"] = vm

    level = logbook.lookup_level(log_settings.level.upper())
    logbook.Processor(add_vm).push_application()
    RateLimitedHandler(sys.stdout.fileno(), level, lines_per_s).push_application()


def install(log_settings: settings.Logs, vm: str) -> None:
    """Write the process' log records to standard error.

    :param log_settings: the log settings.
    :param vm: the VM's name, added to each line.
    """
    logbook.set_datetime_format("utc")

    def add_context(record: logbook.LogRecord) -> None:
        record.extra["vm"] = vm
        record.extra["request_id"] = current_request_id()

    level = logbook.lookup_level(log_settings.level.upper())
    if log_settings.json:
        handler = JsonHandler(sys.stderr, level=level)
    else:
        handler = logbook.StreamHandler(
            sys.stderr, level=level, format_string=TEXT_FORMAT
        )
    logbook.Processor(add_context).push_application()
    handler.push_application()


def set_request_id(request_id: str) -> None:
    """Set the id of the request that the current task handles.

    :param request_id: the id that is added to each log line of the task.
    """
    gevent.getcurrent().request_id = request_id


def current_request_id() -> str:
    """Return the id of the current task's request, or ``-`` if it has none."""
    return getattr(gevent.getcurrent(), "request_id", "-")
