"""Tests that are known to fail: listed in ``KNOWN-RED.txt``, run, and passed over.

Each line has five fields between ``|``: the test's id, its cause, the command and seed
that show it, what was seen, and the open issue.
"""

import pathlib

import attrs
import pytest

LIST = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
#: Fields of a line.
FIELDS = 5


@attrs.frozen
class KnownRed:
    """A test that is known to fail.

    :param test: its id, as pytest prints it.
    :param line: what the list says of it.
    """

    test: str
    line: str


def read_list(text: str) -> list[KnownRed]:
    """Return the tests that a list names.

    :param text: the list.
    :raises ValueError: for a line that does not say all that is asked for.
    """
    listed = []
    for line in filter(None, map(str.strip, text.splitlines())):
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELDS or not all(fields):
            raise ValueError(f"KNOWN-RED.txt: five fields are needed: {line[:80]}")
        listed.append(KnownRed(fields[0], line))
    return listed


def pytest_configure(config: pytest.Config) -> None:
    """Read the list once."""
    text = LIST.read_text() if LIST.exists() else ""
    config.known_red = read_list(text)


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Pass over the failures of listed tests, and of no others."""
    line_by_test = {known.test: known.line for known in config.known_red}
    for item in items:
        line = line_by_test.get(item.nodeid)
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line, strict=False))


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the list, so that no run looks greener than it is."""
    for known in terminalreporter.config.known_red:
        terminalreporter.write_line(f"known red: {known.line}")
