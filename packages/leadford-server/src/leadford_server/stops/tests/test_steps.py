"""Steps of a planned stop that fail or are cancelled."""

import asyncio

from leadford.events import Event
from leadford_server.logs import EventLog
from leadford_server.stops import StopSteps


def errors_of(log):
    records = log.journal_.records_
    return [r.fields["error"] for r in records if r.event is Event.STOP_DISTURBED]


def test_a_step_that_is_cancelled_from_within_is_logged():
    """A step that was cancelled counts as complete."""

    async def cancel_itself():
        asyncio.current_task().cancel()
        await asyncio.sleep(0)

    log = EventLog(process_id="p")
    asyncio.run(StopSteps(log=log).complete(cancel_itself))
    assert errors_of(log) == ["a step was cancelled"]


def test_an_error_of_each_repetition_is_logged_once():
    """A stop that fails at each look floods the log."""

    def fail():
        raise OSError("lost")

    log = EventLog(process_id="p")
    steps = StopSteps(log=log)
    for _ in range(3):
        steps.attempt(fail)
    asyncio.run(steps.complete(fail))
    assert errors_of(log) == ["OSError: lost"]
