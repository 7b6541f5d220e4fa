"""No key is granted twice with several writers, lost answers or a wrapped ring."""

from random import Random

import pytest
from hypothesis import given, strategies as st
from returns.result import Failure

from leadford.pipelines.claims import (
    ClaimBatch,
    ClaimLog,
    SlotView,
    decode_slot,
    request_id_for_key,
    shard_of,
)
from leadford.pipelines.claims._log import SLOT_CLAIMS_MAX

RETENTION_S = 100.0


class FakeStore:
    """Store versioned objects with conditional updates, as the platform does."""

    def __init__(self):
        self.objects_by_name = {}
        self.last_version = 0

    def read(self, name):
        version, data = self.objects_by_name.get(name, (0, None))
        return SlotView(version, decode_slot(data) if data is not None else None)

    def write(self, write):
        version, _ = self.objects_by_name.get(write.name, (0, None))
        if version != write.expected_version:
            return None
        self.last_version += 1
        self.objects_by_name[write.name] = (self.last_version, write.data)
        return self.last_version


class Writer:
    """Read and append one log in a store, one call at a time."""

    def __init__(self, store, slot_count=8):
        self.store = store
        self.log = ClaimLog(shard=0, slot_count=slot_count, retention_s=RETENTION_S)
        self.batch_count = 0

    def catch_up(self, now_s):
        reads = 0
        while (position := self.log.wanted_position()) is not None:
            view = self.store.read(self.log.slot_name(position))
            self.log.record_read(position, view, now_s)
            reads += 1
        return reads

    def claim(self, request_id, claim_id, now_s, lost=False):
        """Return whether the claim is granted."""
        for _ in range(10):
            self.catch_up(now_s)
            holder = self.log.claim_id_of(request_id)
            if holder is not None:
                return holder == claim_id
            batch_id = f"{id(self)}-{self.batch_count}"
            self.batch_count += 1
            batch = ClaimBatch(batch_id, now_s, {request_id: claim_id})
            built = self.log.next_write(batch, now_s)
            if isinstance(built, Failure):
                return False
            version = self.store.write(built.unwrap())
            if version is None or lost:
                self.log.record_in_doubt()
                lost = False
                continue
            self.log.record_written(built.unwrap(), version)
            return True
        raise AssertionError("the claim was not settled after 10 tries")


def test_one_of_two_writers_wins_a_key():
    store = FakeStore()
    first, second = Writer(store), Writer(store)
    first.catch_up(0.0)
    second.catch_up(0.0)
    assert first.claim("k1", "a", 0.0)
    assert not second.claim("k1", "b", 0.0)


def test_a_lost_answer_is_settled_by_reading_back():
    store = FakeStore()
    writer = Writer(store)
    assert writer.claim("k1", "a", 0.0, lost=True)
    assert store.last_version == 1


def test_a_paused_writer_meets_what_was_written_meanwhile():
    store = FakeStore()
    paused, other = Writer(store), Writer(store)
    paused.catch_up(0.0)
    for number in range(SLOT_CLAIMS_MAX * 2 + 5):
        assert other.claim(f"k{number}", "b", 0.0)
    assert not paused.claim("k3", "a", 1.0)
    assert paused.claim("new", "a", 1.0)


def test_a_full_ring_refuses_until_its_claims_expire():
    store = FakeStore()
    writer = Writer(store, slot_count=2)
    for number in range(SLOT_CLAIMS_MAX * 2):
        assert writer.claim(f"k{number}", "a", 0.0)
    assert not writer.claim("one too many", "a", RETENTION_S)
    assert writer.claim("one too many", "a", RETENTION_S * 2)


def test_a_writer_that_joins_reads_few_slots_and_knows_recent_claims():
    store = FakeStore()
    old = Writer(store, slot_count=64)
    for number in range(SLOT_CLAIMS_MAX * 20):
        old.claim(f"k{number}", "a", float(number) / 10)
    late = Writer(store, slot_count=64)
    now_s = SLOT_CLAIMS_MAX * 2.0
    assert late.catch_up(now_s) < 16
    assert late.log.claim_id_of(f"k{SLOT_CLAIMS_MAX * 20 - 5}") == "a"
    assert not late.claim(f"k{SLOT_CLAIMS_MAX * 19}", "b", now_s)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 2), st.integers(0, 30), st.booleans(), st.integers(0, 40)
        ),
        max_size=120,
    ),
    st.randoms(use_true_random=False),
)
def test_no_key_is_granted_twice_within_the_retention(steps, random):
    store = FakeStore()
    writers = [Writer(store, slot_count=8) for _ in range(3)]
    granted_at = {}
    now_s = 0.0
    for index, (writer_index, key, lost, pause_s) in enumerate(steps):
        now_s += pause_s * 0.1
        claim_id = f"{writer_index}-{index}"
        if not writers[writer_index].claim(f"k{key}", claim_id, now_s, lost):
            continue
        previous = granted_at.get(key, float("-inf"))
        assert now_s - previous > RETENTION_S
        granted_at[key] = now_s


def test_keys_map_to_stable_ids_and_shards():
    assert request_id_for_key("a", "x") == request_id_for_key("a", "x")
    assert request_id_for_key("a", "x") != request_id_for_key("b", "x")
    ids = [request_id_for_key("a", str(n)) for n in range(400)]
    counts = [sum(shard_of(i, 4) == shard for i in ids) for shard in range(4)]
    assert min(counts) > 60


@pytest.mark.parametrize("seed", range(3))
def test_interleaved_writers_lose_no_grant(seed):
    store = FakeStore()
    random = Random(seed)
    writers = [Writer(store) for _ in range(3)]
    granted = set()
    for number in range(300):
        writer = random.choice(writers)
        if writer.claim(f"k{number}", f"c{number}", 0.0, random.random() < 0.2):
            granted.add(f"k{number}")
    fresh = Writer(store)
    fresh.catch_up(0.0)
    assert all(fresh.log.claim_id_of(key) == f"c{key[1:]}" for key in granted)
