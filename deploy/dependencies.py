"""Installs the dependencies of a node into ``target/deps``, as a step of the build.

A folder that was installed for other requirements, on another kind of machine or by
another version of Python is replaced: its compiled modules could not be loaded.
"""

import hashlib
import pathlib
import platform
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
FOLDER = ROOT / "target" / "deps"
#: File in the folder that says what it was installed for.
MARK_NAME = ".installed"


def mark(requirements: bytes) -> str:
    """Return what an installation is for: requirements, machine and Python.

    :param requirements: the content of the file of requirements.
    """
    digest = hashlib.sha256(requirements).hexdigest()
    python = f"{sys.implementation.cache_tag} {platform.python_version()}"
    return f"{digest} {platform.machine()} {python}\n"


def is_current(folder: pathlib.Path, requirements: bytes) -> bool:
    """Return whether a folder was installed, to its end, for this machine.

    :param folder: the folder.
    :param requirements: the content of the file of requirements.
    """
    try:
        return (folder / MARK_NAME).read_text() == mark(requirements)
    except (OSError, UnicodeDecodeError):
        return False


def install(folder: pathlib.Path, requirements_path: pathlib.Path) -> None:
    """Install the dependencies into a folder, in place of what it contains.

    :param folder: the folder.
    :param requirements_path: the file of requirements.
    """
    shutil.rmtree(folder, ignore_errors=True)
    command = [sys.executable, "-m", "pip", "install", "-q", "--target", str(folder)]
    subprocess.run([*command, "-r", str(requirements_path)], check=True)
    (folder / MARK_NAME).write_text(mark(requirements_path.read_bytes()))


def main() -> None:
    """Install the dependencies unless they are there."""
    if not is_current(FOLDER, REQUIREMENTS.read_bytes()):
        install(FOLDER, REQUIREMENTS)


if __name__ == "__main__":
    main()
