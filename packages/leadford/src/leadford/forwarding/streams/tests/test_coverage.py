"""A content names a stream only where no stream of that content is missing."""

import math

import pytest

from leadford.forwarding.streams import knows_all_streams


@pytest.mark.parametrize(
    ("known_for_s", "is_known"),
    [
        # Alone, among two, among three: one that missed nothing held every stream.
        ([30.0], True),
        ([29.9], False),
        ([0.0, 30.0], True),
        ([0.0, 0.0], False),
        ([0.0, 0.0, 30.0], True),
        # A stream has three replicas.
        ([30.0, 30.0, 30.0, 0.0, 0.0], True),
        ([30.0, 30.0, 0.0, 0.0, 0.0], False),
        ([math.inf] * 9, True),
        ([math.nan], False),
        ([], False),
    ],
)
def test_a_stream_may_be_lost_once_all_its_holders_may_be_recent(known_for_s, is_known):
    assert knows_all_streams(known_for_s, horizon_s=30.0) == is_known
