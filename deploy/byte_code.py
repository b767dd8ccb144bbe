"""Byte code of this project's modules: made by the build, used at a node's start.

Where a VM's checkout is read-only and has no byte code, Python would compile every
module at each start. ``python3 deploy/byte_code.py`` writes the byte code to
``target/byte_code``. Each file contains a hash of its source; a module whose file is
missing or belongs to another source is compiled as usual. Python's own setting for
another cache folder, ``sys.pycache_prefix``, also hides the byte code of the standard
library and of all dependencies.
"""

import importlib.machinery
import importlib.util
import marshal
import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
FOLDER = os.path.join(ROOT, "target", "byte_code")
SOURCES = tuple(
    os.path.join(ROOT, *package, "src")
    for package in (
        ("packages", "mothworks"),
        ("packages", "mothworks_gateway"),
        ("platform",),
    )
)
#: Length of the header of a byte code file (PEP 552), and its flags where a hash of the
#: source follows that is to be checked.
HEADER_BYTES = 16
CHECKED_HASH = 0b11


class Loader(importlib.machinery.SourceFileLoader):
    """Loads a module from the byte code of the build if that fits its source."""

    def get_code(self, fullname: str):
        """Return the code of a module; see :class:`importlib.abc.InspectLoader`."""
        try:
            data = self.get_data(cache_path(fullname))
        except OSError:
            return super().get_code(fullname)
        if data[:HEADER_BYTES] != header(self.get_data(self.path)):
            return super().get_code(fullname)
        try:
            return marshal.loads(data[HEADER_BYTES:])
        except (EOFError, TypeError, ValueError):
            # The file was copied in part only.
            return super().get_code(fullname)


def header(source: bytes) -> bytes:
    """Return the header of the byte code file of a source.

    :param source: the content of the source file.
    """
    flags = CHECKED_HASH.to_bytes(4, "little")
    return importlib.util.MAGIC_NUMBER + flags + importlib.util.source_hash(source)


def cache_path(module: str) -> str:
    """Return the path of a module's byte code file.

    :param module: its full name.
    """
    return os.path.join(FOLDER, f"{module}.{sys.implementation.cache_tag}.pyc")


def install() -> None:
    """Put the packages on Python's path, and use the byte code of the build."""
    make_finder = importlib.machinery.FileFinder.path_hook((Loader, [".py"]))

    def hook(path: str) -> importlib.machinery.FileFinder:
        if not path.startswith(SOURCES):
            raise ImportError("not a folder of this project's packages", path=path)
        return make_finder(path)

    sys.path_hooks.insert(0, hook)
    sys.path[:0] = SOURCES


def main() -> None:
    """Write the byte code of all modules and of attrs' generated methods."""
    # Only the build needs these modules.
    import pathlib
    import py_compile

    pathlib.Path(FOLDER).mkdir(parents=True, exist_ok=True)
    for folder in map(pathlib.Path, SOURCES):
        for path in folder.rglob("*.py"):
            names = path.relative_to(folder).with_suffix("").parts
            module = ".".join(names).removesuffix(".__init__")
            py_compile.compile(
                str(path),
                cache_path(module),
                # Tracebacks name the path in the checkout, which may be moved.
                str(path.relative_to(ROOT)),
                doraise=True,
                invalidation_mode=py_compile.PycInvalidationMode.CHECKED_HASH,
            )
    _store_generated_methods()


def _store_generated_methods() -> None:
    """Store the byte code of the methods that attrs generates for a node's classes."""
    # Only the build needs this module.
    import pathlib

    install()
    # The dependencies of the build; where they are on Python's path already, the
    # entries before them are used.
    sys.path.append(os.path.join(ROOT, "target", "deps"))
    try:
        import deferred_packages

        deferred_packages.install()
        import generated_methods

        # Results of an earlier build are dropped before attrs' and cattrs' own classes
        # are compiled, which are to be stored, too.
        pathlib.Path(FOLDER, generated_methods.FILE).unlink(missing_ok=True)
        compiler = generated_methods.install(FOLDER)
        import mothworks_gateway.node  # noqa: F401
        import mothworks_platform  # noqa: F401
        from mothworks import documents
        from mothworks_gateway import settings
    except ImportError as error:
        # A node starts without the stored methods, too.
        print(f"the generated methods are not stored: {error}", file=sys.stderr)
        return
    documents.converter().get_structure_hook(settings.Settings)
    compiler.store()


if __name__ == "__main__":
    main()
