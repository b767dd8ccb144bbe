"""The command line with a node: output, exit codes, conflicts."""

import pathlib

import orjson
import pytest

import builders
from mothctl import cli
from mothworks import documents
from mothworks_fakes import testbed


@pytest.fixture
def bed(tmp_path):
    made = testbed.Testbed(tmp_path)
    yield made
    made.stop()


@pytest.fixture
def node(bed, monkeypatch):
    started = bed.add_node("vm-1", "dc-1", "region-1")
    monkeypatch.setenv(cli.URL_VARIABLE, started.url)
    monkeypatch.setenv(cli.KEY_VARIABLE, testbed.OPERATOR_KEY)
    return started


@pytest.fixture
def write(tmp_path):
    def write_catalogue(name="catalogue.json", **changes):
        path: pathlib.Path = tmp_path / name
        declared = documents.to_plain(builders.make_catalogue(**changes))
        path.write_bytes(b"// declared\n" + orjson.dumps(declared))
        return str(path)

    return write_catalogue


def test_apply_diff_and_conflict(node, write, capsys):
    """A catalogue file that was written before a drain would silently end the drain."""
    file = write()
    assert cli.apply(file) == cli.EXIT_DONE
    assert "revision 1 is in force" in capsys.readouterr().out
    assert cli.apply(file) == cli.EXIT_DONE
    assert "no difference" in capsys.readouterr().out
    assert cli.ask("drain endpoint engine-1 because driver") == cli.EXIT_DONE
    changed = write("changed.json", models=(builders.model(), builders.model("wine")))
    assert cli.apply(changed) == cli.EXIT_UNCONFIRMED
    printed = capsys.readouterr().err
    assert "~ endpoints/engine-1 drain: True -> False" in printed
    assert "+ models/wine" in printed
    assert "at revision 2" in printed
    assert cli.ask(f"apply {changed} at revision 1") == cli.EXIT_CONFLICT
    assert "drain: False -> True" in capsys.readouterr().err
    assert cli.ask("show endpoints where drain = true", json=True) == cli.EXIT_DONE
    assert len(orjson.loads(capsys.readouterr().out)["tables"][0]["rows"]) == 1
    assert cli.ask(f"apply {changed} at revision 2") == cli.EXIT_DONE
    capsys.readouterr()
    assert cli.diff(changed, json=True) == cli.EXIT_DONE
    assert orjson.loads(capsys.readouterr().out) == {"revision": 3, "difference": []}


def test_exit_codes(node, write, capsys, monkeypatch, tmp_path):
    assert cli.ask("show modles") == cli.EXIT_USAGE
    assert capsys.readouterr().err.splitlines()[:2] == ["show modles", "     ^"]
    assert cli.ask("why model absent") == cli.EXIT_USAGE
    assert cli.ask("apply absent.json") == cli.EXIT_USAGE
    assert cli.check(write("bad.json", models=())) == cli.EXIT_DONE
    (tmp_path / "wrong.json").write_text('{"models": [{"nam": 1}]}')
    assert cli.check(str(tmp_path / "wrong.json")) == cli.EXIT_USAGE
    assert "unknown field nam" in capsys.readouterr().err
    key_file = tmp_path / "key"
    key_file.write_text(testbed.OPERATOR_KEY + "\n")
    monkeypatch.setenv(cli.KEY_VARIABLE, "wrong")
    assert cli.ask("show models") == cli.EXIT_FORBIDDEN
    monkeypatch.setenv(cli.KEY_FILE_VARIABLE, str(key_file))
    assert cli.ask("show models") == cli.EXIT_DONE
    monkeypatch.setenv(cli.URL_VARIABLE, f"http://127.0.0.1:1,{node.url}")
    assert cli.ask("watch models", rounds=2) == cli.EXIT_DONE
    monkeypatch.setenv(cli.URL_VARIABLE, "http://127.0.0.1:1")
    assert cli.ask("show models") == cli.EXIT_FAILED
