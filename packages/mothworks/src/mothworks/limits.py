"""The adaptive limit of one endpoint's batch.

A larger batch serves more requests at once and each token later. The limit
follows the time between tokens that entries observe, against the target of
the callers: additive increase while the batch is full and fast, proportional
decrease where it is too slow. It never exceeds the engine's slots, and is lost
with its owner.

A new limit is on trial: bulk work gets a quarter of the slots and twice as
many with each good decision, so that a batch full of bulk doesn't make the
first urgent requests late; urgent work gets what the engine has.
"""

import math

#: Share of the target that the limit steers the mean to, since 95 in 100
#: requests are to meet the target.
AIM = 0.82
#: Above this share of the target the limit is cut.
CUT_ABOVE = 0.9
#: Below this share of the target a full batch may grow.
GROW_BELOW = 0.78
#: Share of the slots at which a trial begins.
FIRST_SHARE = 0.25
#: Largest cut by one decision.
LOWEST_FACTOR = 0.6
#: Most samples that one decision takes.
MOST_SAMPLES = 8


class Limit:
    """How many requests an endpoint may run at once.

    :param most: the engine's slots.
    """

    def __init__(self, most: int):
        self.most = most
        self.value = math.ceil(most * FIRST_SHARE)
        self.trial = True
        self.samples = 0
        self.ratios = 0.0
        self.running = 0
        self.unseen = 0
        self.was_full = False
        self.decided_at = -math.inf

    def value_for(self, urgent: bool) -> int:
        """Return how many requests may run at once.

        :param urgent: whether the work is more urgent than bulk.
        """
        return self.most if self.trial and urgent else self.value

    def note_full(self) -> None:
        """Note that a request found no free slot."""
        self.was_full = True

    def observe(self, ratio: float, running: int, since: float, now: float) -> None:
        """Note how fast a request's tokens came, and adapt.

        Requests that began before the last decision say how fast the batch
        was under the former limit; counted, they would cut it again and again
        for one and the same overload.

        :param ratio: mean time between its tokens, as a share of the target.
        :param running: requests in the batch.
        :param since: when it began, monotonic seconds.
        :param now: monotonic seconds.
        """
        if since < self.decided_at:
            return
        self.samples += 1
        self.ratios += ratio
        self.running += running
        if self.samples >= min(MOST_SAMPLES, max(2, self.value)):
            self._decide(self.ratios / self.samples, self.running / self.samples)
            self.samples = self.running = 0
            self.ratios = 0.0
            self.was_full = False
            self.decided_at = now

    def miss(self) -> None:
        """Note a request whose tokens were not seen one by one.

        Where all answers come whole, nothing speaks against the engine's own
        slots, and a trial must not last for good.
        """
        self.unseen += 1
        if self.trial and self.was_full and self.unseen >= MOST_SAMPLES:
            self.value = min(self.most, self.value * 2)
            self.unseen = 0

    def _decide(self, ratio: float, running: float) -> None:
        if ratio > CUT_ABOVE:
            # The batch that was too slow may have been below the limit, or
            # above it while on trial.
            cut = running * max(LOWEST_FACTOR, AIM / ratio)
            self.value = max(1, min(self.most, math.floor(cut)))
            self.trial = False
        elif ratio < GROW_BELOW and self.was_full:
            step = self.value if self.trial else 1
            self.value = min(self.most, self.value + step)
        elif self.was_full:
            self.trial = False
