"""Streams that are taken up go on by the time that their callers have left."""

import pytest

from leadford.forwarding.batching import BacklogKey
from leadford.forwarding.routes import ServiceId
from leadford_standins.wire import event_ids, run_scenario, runs_of
from leadford_standins.wire.tests.broken_streams import break_off, prompt, resume

STAGE = ServiceId("stage")
# Pieces that take all stages longer than the target of the route, 1 s, and less than
# the time that callers have, 3 s.
BACKLOG = 450


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
