"""Give each request its own stage results, and recompute the ones that are lost."""

import asyncio

import pytest

from leadford_standins.wire import (
    Misbehaviour,
    event_ids,
    plan_misbehaviour,
    run_scenario,
    runs_of,
)


def test_pieces_get_their_own_inputs_and_results_are_released():
    async def scenario(deployment):
        names = [f"s{number}" for number in range(8)]
        answers = await asyncio.gather(
            *(deployment.send("/resumed/x", request_id=name) for name in names)
        )
        assert [answer.code for answer in answers] == [200] * 8
        items = [item for stage in deployment.stage for item in stage.items_]
        made = {(item["id"], item["stage"], item["piece"]): item for item in items}
        assert len(made) == len(items) == 24
        for name in names:
            first = made[name, 0, 0]
            assert first["privateKey"] == f"pk-{name}" and "inputs" not in first
            second = made[name, 1, 0]
            assert len(second["inputs"]) == 2 and "privateKey" not in second
        # Calls batched pieces of several requests.
        assert max(max(stage.batch_sizes_) for stage in deployment.stage) > 2
        await deployment.until(
            lambda: not any(stage.results_ for stage in deployment.stage)
        )

    run_scenario(scenario)


def test_a_stage_whose_inputs_are_all_left_out_is_sent_no_inputs_and_no_key():
    """Its pieces were sent an empty key, as if it came after no other stage."""

    async def scenario(deployment):
        answer = await deployment.send(
            "/once/x", request_id="r1", headers={"X-Pieces": "0,1"}
        )
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        (item,) = (item for stage in deployment.stage for item in stage.items_)
        assert (item["stage"], item.get("inputs")) == (1, [])
        assert "privateKey" not in item

    run_scenario(scenario)


def test_an_answer_that_comes_once_more_is_not_taken_for_that_to_the_next_call():
    # The next call's pieces were given the results of another request.
    async def scenario(deployment):
        answered = 0
        for number in range(24):
            if number % 3 == 0:
                plan_misbehaviour(deployment.stage, Misbehaviour.REPEAT_ANSWER)
            answer = await deployment.send(
                "/resumed/x", request_id=f"s{number}", headers={"X-Pieces": "1,1"}
            )
            answered += answer.code == 200
        # The endpoints that repeat answers are suspect for a while.
        assert answered >= 16
        stage_by_handle = {}
        for stage in deployment.stage:
            stage_by_handle |= stage.stage_by_handle_
        read = []
        for item in (item for stage in deployment.stage for item in stage.items_):
            due = (item["id"], item["stage"] - 1)
            read += [(due, handle) for handle in item.get("inputs", [])]
        for run in (run for engine in deployment.engines for run in engine.runs_):
            handles = run.headers["X-Inputs"].split(",")
            read += [((run.request_id, 1), handle.strip()) for handle in handles]
        assert len(read) >= 2 * answered
        foreign = [pair for pair in read if stage_by_handle[pair[1]] != pair[0]]
        assert foreign == []

    run_scenario(scenario)


@pytest.mark.parametrize("entry", [0, 1])
def test_inputs_are_released_while_the_call_that_reads_them_runs(entry):
    async def scenario(deployment):
        # An entry cancels calls that last much longer than the configuration says.
        await deployment.configure_call_ms(250.0)
        for stage in deployment.stage:
            stage.call_s = 0.25
        # Load reports are available after the first request.
        for name in ("r1", "r2"):
            answer = await deployment.send("/once/x", request_id=name, entry=entry)
            assert answer.code == 200
        assert sum(stage.freed_in_call_ for stage in deployment.stage) > 0
        # No result was released before it was fetched.
        assert sum(stage.gone_ for stage in deployment.stage) == 0
        assert sum(stage.results_read_ for stage in deployment.stage) == 4
        await deployment.until(
            lambda: not any(stage.results_ for stage in deployment.stage)
        )

    run_scenario(scenario, entries=2)


def test_inputs_that_are_gone_are_made_again():
    async def scenario(deployment):
        plan_misbehaviour(deployment.engines, Misbehaviour.GONE)
        answer = await deployment.send("/once/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        assert len(runs_of(deployment.engines, "r1")) == 1

    run_scenario(scenario)


def test_a_refusal_that_comes_once_more_for_the_same_request_runs_no_stream_twice():
    """A stream whose inputs were made again ran twice."""

    async def scenario(deployment):
        engine = deployment.engines[0]
        for number in range(4):
            engine.planned_misbehaviours_.append(Misbehaviour.REPEAT_GONE)
            answer = await deployment.send("/once/x", request_id=f"r{number}")
            assert event_ids(answer.body) == [1, 2, 3, 4, 5]
            assert len(runs_of(deployment.engines, f"r{number}")) == 1

    run_scenario(scenario, endpoints=1)


def test_pieces_whose_inputs_are_gone_are_made_again():
    async def scenario(deployment):
        for stage in deployment.stage:
            stage.planned_misbehaviours_ += [Misbehaviour.NONE, Misbehaviour.GONE]
        answer = await deployment.send("/once/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]

    run_scenario(scenario, endpoints=1)


@pytest.mark.parametrize(
    "misbehaviour", [Misbehaviour.LOSE_ANSWER, Misbehaviour.FAIL, Misbehaviour.REFUSE]
)
def test_a_call_for_pieces_that_fails_is_made_again(misbehaviour):
    async def scenario(deployment):
        deployment.stage[0].planned_misbehaviours_.append(misbehaviour)
        for number in range(3):
            answer = await deployment.send("/once/x", request_id=f"r{number}")
            assert event_ids(answer.body) == [1, 2, 3, 4, 5]

    run_scenario(scenario)


def test_a_piece_that_failed_at_the_only_endpoint_is_made_there_again():
    async def scenario(deployment):
        deployment.stage[0].planned_misbehaviours_.append(Misbehaviour.FAIL)
        answer = await deployment.send("/once/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]

    run_scenario(scenario, endpoints=1)


def test_a_call_that_waits_for_a_connection_does_not_follow_an_endpoint_that_left():
    """Symptom: pieces reached an endpoint long after it was listed as draining.

    Sequence: the only connection that this process may open to the endpoint is in use
    by a call, so the next call waits for it; the endpoint is listed as draining; the
    first call ends. Cause: the endpoint that was chosen before the wait was not checked
    again after it.
    """

    async def scenario(deployment):
        leaving, other = deployment.stage
        deployment.config["services"][1]["maxConns"] = 1
        deployment.config["services"][1]["pieces"]["slots"] = 2
        await deployment.apply_config()
        entry = deployment.entries_[0]
        deployment.store.delete("servers", other.endpoint_id)
        roster = entry.state_.roster_
        await deployment.until(lambda: other.endpoint_id not in roster.records_by_id_)
        leaving.call_s = 0.5
        first = asyncio.ensure_future(deployment.send("/once/x", request_id="r1"))
        await deployment.until(lambda: leaving.items_)
        second = asyncio.ensure_future(deployment.send("/once/x", request_id="r2"))
        record = roster.record(leaving.endpoint_id)
        await deployment.until(lambda: record.in_flight_ == 2)
        deployment.store.put("servers", other.endpoint_id, other.spec())
        deployment.store.put("servers", leaving.endpoint_id, leaving.spec("draining"))
        assert event_ids((await first).body) == [1, 2, 3, 4, 5]
        assert event_ids((await second).body) == [1, 2, 3, 4, 5]
        assert [item for item in leaving.items_ if item["id"] == "r2"] == []

    run_scenario(scenario)
