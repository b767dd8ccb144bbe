"""The command line of the binary ``mothctl``."""

import os
import pathlib
import sys

import defopt
import orjson
import result
import tabulate

from mothctl import client
from mothworks import builtin, catalogue, documents  # noqa: F401

#: Exit codes.
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3

URL_VARIABLE = "MOTHWORKS_URL"
KEY_VARIABLE = "MOTHWORKS_KEY"


def apply(file: pathlib.Path, *, why: str = "") -> int:
    """Check a catalogue and put it in force.

    :param file: the catalogue, JSON with comments.
    :param why: the reason, for the audit trail.
    """
    match catalogue.read(file.read_text(encoding="utf-8"), str(file)):
        case result.Ok(declared):
            pass
        case result.Err(problem):
            print(problem, file=sys.stderr)
            return EXIT_USAGE
    node = _client()
    outcome = node.get("catalogue").and_then(
        lambda current: node.put(
            "catalogue",
            {
                "revision": current["revision"],
                "why": why,
                "catalogue": documents.plain(declared),
            },
        )
    )
    return _print(outcome.map(lambda reply: f"revision {reply['revision']}"))


def show(collection: str, *, json: bool = False) -> int:
    """List what a node knows.

    :param collection: models, endpoints or peers.
    :param json: print JSON in place of a table.
    """
    outcome = _client().get(f"show/{collection}")
    if json:
        return _print(outcome.map(lambda rows: orjson.dumps(rows).decode()))
    return _print(outcome.map(lambda rows: tabulate.tabulate(rows, headers="keys")))


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run([apply, show], short={}))


def _client() -> client.Client:
    url = os.environ.get(URL_VARIABLE, "http://127.0.0.1:8000")
    return client.Client(url, os.environ.get(KEY_VARIABLE, ""))


def _print(outcome: result.Result[str, client.CallError]) -> int:
    match outcome:
        case result.Ok(text):
            print(text)
            return 0
        case result.Err(error):
            print(error.message, file=sys.stderr)
            return EXIT_CONFLICT if error.status == 409 else EXIT_FAILED
