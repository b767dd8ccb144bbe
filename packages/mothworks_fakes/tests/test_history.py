"""The history checks themselves: each finds the violation that it is for."""

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


def test_a_complete_answer_is_accepted():
    assert history.check_answers([record()]) == []


def test_tokens_of_another_answer_are_found():
    assert history.check_answers([record(tokens=["abc-0", "xyz-1"])])


def test_a_missing_token_is_found():
    assert history.check_answers([record(tokens=["abc-0"])])


def test_done_after_an_error_is_found():
    assert history.check_answers([record(error="broke off")])


def test_silence_is_found():
    assert history.check_answers([record(done=False, tokens=[])])


def test_a_stream_that_ends_with_an_error_is_accepted():
    broken = record(done=False, tokens=["abc-0"], error="broke off")
    assert history.check_answers([broken]) == []


def test_a_false_refusal_is_found():
    refused = record(status=503, ran="no", done=False, tokens=[], error="refused")
    assert history.check_refusals([refused], [engine.Run("id", "abc")])
    assert history.check_refusals([refused], [engine.Run("id", "xyz")]) == []


def test_a_second_run_is_found():
    assert history.check_at_most_once(collections.Counter({b"order": 2}))
    assert history.check_at_most_once(collections.Counter({b"order": 1})) == []


def test_a_revision_that_reverts_is_found():
    assert history.check_revisions({"vm-1": [1, 2, 1]})
    assert history.check_revisions({"vm-1": [1, 2, 2], "vm-2": [1, 1]}) == []


def test_overcommitted_memory_is_found():
    fake = engine.Engine(memory_mb=100)
    fake.place("one", 60)
    assert history.check_memory([fake]) == []
    fake.place("two", 60)
    assert history.check_memory([fake])


def test_a_stream_is_read_as_the_caller_would():
    made = record(tokens=[], done=False)
    made.take_stream(
        b'data: {"choices": [{"delta": {"content": "abc-0 "}}]}\n\n'
        b'data: {"error": {"message": "broke off", "ran": "unknown"}}\n\n'
    )
    expected = attrs.evolve(
        made, tokens=["abc-0"], error="broke off", ran="unknown", done=False
    )
    assert made == expected
