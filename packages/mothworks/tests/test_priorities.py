"""Tests that engines receive the urgency class as the request's priority."""

import orjson
import pytest

import builders
import served
from mothworks import catalogue, vllm
from mothworks_fakes import web


@pytest.fixture
def engine():
    new_engine = served.ScriptedEngine(lambda _: web.json_reply({})).start()
    yield new_engine
    new_engine.stop()


def send(engine, urgency, **declared):
    body = b'{"model": "menu", "max_tokens": 1, "priority": -9} \n'
    caller = builders.caller(urgency=urgency)
    endpoint = builders.endpoint(port=engine.port, **declared)
    request = builders.request(body=body, caller=caller)
    vllm.Vllm().send(endpoint, request).unwrap().close()
    return engine.bodies[-1]


@pytest.mark.parametrize(
    ("urgency", "priority"),
    [
        (catalogue.Urgency.URGENT, 0),
        (catalogue.Urgency.STANDARD, 1),
        (catalogue.Urgency.BULK, 2),
    ],
)
def test_the_urgency_class_overrides_the_callers_priority(engine, urgency, priority):
    """A bulk caller must not overtake urgent work by setting its own priority."""
    assert orjson.loads(send(engine, urgency))["priority"] == priority


def test_an_engine_without_priorities_gets_the_body_unchanged(engine):
    """Some engines refuse a request with a priority that they do not support."""
    assert orjson.loads(send(engine, catalogue.Urgency.BULK, priorities=False)) == {
        "model": "menu",
        "max_tokens": 1,
        "priority": -9,
    }
