"""Sound endpoints that fall silent and go on lose no request."""

import asyncio

import pytest

from leadford.forwarding.retries import _limits
from leadford_standins.wire import (
    Misbehaviour,
    event_ids,
    plan_misbehaviour,
    run_scenario,
    runs_of,
)
from leadford_standins.wire.tests.callers import spend_budget, teach_usual_duration

SILENCE_S = 0.8
STREAMS = 6
DEADLINE_MS = 3_500


@pytest.fixture(autouse=True)
def short_limit(monkeypatch):
    """Let streams wait for less than the silence."""
    monkeypatch.setattr(_limits, "STREAM_SILENCE_MIN_S", 0.3)


def start_streams(deployment):
    """Return the streams to come."""
    return [
        asyncio.ensure_future(
            deployment.send(
                "/resumed/x", request_id=f"r{number}", deadline_ms=DEADLINE_MS
            )
        )
        for number in range(STREAMS)
    ]


def silence(endpoints, duration_s=SILENCE_S):
    """Let endpoints fall silent at once."""
    for endpoint in endpoints:
        endpoint.fall_silent(duration_s)


def test_streams_beyond_the_retry_budget_outlast_a_silence_of_their_engine():
    async def scenario(deployment):
        spend_budget(deployment, "engine")
        for engine in deployment.engines:
            engine.pause_s = 0.05
        sent = start_streams(deployment)
        await deployment.until(
            lambda: sum(len(e.runs_) for e in deployment.engines) == STREAMS
        )
        await asyncio.sleep(0.1)
        silence(deployment.engines)
        for number, answer in enumerate(await asyncio.gather(*sent)):
            assert event_ids(answer.body) == [1, 2, 3, 4, 5]
            assert len(runs_of(deployment.engines, f"r{number}")) == 1

    run_scenario(scenario)


def test_streams_beyond_the_retry_budget_outlast_a_silence_before_their_first_event():
    async def scenario(deployment):
        spend_budget(deployment, "engine")
        # An engine may take as long as the target before the first event.
        deployment.config["routes"][2]["goalMs"] = 700
        deployment.config["version"] = 2
        deployment.put_config()
        (entry,) = deployment.entries_
        await deployment.until(lambda: entry.state_.config_version() == 2)
        silence(deployment.engines, 1.4)
        for number, sent in enumerate(start_streams(deployment)):
            answer = await sent
            assert answer.code == 200
            assert event_ids(answer.body) == [1, 2, 3, 4, 5]
            assert len(runs_of(deployment.engines, f"r{number}")) == 1

    run_scenario(scenario)


def test_a_silent_stream_goes_on_elsewhere_once_the_budget_allows_it():
    async def scenario(deployment):
        budget = spend_budget(deployment, "engine")
        for engine in deployment.engines:
            engine.pause_s = 0.05
        sent = asyncio.ensure_future(
            deployment.send("/resumed/x", request_id="r", deadline_ms=DEADLINE_MS)
        )
        await deployment.until(lambda: runs_of(deployment.engines, "r"))
        (silent,) = (engine for engine in deployment.engines if engine.runs_)
        silence([silent], 60.0)
        await asyncio.sleep(0.8)
        assert len(runs_of(deployment.engines, "r")) == 1
        budget.slack = 10.0
        answer = await sent
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        assert len(runs_of(deployment.engines, "r")) == 2
        assert len(budget.retries_) == 1
        assert silent.left_early_ == 1

    run_scenario(scenario)


def test_an_engine_that_goes_on_after_a_silence_is_used_again():
    async def scenario(deployment):
        spend_budget(deployment, "engine")
        (entry,) = deployment.entries_
        for engine in deployment.engines:
            engine.pause_s = 0.1
        sent = start_streams(deployment)
        await deployment.until(
            lambda: sum(len(e.runs_) for e in deployment.engines) == STREAMS
        )
        used = [engine for engine in deployment.engines if engine.runs_]
        records = [entry.state_.roster_.record(e.endpoint_id) for e in used]
        await asyncio.sleep(0.15)
        silence(used)
        await deployment.until(
            lambda: all(record.is_suspect(entry.state_.now()) for record in records)
        )
        await deployment.until(lambda: all(e.speaks_.is_set() for e in used))
        await asyncio.sleep(0.05)
        assert not any(record.is_suspect(entry.state_.now()) for record in records)
        await asyncio.gather(*sent)

    run_scenario(scenario)


async def send_safe(deployment, count):
    """Return the answers to safe requests that are sent at once."""
    return await asyncio.gather(
        *(
            deployment.send("/safe/x", request_id=f"s{number}", deadline_ms=DEADLINE_MS)
            for number in range(count)
        )
    )


def test_safe_requests_beyond_the_retry_budget_outlast_a_silence_of_all_endpoints():
    async def scenario(deployment):
        await teach_usual_duration(deployment)
        spend_budget(deployment, "plain")
        silence(deployment.plain)
        answers = await send_safe(deployment, 20)
        assert [answer.code for answer in answers] == [200] * 20
        runs = [runs_of(deployment.plain, f"s{number}") for number in range(20)]
        assert [len(run) for run in runs] == [1] * 20

    run_scenario(scenario, endpoints=3)


def test_safe_requests_are_not_run_again_at_endpoints_that_are_as_silent():
    async def scenario(deployment):
        await teach_usual_duration(deployment)
        silence(deployment.plain)
        answers = await send_safe(deployment, 20)
        assert [answer.code for answer in answers] == [200] * 20
        runs = [runs_of(deployment.plain, f"s{number}") for number in range(20)]
        # Two attempts in vain show that an endpoint is silent.
        assert sum(len(run) for run in runs) <= 20 + 2 * len(deployment.plain)

    run_scenario(scenario, endpoints=3)


def test_an_engine_that_ends_after_a_silence_is_not_taken_to_go_on():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        spend_budget(deployment, "engine")
        for engine in deployment.engines:
            engine.pause_s = 0.1
            engine.events = 30
        sent = start_streams(deployment)
        await deployment.until(
            lambda: sum(len(e.runs_) for e in deployment.engines) == STREAMS
        )
        await asyncio.sleep(0.25)
        used = max(deployment.engines, key=lambda e: len(e.runs_))
        record = entry.state_.roster_.record(used.endpoint_id)
        used.fall_silent(60.0)
        await asyncio.sleep(0.6)
        silences = record.consecutive_failures_
        used.crash()
        await asyncio.sleep(0.05)
        assert silences > 1
        assert record.consecutive_failures_ >= silences
        for task in sent:
            task.cancel()

    run_scenario(scenario)


def test_endpoints_that_are_slow_and_then_fail_become_suspect():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        await teach_usual_duration(deployment)
        spend_budget(deployment, "plain")

        async def fail(handler):
            handler.record_run()
            await asyncio.sleep(0.3)
            handler.set_status(500)
            handler.finish(b"failed")

        for endpoint in deployment.plain:
            endpoint.serve = fail
        records = [
            entry.state_.roster_.record(endpoint.endpoint_id)
            for endpoint in deployment.plain
        ]
        answers = await send_safe(deployment, 4)
        assert {answer.code for answer in answers} == {500}
        assert all(record.is_suspect(entry.state_.now()) for record in records)

    run_scenario(scenario)


def test_a_silence_counts_once_an_attempt():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        spend_budget(deployment, "engine")
        for engine in deployment.engines:
            engine.pause_s = 0.1
        sent = asyncio.ensure_future(
            deployment.send("/resumed/x", request_id="r", deadline_ms=DEADLINE_MS)
        )
        await deployment.until(lambda: runs_of(deployment.engines, "r"))
        (used,) = (engine for engine in deployment.engines if engine.runs_)
        record = entry.state_.roster_.record(used.endpoint_id)
        await asyncio.sleep(0.15)
        used.fall_silent(0.9)
        await asyncio.sleep(0.75)
        assert record.consecutive_failures_ == 1
        await sent

    run_scenario(scenario)


def test_a_silent_stream_is_awaited_while_stages_cannot_make_its_inputs_again():
    async def scenario(deployment):
        for engine in deployment.engines:
            engine.pause_s = 0.15
        sent = asyncio.ensure_future(
            deployment.send("/resumed/x", request_id="r", deadline_ms=DEADLINE_MS)
        )
        await deployment.until(lambda: runs_of(deployment.engines, "r"))
        # By now the engine has read its inputs, and they were released.
        await deployment.until(lambda: not any(e.results_ for e in deployment.stage))
        plan_misbehaviour(deployment.stage, Misbehaviour.FAIL, count=100)
        silence(deployment.engines)
        answer = await sent
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        assert len(runs_of(deployment.engines, "r")) == 1

    run_scenario(scenario)


def test_a_stage_whose_endpoints_were_all_silent_refuses_no_stream():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        first = start_streams(deployment)
        await deployment.until(lambda: any(e.items_ for e in deployment.stage))
        silence(deployment.stage, 1.2)
        records = [
            entry.state_.roster_.record(endpoint.endpoint_id)
            for endpoint in deployment.stage
        ]
        await deployment.until(
            lambda: all(record.is_suspect(entry.state_.now()) for record in records)
        )
        answer = await deployment.send(
            "/resumed/x", request_id="late", deadline_ms=DEADLINE_MS
        )
        assert answer.code == 200
        for sent in first:
            assert event_ids((await sent).body) == [1, 2, 3, 4, 5]

    run_scenario(scenario)
