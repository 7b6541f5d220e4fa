"""Streams go on after all entries were lost, and none goes on at another version."""

import asyncio
from types import SimpleNamespace

import pytest

from leadford_server.forwarding.store import _streams
from leadford_server.forwarding.store._software import MAX_RECORD_WAIT_S
from leadford_standins.wire import event_ids, run_scenario, runs_of
from leadford_standins.wire._store import StoreFault
from leadford_standins.wire.tests.broken_streams import (
    STREAMS_COUNT,
    begin_streams,
    break_off,
    list_two_versions,
    resume,
    resume_all,
    software_of_runs,
)

KIND = "leadford-software"
STREAMS_KIND = "leadford-streams"


def recorded(deployment):
    """Return what the store holds of the versions of the engines."""
    item = deployment.store.objects_by_kind_.get(KIND, {}).get("engine")
    return None if item is None else item["spec"]


async def until_recorded(deployment, *versions):
    await deployment.until(
        lambda: (
            recorded(deployment) is not None
            and recorded(deployment)["listed"] == list(versions)
        )
    )


async def list_all(deployment, software):
    for engine in deployment.engines:
        await deployment.set_software(engine, software)


async def is_refused(deployment, request_id, *, after=2):
    """Return whether a stream that is resumed is refused, and ran nowhere."""
    answer = await resume(deployment, "back", 0, resumes=request_id, after=after)
    return answer.code == 503 and not runs_of(deployment.engines, "back")


def recorded_ids(deployment):
    """Return the ids of all streams that the store holds."""
    items = deployment.store.objects_by_kind_.get(STREAMS_KIND, {}).values()
    return {
        request_id
        for item in items
        for ids_by_version in (item["spec"] or {}).get("streams", {}).values()
        for request_ids in ids_by_version.values()
        for request_id in request_ids
    }


@pytest.mark.parametrize("entries", [1, 3])
def test_streams_of_two_versions_go_on_after_all_entries_were_lost(entries):
    async def scenario(deployment):
        await deployment.until_linked()
        await list_two_versions(deployment)
        began = await begin_streams(deployment)
        assert set(began) == {"v1", "v2"}
        await deployment.until(lambda: len(recorded_ids(deployment)) == STREAMS_COUNT)
        await deployment.restart_all_entries()
        assert await resume_all(deployment, entry=entries - 1) == began

    run_scenario(scenario, endpoints=6, entries=entries)


def test_streams_recorded_before_two_losses_go_on_after_the_second():
    async def scenario(deployment):
        await list_two_versions(deployment)
        began = await begin_streams(deployment)
        await deployment.until(lambda: len(recorded_ids(deployment)) == STREAMS_COUNT)
        await deployment.restart_all_entries()
        await break_off(deployment, "later", STREAMS_COUNT)
        await deployment.until(lambda: "later" in recorded_ids(deployment))
        await deployment.restart_all_entries()
        assert await resume_all(deployment, entry=0) == began

    run_scenario(scenario, endpoints=6)


def test_streams_go_on_after_all_entries_were_stopped_as_planned():
    async def scenario(deployment):
        await deployment.until_linked()
        await list_two_versions(deployment)
        began = await begin_streams(deployment, deadline_ms=20_000)
        await deployment.until(lambda: len(recorded_ids(deployment)) == STREAMS_COUNT)
        await asyncio.gather(*(entry.drain() for entry in deployment.entries_))
        await deployment.restart_all_entries()
        assert await resume_all(deployment, entry=1) == began

    run_scenario(scenario, endpoints=6, entries=2)


def test_a_stream_that_was_not_recorded_in_time_is_refused():
    async def scenario(deployment):
        await list_two_versions(deployment)
        deployment.store.fault = StoreFault.BUSY
        await break_off(deployment, "lost", 0)
        deployment.entries_[0].stop()
        deployment.store.fault = StoreFault.NONE
        await deployment.restart_all_entries()
        assert await is_refused(deployment, "lost")

    run_scenario(scenario, endpoints=6)


@pytest.mark.parametrize("spec", [None, {}, {"wait_ms": 9e9, "streams": {}}])
def test_a_record_of_streams_that_cannot_be_read_names_none(spec):
    async def scenario(deployment):
        await list_two_versions(deployment)
        deployment.store.put(STREAMS_KIND, "entry-9", spec)
        await deployment.restart_all_entries()
        assert await is_refused(deployment, "lost")
        await break_off(deployment, "next", 0)
        await deployment.until(lambda: "next" in recorded_ids(deployment))

    run_scenario(scenario, endpoints=6)


def test_records_of_streams_go_away_with_their_callers():
    async def scenario(deployment):
        await list_two_versions(deployment)
        await begin_streams(deployment)
        await deployment.until(lambda: len(recorded_ids(deployment)) == STREAMS_COUNT)
        await deployment.restart_all_entries()
        assert len(recorded_ids(deployment)) == STREAMS_COUNT
        await deployment.until(
            lambda: not deployment.store.objects_by_kind_[STREAMS_KIND]
        )

    run_scenario(scenario, endpoints=6)


def test_records_of_streams_go_away_though_the_store_refuses_to_remove_them():
    async def scenario(deployment):
        await list_two_versions(deployment)
        await begin_streams(deployment)
        await deployment.until(lambda: len(recorded_ids(deployment)) == STREAMS_COUNT)
        deployment.store.fault = StoreFault.BUSY
        # Longer than the callers wait.
        await asyncio.sleep(3.5)
        deployment.store.fault = StoreFault.NONE
        assert recorded_ids(deployment)
        await deployment.until(
            lambda: not deployment.store.objects_by_kind_[STREAMS_KIND]
        )

    run_scenario(scenario, endpoints=6)


def test_records_of_an_entry_that_is_gone_are_removed_by_another(monkeypatch):
    monkeypatch.setattr(_streams, "ORPHAN_DELAY_S", 0.2)

    async def scenario(deployment):
        spec = {"wait_ms": 500.0, "streams": {"engine": {"v1": ["lost"]}}}
        deployment.store.put(STREAMS_KIND, "entry-9", spec)
        await deployment.restart_all_entries()
        await deployment.until(
            lambda: not deployment.store.objects_by_kind_[STREAMS_KIND]
        )

    run_scenario(scenario, entries=2)


@pytest.mark.parametrize("entries", [1, 3])
def test_streams_go_on_at_once_after_all_entries_were_lost(entries):
    # One version serves all the time.
    async def scenario(deployment):
        await deployment.until_linked()
        await begin_streams(deployment)
        await deployment.restart_all_entries()
        assert set(await resume_all(deployment, entry=entries - 1)) == {"v1"}

    run_scenario(scenario, endpoints=3, entries=entries)


def test_a_version_recorded_alone_does_not_go_on_as_the_one_listed_now():
    async def scenario(deployment):
        await break_off(deployment, "lost", 0)
        deployment.entries_[0].stop()
        for engine in deployment.engines:
            engine.software = "v2"
            deployment.store.put("servers", engine.endpoint_id, engine.spec())
        await deployment.restart_all_entries()
        assert await is_refused(deployment, "lost")

    run_scenario(scenario)


def test_a_version_that_came_and_went_is_remembered_by_the_store():
    # The stream began at v2; v1 alone is listed before and after.
    async def scenario(deployment):
        await list_all(deployment, "v2")
        await break_off(deployment, "lost", 0)
        await list_all(deployment, "v1")
        await until_recorded(deployment, "v1", "v2")
        await deployment.restart_all_entries()
        assert await is_refused(deployment, "lost")

    run_scenario(scenario, entries=2)


def test_a_stream_begins_only_once_its_version_is_recorded():
    async def scenario(deployment):
        await until_recorded(deployment, "v1")
        deployment.store.fault = StoreFault.SLOW
        deployment.store.slow_s = MAX_RECORD_WAIT_S / 3.0
        await list_all(deployment, "v2")
        await break_off(deployment, "lost", 0)
        assert set(software_of_runs(deployment.engines, "lost")) == {"v2"}
        assert "v2" in recorded(deployment)["listed"]

    run_scenario(scenario)


def test_no_stream_goes_on_by_a_record_that_the_store_does_not_answer_for():
    async def scenario(deployment):
        await break_off(deployment, "lost", 0)
        await deployment.restart_all_entries()
        deployment.store.fault = StoreFault.SILENT
        assert await is_refused(deployment, "lost")

    run_scenario(scenario)


def test_streams_begin_while_the_store_refuses_to_record_their_version():
    async def scenario(deployment):
        await until_recorded(deployment, "v1")
        await list_all(deployment, "v2")
        deployment.store.fault = StoreFault.BUSY
        answer = await deployment.send("/resumed/x", request_id="r")
        assert answer.code == 200
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]

    run_scenario(scenario)


def test_a_record_that_came_back_from_a_copy_lets_no_stream_go_on():
    # The copy was made before v2 came, and all entries are lost with what they knew.
    async def scenario(deployment):
        await until_recorded(deployment, "v1")
        held = deployment.store.copy()
        await list_all(deployment, "v2")
        await break_off(deployment, "lost", 0)
        await until_recorded(deployment, "v1", "v2")
        deployment.entries_[0].stop()
        for engine in deployment.engines:
            engine.software = "v1"
        deployment.store.restore(held)
        await deployment.restart_all_entries()
        assert recorded(deployment)["listed"] == ["v1"]
        assert await is_refused(deployment, "lost")

    run_scenario(scenario)


def test_an_entry_that_lives_on_repairs_a_record_that_came_back_from_a_copy():
    async def scenario(deployment):
        await until_recorded(deployment, "v1")
        held = deployment.store.copy()
        await list_all(deployment, "v2")
        await until_recorded(deployment, "v1", "v2")
        deployment.store.restore(held)
        await until_recorded(deployment, "v1", "v2")
        assert recorded(deployment)["is_complete"]

    run_scenario(scenario)


def test_a_stream_of_a_split_route_does_not_go_on_at_the_other_service():
    async def scenario(deployment):
        for engine in deployment.engines[2:]:
            deployment.store.delete("servers", engine.endpoint_id)
            engine.endpoint_id = f"other-{engine.endpoint_id}"
            engine.service = "other"
            engine.software = "v2"
            deployment.store.put("servers", engine.endpoint_id, engine.spec())
        route = deployment.config["routes"][2]
        route["split"] = [
            {"service": "engine", "weight": 0.5},
            {"service": "other", "weight": 0.5},
        ]
        engine = {"slots": 16, "kvCapacity": 100_000}
        other = {"name": "other", "maxConns": 64, "engine": engine}
        deployment.config["services"].append(other)
        await deployment.apply_config()
        await break_off(deployment, "lost", 0)
        await deployment.restart_all_entries()
        for number in range(8):
            answer = await resume(
                deployment, f"back{number}", 0, resumes="lost", after=2
            )
            assert answer.code == 503

    run_scenario(scenario, endpoints=4)


def test_in_calm_nothing_of_streams_is_read_or_written():
    async def scenario(deployment):
        await until_recorded(deployment, "v1")
        await asyncio.sleep(1.0)
        calls = []
        for entry in deployment.entries_:
            client = entry.software_records_.client
            counting = SimpleNamespace(
                epochs=client.epochs, call=lambda path, **fields: calls.append(path)
            )
            entry.software_records_.stored.client = counting
            entry.stream_records_.stored.client = counting
        for number in range(4):
            answer = await deployment.send("/resumed/x", request_id=f"r{number}")
            assert answer.code == 200
        await asyncio.sleep(1.0)
        assert not calls

    run_scenario(scenario, entries=2)
