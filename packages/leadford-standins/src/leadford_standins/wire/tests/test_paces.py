"""Entries learn the pace of endpoints from reports and calls, and tell each other."""

import msgspec
import pytest

from leadford.protocol import PROTOCOL_LOAD, PaceNews
from leadford_standins.wire import run_scenario

# What the calls of the stand-in take, as a multiple of what the configuration says.
SLOW_RATIO = 2.0


def stage_paces(entry, deployment):
    roster = entry.state_.roster_
    return [roster.record(stage.endpoint_id).pace_ for stage in deployment.stage]


def scheduler_and_other(deployment):
    """Return the entry that schedules the stage, and one that does not."""
    first = deployment.entries_[0]
    (group,) = first.links_.fleet.stage_groups()
    scheduler_id = first.links_.stages.groups.scheduler_of(group)
    entries = sorted(
        deployment.entries_, key=lambda e: e.links_.entry_id != scheduler_id
    )
    return entries[0], entries[1]


async def run_slow_calls(deployment, *, load_suffix):
    await deployment.until_linked()
    for stage in deployment.stage:
        stage.load_suffix_ = load_suffix
        stage.call_s = SLOW_RATIO * 0.1
    await deployment.configure_call_ms(100.0)
    for number in range(4):
        await deployment.send("/once/x", request_id=f"r{number}")


def test_a_slow_endpoint_that_reports_a_pace_is_known_to_all():
    async def scenario(deployment):
        await run_slow_calls(deployment, load_suffix=",100")
        scheduler, other = scheduler_and_other(deployment)
        await deployment.until(
            lambda: any(p.measured_by_peer_ for p in stage_paces(other, deployment))
        )
        measured = [pace.measurements_ for pace in stage_paces(scheduler, deployment)]
        assert max(measured) > 0
        now = other.state_.now()
        paces = [pace.estimate(now) for pace in stage_paces(other, deployment)]
        assert 1.2 < max(paces) < SLOW_RATIO * 1.2

    run_scenario(scenario, entries=2)


@pytest.mark.parametrize("load_suffix", ["", ",x"])
def test_without_a_valid_figure_nothing_is_told(load_suffix):
    async def scenario(deployment):
        sent = []
        for entry in deployment.entries_:
            entry.links_.handlers_[PaceNews] = lambda peer, news: sent.append(news)
        await run_slow_calls(deployment, load_suffix=load_suffix)
        _, other = scheduler_and_other(deployment)
        made = other.links_.heartbeats.heartbeat_count_
        await deployment.until(
            lambda: other.links_.heartbeats.heartbeat_count_ > made + 8
        )
        assert sent == []
        for entry in deployment.entries_:
            assert not any(p.is_reported_ for p in stage_paces(entry, deployment))

    run_scenario(scenario, entries=2)


def test_an_older_build_is_told_nothing():
    async def scenario(deployment):
        await deployment.until_linked()
        scheduler, other = scheduler_and_other(deployment)
        sent = []
        for peer in scheduler.links_.peers_by_id_.values():
            send = peer.send
            peer.info = msgspec.structs.replace(
                peer.info, protocol_version=PROTOCOL_LOAD - 1
            )
            peer.send = lambda message, send=send: (sent.append(message), send(message))
        await run_slow_calls(deployment, load_suffix=",100")
        paces = stage_paces(scheduler, deployment)
        assert any(pace.measurements_ > 0 for pace in paces)
        made = scheduler.links_.heartbeats.heartbeat_count_
        await deployment.until(
            lambda: scheduler.links_.heartbeats.heartbeat_count_ > made + 8
        )
        assert not any(isinstance(message, PaceNews) for message in sent)
        assert not any(p.measured_by_peer_ for p in stage_paces(other, deployment))

    run_scenario(scenario, entries=2)
