from leadford.forwarding.history import (
    FIRST_EPOCH,
    AnswerAge,
    StoreEpoch,
    StoreEpochs,
    StorePosition,
)


def test_a_revision_that_is_given_out_again_comes_after_that_of_the_history_before():
    before = StorePosition(StoreEpoch(1), 96)
    assert StorePosition(StoreEpoch(2), 94) > before
    assert StorePosition(StoreEpoch(1), 95) < before


def test_the_epoch_of_a_store_that_tells_none_stays_the_first():
    epochs = StoreEpochs()
    assert epochs.record_answer(None) is AnswerAge.PRESENT
    assert (epochs.current_, epochs.is_reported_by_store_) == (FIRST_EPOCH, False)


def test_the_first_epoch_that_is_told_is_no_restoration():
    epochs = StoreEpochs()
    assert epochs.record_answer(StoreEpoch(7)) is AnswerAge.PRESENT
    assert (epochs.current_, epochs.has_risen_) == (7, False)


def test_answers_from_before_and_after_a_restoration_are_told_apart():
    epochs = StoreEpochs()
    ages = [epochs.record_answer(StoreEpoch(number)) for number in (1, 2, 1, 2, 4)]
    assert ages == [
        AnswerAge.PRESENT,
        AnswerAge.RESTORED,
        AnswerAge.PAST,
        AnswerAge.PRESENT,
        AnswerAge.RESTORED,
    ]
