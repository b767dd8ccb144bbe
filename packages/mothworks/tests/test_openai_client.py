"""The official client works by changing only its base URL.

The client uses blocking sockets, so it runs in threads beside the node.
"""

import gevent
import openai
import pytest

import builders
import served
from mothworks_fakes import processes

MESSAGES = [{"role": "user", "content": "What is on the menu?"}]


@pytest.fixture(scope="module")
def node():
    made = served.Served()
    yield made
    made.stop()


def client(node, key=builders.CALLER_KEY):
    url = f"http://127.0.0.1:{node.port}/v1"
    return openai.OpenAI(base_url=url, api_key=key, max_retries=0)


def in_thread(function):
    return gevent.get_hub().threadpool.spawn(function).get()


def complete(node, model="menu", key=builders.CALLER_KEY, **options):
    made = client(node, key)
    return in_thread(
        lambda: made.chat.completions.create(
            model=model, messages=MESSAGES, max_tokens=5, **options
        )
    )


def test_whole_answer(node):
    answer = complete(node)
    assert len(answer.choices[0].message.content.split()) == 5
    assert answer.usage.completion_tokens == 5


def test_streamed_answer_with_usage(node):
    def read():
        stream = client(node).chat.completions.create(
            model="menu",
            messages=MESSAGES,
            max_tokens=5,
            stream=True,
            stream_options={"include_usage": True},
        )
        return list(stream)

    chunks = in_thread(read)
    texts = [chunk.choices[0].delta.content for chunk in chunks if chunk.choices]
    assert len(texts) == 5
    assert chunks[-1].usage.completion_tokens == 5


def test_legacy_completion(node):
    made = client(node)
    answer = in_thread(
        lambda: made.completions.create(model="menu", prompt="hi", max_tokens=2)
    )
    assert len(answer.choices[0].text.split()) == 2


def test_models(node):
    made = client(node)
    assert [model.id for model in in_thread(made.models.list)] == ["menu"]
    assert in_thread(lambda: made.models.retrieve("menu")).id == "menu"
    with pytest.raises(openai.NotFoundError):
        in_thread(lambda: made.models.retrieve("absent"))


def test_errors_become_the_clients_exceptions(node):
    with pytest.raises(openai.AuthenticationError) as raised:
        complete(node, key="wrong")
    assert raised.value.code == "invalid_api_key"
    with pytest.raises(openai.NotFoundError) as raised:
        complete(node, model="absent")
    assert raised.value.code == "model_not_found"
    assert raised.value.request_id
    with pytest.raises(openai.BadRequestError):
        complete(node, stream="yes")


def test_a_stream_that_broke_off_raises():
    # The engine dies mid-answer. A client that just sees the stream end
    # would show the guest half a sentence as the whole answer.
    event = b'data: {"id": "1", "choices": [], "created": 0, "model": "menu"}\n\n'
    engine = served.ScriptedEngine(lambda _: served.stream_reply(event))
    node = served.Served(engines=[engine])
    try:
        made = client(node)
        with pytest.raises(openai.APIError) as raised:
            in_thread(
                lambda: list(
                    made.chat.completions.create(
                        model="menu", messages=MESSAGES, stream=True
                    )
                )
            )
        assert raised.value.body["ran"] == "unknown"
        processes.wait_until(node.idle)
    finally:
        node.stop()
