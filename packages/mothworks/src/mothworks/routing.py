"""Routing policies: which of a model's endpoints to try first.

``owner`` asks the endpoint's owner for a slot. ``random``, ``local_least``
and ``two_choices`` are the baselines that it is measured against; they use
only what the entry itself knows.
"""

import collections
import random

from mothworks import plugins


class Policy:
    """Interface of the plug-ins of kind :data:`plugins.ROUTING`."""

    #: Whether the endpoint's owner is asked for a slot.
    asks_owner = False

    def __init__(self):
        #: Requests that this VM has in flight, by endpoint.
        self.running_by_endpoint: collections.Counter[str] = collections.Counter()

    def order(self, names: list[str]) -> list[str]:
        """Return endpoints in the order in which to try them.

        :param names: open endpoints; not empty.
        """
        raise NotImplementedError


@plugins.register(plugins.ROUTING, "random")
class Random(Policy):
    """Any endpoint."""

    def order(self, names: list[str]) -> list[str]:
        """Return the endpoints shuffled."""
        return random.sample(names, len(names))


@plugins.register(plugins.ROUTING, "local_least")
class LocalLeast(Policy):
    """The endpoint with the fewest requests of this VM."""

    def order(self, names: list[str]) -> list[str]:
        """Return the endpoints by this VM's own count."""
        shuffled = random.sample(names, len(names))
        return sorted(shuffled, key=self.running_by_endpoint.__getitem__)


@plugins.register(plugins.ROUTING, "two_choices")
class TwoChoices(Policy):
    """The better of two random endpoints, by this VM's own count."""

    def order(self, names: list[str]) -> list[str]:
        """Return the endpoints with the better of two first."""
        shuffled = random.sample(names, len(names))
        first_two = sorted(shuffled[:2], key=self.running_by_endpoint.__getitem__)
        return [*first_two, *shuffled[2:]]


@plugins.register(plugins.ROUTING, "owner")
class Owner(LocalLeast):
    """Asks the owner of the endpoint with the fewest requests of this VM."""

    asks_owner = True
