"""Routing policies, which order the endpoints of a model.

``owner`` requests a slot from the endpoint's owner. ``random``, ``local_least``
and ``two_choices`` are baselines for comparison; they use no information of
other VMs.
"""

import collections
import random

from mothworks import plugins


class Policy:
    """Interface of the plug-ins of kind :data:`plugins.ROUTING`."""

    #: Whether a slot is requested from the endpoint's owner.
    uses_owner = False

    def __init__(self):
        #: Requests that this VM has in flight, by endpoint.
        self.running_by_endpoint: collections.Counter[str] = collections.Counter()

    def order(self, names: list[str]) -> list[str]:
        """Return the endpoints in the order in which to try them.

        :param names: open endpoints; not empty.
        """
        raise NotImplementedError


@plugins.register(plugins.ROUTING, "random")
class Random(Policy):
    """Orders the endpoints randomly."""

    def order(self, names: list[str]) -> list[str]:
        """Return the endpoints shuffled."""
        return random.sample(names, len(names))


@plugins.register(plugins.ROUTING, "local_least")
class LocalLeast(Policy):
    """Prefers the endpoint with the fewest requests from this VM."""

    def order(self, names: list[str]) -> list[str]:
        """Return the endpoints by this VM's requests in flight."""
        shuffled = random.sample(names, len(names))
        return sorted(shuffled, key=self.running_by_endpoint.__getitem__)


@plugins.register(plugins.ROUTING, "two_choices")
class TwoChoices(Policy):
    """Prefers the better of two random endpoints, by this VM's own count."""

    def order(self, names: list[str]) -> list[str]:
        """Return the endpoints, the better of two random ones first."""
        shuffled = random.sample(names, len(names))
        first_two = sorted(shuffled[:2], key=self.running_by_endpoint.__getitem__)
        return [*first_two, *shuffled[2:]]


@plugins.register(plugins.ROUTING, "owner")
class Owner(LocalLeast):
    """Requests slots, first for the endpoint with the fewest requests of this VM."""

    uses_owner = True
