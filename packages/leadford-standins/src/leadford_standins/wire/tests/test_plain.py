"""Limit how often plain requests run, and retry safe ones if an endpoint is slow."""

import pytest

from leadford_standins.wire import (
    Misbehaviour,
    plan_misbehaviour,
    run_scenario,
    runs_of,
)


def test_an_unsafe_request_whose_answer_is_lost_runs_once_and_is_not_refused():
    async def scenario(deployment):
        plan_misbehaviour(deployment.plain, Misbehaviour.LOSE_ANSWER)
        answer = await deployment.send("/unsafe/x", request_id="r1")
        assert answer.code == 502
        assert len(runs_of(deployment.plain, "r1")) == 1

    run_scenario(scenario)


def test_an_unsafe_request_on_a_connection_that_went_stale_is_not_repeated():
    async def scenario(deployment):
        await deployment.send("/unsafe/x", request_id="r0")
        plan_misbehaviour(deployment.plain, Misbehaviour.LOSE_ANSWER)
        answer = await deployment.send("/unsafe/x", request_id="r1")
        assert answer.code == 502
        assert len(runs_of(deployment.plain, "r1")) == 1

    run_scenario(scenario)


def test_a_refusal_that_says_not_run_is_true_and_says_when_to_come_back():
    async def scenario(deployment):
        plan_misbehaviour(deployment.plain, Misbehaviour.REFUSE)
        answer = await deployment.send("/unsafe/x", request_id="r1")
        assert answer.code == 503
        assert float(answer.headers["Retry-After"]) > 0.0
        assert runs_of(deployment.plain, "r1") == []

    run_scenario(scenario)


def test_a_refusal_without_an_id_that_comes_once_more_refuses_no_other_request():
    """Callers got 503, which says that nothing ran, for requests that ran."""

    async def scenario(deployment):
        for number in range(8):
            if number % 2 == 0:
                refusal = Misbehaviour.REPEAT_REFUSAL
                deployment.plain[0].planned_misbehaviours_.append(refusal)
            name = f"r{number}"
            answer = await deployment.send("/unsafe/x", request_id=name)
            assert answer.code == (503 if number % 2 == 0 else 200)
            assert len(runs_of(deployment.plain, name)) == number % 2

    run_scenario(scenario, endpoints=1)


@pytest.mark.parametrize(
    "misbehaviour",
    [
        Misbehaviour.LOSE_ANSWER,
        Misbehaviour.REFUSE,
        Misbehaviour.FAIL,
        Misbehaviour.OTHER_ANSWER,
        Misbehaviour.HANG,
    ],
)
def test_a_safe_request_is_tried_at_another_endpoint(misbehaviour):
    async def scenario(deployment):
        # The entry first tries the endpoint of its own hall.
        first, second = deployment.plain
        first.planned_misbehaviours_.append(misbehaviour)
        answer = await deployment.send("/safe/x", request_id="r1", method="GET")
        assert answer.code == 200
        assert answer.headers["X-Attempt-Id"] == "r1"
        assert answer.headers["X-Server-Stamp"] == f"stamp.{second.endpoint_id}"
        assert (first.arrivals_, second.arrivals_) == (1, 1)

    run_scenario(scenario)


def test_a_request_that_failed_at_an_endpoint_is_not_said_not_to_have_run():
    # The next endpoint refused it, and its caller got 503.
    async def scenario(deployment):
        first, second = deployment.plain
        first.planned_misbehaviours_.append(Misbehaviour.FAIL)
        second.planned_misbehaviours_.append(Misbehaviour.REFUSE)
        answer = await deployment.send("/safe/x", request_id="r1", method="GET")
        assert (first.arrivals_, second.arrivals_) == (1, 1)
        assert answer.code == 502

    run_scenario(scenario)


def test_a_failure_of_an_endpoint_is_passed_on_with_its_signature():
    async def scenario(deployment):
        plan_misbehaviour(deployment.plain, Misbehaviour.FAIL)
        answer = await deployment.send("/unsafe/x", request_id="r1")
        assert (answer.code, answer.body) == (500, b"failed")
        assert "X-Server-Stamp" in answer.headers

    run_scenario(scenario)


def test_a_success_that_its_endpoint_did_not_sign_is_not_passed_on():
    async def scenario(deployment):
        plan_misbehaviour(deployment.plain, Misbehaviour.UNSIGNED)
        answer = await deployment.send("/unsafe/x", request_id="r1")
        assert answer.code == 502
        answer = await deployment.send("/safe/x", request_id="r2", method="GET")
        assert answer.code == 200
        assert "X-Server-Stamp" in answer.headers

    run_scenario(scenario)


def test_a_safe_request_does_not_wait_long_for_a_slow_endpoint():
    async def scenario(deployment):
        for number in range(8):
            await deployment.send("/safe/x", request_id=f"w{number}", method="GET")
        deployment.plain[0].planned_misbehaviours_.append(Misbehaviour.HANG)
        answer = await deployment.send("/safe/x", request_id="r1", method="GET")
        assert answer.code == 200
        assert answer.request_time < 1.0
        assert len(runs_of(deployment.plain, "r1")) == 2

    run_scenario(scenario)


def test_a_safe_request_is_not_broken_off_where_no_other_endpoint_is_left():
    """Failure: a safe request ended with 502, reason "lost: slow".

    Its hall was evacuated, so one endpoint was left, and the process did not run for a
    moment. The answer was ready to be read when the attempt was cancelled, after 3.5
    times the usual duration, for a retry at another endpoint. There was none (retry
    "no-other-endpoint").
    """

    async def scenario(deployment):
        for number in range(4):
            await deployment.send("/safe/x", request_id=f"w{number}", method="GET")
        (endpoint,) = deployment.plain
        endpoint.work_s = 0.5
        answer = await deployment.send("/safe/x", request_id="r1", method="GET")
        assert answer.code == 200
        assert len(runs_of(deployment.plain, "r1")) == 1

    run_scenario(scenario, endpoints=1)
