"""Test that requests which did not run are said not to have run."""

import asyncio

from leadford_standins.wire import run_scenario, runs_of


def test_a_request_cut_by_a_stop_without_a_connection_is_refused_as_not_run():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        waiting = asyncio.Event()

        async def acquire(*args, **fields):
            waiting.set()
            await asyncio.sleep(60.0)

        entry.state_.pool_.acquire = acquire
        sent = asyncio.ensure_future(deployment.send("/unsafe/x", request_id="r"))
        await waiting.wait()
        entry.state_.record_stop()
        entry.state_.deadlines_.end_by(entry.state_.now() + 0.05)
        answer = await sent
        assert runs_of(deployment.plain, "r") == []
        assert answer.code == 503

    run_scenario(scenario)
