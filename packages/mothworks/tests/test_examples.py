"""The examples are valid and as large as the deployments that they represent."""

import pathlib

import pytest

from mothworks import builtin, catalogue, catalogue_checks, settings  # noqa: F401

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize(
    ("name", "data_centres", "engines", "models", "adapters"),
    [("siamcrest.json", 4, 6, 15, 80), ("bandeja.json", 3, 9, 30, 100)],
)
def test_catalogue_is_valid(name, data_centres, engines, models, adapters):
    text = (EXAMPLES / name).read_text(encoding="utf-8")
    declared = catalogue_checks.parse_and_check(text, name).unwrap()
    assert len(declared.data_centres) == data_centres
    assert sum(item.memory_mb > 0 for item in declared.endpoints) == engines
    assert len(declared.models) == models
    assert len(declared.adapters) == adapters


def test_settings_are_valid():
    assert settings.load(EXAMPLES / "vm.json").unwrap().name == "vm-1"
