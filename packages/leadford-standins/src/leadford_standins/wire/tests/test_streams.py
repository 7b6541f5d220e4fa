"""Deliver streams complete, once and in order, or end them visibly incomplete."""

from leadford_standins.wire import (
    Misbehaviour,
    event_ids,
    plan_misbehaviour,
    run_scenario,
    runs_of,
)


async def engines_by_use(deployment):
    """Return the engine that runs a first stream, and the other one."""
    await deployment.send("/resumed/x", request_id="r0")
    return sorted(deployment.engines, key=lambda engine: -len(engine.runs_))


def test_a_broken_stream_goes_on_elsewhere_without_gap_or_double():
    async def scenario(deployment):
        used, other = await engines_by_use(deployment)
        used.planned_misbehaviours_.append(Misbehaviour.CUT)
        answer = await deployment.send("/resumed/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        # The head of the answer stays that of the first engine.
        assert answer.headers["X-Server-Stamp"] == f"stamp.{used.endpoint_id}"
        assert [run.headers.get("Last-Event-Id") for run in other.runs_] == ["2"]
        assert other.runs_[0].headers["X-Expect-Version"] == "1"

    run_scenario(scenario)


def test_a_stream_that_falls_silent_goes_on_elsewhere_and_ends_where_it_was():
    async def scenario(deployment):
        used, other = await engines_by_use(deployment)
        used.planned_misbehaviours_.append(Misbehaviour.STALL)
        answer = await deployment.send("/resumed/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        assert [run.headers.get("Last-Event-Id") for run in other.runs_] == ["2"]
        assert used.left_early_ == 1

    run_scenario(scenario)


def test_a_stream_that_never_begins_begins_elsewhere():
    async def scenario(deployment):
        used, other = await engines_by_use(deployment)
        used.planned_misbehaviours_.append(Misbehaviour.HANG)
        answer = await deployment.send("/resumed/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        assert len(other.runs_) == 1

    run_scenario(scenario)


def test_the_time_lost_at_an_engine_that_fails_is_no_error_of_the_forecast():
    # Requests were refused for as long as the failed engine had taken.
    async def scenario(deployment):
        await deployment.send("/resumed/x", request_id="r0")
        admission = deployment.entries_[0].admission_

        def errors_s():
            errors = admission.error_by_route_.values()
            return [error.average_s_.value_ for error in errors]

        before_s = errors_s()
        used, _ = sorted(deployment.engines, key=lambda e: -len(e.runs_))
        used.planned_misbehaviours_.append(Misbehaviour.HANG)
        answer = await deployment.send("/resumed/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        assert len(before_s) == 1
        assert errors_s() == before_s

    run_scenario(scenario)


def test_a_stream_that_breaks_at_every_engine_never_looks_complete():
    async def scenario(deployment):
        plan_misbehaviour(deployment.engines, Misbehaviour.CUT)
        answer = await deployment.send("/resumed/x", request_id="r1")
        assert answer.code == 599

    run_scenario(scenario)


def test_a_stream_that_may_not_be_resumed_never_looks_complete():
    async def scenario(deployment):
        plan_misbehaviour(deployment.engines, Misbehaviour.CUT)
        answer = await deployment.send("/once/x", request_id="r1")
        assert answer.code == 599
        assert len(runs_of(deployment.engines, "r1")) == 1

    run_scenario(scenario)


def test_prompts_of_a_template_go_to_the_same_engines_from_all_entries():
    async def scenario(deployment):
        for number in range(24):
            prompt = f"template:2000,session{number % 4}:800,own{number}:200"
            answer = await deployment.send(
                "/once/x",
                request_id=f"r{number}",
                entry=number % 2,
                headers={"X-Prefix-Hash": prompt, "X-Token-Counts": "3000,10"},
            )
            assert answer.code == 200
        kept = [engine.kept_ for engine in deployment.engines]
        used = [parts for parts in kept if parts.read_tokens_ > 0]
        assert len(used) <= 2
        assert sum(parts.read_again_tokens_ for parts in kept) == 0
        # The template once at each engine, each session once, each request's own part.
        assert sum(parts.read_tokens_ for parts in kept) <= 2 * 2_000 + 3_200 + 4_800

    run_scenario(scenario, entries=2, endpoints=6)


def test_a_silent_stream_is_waited_for_where_no_other_engine_is_left():
    async def scenario(deployment):
        (engine,) = deployment.engines
        # Longer than the silence after which a stream resumes at another engine.
        engine.pause_s = 1.2
        engine.events = 2
        answer = await deployment.send("/resumed/x", request_id="r1", deadline_ms=4_000)
        assert event_ids(answer.body) == [1, 2]
        assert len(engine.runs_) == 1

    run_scenario(scenario, endpoints=1)


def test_a_refusal_without_an_id_that_comes_once_more_refuses_no_other_stream():
    # The engine ran on with a stream that was taken to be refused.
    async def scenario(deployment):
        (engine,) = deployment.engines
        for number in range(8):
            is_refused = number % 2 == 0
            if is_refused:
                engine.planned_misbehaviours_.append(Misbehaviour.REPEAT_REFUSAL)
            name = f"r{number}"
            answer = await deployment.send("/resumed/x", request_id=name)
            assert answer.code == (503 if is_refused else 200)
            assert len(runs_of(deployment.engines, name)) == (not is_refused)

    run_scenario(scenario, endpoints=1)


def test_an_engine_that_refuses_another_weight_version_gets_further_streams():
    async def scenario(deployment):
        used, other = await engines_by_use(deployment)
        other.weight_version = 2
        used.planned_misbehaviours_.append(Misbehaviour.CUT)
        await deployment.send("/resumed/x", request_id="r1")
        assert other.arrivals_ and not other.runs_
        roster = deployment.entries_[0].state_.roster_
        assert roster.record(other.endpoint_id) in roster.usable("engine", 0.0)
        answer = await deployment.send("/resumed/x", request_id="r2")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]

    run_scenario(scenario)
