"""An answer that came before is told from the one that is due."""

from leadford.forwarding.endpoints import AnswerMatch, AnswerMatcher


def test_an_answer_with_another_id_puts_the_connection_out_of_step_for_good():
    matcher = AnswerMatcher()
    assert matcher.match("a", "b", is_refusal=False) is AnswerMatch.FOREIGN
    # A refusal without an id could now be that of the earlier request.
    assert matcher.match(None, "b", is_refusal=True) is AnswerMatch.UNKNOWN
    assert matcher.match("b", "b", is_refusal=False) is AnswerMatch.OWN
    assert not matcher.may_carry("c")


def test_a_request_is_not_sent_twice_on_one_connection():
    matcher = AnswerMatcher()
    matcher.record_sent("a")
    assert matcher.match("a", "a", is_refusal=True) is AnswerMatch.OWN
    assert not matcher.may_carry("a")
    assert matcher.may_carry("b")


def test_after_a_refusal_without_an_id_nothing_is_sent():
    for request_id in ("a", None):
        matcher = AnswerMatcher()
        assert matcher.match(None, request_id, is_refusal=True) is AnswerMatch.OWN
        assert not matcher.may_carry("b")
        assert not matcher.may_carry(None)


def test_an_answer_without_an_id_after_that_of_a_call_without_one_is_not_believed():
    for is_refusal in (False, True):
        matcher = AnswerMatcher()
        assert matcher.match(None, None, is_refusal=False) is AnswerMatch.OWN
        assert matcher.may_carry("b")
        match = matcher.match(None, "b", is_refusal=is_refusal)
        assert match is AnswerMatch.UNKNOWN


def test_after_a_served_answer_without_an_id_nothing_is_sent():
    matcher = AnswerMatcher()
    assert matcher.match("", "a", is_refusal=False) is AnswerMatch.OWN
    assert not matcher.may_carry("b")


def test_few_ids_are_kept():
    matcher = AnswerMatcher()
    for number in range(1_000):
        matcher.record_sent(f"r{number}")
    assert len(matcher.sent_ids_) < 20


def test_an_answer_with_an_id_is_not_that_of_a_call_without_one():
    # The answer to the call then came where that of the next request was due.
    matcher = AnswerMatcher()
    matcher.record_sent("a")
    assert matcher.match("a", None, is_refusal=False) is AnswerMatch.FOREIGN
    assert not matcher.may_carry("b")
