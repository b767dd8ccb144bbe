"""Periodic tasks: their intervals, and that one wake-up serves several."""

import time

import gevent
import pytest

from mothworks import tasks

INTERVAL_S = 0.1


@pytest.fixture
def part_tasks():
    started = tasks.Tasks(lambda error: None)
    yield started
    started.stop()


# Guards against a VM that wakes for each of its tasks, which costs an idle one most of
# its processor time.
def test_tasks_of_one_interval_wake_together(part_tasks):
    calls = []
    for _ in range(8):
        part_tasks.every(INTERVAL_S, lambda: calls.append(time.monotonic()))
        gevent.sleep(INTERVAL_S / 100)
    gevent.sleep(6.5 * INTERVAL_S)
    rounds = [calls[start : start + 8] for start in range(0, len(calls) - 7, 8)]
    assert len(rounds) >= 5
    assert all(last - first < INTERVAL_S / 20 for first, *_, last in rounds)


# Guards against intervals outside the jitter: a late check counts as a suspension.
def test_intervals_vary_by_the_jitter_only(part_tasks):
    sleeps = []

    def sleep_for(seconds):
        for _ in range(8):
            started_at = time.monotonic()
            part_tasks.rhythm.sleep(seconds)
            sleeps.append((time.monotonic() - started_at) / seconds)

    gevent.joinall([gevent.spawn(sleep_for, n * INTERVAL_S) for n in (1, 1.5, 2)])
    assert min(sleeps) > 1 - tasks.JITTER - 0.02
    assert sorted(sleeps)[len(sleeps) // 2] < 1 + tasks.JITTER + 0.02


# Guards against a rhythm that stops with the task that is woken next.
def test_a_stopped_task_delays_no_other(part_tasks):
    calls = []
    stopped = part_tasks.every(INTERVAL_S, lambda: calls.append("stopped"))
    part_tasks.every(1.05 * INTERVAL_S, lambda: calls.append("other"))
    gevent.sleep(0)
    stopped.kill()
    gevent.sleep(3 * INTERVAL_S)
    assert calls[:2] == ["other", "other"]
