"""Tests of decoding JSON texts of which some values can't be decoded."""

import json

import hypothesis
import hypothesis.strategies as st
import orjson
import pytest

from mothworks import partial_json

#: Values that the strict parser rejects.
UNREADABLE = [
    b'"\\ud83d"',
    b'"\xff"',
    b"NaN",
    b"1e999",
    b'"a\nb"',
    b"[" * 2000 + b"]" * 2000,
    b'{"a":' * 2000 + b"1" + b"}" * 2000,
    b"[tru]",
    b'{"\\ud83d": 1}',
]
#: Characters of the structure and escapes inside strings must not count.
READABLE = ["a]}[{,:", 'quote " and \\ backslash', "\\", "", 7, None, [1, {"b": []}]]


@pytest.mark.parametrize("levels", [0, 1, 4])
@hypothesis.given(
    st.recursive(
        st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    )
)
def test_a_readable_text_is_decoded_like_any_other(levels, value):
    assert partial_json.decode(json.dumps(value).encode(), levels) == value


# Guards against one value that hides all others of its text.
@pytest.mark.parametrize("text", UNREADABLE)
def test_values_beside_an_unreadable_one_are_decoded(text):
    others = [json.dumps(value).encode() for value in READABLE]
    for index in range(len(others) + 1):
        items = [*others[:index], text, *others[index:]]
        decoded = partial_json.decode(b" [%b] \n" % b" , ".join(items), 1)
        assert isinstance(decoded.pop(index), partial_json.Unreadable)
        assert decoded == READABLE


@pytest.mark.parametrize("text", UNREADABLE)
def test_members_beside_an_unreadable_one_are_decoded(text):
    text = b'{"a": 1, "b,\\"" : %b , "c": [{"d": %b}, 2]}' % (text, text)
    decoded = partial_json.decode(text, 1)
    assert decoded["a"] == 1
    assert isinstance(decoded['b,"'], partial_json.Unreadable)
    assert isinstance(decoded["c"], partial_json.Unreadable)
    assert partial_json.decode(text, 3)["c"][1] == 2


@pytest.mark.parametrize(
    "text", [b'{"a": NaN', b"[NaN]]", b"[NaN] x", b"[[NaN]", b'["a, NaN]']
)
def test_a_text_whose_structure_is_broken_is_rejected(text):
    with pytest.raises(ValueError):
        partial_json.decode(text, 4)


@hypothesis.given(st.binary(max_size=60), st.integers(0, 4))
@hypothesis.settings(max_examples=500)
def test_any_bytes_are_decoded_or_rejected(data, levels):
    for text in (data, b"[%b]" % data, b'{"a":%b}' % data):
        try:
            partial_json.decode(text, levels)
        except ValueError:
            pass


def test_a_long_text_is_decoded_in_a_short_time():
    item = orjson.dumps({"metadata": {"name": "i-1"}, "spec": {"models": ["m"] * 40}})
    items = [item] * 2000
    text = b'{"items": [%b, {"spec": NaN}]}' % b",".join(items)
    assert len(partial_json.decode(text, 4)["items"]) == 2001
