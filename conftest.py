"""Marks the known failures listed in ``KNOWN-RED.txt`` as expected failures.

Each line of the list has five fields separated by ``|``: the test's id, the cause, the
command and seed that reproduce the failure, what was observed, and the open issue.
"""

import pathlib

import attrs
import pytest

LIST_PATH = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
#: Fields of a line.
FIELD_COUNT = 5


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


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the list, so that known failures stay visible in every run."""
    for entry in terminalreporter.config.known_red:
        terminalreporter.write_line(f"known red: {entry.line}")
