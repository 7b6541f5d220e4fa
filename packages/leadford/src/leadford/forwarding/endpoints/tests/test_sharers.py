"""The parts of a limit add up to it, whichever entry most callers go to."""

import pytest

from leadford.common import EndpointId, EntryId
from leadford.forwarding.endpoints import BusiestEntry, EndpointLimits
from leadford.forwarding.endpoints._sharers import part_of_limit

ENTRIES = [EntryId(f"entry-{number}") for number in range(10)]
SHARERS = ENTRIES[:4]


@pytest.mark.parametrize(
    "busiest",
    [None, BusiestEntry(ENTRIES[1], 0.8), BusiestEntry(ENTRIES[7], 0.6)],
    ids=["spread", "sharer", "not-a-sharer"],
)
def test_the_parts_of_a_limit_add_up_to_it(busiest):
    parts = [part_of_limit(entry_id, SHARERS, busiest) for entry_id in ENTRIES]
    assert sum(parts) == pytest.approx(1.0)
    if busiest is not None:
        assert parts[ENTRIES.index(busiest.entry_id)] == busiest.fraction


def test_the_busiest_entry_sends_to_a_limited_endpoint_that_is_not_its_own():
    # It had no part of the limit, and refused what came to it.
    endpoint_id = EndpointId("limited")
    limits = {entry_id: EndpointLimits(entry_id=entry_id) for entry_id in ENTRIES}
    for known in limits.values():
        known.set_entries(ENTRIES)
        known.record_answer(endpoint_id, 20.0, sent_at=0.0, now=0.0)
    without = next(
        entry_id
        for entry_id, known in limits.items()
        if known.wait_s(endpoint_id, 1.0) > 10.0
    )
    for known in limits.values():
        known.set_busiest(BusiestEntry(without, 0.9))
    assert limits[without].wait_s(endpoint_id, 1.0) == 0.0
    sent = 0
    for step in range(1_000):
        now = 1.0 + step * 0.01
        for known in limits.values():
            if known.wait_s(endpoint_id, now) <= 0.0:
                known.record_sent(endpoint_id, now)
                sent += 1
    # Ten seconds at 20 a second, and one more of each entry with a part.
    assert 150 <= sent <= 200 + 5
    for known in limits.values():
        known.set_busiest(None)
    assert limits[without].wait_s(endpoint_id, 11.0) > 10.0
