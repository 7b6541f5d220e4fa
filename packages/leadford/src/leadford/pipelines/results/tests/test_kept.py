"""Kept results are sent within a credit, can be taken over, and are bounded."""

from leadford.pipelines.results import ResultStore
from leadford.protocol import Done, DoneStatus


def make_done(sequence=0):
    return Done("r", "s", 1, DoneStatus.OK, sequence, b"null", 1.0, 0.0)


def open_kept(store, key="r/s/1"):
    return store.open(key, "w", 0.0)


def test_a_stream_is_fed_within_its_credit_and_ends_once():
    store = ResultStore(retention_s=10.0)
    kept = open_kept(store)
    kept.attach("entry", 0, 2)
    kept.append(["a", "b", "c"], "1")
    assert kept.take("entry") == (0, ["a", "b"])
    assert kept.take("entry") == (2, [])
    store.end(kept, make_done(3), 1.0)
    assert kept.take_done("entry") is None
    kept.add_credit("entry", 5)
    assert kept.take("entry") == (2, ["c"])
    assert kept.take_done("entry") is not None
    assert kept.take_done("entry") is None


def test_another_entry_takes_over_from_any_sequence():
    store = ResultStore(retention_s=10.0)
    kept = open_kept(store)
    kept.attach("first", 0, 10)
    kept.append(["a", "b"], "1")
    kept.take("first")
    store.detach_peer("first")
    kept.attach("second", 1, 10)
    assert kept.take("second") == (1, ["b"])


def test_an_attempt_is_opened_once():
    store = ResultStore(retention_s=10.0)
    assert open_kept(store) is not None
    assert open_kept(store) is None


def test_results_go_when_released_expired_or_too_many():
    store = ResultStore(retention_s=10.0, results_max=3)
    for number in range(6):
        key = f"r{number}/s/1"
        store.end(open_kept(store, key), make_done(), float(number))
    assert list(store.results_by_key_) == ["r3/s/1", "r4/s/1", "r5/s/1"]
    store.release("r3/s/1")
    store.release("r3/s/1")
    store.expire(100.0)
    assert not store.results_by_key_
    assert store.ended_bytes_ == 0


def test_what_runs_is_never_dropped():
    store = ResultStore(retention_s=1.0, results_max=1, bytes_max=1)
    kept = open_kept(store)
    kept.append(["long text"], "1")
    store.expire(100.0)
    store.release("r/s/1")
    assert store.get("r/s/1") is kept
