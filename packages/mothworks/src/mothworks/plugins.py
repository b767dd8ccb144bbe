"""Registry of plug-ins, each registered by kind and key.

A plug-in is a class or function that depends on the deployment or protocol: a
caller protocol, an endpoint kind, a platform adapter, a peer message, a
policy, or a part of the node. Its module registers it when it is imported,
and :mod:`mothworks.builtin` imports the modules that ship with the node.
"""

import collections
import collections.abc
import typing

#: Kinds of plug-ins.
PART = "part"
CALLER_PROTOCOL = "caller protocol"
ENDPOINT = "endpoint"
OBJECT_API = "object api"
VM_LIST = "vm list"
ROUTING = "routing"
PLACEMENT = "placement"

_plugins_by_kind: dict[str, dict[str, typing.Any]] = collections.defaultdict(dict)

Plugin = typing.TypeVar("Plugin")


def register(kind: str, key: str) -> collections.abc.Callable[[Plugin], Plugin]:
    """Return a decorator that registers a plug-in.

    :param kind: one of the kinds named in this module.
    :param key: the name of the plug-in in settings or catalogue.
    :returns: a decorator that returns its argument unchanged.
    :raises ValueError: if another plug-in of the kind already has the key.

    >>> @register("example", "twice")
    ... def twice(number):
    ...     return 2 * number
    >>> find("example", "twice")(4)
    8
    """

    def add(plugin: Plugin) -> Plugin:
        plugin_by_key = _plugins_by_kind[kind]
        if plugin_by_key.setdefault(key, plugin) is not plugin:
            raise ValueError(f"two plug-ins of kind {kind!r} are named {key!r}")
        return plugin

    return add


def find(kind: str, key: str) -> typing.Any:
    """Return a plug-in, or None if none has the key.

    :param kind: the plug-in's kind.
    :param key: the plug-in's name.
    """
    return _plugins_by_kind[kind].get(key)


def keys(kind: str) -> list[str]:
    """Return the sorted names of all plug-ins of a kind.

    :param kind: the plug-ins' kind.
    """
    return sorted(_plugins_by_kind[kind])
