"""Strategies for the entries of a platform that was restored from a copy.

Run as a program, it prints the table in ``docs/design/restored-platform.md``. A VM that
knows everything that was written before the restore reads the registry of the copy.
Endpoints write their entries again, and the platform removes those of endpoints that
are gone, both some time later.
"""

import enum
import random

import attrs
import pytest

import virtual_time
from mothworks import logs
from mothworks_gateway import feeding, registry

ENDPOINTS = 24
TRIALS = 400
STEP_S = 0.05
END_S = 12.0
#: Time within which an endpoint writes its entry again, seconds.
REWRITE_S = (0.1, 1.3)
#: Time after which the platform removes the entry of an endpoint that is gone, seconds.
EXPIRY_S = 3.6


class Strategy(enum.Enum):
    """Which restored entries take effect at once."""

    COPY = "all"
    KNOWN = "none that contradicts what is known"
    HOLD = "none that contradicts what is known, for 5 s"


class Fate(enum.Enum):
    """What happened to an endpoint between the copy and the restore."""

    NONE = "nothing"
    LEAVES = "its entry said that it leaves"
    GONE = "it was removed after it had left"
    LAPSED = "it was removed, and is running"
    JOINED = "it appeared"


#: Weights of the fates.
WEIGHT_BY_FATE = {
    Fate.NONE: 0.6,
    Fate.LEAVES: 0.1,
    Fate.GONE: 0.1,
    Fate.LAPSED: 0.1,
    Fate.JOINED: 0.1,
}


@attrs.define
class Totals:
    """What all trials of a strategy observed, in endpoint-seconds.

    :param late: time for which endpoints that had left were in use.
    :param unused: time for which running endpoints were not in use.
    :param unused_at_end: number of running endpoints that were not in use at the end.
    """

    late: float = 0.0
    unused: float = 0.0
    unused_at_end: int = 0


class Trial:
    """One restore, as one VM handles it.

    :param strategy: the strategy.
    :param seed: the seed of the endpoints' fates.
    :param clock: the registry's clock.
    """

    def __init__(self, strategy: Strategy, seed: int, clock: virtual_time.Clock):
        self.rng = random.Random(seed)
        self.clock = clock
        self.registry = registry.Registry()
        fates = self.rng.choices(
            list(WEIGHT_BY_FATE), WEIGHT_BY_FATE.values(), k=ENDPOINTS
        )
        self.fate_by_name = {f"i-{n}": fate for n, fate in enumerate(fates)}
        #: Pending writes: time, entry, and whether it is removed.
        self.writes: list[tuple[float, registry.Entry, bool]] = []
        for name, fate in self.fate_by_name.items():
            self._write_before_restore(_entry(name), fate)
        self._restore(strategy)

    def run(self, totals: Totals) -> None:
        """Play the time after the restore.

        :param totals: is added to.
        """
        until = self.clock.now + END_S
        while self.clock.now < until:
            self.clock.advance(STEP_S)
            self._apply_writes()
            self.registry.expire()
            late, unused = self._mistakes()
            totals.late += late * STEP_S
            totals.unused += unused * STEP_S
        totals.unused_at_end += self._mistakes()[1]

    def _write_before_restore(self, entry: registry.Entry, fate: Fate) -> None:
        self.registry.put(entry, b"")
        again_at = self.clock.now + self.rng.uniform(*REWRITE_S)
        match fate:
            case Fate.LEAVES:
                leaving = attrs.evolve(entry, draining=True)
                self.registry.put(leaving, b"")
                self.writes.append((again_at, leaving, False))
            case Fate.GONE:
                self.registry.remove(entry.name)
                self.writes.append((self.clock.now + EXPIRY_S, entry, True))
            case Fate.LAPSED:
                # It writes what the copy has, which is no change.
                self.registry.remove(entry.name)
            case Fate.JOINED:
                self.writes.append((again_at, entry, False))

    def _restore(self, strategy: Strategy) -> None:
        """Apply the registry of the copy."""
        for name, fate in self.fate_by_name.items():
            if fate is Fate.JOINED:
                until = self.clock.now + feeding.SUSPECT_REMOVAL_S
                self.registry.remove(name, until)
            elif strategy is Strategy.COPY:
                self.registry.put(_entry(name), b"")
            else:
                self.registry.put_restored(_entry(name), b"")
        if strategy is Strategy.KNOWN:
            self.registry.restored_by_name.clear()

    def _apply_writes(self) -> None:
        due = [item for item in self.writes if item[0] <= self.clock.now]
        self.writes = [item for item in self.writes if item[0] > self.clock.now]
        for _, entry, removed in due:
            if removed:
                self.registry.remove(entry.name)
            else:
                self.registry.put(entry, b"")

    def _mistakes(self) -> tuple[int, int]:
        """Return how many left endpoints are in use, and running ones are not."""
        late = unused = 0
        for name, fate in self.fate_by_name.items():
            endpoint = self.registry.find_by_name(name)
            in_use = endpoint is not None and endpoint.available
            has_left = fate in (Fate.LEAVES, Fate.GONE)
            late += has_left and in_use
            unused += not has_left and not in_use
        return late, unused


def _entry(name: str) -> registry.Entry:
    return registry.Entry(name, "llm", ("10.0.1.1", 80), "a")


def compare() -> dict[Strategy, Totals]:
    """Return the totals of each strategy over the same restores."""
    totals_by_strategy = {strategy: Totals() for strategy in Strategy}
    with pytest.MonkeyPatch.context() as monkeypatch:
        clock = virtual_time.Clock(monkeypatch, registry)
        monkeypatch.setattr(logs, "event", lambda *_, **__: None)
        for strategy, totals in totals_by_strategy.items():
            for seed in range(TRIALS):
                Trial(strategy, seed, clock).run(totals)
    return totals_by_strategy


def main() -> None:
    """Print the table."""
    print(
        "| restored entries that take effect at once | left, in use | running, unused ",
        end="",
    )
    print("| running, unused after 12 s |")
    print("|---|---|---|---|")
    for strategy, totals in compare().items():
        print(
            f"| {strategy.value} | {totals.late / TRIALS:.2f} "
            f"| {totals.unused / TRIALS:.2f} | {totals.unused_at_end / TRIALS:.2f} |"
        )


if __name__ == "__main__":
    main()
