"""The command line of the binary ``mothctl``.

Exit codes: 0 success; 1 a node failed, or no node answers; 2 the statement, file or
command line is invalid; 3 conflict with another operator's change; 4 the key or its
role does not allow the statement; 5 not applied, because the change must be confirmed
with its revision. After codes 2 to 5 nothing has changed.
"""

import collections.abc
import os
import pathlib
import sys
import time

import defopt
import result

from mothctl import client, execution, language, printing, request_trace

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_FORBIDDEN = 4
EXIT_UNCONFIRMED = 5

URL_VARIABLE = "MOTHWORKS_URL"
KEY_VARIABLE = "MOTHWORKS_KEY"
KEY_FILE_VARIABLE = "MOTHWORKS_KEY_FILE"
DEFAULT_URL = "http://127.0.0.1:8000"

#: Time between the rounds of ``watch``, seconds.
WATCH_INTERVAL_S = 1.0

_EXIT_BY_STATUS = {
    400: EXIT_USAGE,
    401: EXIT_FORBIDDEN,
    403: EXIT_FORBIDDEN,
    404: EXIT_USAGE,
    409: EXIT_CONFLICT,
    422: EXIT_USAGE,
}


def ask(statement: str, *, json: bool = False, rounds: int = 0) -> int:
    """Run a query or command in the operators' language.

    :param statement: for example ``show models where replicas < 2``, ``why
        model menu`` or ``drain endpoint engine-1 because "new driver"``.
    :param json: print JSON instead of tables.
    :param rounds: number of times that ``watch`` prints its rows; 0 for no limit.
    """
    match language.parse(statement):
        case result.Ok(parsed):
            return _run(parsed, json, rounds)
        case result.Err(problem):
            print(problem, file=sys.stderr)
            return EXIT_USAGE


def apply(file: str, *, why: str = "", revision: int | None = None) -> int:
    """Apply a catalogue file, as the statement ``apply`` does.

    :param file: the catalogue, JSON with comments.
    :param why: the reason, for the audit trail.
    :param revision: the revision that ``diff`` compared the file with; optional for the
        first catalogue of a deployment.
    """
    return _run(language.Apply(file, why, revision), False, 1)


def diff(file: str, *, json: bool = False) -> int:
    """Show what a catalogue file would change, as the statement ``diff`` does.

    :param file: the catalogue, JSON with comments.
    :param json: print JSON instead of lines.
    """
    return _run(language.Diff(file), json, 1)


def show(collection: str, *, json: bool = False) -> int:
    """List a collection, as the statement ``show`` does.

    :param collection: models, endpoints, callers, waiting, moves, peers,
        audit or quarantine.
    :param json: print JSON instead of a table.
    """
    return ask(f"show {collection}", json=json)


def check(file: str) -> int:
    """Check a catalogue file without a node, and print every problem in it.

    :param file: the catalogue, JSON with comments.
    """
    match execution.read_file(file):
        case result.Ok(_):
            print(f"{file}: correct")
            return EXIT_DONE
        case result.Err(wrong_file):
            print(wrong_file.problem, file=sys.stderr)
            return EXIT_USAGE


def trace(request: str, *files: pathlib.Path) -> int:
    """Show what the logs of all VMs contain about a request, and what may explain it.

    :param request: its id.
    :param files: the VMs' logs; standard input if omitted.
    """
    try:
        lines = request_trace.read(_log_lines(files))
    except OSError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    match request_trace.trace(lines, request):
        case result.Ok(traced):
            print(request_trace.render(traced))
            return EXIT_DONE
        case result.Err(problem):
            print(problem, file=sys.stderr)
            return EXIT_FAILED


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(defopt.run([ask, apply, diff, show, check, trace], short={}))


def _log_lines(files: tuple[pathlib.Path, ...]) -> collections.abc.Iterator[str]:
    if not files:
        yield from sys.stdin
    for file in files:
        with open(file, encoding="utf-8", errors="replace") as log:
            yield from log


def _run(statement, json: bool, rounds: int) -> int:
    key = _key()
    if key is None:
        return EXIT_USAGE
    node = client.Client(os.environ.get(URL_VARIABLE, DEFAULT_URL), key)
    code = _print_outcome(execution.run(statement, node), json)
    if not isinstance(statement, language.Watch):
        return code
    while code == EXIT_DONE and rounds != 1:
        rounds -= 1
        time.sleep(WATCH_INTERVAL_S)
        print()
        code = _print_outcome(execution.run(statement, node), json)
    return code


def _key() -> str | None:
    """Return the operator's key; print the error and return None on failure."""
    file = os.environ.get(KEY_FILE_VARIABLE)
    if not file:
        return os.environ.get(KEY_VARIABLE, "")
    try:
        return pathlib.Path(file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        print(f"{KEY_FILE_VARIABLE}: {error}", file=sys.stderr)
        return None


def _print_outcome(outcome: execution.Outcome, json: bool) -> int:
    """Print an outcome and return the exit code."""
    match outcome:
        case result.Ok(execution.Done(answer)):
            print(printing.json(answer) if json else printing.answer(answer))
            return EXIT_DONE
        case result.Ok(execution.Compared(_, revision, difference)):
            if json:
                value = {"revision": revision, "difference": list(difference)}
                print(printing.json(value))
                return EXIT_DONE
            lines = printing.difference(difference) or "no difference"
            print(f"{lines}\ncompared with revision {revision}")
            return EXIT_DONE
        case result.Err(execution.Unconfirmed(compared)):
            print(printing.difference(compared.difference), file=sys.stderr)
            print(
                f"not applied; to apply exactly this, say: apply {compared.file} "
                f"at revision {compared.revision}",
                file=sys.stderr,
            )
            return EXIT_UNCONFIRMED
        case result.Err(execution.WrongFile(problem)):
            print(problem, file=sys.stderr)
            return EXIT_USAGE
        case result.Err(call_error):
            print(printing.error(call_error), file=sys.stderr)
            return _EXIT_BY_STATUS.get(call_error.status, EXIT_FAILED)
