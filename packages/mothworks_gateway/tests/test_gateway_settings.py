"""Settings of the gateway: the error for an invalid file names the field."""

import orjson
import pytest

from mothworks_gateway import node, settings

VALID_SETTINGS = {
    "name": "vm-1",
    "address": "10.0.0.1",
    "front": "10.0.0.1:80",
    "ready": "10.0.0.1:81",
    "peer_port": 7000,
    "data_centre": "a",
    "region": "r",
    "adapter": "mothworks_platform",
    "platform": {"address": "10.0.0.9:8000"},
}


def write_settings(tmp_path, value):
    path = tmp_path / "node.json"
    path.write_bytes(orjson.dumps(value))
    return path


def test_valid_settings_are_loaded(tmp_path):
    loaded = settings.load(write_settings(tmp_path, VALID_SETTINGS)).unwrap()
    assert loaded.port == 80
    assert loaded.bounds.lease_ms == 3000


@pytest.mark.parametrize(
    ("override", "field_name"),
    [
        ({"front": "nowhere"}, "front"),
        ({"front": "10.0.0.1:99999"}, "front"),
        ({"ready": "host.example:80"}, "ready"),
        ({"address": "x"}, "address"),
        ({"peer_port": -1}, "peer_port"),
        ({"platform": {}}, "address"),
        ({"bounds": {"lease_ms": 0}}, "lease_ms"),
        ({"bounds": {"retry_window_s": "ten"}}, "retry_window_s"),
        ({"unheard_of": 1}, "unheard_of"),
    ],
)
def test_an_invalid_field_is_named_in_the_error(tmp_path, override, field_name):
    problem = settings.load(
        write_settings(tmp_path, {**VALID_SETTINGS, **override})
    ).unwrap_err()
    assert field_name in str(problem)


def test_a_missing_field_is_named_in_the_error(tmp_path, capsys):
    incomplete = {
        name: value for name, value in VALID_SETTINGS.items() if name != "region"
    }
    assert node.main(str(write_settings(tmp_path, incomplete))) == node.EXIT_USAGE
    printed = capsys.readouterr().err
    assert "region" in printed
    assert len(printed.splitlines()) == 1


def test_non_default_numbers_are_loaded_unchanged(tmp_path):
    # No value of a particular deployment is hard-coded.
    bounds = {
        "retry_share": 0.05,
        "retry_window_s": 3,
        "retry_slack": 1,
        "lease_ms": 700,
        "fenced": False,
        "leave_ms": 700,
        "load_window_s": 2,
        "load_factor": 0.5,
        "stop_s": 3,
    }
    loaded = settings.load(
        write_settings(tmp_path, {**VALID_SETTINGS, "bounds": bounds})
    ).unwrap()
    for name, value in bounds.items():
        assert getattr(loaded.bounds, name) == value
