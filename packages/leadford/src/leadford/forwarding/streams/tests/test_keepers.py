"""All entries choose the same keepers, and a lost one changes only its own place."""

from leadford.common import EntryId, RequestId
from leadford.forwarding.streams import KEEPERS_COUNT, origin_keepers

ENTRIES = [EntryId(f"e{number}") for number in range(8)]


def test_keepers_do_not_depend_on_the_order_of_candidates():
    for number in range(50):
        request_id = RequestId(str(number))
        keepers = origin_keepers(request_id, ENTRIES)
        assert len(keepers) == KEEPERS_COUNT
        assert keepers == origin_keepers(request_id, reversed(ENTRIES))


def test_a_lost_keeper_is_replaced_by_one_other():
    for number in range(50):
        request_id = RequestId(str(number))
        first, *others = origin_keepers(request_id, ENTRIES)
        left = [entry_id for entry_id in ENTRIES if entry_id != first]
        assert origin_keepers(request_id, left)[:-1] == others


def test_streams_are_spread_over_all_candidates():
    counts = dict.fromkeys(ENTRIES, 0)
    for number in range(800):
        for keeper in origin_keepers(RequestId(str(number)), ENTRIES):
            counts[keeper] += 1
    assert max(counts.values()) < 1.25 * 800 * KEEPERS_COUNT / len(ENTRIES)


def test_a_small_fleet_has_fewer_keepers():
    assert origin_keepers(RequestId("r"), ENTRIES[:1]) == ENTRIES[:1]
    assert origin_keepers(RequestId("r"), []) == []
