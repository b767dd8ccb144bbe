"""The examples are correct and as large as the deployments they stand for."""

import pathlib

import pytest

from mothworks import builtin, catalogue, catalogue_checks, settings  # noqa: F401

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize(
    ("name", "data_centres", "engines", "models", "adapters"),
    [("siamcrest.json", 4, 6, 15, 80), ("bandeja.json", 3, 9, 30, 100)],
)
def test_catalogue_is_correct(name, data_centres, engines, models, adapters):
    text = (EXAMPLES / name).read_text(encoding="utf-8")
    read = catalogue_checks.read(text, name).unwrap()
    assert len(read.data_centres) == data_centres
    assert sum(item.memory_mb > 0 for item in read.endpoints) == engines
    assert len(read.models) == models
    assert len(read.adapters) == adapters


def test_settings_are_correct():
    assert settings.load(EXAMPLES / "vm.json").unwrap().name == "vm-1"
