"""Test that requests which did not run are said not to have run."""

import asyncio

from leadford_server.forwarding.endpoints._reader import LiveAnswer
from leadford_standins.wire import run_scenario, runs_of
from leadford_standins.wire._misbehaviours import Misbehaviour
from leadford_standins.wire.tests.callers import start_unconnected_request


def test_a_request_cut_by_a_stop_without_a_connection_is_refused_as_not_run():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        sent = await start_unconnected_request(deployment)
        entry.state_.record_stop()
        entry.state_.deadlines_.end_by(entry.state_.now() + 0.05)
        answer = await sent
        assert runs_of(deployment.plain, "r") == []
        assert answer.code == 503

    run_scenario(scenario)


def _stall_refusals(monkeypatch, stalled):
    """Let the body of each refusal stay out."""
    wait = LiveAnswer.wait_until_complete

    async def wait_until_complete(self):
        if self.head.is_not_run:
            stalled.set()
            await asyncio.sleep(60.0)
        await wait(self)

    monkeypatch.setattr(LiveAnswer, "wait_until_complete", wait_until_complete)


def test_a_refusal_whose_body_stays_out_is_tried_at_another_endpoint(monkeypatch):
    async def scenario(deployment):
        _stall_refusals(monkeypatch, asyncio.Event())
        deployment.plain[0].planned_misbehaviours_.append(Misbehaviour.REFUSE)
        answer = await deployment.send("/safe/x", request_id="r", method="GET")
        assert answer.code == 200

    run_scenario(scenario)


def test_a_request_cancelled_within_a_refusal_is_refused_as_not_run(monkeypatch):
    async def scenario(deployment):
        stalled = asyncio.Event()
        _stall_refusals(monkeypatch, stalled)
        (entry,) = deployment.entries_
        deployment.plain[0].planned_misbehaviours_.append(Misbehaviour.REFUSE)
        sent = asyncio.ensure_future(deployment.send("/unsafe/x", request_id="r"))
        await stalled.wait()
        (exchange,) = entry.caller_server_.exchanges_
        exchange.task_.cancel()
        assert (await sent).code == 503

    run_scenario(scenario)
