"""All entries choose the same replicas, and a lost one changes only its own place."""

from leadford.common import EntryId, RequestId
from leadford.forwarding.streams import REPLICA_COUNT, origin_replicas

ENTRIES = [EntryId(f"e{number}") for number in range(8)]


def test_replicas_do_not_depend_on_the_order_of_candidates():
    for number in range(50):
        request_id = RequestId(str(number))
        replicas = origin_replicas(request_id, ENTRIES)
        assert len(replicas) == REPLICA_COUNT
        assert replicas == origin_replicas(request_id, reversed(ENTRIES))


def test_a_lost_replica_is_replaced_by_one_other():
    for number in range(50):
        request_id = RequestId(str(number))
        first, *others = origin_replicas(request_id, ENTRIES)
        left = [entry_id for entry_id in ENTRIES if entry_id != first]
        assert origin_replicas(request_id, left)[:-1] == others


def test_streams_are_spread_over_all_candidates():
    counts = dict.fromkeys(ENTRIES, 0)
    for number in range(800):
        for replica in origin_replicas(RequestId(str(number)), ENTRIES):
            counts[replica] += 1
    assert max(counts.values()) < 1.25 * 800 * REPLICA_COUNT / len(ENTRIES)


def test_a_small_fleet_has_fewer_replicas():
    assert origin_replicas(RequestId("r"), ENTRIES[:1]) == ENTRIES[:1]
    assert origin_replicas(RequestId("r"), []) == []
