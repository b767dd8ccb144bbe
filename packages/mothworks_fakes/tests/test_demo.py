"""The demo of the README's quick start runs to completion."""

import pathlib

from mothworks_fakes import demo

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


def test_demo_streams_through_every_node_and_exits_cleanly(capfd):
    demo.run(folder=EXAMPLES, only="bandeja.json")
    output = capfd.readouterr().out
    assert output.count("[DONE]") == 3
    assert '"echo":"from the demo"' in output
    assert output.count("ended with code 0") == 3
    assert "== done" in output
