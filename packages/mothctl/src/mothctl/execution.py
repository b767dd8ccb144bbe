"""Executes statements: sends them to a node, or processes files locally.

A catalogue file replaces everything that is declared, so ``apply`` requires the
revision that the operator compared it with; ``diff`` prints it. Without a revision,
only the first catalogue of a deployment is applied.
"""

import pathlib
import typing

import attrs
import result

from mothctl import client, language
from mothworks import (  # noqa: F401
    builtin,
    catalogue,
    catalogue_checks,
    changes,
    documents,
    statements,
)


@attrs.frozen
class Done:
    """A statement was executed.

    :param answer: the node's answer, unchanged.
    """

    answer: dict[str, typing.Any]


@attrs.frozen
class Compared:
    """A file was compared with the catalogue in force.

    :param file: the file.
    :param revision: the revision in force.
    :param difference: what the file would change.
    """

    file: str
    revision: int
    difference: tuple[dict, ...]


@attrs.frozen
class Unconfirmed:
    """A file was not applied, because its changes have not been confirmed.

    :param compared: its comparison with the catalogue in force.
    """

    compared: Compared


@attrs.frozen
class WrongFile:
    """A file can't be read or does not contain a valid catalogue.

    :param problem: one line per problem.
    """

    problem: str


Outcome = result.Result[Done | Compared, Unconfirmed | WrongFile | client.CallError]


def run(statement: statements.Statement | language.Local, node: client.Client):
    """Execute one statement.

    :param statement: the statement; for a watch, one round is executed.
    :param node: client of the nodes.
    :returns: an :data:`Outcome`.
    """
    match statement:
        case language.Watch(show):
            return run(show, node)
        case language.Diff(file):
            return read_file(file).and_then(
                lambda declared: _compare(file, declared, node)
            )
        case language.Apply():
            return read_file(statement.file).and_then(
                lambda declared: _apply(statement, declared, node)
            )
        case _:
            return node.post("ask", statements.plain(statement)).map(Done)


def read_file(file: str) -> result.Result[catalogue.Catalogue, WrongFile]:
    """Read and check a catalogue file.

    :param file: its path.
    """
    try:
        text = pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Err(WrongFile(str(error)))
    return catalogue_checks.parse_and_check(text, file).map_err(
        lambda error: WrongFile(str(error))
    )


def _compare(file: str, declared: catalogue.Catalogue, node: client.Client):
    match node.get("catalogue"):
        case result.Ok(value):
            pass
        case error:
            return error
    in_force = documents.structure(
        value["catalogue"], catalogue.Catalogue, "the catalogue in force"
    )
    match in_force:
        case result.Ok(current):
            items = changes.difference(current, declared)
            plain = tuple(documents.to_plain(item) for item in items)
            return result.Ok(Compared(file, value["revision"], plain))
        case result.Err(problem):
            message = f"the node's catalogue is of another version: {problem}"
            return result.Err(client.CallError(0, message))


def _apply(
    statement: language.Apply, declared: catalogue.Catalogue, node: client.Client
):
    revision = statement.revision
    if revision is None:
        match _compare(statement.file, declared, node):
            case result.Ok(compared):
                pass
            case error:
                return error
        # Applying over a revision that the operator has not compared with would
        # silently undo what others changed since the file was written.
        if compared.revision and compared.difference:
            return result.Err(Unconfirmed(compared))
        if compared.revision:
            return result.Ok(compared)
        revision = 0
    change = {
        "revision": revision,
        "why": statement.why,
        "catalogue": documents.to_plain(declared),
    }
    return node.put("catalogue", change).map(_applied_answer)


def _applied_answer(reply: dict[str, typing.Any]) -> Done:
    revision = reply["revision"]
    note = f"revision {revision} is in force"
    return Done({"revision": revision, "tables": [], "notes": [note], "unanswered": []})
