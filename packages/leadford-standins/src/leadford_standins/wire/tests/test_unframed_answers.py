"""An answer may have neither a length nor chunks, and end with its connection.

It is complete if the connection ends cleanly; a stream that ends inside an event is
not. Such an end says nothing about the endpoint.
"""

import pytest

from leadford_standins.wire import (
    Misbehaviour,
    event_ids,
    plan_misbehaviour,
    run_scenario,
    runs_of,
)


def records_of(deployment, endpoints):
    """Return what each entry believes of some endpoints."""
    return [
        entry.state_.roster_.record(endpoint.endpoint_id)
        for entry in deployment.entries_
        for endpoint in endpoints
    ]


def assert_not_blamed(deployment, endpoints):
    """Check that no endpoint is suspect and that no crash was recorded."""
    for record in records_of(deployment, endpoints):
        assert record.consecutive_failures_ == 0
        assert record.failure_rate_.value_ in (None, 0.0)
    for entry in deployment.entries_:
        assert not entry.state_.quarantine_.ledger_.works_by_digest_
        assert not entry.state_.prompt_quarantine_.cases_.crashes_by_part_


def test_a_plain_answer_that_ends_with_its_connection_is_complete():
    async def scenario(deployment):
        plan_misbehaviour(deployment.plain, Misbehaviour.UNFRAMED, count=3)
        for number in range(6):
            request_id = f"r{number}"
            answer = await deployment.send("/unsafe/x", request_id=request_id)
            assert answer.code == 200
            assert answer.body.endswith(b"/unsafe/x payload")
            assert len(runs_of(deployment.plain, request_id)) == 1
        assert_not_blamed(deployment, deployment.plain)

    run_scenario(scenario, endpoints=1)


@pytest.mark.parametrize("path", ["/resumed/x", "/once/x"])
def test_a_stream_that_ends_with_its_connection_is_complete(path):
    async def scenario(deployment):
        plan_misbehaviour(deployment.engines, Misbehaviour.UNFRAMED)
        answer = await deployment.send(path, request_id="r")
        assert answer.code == 200
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        assert len(runs_of(deployment.engines, "r")) == 1
        assert_not_blamed(deployment, deployment.engines)

    run_scenario(scenario)


def test_a_stream_that_ends_inside_an_event_goes_on_elsewhere_without_blame():
    # Its engine was taken to have failed.
    async def scenario(deployment):
        first, second = deployment.engines
        first.planned_misbehaviours_ = second.planned_misbehaviours_
        plan_misbehaviour([first], Misbehaviour.UNFRAMED_CUT)
        answer = await deployment.send("/resumed/x", request_id="r")
        assert answer.code == 200
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        assert len(runs_of([first], "r")) == len(runs_of([second], "r")) == 1
        assert_not_blamed(deployment, deployment.engines)

    run_scenario(scenario)


def test_a_stream_that_ends_inside_an_event_and_may_not_go_on_is_broken_off():
    async def scenario(deployment):
        plan_misbehaviour(deployment.engines, Misbehaviour.UNFRAMED_CUT)
        answer = await deployment.send("/once/x", request_id="r")
        assert answer.code == 599
        assert len(runs_of(deployment.engines, "r")) == 1
        assert_not_blamed(deployment, deployment.engines)

    run_scenario(scenario)


def test_callers_of_streams_that_end_inside_an_event_are_not_refused():
    # Three such ends of copies of one request must not quarantine it.
    async def scenario(deployment):
        plan_misbehaviour(deployment.engines, Misbehaviour.UNFRAMED_CUT, count=4)
        for number in range(4):
            await deployment.send("/once/x", request_id=f"r{number}")
        assert_not_blamed(deployment, deployment.engines)
        for engine in deployment.engines:
            engine.planned_misbehaviours_.clear()
        answer = await deployment.send("/once/x", request_id="last")
        assert answer.code == 200

    run_scenario(scenario)


def test_a_stream_that_ends_with_its_connection_before_any_event_goes_on_elsewhere():
    async def scenario(deployment):
        first, second = deployment.engines
        first.planned_misbehaviours_ = second.planned_misbehaviours_
        plan_misbehaviour([first], Misbehaviour.UNFRAMED_EMPTY)
        answer = await deployment.send("/resumed/x", request_id="r")
        assert answer.code == 200
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]

    run_scenario(scenario)


def test_a_stream_that_has_begun_does_not_end_complete_without_a_further_event():
    # The second engine ends before it sends anything.
    async def scenario(deployment):
        for engine in deployment.engines:
            engine.planned_misbehaviours_ = deployment.engines[0].planned_misbehaviours_
        plan_misbehaviour([deployment.engines[0]], Misbehaviour.CUT)
        plan_misbehaviour([deployment.engines[0]], Misbehaviour.UNFRAMED_EMPTY)
        answer = await deployment.send("/resumed/x", request_id="r")
        assert answer.code == 599

    run_scenario(scenario)


def test_a_resumed_stream_does_not_end_complete_without_a_further_event():
    async def scenario(deployment):
        first, second = deployment.engines
        first.planned_misbehaviours_ = second.planned_misbehaviours_
        await deployment.send("/resumed/x", request_id="begun")
        plan_misbehaviour([first], Misbehaviour.UNFRAMED_EMPTY)
        answer = await deployment.send(
            "/resumed/x",
            request_id="r",
            headers={"Resumes": "begun", "Last-Event-Id": "3"},
        )
        assert answer.code == 200
        assert event_ids(answer.body) == [4, 5]

    run_scenario(scenario)
