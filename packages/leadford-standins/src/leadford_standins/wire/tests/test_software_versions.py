"""Continue a stream only at the software version that began it."""

import pytest

from leadford_standins.wire import (
    event_ids,
    refuse_store_calls,
    run_scenario,
    runs_of,
)
from leadford_standins.wire.tests.broken_streams import (
    STREAMS_COUNT,
    begin_streams,
    break_off,
    list_two_versions,
    prompt,
    resume,
    resume_all,
    software_of_runs,
)


def test_a_stream_retried_by_its_entry_stays_at_its_software_version():
    # Each stream breaks off twice, beside engines of two versions.
    async def scenario(deployment):
        await list_two_versions(deployment)
        for number in range(STREAMS_COUNT):
            await break_off(deployment, f"r{number}", number)
            first, second = software_of_runs(deployment.engines, f"r{number}")
            assert first == second

    run_scenario(scenario, endpoints=6)


def test_a_stream_resumed_at_another_entry_stays_at_its_software_version():
    # The caller returns twice, each time to another entry than before.
    async def scenario(deployment):
        await deployment.until_linked()
        await list_two_versions(deployment)
        for number in range(STREAMS_COUNT):
            await break_off(deployment, f"r{number}", number)
            began = software_of_runs(deployment.engines, f"r{number}")[0]
            for attempt, after in ((1, 2), (2, 3)):
                answer = await resume(
                    deployment,
                    f"r{number}.{attempt}",
                    number,
                    resumes=f"r{number}",
                    after=after,
                    entry=attempt,
                )
                assert event_ids(answer.body) == list(range(after + 1, 6))
                assert software_of_runs(deployment.engines, f"r{number}.{attempt}") == [
                    began
                ]

    run_scenario(scenario, endpoints=6, entries=3)


def test_streams_go_on_after_the_entry_that_began_them_was_killed():
    async def scenario(deployment):
        await deployment.until_linked()
        await list_two_versions(deployment)
        began = await begin_streams(deployment)
        deployment.entries_[0].stop()
        assert set(began) == {"v1", "v2"}
        assert await resume_all(deployment, entry=1) == began
        # The entry at which they were resumed is killed as well.
        deployment.entries_[1].stop()
        assert await resume_all(deployment, entry=2) == began

    run_scenario(scenario, endpoints=6, entries=4)


def test_streams_go_on_at_their_version_while_the_store_is_down():
    async def scenario(deployment):
        await deployment.until_linked()
        await list_two_versions(deployment)
        for entry in deployment.entries_:
            refuse_store_calls(entry)
        began = await begin_streams(deployment)
        assert await resume_all(deployment, entry=1) == began

    run_scenario(scenario, endpoints=6, entries=3)


def test_a_stream_does_not_go_on_at_its_endpoint_started_again_as_another_version():
    async def scenario(deployment):
        await deployment.until_linked()
        await deployment.set_software(deployment.engines[2], "v2")
        began = await begin_streams(deployment)
        assert "v1" in began
        changed, kept, _ = deployment.engines
        await deployment.set_software(changed, "v2")
        for number, software in enumerate(began):
            if software != "v1":
                continue
            for entry in (0, 1):
                answer = await resume(
                    deployment,
                    f"r{number}.{entry}",
                    number,
                    resumes=f"r{number}",
                    after=2,
                    entry=entry,
                )
                assert event_ids(answer.body) == [3, 4, 5]
                assert len(runs_of([kept], f"r{number}.{entry}")) == 1

    run_scenario(scenario, endpoints=3, entries=2)


def test_a_stream_whose_version_is_listed_no_longer_is_refused_at_once():
    async def scenario(deployment):
        await deployment.until_linked()
        await list_two_versions(deployment, older=1)
        began = await begin_streams(deployment)
        old = deployment.engines[0]
        deployment.store.put("servers", old.endpoint_id, old.spec("draining"))
        await deployment.until(
            lambda: all(
                len(entry.state_.usable("engine")) == 2 for entry in deployment.entries_
            )
        )
        number = began.index("v1")
        pieces = sum(len(stage.items_) for stage in deployment.stage)
        answer = await resume(
            deployment, "back", number, resumes=f"r{number}", after=2, entry=1
        )
        assert answer.code == 503
        assert float(answer.headers["Retry-After"]) > 0.0
        assert not runs_of(deployment.engines, "back")
        assert sum(len(stage.items_) for stage in deployment.stage) == pieces

    run_scenario(scenario, endpoints=3, entries=2)


def test_a_stream_that_nobody_knows_is_refused_while_two_versions_serve():
    async def scenario(deployment):
        await list_two_versions(deployment)
        await begin_streams(deployment)
        await deployment.restart_entry(0)
        entry = deployment.entries_[0]
        await deployment.until(
            lambda: entry.is_ready and deployment.knows_all_endpoints(entry)
        )
        answer = await resume(deployment, "back", 0, resumes="unknown", after=2)
        assert answer.code == 503
        assert not runs_of(deployment.engines, "back")

    run_scenario(scenario, endpoints=6)


@pytest.mark.parametrize("entries", [1, 3])
def test_a_stream_lost_with_all_entries_does_not_go_on_as_an_equal_one(entries):
    # Its caller names no request; an equal one began at v2 after the loss.
    async def scenario(deployment):
        await deployment.until_linked()
        await break_off(deployment, "lost", 0, key="same")
        assert set(software_of_runs(deployment.engines, "lost")) == {"v1"}
        for engine in deployment.engines:
            await deployment.set_software(engine, "v2")
        await deployment.restart_all_entries()
        await break_off(deployment, "equal", 0, key="same", entry=entries - 1)
        fields = prompt(0, key="same")
        fields["headers"]["Last-Event-Id"] = "2"
        answer = await deployment.send("/resumed/x", request_id="back", **fields)
        assert answer.code == 503
        assert not runs_of(deployment.engines, "back")

    run_scenario(scenario, endpoints=3, entries=entries)


def test_streams_that_one_entry_places_stay_at_their_version():
    async def scenario(deployment):
        await deployment.until(
            lambda: all(
                len(entry.links_.peers_by_id_) >= 2 for entry in deployment.entries_
            )
        )
        await list_two_versions(deployment)
        began = await begin_streams(deployment)
        assert await resume_all(deployment, entry=5) == began

    run_scenario(scenario, endpoints=6, entries=9)


def test_a_version_that_was_listed_lately_keeps_unknown_streams_from_a_guess():
    # All engines change to another version one by one, so that one alone is listed.
    async def scenario(deployment):
        (entry,) = deployment.entries_
        view = entry.links_.origins.search.own_view
        assert view("engine").software == "v1"
        for engine in deployment.engines:
            await deployment.set_software(engine, "v2")
        assert entry.state_.roster_.listed_software("engine") == {"v2"}
        assert view("engine") is None

    run_scenario(scenario)
