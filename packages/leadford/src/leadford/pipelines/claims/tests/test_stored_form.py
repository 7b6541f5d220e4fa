"""Stored claims can be read, and are written in the same form."""

import cbor2
import msgspec

from leadford.pipelines.claims import decode_slot

# Fixed bytes: a changed form would let a keyed request run twice during an upgrade.
SLOT = bytes.fromhex(
    "820c828363622d31fb41d954fc40200000a26272316263316272326263328363622d32fb41d9"
    "54fc40400000a1627233626333"
)


def test_a_stored_slot_is_read_and_written_the_same():
    slot = decode_slot(SLOT)
    assert slot.position == 12
    assert [batch.batch_id for batch in slot.batches] == ["b-1", "b-2"]
    assert slot.batches[0].claim_ids_by_request == {"r1": "c1", "r2": "c2"}
    assert slot.newest_at_s == 1_700_000_001.0
    assert cbor2.dumps(msgspec.to_builtins(slot)) == SLOT
