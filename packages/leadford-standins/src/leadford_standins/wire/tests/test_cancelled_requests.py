"""A request whose task is cancelled is answered by how far it came."""

import asyncio

from leadford_standins.wire import run_scenario, runs_of
from leadford_standins.wire.tests.callers import (
    start_request,
    start_unconnected_request,
)


def cancel_request(entry):
    """Cancel the task of the only request that the entry holds."""
    (exchange,) = entry.caller_server_.exchanges_
    exchange.task_.cancel()


def test_a_request_that_is_cancelled_at_its_endpoint_is_answered_as_maybe_run():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        sent = await start_request(deployment, work_s=0.5)
        cancel_request(entry)
        assert (await sent).code == 502

    run_scenario(scenario)


def test_a_request_that_is_cancelled_before_it_is_sent_is_refused_as_not_run():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        for stage in deployment.stage:
            stage.call_s = 0.5
        sent = asyncio.ensure_future(deployment.send("/once/x", request_id="r"))
        await deployment.until(
            lambda: (
                any(stage.waiting_ for stage in deployment.stage)
                or any(stage.call_lock_.locked() for stage in deployment.stage)
            )
        )
        cancel_request(entry)
        answer = await sent
        assert answer.code == 503
        assert "Retry-After" in answer.headers
        assert runs_of(deployment.engines, "r") == []

    run_scenario(scenario)


def test_a_request_that_is_cancelled_without_a_connection_is_refused_as_not_run():
    # It was said that it may have run.
    async def scenario(deployment):
        (entry,) = deployment.entries_
        sent = await start_unconnected_request(deployment)
        cancel_request(entry)
        assert (await sent).code == 503
        assert runs_of(deployment.plain, "r") == []

    run_scenario(scenario)


def test_a_request_that_is_cancelled_before_its_first_step_is_refused_as_not_run():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        start_request = entry.caller_server_.start_request

        def start(server_conn, request_conn):
            exchange = start_request(server_conn, request_conn)
            finish = exchange.finish

            def finish_and_cancel():
                finish()
                exchange.task_.cancel()

            exchange.finish = finish_and_cancel
            return exchange

        entry.caller_server_.start_request = start
        answer = await deployment.send("/unsafe/x", request_id="r")
        assert answer.code == 503
        assert runs_of(deployment.plain, "r") == []

    run_scenario(scenario)
