"""Byte code of the methods that attrs and cattrs generate for classes.

attrs compiles the source of each class' methods when the class is defined, which is a
fifth of the processor time of a node's start; cattrs compiles a function for each class
of the settings. ``deploy/byte_code.py`` stores the result
of each compilation under a hash of its source. A source that is not stored, as with
another version of the libraries, is compiled as usual.
"""

import hashlib
import marshal
import os
import re
import sys
import types
import zlib

import attr._make

#: The file of stored results in the folder of byte code.
FILE = "generated_methods"
#: The number in a class' generated ``__hash__`` that distinguishes classes. It
#: is another one in each process.
CLASS_NUMBER = re.compile(r"^ +-?\d+,$", re.MULTILINE)


class Compiler:
    """Compiles generated sources, or looks up the result.

    :param path: the file of stored results, which may be missing.
    """

    def __init__(self, path: str):
        #: Version of the byte code; results of other versions are not used.
        self.version = sys.implementation.cache_tag
        self.path = path
        self.code_by_key: dict[bytes, types.CodeType] = {}

    def load(self) -> None:
        """Load the stored results."""
        try:
            with open(self.path, "rb") as file:
                stored = file.read()
        except OSError:
            return
        version = self.version.encode() + b"\n"
        if not stored.startswith(version):
            return
        try:
            self.code_by_key = marshal.loads(stored[len(version) :])
        except (EOFError, TypeError, ValueError):
            # The file was copied in part only.
            return

    def store(self) -> None:
        """Store all results."""
        version = self.version.encode() + b"\n"
        temporary = f"{self.path}.{os.getpid()}"
        with open(temporary, "wb") as file:
            file.write(version + marshal.dumps(self.code_by_key))
        # A build that is interrupted must not leave half a file.
        os.replace(temporary, self.path)

    def compile(self, source: str, filename: str, mode: str) -> types.CodeType:
        """Return the code of a source, as the built-in function does.

        :param source: the source.
        :param filename: the name by which tracebacks refer to it.
        :param mode: as for the built-in function.
        """
        number = f"{zlib.crc32(filename.encode())},"
        source = CLASS_NUMBER.sub(number, source)
        key = hashlib.sha1(f"{mode} {filename}\n{source}".encode()).digest()
        code = self.code_by_key.get(key)
        if code is None:
            code = self.code_by_key[key] = compile(source, filename, mode)
        return code


def install(folder: str) -> Compiler:
    """Make attrs and cattrs use the stored results.

    :param folder: the folder of byte code.
    """
    compiler = Compiler(os.path.join(folder, FILE))
    compiler.load()
    # They call the built-in function, which a global of their module replaces.
    attr._make.compile = compiler.compile
    # It defines classes of its own, which need the line above.
    import cattrs.gen

    cattrs.gen.compile = compiler.compile
    return compiler
