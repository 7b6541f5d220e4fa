"""What follows a failed piece depends on the kind of failure."""

import pytest

from leadford.forwarding.batching import (
    ENDPOINT_LOST,
    PieceFailure,
    RemakeAction,
    decide_remake,
)

COUNTED = [
    failure
    for failure in PieceFailure
    if failure not in (PieceFailure.LATE, PieceFailure.NO_ENDPOINT, PieceFailure.MOVED)
]


def test_a_piece_without_time_ends_its_request():
    for tries in (0, 5):
        decision = decide_remake(PieceFailure.LATE, tries)
        assert decision.action is RemakeAction.FAIL_LATE


def test_a_piece_whose_scheduler_knew_no_endpoint_waits_and_counts_for_nothing():
    for tries in (0, 5):
        decision = decide_remake(PieceFailure.NO_ENDPOINT, tries)
        assert decision.action is RemakeAction.REMAKE_LATER
        assert decision.tries == tries


def test_a_piece_whose_group_is_scheduled_elsewhere_goes_there_at_once():
    for tries in (0, 5):
        decision = decide_remake(PieceFailure.MOVED, tries)
        assert decision.action is RemakeAction.REMAKE
        assert (decision.tries, decision.excludes_endpoint) == (tries, False)


@pytest.mark.parametrize("failure", COUNTED)
def test_a_piece_is_made_again_until_it_has_failed_six_times(failure):
    for tries in range(5):
        decision = decide_remake(failure, tries)
        assert decision.action is RemakeAction.REMAKE
        assert decision.tries == tries + 1
    assert decide_remake(failure, 5).action is RemakeAction.FAIL_TRIES


@pytest.mark.parametrize("failure", COUNTED)
def test_an_input_that_is_gone_is_made_again_and_is_not_the_fault_of_the_endpoint(
    failure,
):
    is_gone = failure is PieceFailure.GONE
    for tries in (0, 5):
        decision = decide_remake(failure, tries)
        assert decision.drops_inputs == is_gone
        assert decision.excludes_endpoint == (not is_gone)


@pytest.mark.parametrize(
    "text, failure",
    [
        ("late", PieceFailure.LATE),
        ("gone", PieceFailure.GONE),
        ("room", PieceFailure.ROOM),
        ("full", PieceFailure.FULL),
        ("no endpoint", PieceFailure.NO_ENDPOINT),
        ("moved", PieceFailure.MOVED),
        ("lost: no answer", PieceFailure.LOST),
        ("lost", PieceFailure.LOST),
        ("not-sent: connect: TimeoutError", PieceFailure.NOT_SENT),
        ("silent", PieceFailure.SILENT),
        ("replaced", PieceFailure.REPLACED),
        ("status 500", PieceFailure.OTHER),
        ("spoiled", PieceFailure.OTHER),
        ("error", PieceFailure.OTHER),
        ("later", PieceFailure.OTHER),
        ("keeper lost", PieceFailure.OTHER),
        ("", PieceFailure.OTHER),
    ],
)
def test_texts_of_peers_and_endpoints_are_decoded_once(text, failure):
    assert PieceFailure.from_text(text) is failure


def test_what_leaves_an_endpoint_in_doubt():
    assert {failure.value for failure in ENDPOINT_LOST} == {
        "lost",
        "not-sent",
        "silent",
        "replaced",
    }
