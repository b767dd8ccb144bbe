"""Random bytes in bodies and heads never cause a server error."""

import hypothesis
import orjson
import pytest
from hypothesis import strategies

import served

FUZZING = hypothesis.settings(
    max_examples=80,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
#: Statuses of the client errors that a node replies with.
CLIENT_ERRORS = range(400, 432)

json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**40), 2**40)
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda children: (
        strategies.lists(children, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), children, max_size=3)
    ),
    max_leaves=6,
)
fields = strategies.fixed_dictionaries(
    {"model": strategies.sampled_from(["menu", "absent"]) | json_values},
    optional={
        "stream": json_values,
        "max_tokens": strategies.integers(-2, 3) | json_values,
        "max_completion_tokens": strategies.integers(-2, 3) | json_values,
        "temperature": json_values,
        "seed": json_values,
        "stream_options": json_values,
    },
)


@pytest.fixture(scope="module")
def node():
    node = served.ServedNode(body_bytes=20_000, header_bytes=2_000, upload_s=5.0)
    yield node
    node.stop()


def check_answer(node, answer):
    if answer.status not in (200, 404) and answer.status not in CLIENT_ERRORS:
        raise AssertionError(f"{answer.status}: {answer.body}")
    assert answer.complete
    assert answer.headers["x-request-id"]
    if answer.status != 200:
        assert answer.error["ran"] == "no"


@FUZZING
@hypothesis.given(body=strategies.binary(max_size=200))
def test_bodies_of_any_bytes(node, body):
    check_answer(node, node.send(served.post(served.CHAT, body)))


@FUZZING
@hypothesis.given(body=fields)
def test_bodies_of_any_fields(node, body):
    check_answer(node, node.send(served.post(served.CHAT, orjson.dumps(body))))


@FUZZING
@hypothesis.given(
    name=strategies.sampled_from(
        ["Content-Length", "Transfer-Encoding", "Connection", "Expect", "Upgrade"]
    ),
    value=strategies.binary(max_size=20).filter(lambda value: b"\n" not in value),
)
def test_headers_of_any_bytes(node, name, value):
    start = served.head("POST", served.CHAT).removesuffix(b"\r\n")
    raw_request = start + name.encode() + b": " + value + b"\r\n\r\n"
    sock = node.connect()
    sock.sendall(raw_request)
    sock.shutdown(served.SHUT_WR)
    answer = served.read_answer(sock)
    sock.close()
    check_answer(node, answer)


@FUZZING
@hypothesis.given(raw_request=strategies.binary(min_size=1, max_size=300))
def test_connections_of_any_bytes(node, raw_request):
    sock = node.connect()
    sock.sendall(raw_request)
    sock.shutdown(served.SHUT_WR)
    sock.recv(65536)
    sock.close()
    assert node.send(served.head("GET", "/healthz")).status == 200
