"""Test for how long the store counts as refusing calls."""

from leadford.forwarding.membership import StoreRefusals


def refused_at(*times):
    refusals = StoreRefusals()
    for now in times:
        refusals.record_refused(now)
    return refusals


def test_refusals_count_from_the_first_one():
    assert StoreRefusals().refused_s(5.0) is None
    assert refused_at(1.0, 3.0, 5.0).refused_s(5.5) == 4.5


def test_a_store_that_answers_nothing_meanwhile_ends_them():
    assert refused_at(1.0, 3.0).refused_s(6.5) is None
    assert refused_at(1.0, 3.0, 6.5).refused_s(7.0) == 0.5
