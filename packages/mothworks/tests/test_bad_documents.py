"""Settings and catalogues with mistakes: errors name the path and what is expected."""

import pathlib
import sys

import orjson
import pytest

import builders
from mothworks import catalogue_checks, cli, documents

HASH = "0" * 64


def settings_text(**changes):
    plain = documents.to_plain(builders.settings())
    return orjson.dumps({**plain, **changes}).decode()


def catalogue_text(**changes):
    plain = documents.to_plain(builders.make_catalogue())
    return orjson.dumps({**plain, **changes}).decode()


def item(builder, **changes):
    plain = documents.to_plain(getattr(builders, builder)())
    return {**plain, **changes}


INVALID_SETTINGS = {
    "unknown field": ({"colour": "red"}, "$", "unknown field colour"),
    "text for a number": ({"port": "80"}, "$.port", "expected int, found str '80'"),
    "port too high": ({"port": 70_000}, "$", "port: expected a port, 0 to 65535"),
    "host name": (
        {"address": "localhost"},
        "$",
        "address: expected an IP address, found 'localhost'",
    ),
    "unknown nested field": (
        {"limits": {"bodies": 1}},
        "$.limits",
        "unknown field bodies",
    ),
    "timeout of zero": (
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

INVALID_CATALOGUES = {
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
    "not an object": ({"models": [3]}, "$.models[0]", "expected an object"),
    "not a list": ({"endpoints": 5}, "$.endpoints", "expected a list"),
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
    "adapter of an unknown model": (
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


def check_file(tmp_path, capsys, text, **options):
    path = tmp_path / "file.json"
    path.write_text(text)
    exit_code = cli.check(path, **options)
    return exit_code, capsys.readouterr().err


@pytest.mark.parametrize("name", INVALID_SETTINGS)
def test_invalid_settings(tmp_path, capsys, name):
    changes, path, expected = INVALID_SETTINGS[name]
    exit_code, error_output = check_file(tmp_path, capsys, settings_text(**changes))
    assert exit_code == cli.EXIT_USAGE == 2
    assert expected in error_output
    assert f"{path}:" in error_output or f"@ {path}" in error_output


@pytest.mark.parametrize("name", INVALID_CATALOGUES)
def test_invalid_catalogues(tmp_path, capsys, name):
    changes, path, expected = INVALID_CATALOGUES[name]
    text = catalogue_text(**changes)
    exit_code, error_output = check_file(tmp_path, capsys, text, catalogue=True)
    assert exit_code == cli.EXIT_USAGE
    assert expected in error_output
    assert f"{path}:" in error_output or f"@ {path}" in error_output


def test_all_mistakes_are_reported_together():
    text = catalogue_text(
        models=[item("model", memory_mb=100_000), item("model", name="late")],
        endpoints=[item("endpoint", kind="abacus", data_centre="dc-9")],
    )
    problems = catalogue_checks.parse_and_check(text, "example").unwrap_err().problems
    assert len(problems) >= 3


@pytest.mark.parametrize("text", ["", "{", '{"a": \x00}', "[]", "null", "{'a' 1}"])
def test_text_that_is_not_a_document(tmp_path, capsys, text):
    exit_code, error_output = check_file(tmp_path, capsys, text)
    assert exit_code == cli.EXIT_USAGE
    assert "file.json: " in error_output


def test_an_unreadable_file(tmp_path, capsys):
    (tmp_path / "binary.json").write_bytes(b"\xff\xfe")
    for name in ("binary.json", "absent.json"):
        assert cli.check(tmp_path / name) == cli.EXIT_USAGE
        assert name in capsys.readouterr().err


def test_valid_files(tmp_path, capsys):
    assert check_file(tmp_path, capsys, settings_text())[0] == 0
    text = "// a comment\n" + catalogue_text()
    assert check_file(tmp_path, capsys, text, catalogue=True)[0] == 0


def test_invalid_command_lines(tmp_path, monkeypatch):
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
        with pytest.raises(SystemExit) as exited:
            cli.main()
        assert exited.value.code == cli.EXIT_USAGE
