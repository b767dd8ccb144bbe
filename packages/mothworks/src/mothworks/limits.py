"""The adaptive limit of one endpoint's batch.

A larger batch serves more requests at once and each token later. The limit
follows the time between tokens that entries observe, against the target of
the callers: additive increase while the batch is full and fast, proportional
decrease where it is too slow. It starts at the engine's slots, which it never
exceeds, and is lost with its owner.
"""

import math

#: Share of the target that the mean may reach, since 95 in 100 are to meet it.
AIM = 0.95
#: Below this share of the target a full batch may grow.
GROW_BELOW = 0.85
#: Largest cut by one decision.
LOWEST_FACTOR = 0.7


class Limit:
    """How many requests an endpoint may run at once.

    :param most: the engine's slots.
    """

    def __init__(self, most: int):
        self.most = most
        self.value = most
        self.samples = 0
        self.sum = 0.0
        self.was_full = False

    def note_full(self) -> None:
        """Note that a request found no free slot."""
        self.was_full = True

    def observe(self, between_ms: float, target_ms: float) -> None:
        """Note how fast a request's tokens came, and adapt.

        One decision takes as many samples as there are slots: fewer would be
        mostly of requests that began under the last limit.

        :param between_ms: mean time between its tokens, milliseconds.
        :param target_ms: its caller's target, milliseconds.
        """
        self.samples += 1
        self.sum += between_ms / target_ms
        if self.samples < max(2, self.value):
            return
        ratio = self.sum / self.samples
        if ratio > AIM:
            factor = max(LOWEST_FACTOR, AIM / ratio)
            self.value = max(1, math.floor(self.value * factor))
        elif ratio < GROW_BELOW and self.was_full:
            self.value = min(self.most, self.value + 1)
        self.samples = 0
        self.sum = 0.0
        self.was_full = False
