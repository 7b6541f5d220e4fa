"""Streams that are taken up go on by the time that their callers have left."""

from collections import deque

import pytest

from leadford.forwarding.batching import BacklogKey
from leadford.forwarding.routes import ServiceId
from leadford_standins.wire import (
    Misbehaviour,
    event_ids,
    run_scenario,
    runs_of,
)
from leadford_standins.wire.tests.broken_streams import break_off, prompt, resume

STAGE = ServiceId("stage")
# Pieces that take all stages longer than the target of the route, 1 s, and less than
# the time that callers have, 3 s.
BACKLOG = 450
# Time between events, after two of which the target of the route has passed.
PAUSE_S = 0.6


def admit_much(deployment):
    """Let each entry believe that it has admitted many pieces."""
    for entry in deployment.entries_:
        entry.stages_.backlog_.add(BacklogKey(STAGE, 1), BACKLOG)


async def is_admitted(deployment, request_id, number):
    answer = await deployment.send(
        "/resumed/x", request_id=request_id, **prompt(number)
    )
    return answer.code == 200


# Streams were refused by the target of a first event, which their callers had long had.
@pytest.mark.parametrize("loses_all", [False, True])
def test_a_stream_that_is_taken_up_is_refused_though_its_caller_has_time(loses_all):
    async def scenario(deployment):
        await break_off(deployment, "r0", 0)
        if loses_all:
            await deployment.restart_all_entries()
        admit_much(deployment)
        assert not await is_admitted(deployment, "new", 1)
        answer = await resume(deployment, "back", 0, resumes="r0", after=2)
        assert (answer.code, event_ids(answer.body)) == (200, [3, 4, 5])

    run_scenario(scenario)


# A stated time that is shorter than that of others was taken for a late return.
def test_a_stream_that_is_taken_up_is_taken_for_a_refused_caller_that_returns():
    async def scenario(deployment):
        await break_off(deployment, "r0", 0)
        for number in range(1, 11):
            assert await is_admitted(deployment, f"r{number}", number)
        admit_much(deployment)
        fields = prompt(0)
        fields["headers"] |= {"Resumes": "r0", "Last-Event-Id": "2"}
        answer = await deployment.send(
            "/resumed/x", request_id="back", deadline_ms=2_400, **fields
        )
        assert (answer.code, event_ids(answer.body)) == (200, [3, 4, 5])

    run_scenario(scenario)


def test_a_stream_that_cannot_be_answered_in_the_time_left_is_refused_at_once():
    async def scenario(deployment):
        await break_off(deployment, "r0", 0)
        admit_much(deployment)
        fields = prompt(0)
        fields["headers"] |= {"Resumes": "r0", "Last-Event-Id": "2"}
        answer = await deployment.send(
            "/resumed/x", request_id="back", deadline_ms=500, **fields
        )
        assert answer.code == 503
        assert not runs_of(deployment.engines, "back")

    run_scenario(scenario)


def watch_pieces(deployment):
    """Return a list that gets each piece that is submitted, with its slack then."""
    submitted = []
    for entry in deployment.entries_:
        scheduler = entry.stages_.scheduler_
        submit = scheduler.submit

        def record(group, task, *, entry=entry, submit=submit):
            submitted.append((task, task.late_at - entry.state_.now()))
            submit(group, task)

        scheduler.submit = record
    return submitted


# Made again for the entry's own retry, they were queued behind all that can be in time.
@pytest.mark.parametrize(
    ("misbehaviour", "pause_s"),
    [(Misbehaviour.CUT, PAUSE_S), (Misbehaviour.STALL, 0.0)],
)
def test_pieces_of_a_stream_that_its_entry_continues_are_late_from_the_start(
    misbehaviour, pause_s
):
    async def scenario(deployment):
        submitted = watch_pieces(deployment)
        planned = deque([misbehaviour])
        for engine in deployment.engines:
            engine.pause_s = pause_s
            engine.planned_misbehaviours_ = planned
        answer = await deployment.send(
            "/resumed/x", request_id="r0", deadline_ms=4_000, **prompt(0)
        )
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        again = [slack_s for task, slack_s in submitted if task.is_resumed]
        assert len(again) == len(submitted) / 2
        assert min(again) > 0.5

    run_scenario(scenario)


def test_pieces_of_a_stream_that_its_caller_resumes_are_told_to_any_scheduler():
    async def scenario(deployment):
        await deployment.until_linked()
        await break_off(deployment, "r0", 0)
        submitted = watch_pieces(deployment)
        answer = await resume(deployment, "back", 0, resumes="r0", after=2, entry=1)
        assert answer.code == 200
        assert [task.is_resumed for task, _ in submitted] == [True] * len(submitted)
        assert len(submitted) == 3

    run_scenario(scenario, entries=2)
