"""Reading: the speed at which endpoints read prompts, from answers."""

import random

import pytest

import gateway_builders
from mothworks_gateway import asked, reading

SPEED = 19_200.0
OVERHEAD_S = 0.08


def ask(made, tokens, seconds):
    prompt = (asked.PromptPart("shared", 500), asked.PromptPart("own", tokens))
    request = gateway_builders.request(prompt=prompt, input_tokens=tokens + 500)
    made.note(request, seconds)


@pytest.fixture
def made():
    return reading.Reading(gateway_builders.Kernel({}))


def test_the_speed_shows_though_some_prompts_queue(made):
    # Prompts of mixed lengths; a third of them wait behind others.
    luck = random.Random(1)
    for _ in range(200):
        tokens = luck.choice([200, 600, 1_800, 4_000, 6_800])
        queued = luck.choice([0.0, 0.0, luck.uniform(0.0, 0.4)])
        ask(made, tokens, OVERHEAD_S + tokens / SPEED + queued)
    assert made.tokens_per_s("s") == pytest.approx(SPEED, rel=0.25)


def test_a_few_answers_say_nothing(made):
    for _ in range(reading.LEAST_SAMPLES - 1):
        ask(made, 100, 9.0)
    assert made.tokens_per_s("s") == reading.USUAL_TOKENS_PER_S


def test_absurd_answers_stay_within_bounds(made):
    # All prompts as long as each other, or long ones answered sooner: nothing
    # can be said. A negative length is the caller's word.
    for number in range(100):
        ask(made, 1_000 - number, 0.1 + number)
        ask(made, -5, 0.1)
    assert made.tokens_per_s("s") == reading.USUAL_TOKENS_PER_S
