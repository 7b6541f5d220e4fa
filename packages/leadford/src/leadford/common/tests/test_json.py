"""One value that cannot be read costs no other value of a text."""

import json
import math

import pytest
from hypothesis import given, strategies as st
from returns.result import Failure, Success

from leadford.common import decode_json, parse_json
from leadford.common._json import MAX_NESTING


def nested(depth, inner="1"):
    return "[" * depth + inner + "]" * depth


def parsed(text):
    return parse_json(text.encode())


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(10**15), 10**15) | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
)


@given(VALUES)
def test_what_is_not_nested_deeply_is_read_as_it_is(value):
    assert parsed(json.dumps(value)) == value


@given(VALUES, st.integers(MAX_NESTING, 3_000))
def test_a_value_that_is_nested_deeply_costs_the_others(value, depth):
    text = f'{{"a": {nested(depth)}, "b": {json.dumps(value)}}}'
    found = parsed(text)
    assert found["b"] == value
    for _ in range(MAX_NESTING - 1):
        (found["a"],) = found["a"]
    assert found["a"] == math.inf


@pytest.mark.parametrize("depth", [1, MAX_NESTING, MAX_NESTING + 1])
def test_only_values_beyond_the_bound_are_infinite(depth):
    found = parsed(nested(depth))
    for _ in range(min(depth, MAX_NESTING)):
        (found,) = found
    assert found == (1 if depth <= MAX_NESTING else math.inf)


def test_brackets_in_texts_nest_nothing():
    value = {"a": "[{" * 200 + '"' + "\\" + "]" * 3, "b": nested(90)}
    assert parsed(json.dumps(value)) == value


@pytest.mark.parametrize("text", ["", "[" * 5_000, '{"a": "' + "[" * 90, "]" * 200])
def test_what_is_no_json_raises_a_value_error(text):
    with pytest.raises(ValueError):
        parsed(text)


def test_a_long_integer_is_infinite():
    assert parsed('{"a": ' + "9" * 6_000 + "}") == {"a": math.inf}


@pytest.mark.parametrize(
    "data", [b"", b"[", b"\xff", nested(5_000).encode(), b'{"a": 1}']
)
def test_what_is_of_another_type_is_a_failure(data):
    assert isinstance(decode_json(data, list[int]), Failure)


def test_json_of_a_type_is_decoded():
    assert decode_json(b"[1, 2]", list[int]) == Success([1, 2])
