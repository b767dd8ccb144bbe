"""Ways to identify the part of prompts that crashes endpoints, compared by simulation.

``python part_strategies.py`` prints, for each way and scenario, how many endpoints bad
requests crashed, how many requests were refused that would have run well, and how many
sound ones ran.
"""

import collections
import heapq
import itertools
import random

import attrs

from mothworks_gateway import crash_histories, poison_requests

#: Endpoints, requests per second, and the time that an answer takes, seconds.
ENDPOINTS = 6
SOUND_PER_S = 10
BAD_PER_S = 4
ANSWER_S = 1.5
#: Time from a bad request's begin to the crash, and for which an endpoint is down.
CRASH_S = 0.1
DOWN_S = 2.0
SECONDS = 40.0
#: Time after the fifth crash from which on bad requests arrive late, seconds.
STABLE_S = 3.0
#: Time at which bad requests, or falls, begin.
BEGIN_S = 10.0


#: The way that is used.
CHOSEN = "moments, one part a crash"


@attrs.frozen
class Scenario:
    """What requests have in common, and which endpoints fall by themselves.

    :param name: its name.
    :param bad: parts that crash endpoints.
    :param falls_every_s: time between falls; 0 for none.
    :param falls_at_once: endpoints that fall at a time.
    :param bad_before: whether requests with the bad part run well before ``BEGIN_S``.
    """

    name: str
    bad: tuple[str, ...] = ()
    falls_every_s: float = 0.0
    falls_at_once: int = 1
    bad_before: bool = False


SCENARIOS = (
    Scenario("a bad part in the middle", ("bad1",)),
    Scenario("two bad parts", ("bad1", "bad2")),
    Scenario("a part that turns bad", ("bad1",), bad_before=True),
    Scenario("falls, one at a time", falls_every_s=1.2),
    Scenario("falls, half at once", falls_every_s=3.0, falls_at_once=3),
    Scenario("falls, all at once", falls_every_s=6.0, falls_at_once=6),
)


class Counting:
    """Counts crashes by part, and lets answers that run well speak for parts.

    :param policy: when a part is blocked.
    """

    def __init__(self, policy: crash_histories.BlockPolicy):
        self.histories = crash_histories.CrashHistories(policy)

    def by_suspicion(self, parts):
        keys = self.histories.by_suspicion([part.encode() for part in parts])
        return [key.decode() for key in keys]

    def is_blocked(self, part, now):
        return self.histories.is_blocked(part.encode(), now)

    def crash(self, part, endpoint, now):
        self.histories.record_crash(part.encode(), endpoint, now)

    def success(self, part, began_at, now):
        if now - began_at >= poison_requests.MIN_ANSWER_S:
            self.histories.record_success(part.encode(), began_at)


class Comparing:
    """Blocks a part if most of the requests with it crashed in the last seconds."""

    WINDOW_S = 10.0
    MIN_CRASHES = 3
    SHARE = 0.5

    def __init__(self):
        self.crashes = collections.defaultdict(list)
        self.successes = collections.defaultdict(list)
        self.blocked_until = {}

    def by_suspicion(self, parts):
        return parts

    def is_blocked(self, part, now):
        return now < self.blocked_until.get(part, 0.0)

    def crash(self, part, endpoint, now):
        self.crashes[part].append((now, endpoint))
        crashes = self._recent(self.crashes[part], now)
        successes = self._recent(self.successes[part], now)
        share = len(crashes) / (len(crashes) + len(successes))
        endpoints = {item for _, item in crashes}
        if len(endpoints) >= self.MIN_CRASHES and share > self.SHARE:
            self.blocked_until[part] = now + crash_histories.RETENTION_S

    def success(self, part, began_at, now):
        self.successes[part].append((now, ""))

    def _recent(self, items, now):
        return [item for item in items if now - item[0] <= self.WINDOW_S]


def chosen_policy():
    return crash_histories.BlockPolicy(
        crashes=poison_requests.CRASHES_TO_BLOCK,
        crashes_after_success=2 * poison_requests.CRASHES_TO_BLOCK,
        counts_moments=True,
        has_one_cause=True,
        success_s=poison_requests.ANSWER_S,
    )


def strategies():
    """Return the ways that are compared, by name."""
    policy = chosen_policy()
    return {
        "crashes alone": Counting(
            attrs.evolve(
                policy,
                crashes_after_success=poison_requests.CRASHES_TO_BLOCK,
                counts_moments=False,
                has_one_cause=False,
                success_s=0.0,
            )
        ),
        "a success speaks for 120 s": Counting(
            attrs.evolve(
                policy, counts_moments=False, has_one_cause=False, success_s=120.0
            )
        ),
        "moments, each part by itself": Counting(
            attrs.evolve(policy, has_one_cause=False)
        ),
        "crashed against served": Comparing(),
        CHOSEN: Counting(policy),
    }


@attrs.define
class Outcome:
    """What a run brought.

    :param bad_crashes: endpoints that bad requests crashed.
    :param late_arrivals: bad requests that arrived ``STABLE_S`` after the fifth crash.
    :param wrongly_refused: requests without a bad part that were refused.
    :param served: requests without a bad part that ran to their end.
    """

    bad_crashes: int = 0
    late_arrivals: int = 0
    wrongly_refused: int = 0
    served: int = 0


@attrs.define(eq=False)
class Run:
    """A request that runs on an endpoint."""

    parts: tuple[str, ...]
    endpoint: int
    began_at: float
    is_bad: bool


class Simulation:
    """Endpoints that run requests, and the way that decides which are refused.

    :param scenario: the scenario.
    :param strategy: the way.
    :param seed: seed of the requests.
    """

    def __init__(self, scenario, strategy, seed=1):
        self.scenario = scenario
        self.strategy = strategy
        self.rng = random.Random(seed)
        self.outcome = Outcome()
        self.fifth_crash_at = float("inf")
        self.events = []
        self.order = itertools.count()
        self.up_at = [0.0] * ENDPOINTS
        self.lives = [0] * ENDPOINTS
        self.running = collections.defaultdict(list)

    def run(self) -> Outcome:
        for number in range(round(SECONDS * SOUND_PER_S)):
            self._at(number / SOUND_PER_S, self._arrive, self._sound_parts())
        begin_s = 0.0 if self.scenario.bad_before else BEGIN_S
        if self.scenario.bad:
            for number in range(round((SECONDS - begin_s) * BAD_PER_S)):
                bad = self.scenario.bad[number % len(self.scenario.bad)]
                parts = ("first", bad, self.rng.choice(("a", "b", "c")))
                self._at(begin_s + number / BAD_PER_S, self._arrive, parts)
        if self.scenario.falls_every_s:
            for number in range(
                round((SECONDS - BEGIN_S) / self.scenario.falls_every_s)
            ):
                self._at(BEGIN_S + number * self.scenario.falls_every_s, self._fall)
        while self.events:
            now, _, act, arguments = heapq.heappop(self.events)
            act(now, *arguments)
        return self.outcome

    def _sound_parts(self):
        rare = f"rare{self.rng.randrange(200)}"
        return ("first", self.rng.choice(("a", "b", "c", rare)))

    def _at(self, at, act, *arguments):
        heapq.heappush(self.events, (at, next(self.order), act, arguments))

    def _arrive(self, now, parts):
        is_bad = now >= BEGIN_S and any(item in self.scenario.bad for item in parts)
        if any(self.strategy.is_blocked(part, now) for part in parts):
            self.outcome.wrongly_refused += not is_bad
            return
        up = [number for number in range(ENDPOINTS) if self.up_at[number] <= now]
        if not up:
            return
        run = Run(parts, self.rng.choice(up), now, is_bad)
        self.running[run.endpoint].append(run)
        if is_bad:
            bound = self.fifth_crash_at + STABLE_S
            self.outcome.late_arrivals += now > bound
            self._at(now + CRASH_S, self._crash, run)
        self._at(now + poison_requests.MIN_ANSWER_S, self._runs_well, run)
        self._at(now + ANSWER_S, self._end, run)

    def _crash(self, now, run):
        if run in self.running[run.endpoint]:
            self.outcome.bad_crashes += 1
            if self.outcome.bad_crashes == 5 * len(self.scenario.bad):
                self.fifth_crash_at = now
            self._take_down(now, run.endpoint)

    def _fall(self, now):
        for endpoint in self.rng.sample(range(ENDPOINTS), self.scenario.falls_at_once):
            self._take_down(now, endpoint)

    def _take_down(self, now, endpoint):
        self.lives[endpoint] += 1
        self.up_at[endpoint] = now + DOWN_S
        name = f"{endpoint}-{self.lives[endpoint]}"
        for run in self.running.pop(endpoint, []):
            if now - run.began_at < poison_requests.MIN_ANSWER_S:
                for part in self.strategy.by_suspicion(run.parts):
                    self.strategy.crash(part, name, now)

    def _runs_well(self, now, run):
        if run in self.running[run.endpoint]:
            for part in run.parts:
                self.strategy.success(part, run.began_at, now)

    def _end(self, now, run):
        if run in self.running[run.endpoint]:
            self.running[run.endpoint].remove(run)
            self.outcome.served += 1


def main() -> None:
    """Print a table."""
    for scenario in SCENARIOS:
        for name, strategy in strategies().items():
            outcome = Simulation(scenario, strategy).run()
            print(f"{scenario.name:26} {name:36} {outcome}")


if __name__ == "__main__":
    main()
