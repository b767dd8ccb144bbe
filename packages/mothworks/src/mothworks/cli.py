"""The command line of the binary ``mothworks``."""

import pathlib
import sys

import orjson
import result

from mothworks import (
    catalogue as catalogues,
    catalogue_checks,
    documents,
    logs,
    node,
    settings,
)

#: Exit code for wrong settings or a wrong command line.
EXIT_USAGE = 2


def run(*, settings_file: pathlib.Path, announce: bool = False) -> int:
    """Run a node until it is told to stop.

    :param settings_file: the VM's settings, JSON with comments.
    :param announce: write one JSON line with the ports in use to standard
        output once the node serves, for tools that let the kernel choose.
    """
    match settings.load(settings_file):
        case result.Ok(checked):
            pass
        case result.Err(problem):
            print(problem, file=sys.stderr)
            return EXIT_USAGE
    logs.install(checked.logs, checked.name)
    running = node.Node(checked)
    if announce:
        chosen = running.kernel.settings
        ports = {"port": chosen.port, "peer_port": chosen.peer_port}
        print(orjson.dumps({"name": chosen.name, **ports}).decode(), flush=True)
    return running.run()


def check(file: pathlib.Path, *, catalogue: bool = False) -> int:
    """Check a file and say every problem in it.

    :param file: a VM's settings, JSON with comments.
    :param catalogue: the file is a catalogue instead.
    """
    match _load_catalogue(file) if catalogue else settings.load(file):
        case result.Ok(_):
            print(f"{file}: correct")
            return 0
        case result.Err(problem):
            print(problem, file=sys.stderr)
            return EXIT_USAGE


def _load_catalogue(
    file: pathlib.Path,
) -> result.Result[catalogues.Catalogue, documents.DocumentError]:
    return documents.load(file).and_then(
        lambda text: catalogue_checks.read(text, str(file))
    )


def main() -> None:
    """Run the command line: ``mothworks --settings FILE`` or ``check FILE``."""
    match sys.argv[1:]:
        # The call of every VM. The command-line library would stay in the
        # node's memory, 6 MB, for as long as the node runs.
        case ["--settings", path]:
            sys.exit(run(settings_file=pathlib.Path(path)))
        case ["--settings", path, "--announce"]:
            sys.exit(run(settings_file=pathlib.Path(path), announce=True))
        case arguments:
            sys.exit(_parse(arguments))


def _parse(arguments: list[str]) -> int:
    import defopt

    # "mothworks --settings FILE" needs no subcommand.
    if arguments and arguments[0].startswith("--"):
        arguments = ["run", *arguments]
    arguments = [
        "--settings-file" if item == "--settings" else item for item in arguments
    ]
    return defopt.run([run, check], argv=arguments)
