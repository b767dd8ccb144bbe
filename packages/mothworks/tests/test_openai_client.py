"""OpenAI's official Python client works with only its base URL changed.

The client uses blocking sockets, so it runs in threads beside the node's event
loop.
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
    serving_node = served.ServedNode()
    yield serving_node
    serving_node.stop()


def make_client(node, key=builders.CALLER_KEY):
    url = f"http://127.0.0.1:{node.port}/v1"
    return openai.OpenAI(base_url=url, api_key=key, max_retries=0)


def in_thread(function):
    return gevent.get_hub().threadpool.spawn(function).get()


def complete(node, model="menu", key=builders.CALLER_KEY, **options):
    client = make_client(node, key)
    return in_thread(
        lambda: client.chat.completions.create(
            model=model, messages=MESSAGES, max_tokens=5, **options
        )
    )


def test_complete_response(node):
    response = complete(node)
    assert len(response.choices[0].message.content.split()) == 5
    assert response.usage.completion_tokens == 5


def test_streamed_response_with_usage(node):
    def read_stream():
        stream = make_client(node).chat.completions.create(
            model="menu",
            messages=MESSAGES,
            max_tokens=5,
            stream=True,
            stream_options={"include_usage": True},
        )
        return list(stream)

    chunks = in_thread(read_stream)
    texts = [chunk.choices[0].delta.content for chunk in chunks if chunk.choices]
    assert len(texts) == 5
    assert chunks[-1].usage.completion_tokens == 5


def test_legacy_completion(node):
    client = make_client(node)
    response = in_thread(
        lambda: client.completions.create(model="menu", prompt="hi", max_tokens=2)
    )
    assert len(response.choices[0].text.split()) == 2


def test_models(node):
    client = make_client(node)
    assert [model.id for model in in_thread(client.models.list)] == ["menu"]
    assert in_thread(lambda: client.models.retrieve("menu")).id == "menu"
    with pytest.raises(openai.NotFoundError):
        in_thread(lambda: client.models.retrieve("absent"))


def test_errors_raise_the_exceptions_of_the_client(node):
    with pytest.raises(openai.AuthenticationError) as raised:
        complete(node, key="wrong")
    assert raised.value.code == "invalid_api_key"
    with pytest.raises(openai.NotFoundError) as raised:
        complete(node, model="absent")
    assert raised.value.code == "model_not_found"
    assert raised.value.request_id
    with pytest.raises(openai.BadRequestError):
        complete(node, stream="yes")


def test_interrupted_stream_raises():
    # The engine fails in the middle of its response. Without an error event the
    # client would take the truncated text for the complete response.
    event = b'data: {"id": "1", "choices": [], "created": 0, "model": "menu"}\n\n'
    engine = served.ScriptedEngine(lambda _: served.stream_reply(event))
    node = served.ServedNode(engines=[engine])
    try:
        client = make_client(node)
        with pytest.raises(openai.APIError) as raised:
            in_thread(
                lambda: list(
                    client.chat.completions.create(
                        model="menu", messages=MESSAGES, stream=True
                    )
                )
            )
        assert raised.value.body["ran"] == "unknown"
        processes.wait_until(node.idle)
    finally:
        node.stop()
