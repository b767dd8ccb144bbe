"""Packages that run their own initialisation only once something of it is used.

A node uses single modules of these packages. Their ``__init__`` imports much more: an
event loop, a cookie jar, mail and another HTTP client. The classes here don't derive
from those of :mod:`importlib.abc`, whose import costs as much as one package saves.
"""

import importlib.machinery
import importlib.util
import sys
import types

#: ``attr`` defines classes of its own, for which :mod:`generated_methods` needs to
#: change ``attr._make`` first.
NAMES = frozenset(("aioprometheus", "attr", "geventhttpclient"))


class Loader:
    """Runs a package's ``__init__`` on the first access to a name defined there.

    :param loader: the loader that runs it.
    """

    def __init__(self, loader):
        self.loader = loader

    def create_module(self, spec: importlib.machinery.ModuleSpec):
        """Return the new module; see :class:`importlib.abc.Loader`."""
        return self.loader.create_module(spec)

    def exec_module(self, module: types.ModuleType) -> None:
        """Prepare a package; its modules can then be imported."""

        def initialise_and_get(name: str):
            full_name = f"{module.__name__}.{name}"
            if importlib.util.find_spec(full_name) is not None:
                return importlib.import_module(full_name)
            del module.__getattr__
            self.loader.exec_module(module)
            return getattr(module, name)

        module.__getattr__ = initialise_and_get


class Finder:
    """Finds the packages in :data:`NAMES`."""

    def find_spec(self, fullname: str, path=None, target=None):
        """Return the package's spec; see :class:`importlib.abc.MetaPathFinder`."""
        if fullname not in NAMES:
            return None
        spec = importlib.machinery.PathFinder.find_spec(fullname, path, target)
        if spec is not None and spec.loader is not None:
            spec.loader = Loader(spec.loader)
        return spec


def install() -> None:
    """Defer the initialisation of the packages that are imported from now on."""
    sys.meta_path.insert(0, Finder())
