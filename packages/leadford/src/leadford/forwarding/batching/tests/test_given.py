"""An answer whose handles came before is told from the one that is due."""

from leadford.forwarding.batching import GivenHandles


def test_handles_that_came_before_are_known():
    given = GivenHandles()
    assert not given.is_repeated(["a", "b"])
    assert not given.is_repeated(["c"])
    assert given.is_repeated(["a", "b"])
    assert given.is_repeated(["d", "c"])


def test_answers_without_handles_are_never_known():
    given = GivenHandles()
    assert not given.is_repeated([])
    assert not given.is_repeated([])


def test_few_answers_are_kept():
    given = GivenHandles()
    for number in range(1_000):
        assert not given.is_repeated([str(number)])
    assert len(given.last_) < 20
