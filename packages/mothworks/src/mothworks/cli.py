"""Command line of the program ``mothworks``."""

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

#: Exit code for invalid files or an invalid command line.
EXIT_USAGE = 2


def run(*, settings_file: pathlib.Path, announce: bool = False) -> int:
    """Run a node until a signal stops it.

    :param settings_file: the VM's settings, JSON with comments.
    :param announce: write one JSON line with the bound ports to standard output
        before the node starts to serve, for tools that set ports to 0.
    """
    match settings.load(settings_file):
        case result.Ok(loaded_settings):
            pass
        case result.Err(problem):
            print(problem, file=sys.stderr)
            return EXIT_USAGE
    logs.install(loaded_settings.logs, loaded_settings.name)
    running = node.Node(loaded_settings)
    if announce:
        bound_settings = running.kernel.settings
        ports = {"port": bound_settings.port, "peer_port": bound_settings.peer_port}
        print(orjson.dumps({"name": bound_settings.name, **ports}).decode(), flush=True)
    return running.run()


def check(file: pathlib.Path, *, catalogue: bool = False) -> int:
    """Check a file and print every problem in it.

    :param file: a VM's settings, JSON with comments.
    :param catalogue: the file is a catalogue, not settings.
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
    return documents.read_file(file).and_then(
        lambda text: catalogue_checks.parse_and_check(text, str(file))
    )


def main() -> None:
    """Run the command line: ``mothworks --settings FILE`` or ``check FILE``."""
    match sys.argv[1:]:
        # Every VM starts its node this way. Parsing by hand avoids importing
        # defopt, which would occupy 6 MB of memory while the node runs.
        case ["--settings", path]:
            sys.exit(run(settings_file=pathlib.Path(path)))
        case ["--settings", path, "--announce"]:
            sys.exit(run(settings_file=pathlib.Path(path), announce=True))
        case arguments:
            sys.exit(_parse(arguments))


def _parse(arguments: list[str]) -> int:
    import defopt

    # "mothworks --settings FILE" is short for "mothworks run --settings FILE".
    if arguments and arguments[0].startswith("--"):
        arguments = ["run", *arguments]
    arguments = [
        "--settings-file" if item == "--settings" else item for item in arguments
    ]
    return defopt.run([run, check], argv=arguments)
