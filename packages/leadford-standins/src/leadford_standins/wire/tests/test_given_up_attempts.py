"""A silent attempt is given up only for one that serves its request."""

import asyncio

import pytest

from leadford.forwarding.retries import _limits
from leadford_server.forwarding.endpoints import _connection
from leadford_server.forwarding.retries import _retries
from leadford_standins.wire import Misbehaviour, event_ids, run_scenario, runs_of
from leadford_standins.wire.tests.callers import spend_budget, teach_usual_duration

EVENTS = [1, 2, 3, 4, 5]
EVENT_GAP_S = 0.1
SILENCE_S = 0.8
# Longer than any test.
FOR_GOOD_S = 60.0
DEADLINE_MS = 3_500


@pytest.fixture(autouse=True)
def short_limit(monkeypatch):
    """Let streams wait for less than the silence."""
    monkeypatch.setattr(_limits, "STREAM_SILENCE_MIN_S", 0.3)


async def start_stream(deployment, **fields):
    """Return a stream that has begun, its engine and the other one."""
    fields.setdefault("deadline_ms", DEADLINE_MS)
    for engine in deployment.engines:
        engine.pause_s = EVENT_GAP_S
    sent = asyncio.ensure_future(
        deployment.send("/resumed/x", request_id="r", **fields)
    )
    await deployment.until(lambda: runs_of(deployment.engines, "r"))
    await asyncio.sleep(2.5 * EVENT_GAP_S)
    used, other = sorted(deployment.engines, key=lambda e: not runs_of([e], "r"))
    return sent, used, other


def test_a_stream_given_up_for_an_engine_that_refuses_it_is_served():
    async def scenario(deployment):
        sent, used, other = await start_stream(deployment)
        other.planned_misbehaviours_ += [Misbehaviour.REFUSE] * 9
        used.fall_silent(SILENCE_S)
        assert event_ids((await sent).body) == EVENTS

    run_scenario(scenario)


def test_a_stream_given_up_for_an_engine_that_does_not_listen_is_served():
    async def scenario(deployment):
        sent, used, other = await start_stream(deployment)
        other.server_.stop()
        used.fall_silent(SILENCE_S)
        assert event_ids((await sent).body) == EVENTS

    run_scenario(scenario)


def test_a_safe_request_given_up_for_an_endpoint_that_refuses_it_is_served():
    async def scenario(deployment):
        await teach_usual_duration(deployment)
        first, second = deployment.plain
        for endpoint in deployment.plain:
            endpoint.fall_silent(SILENCE_S)
        sent = asyncio.ensure_future(deployment.send("/safe/x", request_id="r"))
        await deployment.until(lambda: runs_of(deployment.plain, "r"))
        used, other = (first, second) if runs_of([first], "r") else (second, first)
        other.planned_misbehaviours_ += [Misbehaviour.REFUSE] * 9
        assert (await sent).code == 200

    run_scenario(scenario)


def test_a_safe_request_given_up_for_an_endpoint_that_is_lost_is_served():
    # It got 502, though the first endpoint would have answered.
    async def scenario(deployment):
        await teach_usual_duration(deployment)
        for endpoint in deployment.plain:
            endpoint.work_s = 0.5
        sent = asyncio.ensure_future(deployment.send("/safe/x", request_id="r"))
        await deployment.until(lambda: runs_of(deployment.plain, "r"))
        used, *others = sorted(deployment.plain, key=lambda e: not runs_of([e], "r"))
        for other in others:
            other.planned_misbehaviours_ += [Misbehaviour.LOSE_ANSWER] * 9
        assert (await sent).code == 200
        # The route allows two endpoints.
        assert len([e for e in deployment.plain if runs_of([e], "r")]) == 2
        assert len(runs_of([used], "r")) == 2

    run_scenario(scenario, endpoints=3)


def test_endpoints_that_all_refuse_a_request_are_not_asked_again_and_again():
    async def scenario(deployment):
        await teach_usual_duration(deployment)
        arrivals = sum(endpoint.arrivals_ for endpoint in deployment.plain)
        for endpoint in deployment.plain:
            endpoint.fall_silent(SILENCE_S)
        sent = asyncio.ensure_future(deployment.send("/safe/x", request_id="r"))
        await deployment.until(lambda: runs_of(deployment.plain, "r"))
        for endpoint in deployment.plain:
            endpoint.planned_misbehaviours_ += [Misbehaviour.REFUSE] * 30
        assert (await sent).code == 502
        # The silent one, the other one, and the silent one again.
        arrived = sum(endpoint.arrivals_ for endpoint in deployment.plain)
        assert arrived - arrivals <= 3

    run_scenario(scenario)


def test_a_stream_is_not_given_up_for_an_engine_without_a_free_connection():
    async def scenario(deployment):
        deployment.config["services"][2]["maxConns"] = 1
        await deployment.apply_config()
        (entry,) = deployment.entries_
        sent, used, other = await start_stream(deployment)
        pool = entry.state_.pool_
        record = entry.state_.roster_.record(other.endpoint_id)
        held = await pool.acquire(record, 1)
        used.fall_silent(SILENCE_S)
        assert event_ids((await sent).body) == EVENTS
        pool.release(record, held)

    run_scenario(scenario)


def test_a_stream_is_not_given_up_if_its_stages_cannot_end_in_time():
    async def scenario(deployment):
        for route in deployment.config["routes"]:
            route["goalMs"] = 3_500
        for service in deployment.config["services"]:
            if "pieces" in service:
                service["pieces"]["callMs"] = 800.0
        await deployment.apply_config()
        for stage in deployment.stage:
            stage.call_s = 0.8
        sent, used, _ = await start_stream(deployment, deadline_ms=3_900)
        used.fall_silent(SILENCE_S)
        assert event_ids((await sent).body) == EVENTS

    run_scenario(scenario)


def test_a_reserved_retry_is_used_once():
    async def scenario(deployment):
        for route in deployment.config["routes"]:
            if route["routeKind"] == "stream":
                route["maxAttempts"] = 3
        await deployment.apply_config()
        budget = deployment.entries_[0].state_.retry_budgets_.budget("engine")
        budget.ratio, budget.slack = 0.0, 1.2
        for engine in deployment.engines:
            engine.pause_s = EVENT_GAP_S
        sent = asyncio.ensure_future(
            deployment.send("/resumed/x", request_id="r", deadline_ms=DEADLINE_MS)
        )
        await deployment.until(lambda: runs_of(deployment.engines, "r"))
        await asyncio.sleep(0.15)
        (first,) = (e for e in deployment.engines if e.runs_)
        first.fall_silent(FOR_GOOD_S)
        await deployment.until(lambda: len(runs_of(deployment.engines, "r")) == 2)
        (second,) = (e for e in deployment.engines if e.runs_ and e is not first)
        second.fall_silent(0.9)
        assert event_ids((await sent).body) == EVENTS
        assert len(runs_of(deployment.engines, "r")) == 2
        assert len(budget.retries_) == 1

    run_scenario(scenario, endpoints=3)


def test_a_retry_that_is_reserved_as_the_endpoint_goes_on_is_returned(monkeypatch):
    """The answer is read in the turn in which the timer asks, before it."""
    readers = []
    make_reader = _connection.AnswerReader
    ask = _retries.RequestRetries.may_give_up
    asked = []

    def keep_reader(**fields):
        readers.append(make_reader(**fields))
        return readers[-1]

    def ask_after_event(self, record, sent_at, failure):
        if not asked:
            reader = next(r for r in readers if r.head_ and not r.is_complete_)
            number = self.progress.last_event_id_ + 1
            reader.data_received(f"id: {number}\ndata: token {number}\n\n".encode())
        asked.append(ask(self, record, sent_at, failure))
        return asked[-1]

    monkeypatch.setattr(_connection, "AnswerReader", keep_reader)
    monkeypatch.setattr(_retries.RequestRetries, "may_give_up", ask_after_event)

    async def scenario(deployment):
        budget = deployment.entries_[0].state_.retry_budgets_.budget("engine")
        sent, used, _ = await start_stream(deployment)
        used.fall_silent(0.4)
        assert event_ids((await sent).body) == EVENTS
        assert len(budget.retries_) == len(runs_of(deployment.engines, "r")) - 1

    run_scenario(scenario)


def test_a_safe_request_at_an_endpoint_that_is_lost_ends_while_its_caller_has_time():
    # It was held to its deadline, so its caller could not send it again.
    async def scenario(deployment):
        await teach_usual_duration(deployment)
        spend_budget(deployment, "plain")
        for endpoint in deployment.plain:
            endpoint.fall_silent(FOR_GOOD_S)
        began_at = asyncio.get_running_loop().time()
        answer = await deployment.send("/safe/x", request_id="r")
        assert answer.code == 502
        waited_s = asyncio.get_running_loop().time() - began_at
        assert _limits.MAX_SILENCE_S <= waited_s < _limits.MAX_SILENCE_S + 0.5

    run_scenario(scenario)


def test_a_long_safe_request_is_awaited_while_its_endpoint_answers_others():
    async def scenario(deployment):
        await teach_usual_duration(deployment)
        spend_budget(deployment, "plain")
        for endpoint in deployment.plain:
            endpoint.work_s = 2.4
        sent = asyncio.ensure_future(deployment.send("/safe/x", request_id="r"))
        await deployment.until(lambda: runs_of(deployment.plain, "r"))
        for endpoint in deployment.plain:
            endpoint.work_s = 0.005
        for number in range(12):
            await deployment.send("/safe/x", request_id=f"v{number}")
        assert (await sent).code == 200

    run_scenario(scenario)
