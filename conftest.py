"""Marks the known failures listed in ``KNOWN-RED.txt`` as expected failures.

Each line of the list has five fields separated by ``|``: the test's id, the cause, the
command and seed that reproduce the failure, what was observed, and the open issue.
"""

import os
import pathlib

import attrs
import pytest

LIST_PATH = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
#: Fields of a line.
FIELD_COUNT = 5
#: Maximum number of log files of a failed test that are shown, and of their last bytes.
MAX_LOGS = 12
MAX_LOG_BYTES = 8 << 10


@attrs.frozen
class KnownRed:
    """A test that is known to fail.

    :param test: its id, as pytest prints it.
    :param line: its line in the list.
    """

    test: str
    line: str


def read_list(text: str) -> list[KnownRed]:
    """Parse a list of known failures.

    :param text: the list.
    :returns: its tests.
    :raises ValueError: if a line does not have five non-empty fields.
    """
    known_failures = []
    for line in filter(None, map(str.strip, text.splitlines())):
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELD_COUNT or not all(fields):
            raise ValueError(f"KNOWN-RED.txt: five fields are needed: {line[:80]}")
        known_failures.append(KnownRed(fields[0], line))
    return known_failures


def pytest_configure(config: pytest.Config) -> None:
    """Read the list once, when pytest starts."""
    text = LIST_PATH.read_text() if LIST_PATH.exists() else ""
    config.known_red = read_list(text)


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Mark listed tests, and no others, as expected to fail."""
    line_by_test = {entry.test: entry.line for entry in config.known_red}
    for item in items:
        line = line_by_test.get(item.nodeid)
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line, strict=False))


def log_ends(folder: pathlib.Path) -> list[tuple[str, str]]:
    """Return the names and the ends of the log files in a folder.

    :param folder: the folder.
    """
    ends = []
    for path in sorted(folder.rglob("*.log"))[:MAX_LOGS]:
        with path.open("rb") as log:
            log.seek(max(0, path.stat().st_size - MAX_LOG_BYTES))
            ends.append((path.name, log.read().decode(errors="replace")))
    return ends


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item: pytest.Item):
    """Add the machine's load and the processes' logs to the report of a failed test."""
    outcome = yield
    report = outcome.get_result()
    if report.when != "call" or call_passed(report):
        return
    loads = " ".join(f"{load:.1f}" for load in os.getloadavg())
    report.sections.append(("load average", f"{loads} on {os.cpu_count()} processors"))
    folder = getattr(item, "funcargs", {}).get("tmp_path")
    if folder is not None:
        report.sections += [(f"end of {name}", text) for name, text in log_ends(folder)]


def call_passed(report: pytest.TestReport) -> bool:
    """Return whether a test neither failed nor failed as expected."""
    return report.passed or (report.skipped and not hasattr(report, "wasxfail"))


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the list and the reports of its tests that failed, with their logs."""
    for report in terminalreporter.stats.get("xfailed", ()):
        terminalreporter.write_sep("_", f"known red: {report.nodeid}")
        terminalreporter.write_line(report.longreprtext[-MAX_LOG_BYTES:])
        for name, text in report.sections:
            terminalreporter.write_sep("-", name)
            terminalreporter.write_line(text)
    for entry in terminalreporter.config.known_red:
        terminalreporter.write_line(f"known red: {entry.line}")
