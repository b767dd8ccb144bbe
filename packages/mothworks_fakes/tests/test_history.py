"""Each history check detects violations of its invariant."""

import collections

import attrs

from mothworks_fakes import engine, history


def record(**changes):
    fields = {
        "number": 1,
        "traffic": "chat",
        "url": "http://127.0.0.1:1",
        "digest": "abc",
        "due_s": 0.0,
        "wanted_tokens": 2,
        "status": 200,
        "tokens": ["abc-0", "abc-1"],
        "done": True,
    }
    return history.Record(**{**fields, **changes})


def test_complete_answer_is_accepted():
    assert history.check_answers([record()]) == []


def test_tokens_of_another_answer_are_detected():
    assert history.check_answers([record(tokens=["abc-0", "xyz-1"])])


def test_missing_token_is_detected():
    assert history.check_answers([record(tokens=["abc-0"])])


def test_done_after_an_error_is_detected():
    assert history.check_answers([record(error="broke off")])


def test_missing_end_of_stream_is_detected():
    assert history.check_answers([record(done=False, tokens=[])])


def test_stream_that_ends_with_an_error_is_accepted():
    interrupted = record(done=False, tokens=["abc-0"], error="broke off")
    assert history.check_answers([interrupted]) == []


def test_refusal_of_a_request_that_ran_is_detected():
    refused = record(status=503, ran="no", done=False, tokens=[], error="refused")
    assert history.check_refusals([refused], [engine.Run("id", "abc")])
    assert history.check_refusals([refused], [engine.Run("id", "xyz")]) == []


def test_second_run_is_detected():
    assert history.check_at_most_once(collections.Counter({b"order": 2}))
    assert history.check_at_most_once(collections.Counter({b"order": 1})) == []


def test_reverted_revision_is_detected():
    assert history.check_revisions({"vm-1": [1, 2, 1]})
    assert history.check_revisions({"vm-1": [1, 2, 2], "vm-2": [1, 1]}) == []


def test_overcommitted_memory_is_detected():
    fake_engine = engine.Engine(memory_mb=100)
    fake_engine.place("one", 60)
    assert history.check_memory([fake_engine]) == []
    fake_engine.place("two", 60)
    assert history.check_memory([fake_engine])


def test_stream_is_parsed_as_a_caller_would():
    parsed = record(tokens=[], done=False)
    parsed.parse_stream(
        b'data: {"choices": [{"delta": {"content": "abc-0 "}}]}\n\n'
        b'data: {"error": {"message": "broke off", "ran": "unknown"}}\n\n'
    )
    expected = attrs.evolve(
        parsed, tokens=["abc-0"], error="broke off", ran="unknown", done=False
    )
    assert parsed == expected
