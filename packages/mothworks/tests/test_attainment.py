"""Attainment: verdicts on requests, and the sums over VMs."""

import time

import pytest

import builders
from mothworks import (
    attainment,
    attainment_rows,
    kernel,
    progress,
    reason_rows,
    slots,
)

V = attainment.Verdict


@pytest.fixture
def counts():
    return attainment.Attainment(kernel.Kernel(builders.settings()))


def make_progress(request, first_s, between_s, events=11):
    answer_progress = progress.AnswerProgress(True, request.received_at)
    answer_progress.caller_first_token_at = request.received_at + first_s
    answer_progress.last_token_at = (
        answer_progress.caller_first_token_at + between_s * (events - 1)
    )
    answer_progress.event_count = events
    return answer_progress


@pytest.mark.parametrize(
    ("first_s", "between_s", "outcome", "verdict"),
    [
        (1.5, 0.03, slots.Outcome.OK, V.MET),
        (1.7, 0.03, slots.Outcome.OK, V.LATE),
        (1.5, 0.04, slots.Outcome.OK, V.LATE),
        (0.5, 0.01, slots.Outcome.CRASHED, V.FAILED),
        (0.5, 0.01, slots.Outcome.CANCELLED, V.CANCELLED),
    ],
)
def test_verdicts(counts, first_s, between_s, outcome, verdict):
    request = builders.request()
    counts.count_answer(request, outcome, make_progress(request, first_s, between_s))
    assert counts.total == {("urgent", verdict): 1}


def test_counts_cover_only_the_last_minute(counts, monkeypatch):
    request = builders.request()
    start = time.monotonic()
    for seconds in (0, 30, 60, 90):
        monkeypatch.setattr(time, "monotonic", lambda elapsed=seconds: start + elapsed)
        counts.count_refusal(request, ran=False)
    monkeypatch.setattr(time, "monotonic", lambda: start + 100)
    assert counts.last_minute() == {("urgent", V.REFUSED): 2}
    assert len(counts.counts_by_bucket) <= attainment.BUCKET_COUNT


def test_sums_over_vms_and_classes():
    rows = attainment_rows.sum_counts(
        [
            reason_rows.CountRow("urgent", V.MET, 30),
            reason_rows.CountRow("urgent", V.MET, 60),
            reason_rows.CountRow("urgent", V.LATE, 10),
            reason_rows.CountRow("urgent", V.CANCELLED, 5),
            reason_rows.CountRow("bulk", V.MET, 10),
        ],
        accelerators=4,
    )
    by_urgency = {row.urgency: row for row in rows}
    assert list(by_urgency) == ["urgent", "standard", "bulk", "all"]
    assert by_urgency["urgent"].in_target == 0.9
    assert by_urgency["urgent"].requests == 105
    assert by_urgency["all"].met_a_minute == 25.0
    assert by_urgency["standard"].in_target == 1.0
