"""Records of streams stay within what the store serves and holds."""

import pytest

from leadford.common import RequestId
from leadford.forwarding.streams import recordable_ids, write_interval_s
from leadford.forwarding.streams._overlap import (
    MAX_RECORDED_ID_CHARS,
    MAX_RECORDED_STREAMS,
    MIN_WRITE_INTERVAL_S,
    WRITE_FRACTION,
)


@pytest.mark.parametrize("entries", [1, 5, 24, 68, 300, 1_000])
@pytest.mark.parametrize("writes_per_s", [400.0, 1_200.0, 3_200.0])
def test_all_entries_together_write_a_fraction_of_what_the_store_serves(
    entries, writes_per_s
):
    interval_s = write_interval_s(entries, writes_per_s)
    assert interval_s >= MIN_WRITE_INTERVAL_S
    assert entries / interval_s <= WRITE_FRACTION * writes_per_s + 1e-9


def test_a_store_without_a_rate_is_written_to_seldom():
    assert write_interval_s(5, 0.0) == 5.0


def test_the_newest_streams_with_short_ids_are_recorded():
    long_id = RequestId("x" * (MAX_RECORDED_ID_CHARS + 1))
    ids = [RequestId(str(number)) for number in range(MAX_RECORDED_STREAMS + 3)]
    found = recordable_ids([*ids, long_id])
    assert len(found) == MAX_RECORDED_STREAMS
    assert (found[0], found[-1]) == (ids[3], ids[-1])
