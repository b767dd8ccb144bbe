"""Prefill speed: estimated from answers."""

import random

import pytest

import gateway_builders
from mothworks_gateway import caller_request, prefill_speed

SPEED = 19_200.0
OVERHEAD_S = 0.08


def add_sample(part, tokens, seconds):
    prompt = (
        caller_request.PromptPart("shared", 500),
        caller_request.PromptPart("own", tokens),
    )
    request = gateway_builders.request(prompt=prompt, input_tokens=tokens + 500)
    part.add_sample(request, seconds)


@pytest.fixture
def part():
    return prefill_speed.PrefillSpeed(gateway_builders.Kernel({}))


def test_the_speed_is_estimated_even_if_some_prompts_queue(part):
    # Prompts of mixed lengths; a third of them wait behind others.
    rng = random.Random(1)
    for _ in range(200):
        tokens = rng.choice([200, 600, 1_800, 4_000, 6_800])
        queued_s = rng.choice([0.0, 0.0, rng.uniform(0.0, 0.4)])
        add_sample(part, tokens, OVERHEAD_S + tokens / SPEED + queued_s)
    assert part.tokens_per_s("s") == pytest.approx(SPEED, rel=0.25)


def test_too_few_samples_give_no_estimate(part):
    for _ in range(prefill_speed.MIN_SAMPLES - 1):
        add_sample(part, 100, 9.0)
    assert part.tokens_per_s("s") == prefill_speed.DEFAULT_TOKENS_PER_S


def test_implausible_samples_give_no_estimate(part):
    # Long prompts are answered sooner than short ones, so no speed can be estimated. A
    # negative length may be stated by a caller.
    for number in range(100):
        add_sample(part, 1_000 - number, 0.1 + number)
        add_sample(part, -5, 0.1)
    assert part.tokens_per_s("s") == prefill_speed.DEFAULT_TOKENS_PER_S
