"""What counts against a prompt part, what clears it, and when it is tried again."""

from itertools import count
from random import Random

import pytest

from leadford.common import EndpointId
from leadford.quarantine import (
    CaseId,
    LostRun,
    PartBlames,
    PartCases,
    PartId,
    PartTrials,
    PromptKeys,
    ProvenParts,
    QuarantineAction,
    RequestDigest,
    blamable_parts,
)

_ids = count()


def keys(*part_ids, digest=None):
    digest = digest or f"digest-{next(_ids)}"
    return PromptKeys(RequestDigest(digest), tuple(map(PartId, part_ids)))


class Fixture:
    """Hold cases and decide about prompts at a given time."""

    def __init__(self):
        self.cases = PartCases()
        self.blames = PartBlames(self.cases)
        self.trials = PartTrials(random=Random(1))

    def crash(self, at, *prompts, proven=(), endpoint=None):
        """Record one crash under some prompts."""
        endpoint_id = EndpointId(endpoint or f"endpoint-{next(_ids)}")
        for prompt in prompts:
            case_id = CaseId(next(_ids))
            run = LostRun(case_id, endpoint_id, prompt, tuple(map(PartId, proven)))
            self.cases.record(run, at)

    def action(self, prompt, now):
        suspicion = self.blames.suspicion(prompt, now)
        return self.trials.decide(suspicion, prompt, now).action


@pytest.fixture
def fixture():
    return Fixture()


def test_the_last_part_is_never_blamed():
    assert blamable_parts(["a", "b", "c"]) == ("a", "b")
    assert blamable_parts(["a"]) == ()
    assert blamable_parts([]) == ()


def test_a_part_is_refused_after_three_crashes_with_different_requests(fixture):
    for at in (1.0, 2.0):
        fixture.crash(at, keys("shared", "bad"))
        assert fixture.action(keys("shared", "bad"), at) is not QuarantineAction.REFUSE
    assert fixture.action(keys("shared", "bad"), 2.5) is QuarantineAction.RUN_APART
    fixture.crash(3.0, keys("shared", "bad"))
    assert fixture.action(keys("shared", "bad"), 3.0) is QuarantineAction.REFUSE
    assert fixture.action(keys("shared", "other"), 3.0) is QuarantineAction.RUN


def test_copies_of_one_request_blame_the_request_and_no_part(fixture):
    for at in (1.0, 2.0, 3.0):
        fixture.crash(at, keys("shared", "bad", digest="copy"))
    assert fixture.action(keys("shared", "bad"), 3.0) is not QuarantineAction.REFUSE
    copy = keys("shared", "bad", digest="copy")
    assert fixture.action(copy, 3.0) is QuarantineAction.REFUSE


def test_a_part_is_refused_alone_once_its_companion_is_cleared(fixture):
    for at in (1.0, 2.0, 3.0):
        fixture.crash(at, keys("shared", "bad"))
    assert fixture.action(keys("bad"), 3.0) is not QuarantineAction.REFUSE
    fixture.cases.clear([PartId("shared")], begun_at=3.5)
    assert fixture.action(keys("bad"), 3.5) is QuarantineAction.REFUSE


def test_only_an_answer_that_began_after_a_crash_clears_its_part(fixture):
    for at in (1.0, 2.0, 3.0):
        fixture.crash(at, keys("bad"))
    assert fixture.cases.clear([PartId("bad")], begun_at=0.9) == []
    assert fixture.cases.clear([PartId("other")], begun_at=4.0) == []
    assert fixture.action(keys("bad"), 4.0) is QuarantineAction.REFUSE
    assert fixture.cases.clear([PartId("bad")], begun_at=2.0) == ["bad"]
    assert fixture.action(keys("bad"), 4.1) is QuarantineAction.RUN


def test_many_runs_that_are_lost_at_once_are_judged_together(fixture):
    # Each of 400 lost runs had the blame worked out anew, for seconds in all.
    for at in (1.0, 2.0, 3.0):
        fixture.crash(at, *(keys("shared", f"part-{n}") for n in range(400)))
    fixture.action(keys("shared"), 3.0)
    judged = fixture.blames.blame_by_part_
    for number in range(400):
        fixture.crash(4.0, keys("shared", f"part-{number}"), endpoint="same")
        fixture.action(keys("shared"), 3.01)
        assert fixture.blames.blame_by_part_ is judged
    fixture.action(keys("shared"), 4.03)
    assert fixture.blames.blame_by_part_["shared"].crashes == 4


def test_a_crash_that_several_entries_saw_counts_once(fixture):
    for at in (1.0, 1.3, 1.9):
        fixture.crash(at, keys("bad"), endpoint="one")
    assert fixture.action(keys("bad"), 2.0) is QuarantineAction.RUN


def test_a_late_report_belongs_to_the_crash_of_its_endpoint(fixture):
    fixture.crash(1.0, keys("bad"), endpoint="one")
    fixture.crash(1.3, keys("bad"), endpoint="two")
    # Another entry sees the end of the first endpoint only now.
    fixture.crash(1.35, keys("late"), endpoint="one")
    assert len(fixture.cases.crashes_by_part_["bad"]) == 2
    [crash] = fixture.cases.crashes_by_part_["late"]
    assert crash.at == 1.0


def test_a_crash_is_counted_anew_once_its_endpoint_is_back_under_its_id(fixture):
    for at in (1.0, 4.0, 7.0):
        fixture.crash(at, keys("bad"), endpoint="one")
    assert fixture.action(keys("bad"), 7.0) is QuarantineAction.REFUSE


def test_a_part_that_was_answered_lately_is_refused_only_after_a_while(fixture):
    for at in (1.0, 1.3, 1.6):
        fixture.crash(at, keys("shared"), proven=["shared"])
    assert fixture.action(keys("shared"), 1.7) is not QuarantineAction.REFUSE
    assert fixture.action(keys("shared"), 3.1) is QuarantineAction.REFUSE


def test_what_ran_beside_a_crashing_part_is_not_blamed(fixture):
    for at in (1.0, 2.0, 3.0, 4.0):
        fixture.crash(at, keys("bad"), keys("unlucky") if at < 4.0 else keys("bad"))
    assert fixture.action(keys("bad"), 4.0) is QuarantineAction.REFUSE
    assert fixture.action(keys("unlucky"), 4.0) is QuarantineAction.RUN


def test_after_the_refusal_one_request_runs_at_a_time(fixture):
    for at in (1.0, 2.0, 3.0):
        fixture.crash(at, keys("bad"))
    assert fixture.action(keys("bad"), 602.0) is QuarantineAction.REFUSE
    trial = keys("bad")
    now = 3.0 + 600.0 * (1.0 + fixture.trials.spread) + 0.1
    assert fixture.action(trial, now) is QuarantineAction.RUN_APART
    assert fixture.action(keys("bad"), now) is QuarantineAction.REFUSE
    assert fixture.action(trial, now) is QuarantineAction.RUN_APART
    fixture.crash(now + 0.3, trial)
    assert fixture.action(trial, now + 0.4) is QuarantineAction.REFUSE
    assert fixture.action(keys("bad"), now + 500.0) is QuarantineAction.REFUSE


def test_a_part_that_was_answered_lately_is_tried_again_soon_and_only_once(fixture):
    for at in (1.0, 2.0, 3.0):
        fixture.crash(at, keys("shared"), proven=["shared"])
    assert fixture.action(keys("shared"), 12.0) is QuarantineAction.REFUSE
    trial = keys("shared")
    assert fixture.action(trial, 18.1) is QuarantineAction.RUN_APART
    fixture.crash(18.5, trial)
    assert fixture.action(keys("shared"), 60.0) is QuarantineAction.REFUSE


def test_what_a_caller_of_many_parts_leaves_is_bounded(fixture):
    proven = ProvenParts()
    for number in range(2_000):
        parts = blamable_parts(f"part-{number}-{n}" for n in range(500))
        fixture.crash(float(number), keys(*parts), proven=parts)
        proven.record(parts, float(number))
    assert fixture.cases.case_count_ <= 20_000
    assert len(fixture.cases.crashes_) <= 500
    assert sum(len(c.runs_) for c in fixture.cases.crashes_) <= 500
    assert len(fixture.cases.proven_ids_) <= 20_000
    assert len(proven.begun_at_by_part_) <= 10_000


def test_what_was_answered_long_ago_proves_nothing():
    proven = ProvenParts()
    proven.record([PartId("shared")], 1.0)
    assert proven.proven([PartId("shared"), PartId("bad")], 30.0) == ("shared",)
    assert proven.proven([PartId("shared")], 100.0) == ()
