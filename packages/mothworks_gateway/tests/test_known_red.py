"""The list of known failures: only whole lines count, and only the tests they name."""

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


def test_each_line_names_one_test(conftest):
    listed = conftest.read_list("a.py::test_a | why | how | what | issue 1\n\n")
    assert [known.test for known in listed] == ["a.py::test_a"]


@pytest.mark.parametrize("line", ["a.py::test_a", "a.py::test_a | | how | what | 1"])
def test_a_line_that_says_too_little_is_refused(conftest, line):
    with pytest.raises(ValueError, match="five fields"):
        conftest.read_list(line)


def test_listed_tests_exist(conftest):
    for known in conftest.read_list(conftest.LIST.read_text()):
        path, _, name = known.test.partition("::")
        assert f"def {name.partition('[')[0]}(" in (ROOT / path).read_text()
