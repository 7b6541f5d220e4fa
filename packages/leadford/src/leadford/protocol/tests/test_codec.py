"""Frames are decoded as they were encoded; other data is an error, never raised."""

import math
from random import Random
from typing import get_args

import cbor2
import msgspec
import pytest
from hypothesis import given, strategies as st
from returns.result import Failure

from leadford import protocol
from leadford.protocol import (
    Done,
    DoneStatus,
    Load,
    Note,
    NoteAnswer,
    Submit,
    TokenPart,
    Tokens,
    decode,
    encode,
    make_nonce,
    make_proof,
    proof_matches,
)

LOAD = Load(1, 2, 3, 4.0, 5.0, 6, [])
MESSAGES = [
    Submit("r", "s", 1, "p", "w", 0, 1.5, True, False, 64, b'{"a":1}'),
    Tokens([TokenPart("r", "s", 1, 0, ["é", "x"])]),
    Done("r", "s", 1, DoneStatus.OK, 3, b"null", 1.0, 2.0, load=LOAD),
    LOAD,
]


def test_frames_survive_the_trip():
    frame = decode(encode(7, MESSAGES)).unwrap()
    assert frame.config_version == 7
    assert frame.messages == MESSAGES


def test_later_fields_are_ignored_and_missing_ones_filled_in():
    newer = cbor2.dumps([1, [[5, 1, 2, 3, 4.0, 5.0, 6, [], [], "newer"]]])
    older = cbor2.dumps([1, [[5, 1, 2, 3, 4.0, 5.0, 6]]])
    assert decode(newer).unwrap().messages == [LOAD]
    assert decode(older).unwrap().messages == [LOAD]


def test_every_message_with_a_tag_can_be_read():
    tagged = {
        item
        for item in vars(protocol).values()
        if isinstance(item, type)
        and issubclass(item, msgspec.Struct)
        and item.__struct_config__.tag is not None
    }
    assert len(tagged) > 20
    assert tagged == set(get_args(protocol.Message))


def test_the_age_of_a_note_that_an_older_build_tells_is_unbounded():
    fields = ["r", "w", "line", "confirm", 1, "a", True, False, "entry", "digest"]
    older = cbor2.dumps([1, [[18, "r", [16, *fields]]]])
    (answer,) = decode(older).unwrap().messages
    assert answer == NoteAnswer("r", Note(*fields, age_ms=math.inf))
    assert decode(encode(1, [answer])).unwrap().messages == [answer]


@given(st.binary(max_size=200))
def test_noise_is_an_error(data):
    result = decode(data)
    if not isinstance(result, Failure):
        assert msgspec.to_builtins(result.unwrap().messages) == []


@given(st.integers(0, 200))
def test_a_truncated_frame_is_an_error(length):
    whole = encode(1, MESSAGES)
    assert isinstance(decode(whole[: min(length, len(whole) - 1)]), Failure)


@pytest.mark.parametrize(
    "data",
    ["text", cbor2.dumps([1, 999]), cbor2.dumps(["x", []]), b"\x9f" * 2000],
)
def test_wrong_shapes_are_errors(data):
    assert isinstance(decode(data), Failure)


@pytest.mark.parametrize(
    "unknown",
    [
        [999, "a message of a later build"],
        # A status of a later build, and a number that a later build sends as text.
        [10, "r", "s", 1, "postponed", 3, b"null", 1.0, 2.0],
        [5, "x"],
        [],
        "no message",
        None,
    ],
)
def test_what_a_build_does_not_know_is_skipped_and_counted(unknown):
    known = [msgspec.to_builtins(m, builtin_types=(bytes,)) for m in MESSAGES]
    frame = decode(cbor2.dumps([7, [known[0], unknown, *known[1:]]])).unwrap()
    assert frame.config_version == 7
    assert frame.messages == MESSAGES
    assert len(frame.skipped) == 1


def test_a_frame_without_unknown_messages_skips_none():
    assert decode(encode(7, MESSAGES)).unwrap().skipped == ()


LEAVES = st.none() | st.booleans() | st.integers() | st.text(max_size=9) | st.binary()


@given(st.lists(st.recursive(LEAVES, st.lists, max_leaves=12), max_size=5))
def test_any_array_of_values_is_read_beside_a_known_message(values):
    known = msgspec.to_builtins(LOAD, builtin_types=(bytes,))
    frame = decode(cbor2.dumps([1, [*values, known]])).unwrap()
    assert frame.messages[-1] == LOAD
    assert len(frame.messages) + len(frame.skipped) == len(values) + 1


def test_a_proof_holds_for_its_peers_and_nonce_only():
    nonce = make_nonce(Random(1))
    proof = make_proof(b"secret", nonce, "a", "b")
    assert proof_matches(proof, b"secret", nonce, "a", "b")
    assert not proof_matches(proof, b"secret", nonce, "b", "a")
    assert not proof_matches(proof, b"other", nonce, "a", "b")
    assert not proof_matches(proof, b"secret", make_nonce(Random(2)), "a", "b")
