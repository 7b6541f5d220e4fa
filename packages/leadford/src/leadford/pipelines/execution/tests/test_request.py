"""Late, repeated, mismatched and incomplete answers never reach a caller."""

import pytest

from leadford.common import EndpointId, Outcome
from leadford.pipelines.config import PipelineConfig, StageConfig
from leadford.pipelines.execution import RequestExecution, StrayKind
from leadford.protocol import Done, DoneStatus, TokenPart

A = EndpointId("a")
B = EndpointId("b")


def make_execution(*stages):
    return RequestExecution(
        request_id="r",
        pipeline_id="p",
        pipeline=PipelineConfig(stages=stages),
        workspace="w",
        deadline_at=10.0,
    )


def generate():
    return StageConfig(name="generate", pool="engines", expected_tokens=4)


def done(stage, attempt, sequence=0):
    return Done("r", stage, attempt, DoneStatus.OK, sequence, b'"x"', 1.0, 0.0)


def part(attempt, sequence, texts, version="1"):
    return TokenPart("r", "generate", attempt, sequence, texts, version)


def test_only_a_live_attempt_may_end():
    execution = make_execution(StageConfig(name="s", pool="p"))
    first = execution.begin(A, 0.0)
    execution.end_attempt(first)
    second = execution.begin(B, 0.0)
    assert execution.accept_done(done("s", 1)).failure() is StrayKind.AFTER_END
    assert execution.accept_done(done("other", 2)).failure() is StrayKind.NO_ATTEMPT
    assert execution.accept_done(done("s", 9)).failure() is StrayKind.NO_ATTEMPT
    assert execution.accept_done(done("s", 2)).unwrap() == second
    assert execution.accept_done(done("s", 2)).failure() is StrayKind.AFTER_END


def test_tokens_arrive_once_and_without_gaps():
    execution = make_execution(generate())
    execution.begin(A, 0.0)
    assert execution.accept_tokens(part(1, 0, ["a", "b"])).unwrap() == 2
    assert execution.accept_tokens(part(1, 0, ["a"])).failure() is StrayKind.REPEATED
    assert execution.accept_tokens(part(1, 3, ["d"])).failure() is StrayKind.GAP
    assert execution.accept_tokens(part(1, 1, ["b", "c"])).unwrap() == 1
    assert execution.delivered_ == ["a", "b", "c"]


def test_an_end_that_overtakes_tokens_is_not_taken():
    execution = make_execution(generate())
    execution.begin(A, 0.0)
    execution.accept_tokens(part(1, 0, ["a"]))
    assert execution.accept_done(done("generate", 1, 2)).failure() is StrayKind.GAP
    execution.accept_tokens(part(1, 1, ["b"]))
    assert execution.accept_done(done("generate", 1, 2)).unwrap().number == 1


def test_a_second_attempt_goes_on_only_with_the_same_text():
    execution = make_execution(generate())
    execution.end_attempt(execution.begin(A, 0.0))
    execution.delivered_.extend(["a", "b"])
    execution.model_version_ = "1"
    execution.begin(B, 0.0)
    assert execution.accept_tokens(part(2, 0, ["a"])).unwrap() == 0
    assert execution.accept_tokens(part(2, 1, ["b", "c"])).unwrap() == 1
    assert execution.delivered_ == ["a", "b", "c"]


@pytest.mark.parametrize(("texts", "version"), [(["x"], "1"), (["a"], "2")])
def test_another_text_or_model_version_is_refused(texts, version):
    execution = make_execution(generate())
    execution.end_attempt(execution.begin(A, 0.0))
    execution.delivered_.append("a")
    execution.model_version_ = "1"
    execution.begin(B, 0.0)
    refused = execution.accept_tokens(part(2, 0, texts, version))
    assert refused.failure() is StrayKind.DIVERGED
    assert execution.diverged_


@pytest.mark.parametrize(
    ("stage", "outcome"),
    [
        (StageConfig(name="s", pool="p"), Outcome.NOT_RUN),
        (StageConfig(name="s", pool="p", repeatable=False), Outcome.UNKNOWN),
        (StageConfig(name="s", pool="p", effect=True), Outcome.UNKNOWN),
    ],
)
def test_not_run_is_said_only_while_it_is_proved(stage, outcome):
    execution = make_execution(stage)
    assert execution.failure_outcome(shown=False) is Outcome.NOT_RUN
    attempt = execution.begin(A, 0.0)
    execution.record_possible_send(attempt)
    assert execution.failure_outcome(shown=False) is outcome
    execution.record_not_started(attempt)
    assert execution.failure_outcome(shown=False) is Outcome.NOT_RUN


def test_an_earlier_effect_is_not_forgotten_by_a_later_refusal():
    effect = StageConfig(name="one", pool="p", repeatable=False, effect=True)
    execution = make_execution(effect, StageConfig(name="two", pool="p"))
    execution.record_possible_send(execution.begin(A, 0.0))
    execution.advance(b"1")
    execution.record_not_started(execution.begin(B, 0.0))
    assert execution.failure_outcome(shown=False) is Outcome.UNKNOWN


@pytest.mark.parametrize("refused_number", [1, 2])
def test_a_refusal_takes_back_only_what_its_own_attempt_may_have_started(
    refused_number,
):
    execution = make_execution(StageConfig(name="s", pool="p", effect=True))
    attempts = [execution.begin(A, 0.0), execution.begin(B, 0.0)]
    for attempt in attempts:
        execution.record_possible_send(attempt)
    execution.record_not_started(attempts.pop(refused_number - 1))
    assert execution.failure_outcome(shown=False) is Outcome.UNKNOWN
    execution.record_not_started(attempts.pop())
    assert execution.failure_outcome(shown=False) is Outcome.NOT_RUN


@pytest.mark.parametrize("effect", [True, False])
def test_a_refusal_proves_nothing_of_what_another_process_began(effect):
    execution = make_execution(StageConfig(name="s", pool="p", effect=effect))
    execution.record_not_started(execution.register_attempt("s", 2, A))
    assert execution.failure_outcome(shown=False) is Outcome.UNKNOWN


def test_attempts_count_by_stage():
    execution = make_execution(*(StageConfig(name=n, pool="p") for n in "abcd"))
    for _ in range(3):
        execution.begin(A, 0.0)
        execution.advance(b"1")
    execution.begin(A, 0.0)
    assert execution.stage_attempts_ == 1
    assert execution.attempts_made_ == 4


def test_a_stage_leaves_time_to_those_after_it():
    stages = [StageConfig(name=n, pool="p", expected_ms=100.0) for n in "abc"]
    budget = make_execution(*stages).budget(9.0)
    assert budget.remaining_ms == pytest.approx(1000.0)
    assert budget.own_ms == pytest.approx(800.0)
