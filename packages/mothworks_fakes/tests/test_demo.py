"""The demo of the README's quick start runs to its end."""

import pathlib

from mothworks_fakes import demo

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


def test_the_demo_streams_through_every_node_and_ends_cleanly(capfd):
    demo.run(folder=EXAMPLES, only="bandeja.json")
    shown = capfd.readouterr().out
    assert shown.count("[DONE]") == 3
    assert '"echo":"from the demo"' in shown
    assert shown.count("ended with code 0") == 3
    assert "== done" in shown
