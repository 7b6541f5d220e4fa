"""Runs that end by an error or are cancelled though their caller waits."""

import asyncio

import pytest

from leadford.common import Outcome, PipelineId, PoolKind, RequestId, WorkspaceId
from leadford.pipelines.config import (
    FleetConfig,
    PipelineConfig,
    PoolConfig,
    StageConfig,
)
from leadford.protocol import Note
from leadford_server.pipelines.entry._admitting import NewRequest
from leadford_server.pipelines.entry._answers import AnswerReader
from leadford_server.pipelines.entry._attempts import StageAttempts
from leadford_server.pipelines.entry._body import RequestBody
from leadford_server.pipelines.entry.tests.entry_process import make_entry_process

TIMEOUT_S = 5.0
ID = RequestId("r")
CONFIRM = StageConfig(name="confirm", pool="p", repeatable=False, effect=True)
CONFIG = FleetConfig(
    pools={"p": PoolConfig(kind=PoolKind.SERVICE)},
    pipelines={"line": PipelineConfig(stages=(CONFIRM,))},
)
NEW = NewRequest(PipelineId("line"), WorkspaceId("w"), RequestBody(b"{}", "d"), 9e3)


def make_table():
    table = make_entry_process().table_
    table.services.config_ = CONFIG
    table.services.admission_.decide = lambda *args, **terms: ADMITTED
    return table


class ADMITTED:
    reason = None


async def answer_of(run):
    """Return what a caller that waits is told."""
    reader = AnswerReader()
    run.answer_.readers_.add(reader)
    while run.answer_.final_ is None:
        await asyncio.wait_for(reader.wait(), TIMEOUT_S)
    return run.answer_.final_


def play(scenario):
    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))


def begin_attempt(attempts):
    attempt = attempts.live.execution.begin("endpoint", 0.0)
    attempts.live.execution.record_possible_send(attempt)


def wait_in_attempts(monkeypatch, *, begins):
    """Let each request wait for ever, with or without an attempt."""

    async def run_one(attempts):
        if begins:
            begin_attempt(attempts)
        await asyncio.Event().wait()

    monkeypatch.setattr(StageAttempts, "run_one", run_one)


@pytest.mark.parametrize(
    ("begins", "outcome"), [(False, Outcome.NOT_RUN), (True, Outcome.UNKNOWN)]
)
def test_a_run_that_is_cancelled_answers_its_caller(monkeypatch, begins, outcome):
    """A caller waits for ever for a run that was cancelled."""
    wait_in_attempts(monkeypatch, begins=begins)

    async def scenario():
        table = make_table()
        run = table.begin(NEW).unwrap()
        await asyncio.sleep(0.01)
        (task,) = table.tasks_
        task.cancel()
        answer = await answer_of(run)
        assert answer.outcome is outcome
        assert answer.problem.reason.value == "interrupted"
        assert not table.runs_by_id_

    play(scenario)


def test_a_run_that_is_cancelled_before_its_first_step_answers_its_caller():
    """A run whose task never began stays open."""

    async def scenario():
        table = make_table()
        run = table.begin(NEW).unwrap()
        (task,) = table.tasks_
        task.cancel()
        assert (await answer_of(run)).outcome is Outcome.NOT_RUN
        assert not table.runs_by_id_

    play(scenario)


def test_a_run_that_ends_by_an_error_answers_its_caller_and_is_logged(monkeypatch):
    """A caller waits for ever for a run that ended by an error."""

    async def run_one(attempts):
        begin_attempt(attempts)
        raise KeyError("lost")

    monkeypatch.setattr(StageAttempts, "run_one", run_one)

    async def scenario():
        table = make_table()
        reported = []
        table.services.log.report = lambda event, **fields: reported.append(fields)
        answer = await answer_of(table.begin(NEW).unwrap())
        assert answer.outcome is Outcome.UNKNOWN
        assert answer.problem.status == 500
        assert [fields["error"] for fields in reported] == ["KeyError: 'lost'"]
        assert not table.runs_by_id_

    play(scenario)


def test_a_request_of_a_stage_that_was_taken_away_ends_unknown():
    """A read waits for ever if the configuration lost the stage of its request."""

    async def scenario():
        table = make_table()
        note = Note(ID, "w", "line", "gone", 1, "endpoint", True, False, "f", "d")
        table.services.entries._keep(note)
        run = await table.resume(ID, WorkspaceId("w"), None)
        answer = await answer_of(run)
        assert answer.outcome is Outcome.UNKNOWN
        assert answer.problem.reason.value == "endpoint-lost"
        assert not table.runs_by_id_

    play(scenario)
