"""Structured logging by logbook, as text or one JSON object a line."""

import sys

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
