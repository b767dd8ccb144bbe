"""Settings and catalogues with mistakes: each error names path and expectation."""

import pathlib
import sys

import orjson
import pytest

import builders
from mothworks import catalogue_checks, cli, documents

HASH = "0" * 64


def settings_text(**changes):
    plain = documents.plain(builders.settings())
    return orjson.dumps({**plain, **changes}).decode()


def catalogue_text(**changes):
    plain = documents.plain(builders.declared())
    return orjson.dumps({**plain, **changes}).decode()


def item(builder, **changes):
    plain = documents.plain(getattr(builders, builder)())
    return {**plain, **changes}


BAD_SETTINGS = {
    "unknown field": ({"colour": "red"}, "$", "unknown field colour"),
    "text for a number": ({"port": "80"}, "$.port", "expected int, found str '80'"),
    "port too high": ({"port": 70_000}, "$", "port: expected a port, 0 to 65535"),
    "host name": (
        {"address": "localhost"},
        "$",
        "address: expected an IP number, found 'localhost'",
    ),
    "unknown field below": (
        {"limits": {"bodies": 1}},
        "$.limits",
        "unknown field bodies",
    ),
    "no time": (
        {"limits": {"write_s": 0}},
        "$.limits",
        "write_s: expected a number above 0, found 0",
    ),
    "unknown role": (
        {"operators": [{"name": "a", "role": "root", "key_sha256": HASH}]},
        "$.operators[0].role",
        "expected one of viewer, operator",
    ),
    "key instead of hash": (
        {"operators": [{"name": "a", "role": "viewer", "key_sha256": "secret"}]},
        "$.operators[0]",
        "expected a SHA-256 hash, 64 lower-case hex digits",
    ),
}

BAD_CATALOGUES = {
    "unknown field": (
        {"models": [item("model", color=1)]},
        "$.models[0]",
        "unknown field color",
    ),
    "missing field": (
        {"models": [{"name": "menu"}]},
        "$.models[0]",
        "required field 'memory_mb' is missing",
    ),
    "no object": ({"models": [3]}, "$.models[0]", "expected an object"),
    "no list": ({"endpoints": 5}, "$.endpoints", "expected a list"),
    "model twice": (
        {"models": [item("model"), item("model")]},
        "$.models, $.adapters",
        "'menu' is declared twice",
    ),
    "adapter named as its model": (
        {"adapters": [{"name": "menu", "model": "menu", "memory_mb": 1}]},
        "$.models, $.adapters",
        "'menu' is declared twice",
    ),
    "endpoint twice": (
        {"endpoints": [item("endpoint"), item("endpoint")]},
        "$.endpoints",
        "'engine-1' is declared twice",
    ),
    "one key for two callers": (
        {"callers": [item("caller"), item("caller", name="other")]},
        "$.callers",
        "two callers have the key hash",
    ),
    "adapter of no model": (
        {"adapters": [{"name": "spanish", "model": "absent", "memory_mb": 1}]},
        "$.adapters[0].model",
        "no model is named 'absent'",
    ),
    "model larger than any endpoint": (
        {"models": [item("model", memory_mb=100_000)]},
        "$.models[0]",
        "24000 MB are missing",
    ),
    "unknown data centre": (
        {"endpoints": [item("endpoint", data_centre="dc-9")]},
        "$.endpoints[0].data_centre",
        "no data centre is named 'dc-9'",
    ),
    "unknown kind": (
        {"endpoints": [item("endpoint", kind="abacus")]},
        "$.endpoints[0].kind",
        "expected one of application, vllm",
    ),
    "negative memory": (
        {"models": [item("model", memory_mb=-1)]},
        "$.models[0]",
        "memory_mb: expected a number above 0, found -1",
    ),
}


def check(tmp_path, capsys, text, **options):
    path = tmp_path / "file.json"
    path.write_text(text)
    code = cli.check(path, **options)
    return code, capsys.readouterr().err


@pytest.mark.parametrize("name", BAD_SETTINGS)
def test_wrong_settings(tmp_path, capsys, name):
    changes, path, expected = BAD_SETTINGS[name]
    code, printed = check(tmp_path, capsys, settings_text(**changes))
    assert code == cli.EXIT_USAGE == 2
    assert expected in printed
    assert f"{path}:" in printed or f"@ {path}" in printed


@pytest.mark.parametrize("name", BAD_CATALOGUES)
def test_wrong_catalogues(tmp_path, capsys, name):
    changes, path, expected = BAD_CATALOGUES[name]
    text = catalogue_text(**changes)
    code, printed = check(tmp_path, capsys, text, catalogue=True)
    assert code == cli.EXIT_USAGE
    assert expected in printed
    assert f"{path}:" in printed or f"@ {path}" in printed


def test_every_mistake_is_told_at_once():
    text = catalogue_text(
        models=[item("model", memory_mb=100_000), item("model", name="late")],
        endpoints=[item("endpoint", kind="abacus", data_centre="dc-9")],
    )
    problems = catalogue_checks.read(text, "example").unwrap_err().problems
    assert len(problems) >= 3


@pytest.mark.parametrize("text", ["", "{", '{"a": \x00}', "[]", "null", "{'a' 1}"])
def test_what_is_no_document(tmp_path, capsys, text):
    code, printed = check(tmp_path, capsys, text)
    assert code == cli.EXIT_USAGE
    assert "file.json: " in printed


def test_a_file_that_cannot_be_read(tmp_path, capsys):
    (tmp_path / "binary.json").write_bytes(b"\xff\xfe")
    for name in ("binary.json", "absent.json"):
        assert cli.check(tmp_path / name) == cli.EXIT_USAGE
        assert name in capsys.readouterr().err


def test_correct_files(tmp_path, capsys):
    assert check(tmp_path, capsys, settings_text())[0] == 0
    text = "// a comment\n" + catalogue_text()
    assert check(tmp_path, capsys, text, catalogue=True)[0] == 0


def test_the_command_lines(tmp_path, monkeypatch):
    path = tmp_path / "file.json"
    path.write_text("{}")
    for arguments in (
        ["--settings", str(path)],
        ["--announce", "--settings", str(path)],
        ["check", str(path)],
        ["check", "--catalogue", str(pathlib.Path(tmp_path, "absent"))],
        ["fly"],
    ):
        monkeypatch.setattr(sys, "argv", ["mothworks", *arguments])
        with pytest.raises(SystemExit) as ended:
            cli.main()
        assert ended.value.code == cli.EXIT_USAGE
