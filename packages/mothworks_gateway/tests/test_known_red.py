"""The list of known failures: lines must be complete, and their tests must exist."""

import importlib.util
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parents[3]


@pytest.fixture
def conftest():
    spec = importlib.util.spec_from_file_location("root_conftest", ROOT / "conftest.py")
    made = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(made)
    return made


def test_each_line_lists_one_test(conftest):
    known_failures = conftest.read_list("a.py::test_a | why | how | what | issue 1\n\n")
    assert [entry.test for entry in known_failures] == ["a.py::test_a"]


@pytest.mark.parametrize("line", ["a.py::test_a", "a.py::test_a | | how | what | 1"])
def test_an_incomplete_line_is_rejected(conftest, line):
    with pytest.raises(ValueError, match="five fields"):
        conftest.read_list(line)


# Guards against a failure that cannot be traced because its logs are gone, and against
# reports that grow with them.
def test_the_ends_of_the_logs_of_a_failed_test_are_kept(conftest, tmp_path):
    (tmp_path / "1").mkdir()
    for number in range(conftest.MAX_LOGS + 1):
        text = f"first\n{'x' * conftest.MAX_LOG_BYTES}last"
        (tmp_path / "1" / f"vm-{number:02}.log").write_text(text)
    ends = conftest.log_ends(tmp_path)
    assert len(ends) == conftest.MAX_LOGS
    assert all(text.endswith("last") and "first" not in text for _, text in ends)


def test_listed_tests_exist(conftest):
    for entry in conftest.read_list(conftest.LIST_PATH.read_text()):
        path, _, name = entry.test.partition("::")
        assert f"def {name.partition('[')[0]}(" in (ROOT / path).read_text()
