"""An entry that is late leaves the scheduling of groups to the others, and returns."""

import asyncio

import msgspec

from leadford.forwarding.batching import GroupId, PlaceId
from leadford.forwarding.overload import LoopTurns
from leadford.forwarding.routes import ServiceId
from leadford.protocol import PROTOCOL_LATE
from leadford_standins.wire import event_ids, run_scenario

GROUP = GroupId(ServiceId("stage"), PlaceId("region"))
LATE_TURNS_S = (0.1, 0.1, 0.1)
# Time on time after which an entry takes back here.
ON_TIME_S = 0.3
# Time in which an entry that does not hand over would have done so.
WATCH_S = 1.0


def make_late(entry):
    """Let an entry measure long turns."""
    turns = LoopTurns()
    turns.last_.extend(LATE_TURNS_S)
    entry.connections_.turns = turns


def make_on_time(entry):
    """Let an entry measure no more long turns, and take back soon."""
    entry.connections_.turns = LoopTurns()
    entry.state_.handover_.on_time_s_ = ON_TIME_S


def scheduler_ids(deployment):
    """Return whom the entries take for the scheduler of the stage."""
    return {e.stages_.groups.scheduler_of(GROUP) for e in deployment.entries_}


async def find_scheduler(deployment):
    """Return the entry that schedules the stage, once all agree, and the others."""
    await deployment.until_linked()
    await deployment.until(
        lambda: (
            len(scheduler_ids(deployment)) == 1
            and all(
                e.links_.shared_rules_ == e.links_.builds_.shared_rules({})
                for e in deployment.entries_
            )
        )
    )
    (scheduler_id,) = scheduler_ids(deployment)
    by_id = {e.settings.entry_id: e for e in deployment.entries_}
    return by_id.pop(scheduler_id), list(by_id.values())


def is_scheduled_by(deployment, entries):
    """Return whether all entries agree on one of some entries as the scheduler."""
    ids = {entry.settings.entry_id for entry in entries}
    found = scheduler_ids(deployment)
    return len(found) == 1 and found <= ids


def test_a_late_entry_hands_the_scheduling_over_and_takes_it_back():
    """A late scheduler kept its role and delayed the pieces of all entries."""

    async def scenario(deployment):
        scheduler, others = await find_scheduler(deployment)
        make_late(scheduler)
        await deployment.until(lambda: is_scheduled_by(deployment, others))
        number = deployment.entries_.index(others[0])
        answer = await deployment.send("/once/x", request_id="r1", entry=number)
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        assert GROUP not in scheduler.stages_.scheduler_.queues_by_group_
        make_on_time(scheduler)
        await deployment.until(lambda: is_scheduled_by(deployment, [scheduler]))
        answer = await deployment.send("/once/x", request_id="r2", entry=number)
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        assert GROUP in scheduler.stages_.scheduler_.queues_by_group_

    run_scenario(scenario, entries=3)


def test_pieces_that_wait_at_a_late_entry_move_to_its_successor():
    """Pieces that were sent before the hand-over waited until the late entry came."""

    async def scenario(deployment):
        scheduler, others = await find_scheduler(deployment)
        for stage in deployment.stage:
            stage.call_s = 0.3
        number = deployment.entries_.index(others[0])
        sent = [
            asyncio.ensure_future(
                deployment.send("/once/x", request_id=f"r{request}", entry=number)
            )
            for request in range(8)
        ]
        queues = scheduler.stages_.scheduler_.queues_by_group_
        await deployment.until(lambda: len(queues.get(GROUP, ())) > 0)
        scheduler.state_.handover_.late_at_ = float("inf")
        scheduler.state_.handover_.is_yielding_ = True
        await deployment.until(lambda: len(queues[GROUP]) == 0, timeout_s=0.29)
        answers = await asyncio.gather(*sent)
        assert [answer.code for answer in answers] == [200] * 8
        assert any(GROUP in e.stages_.scheduler_.queues_by_group_ for e in others)

    run_scenario(scenario, entries=2)


def test_one_entry_still_schedules_where_all_are_late():
    """Each would schedule for itself, and fill the endpoints of the others."""

    async def scenario(deployment):
        scheduler, _ = await find_scheduler(deployment)
        for entry in deployment.entries_:
            make_late(entry)
        names = {entry.settings.entry_id for entry in deployment.entries_}
        await deployment.until(
            lambda: all(e.links_.late_ids_ == names for e in deployment.entries_)
        )
        assert is_scheduled_by(deployment, [scheduler])

    run_scenario(scenario, entries=3)


def test_a_late_entry_keeps_the_scheduling_while_an_older_build_lives():
    """Two entries would schedule one group, as an older build keeps to the first."""

    async def scenario(deployment):
        scheduler, others = await find_scheduler(deployment)
        # The version that the link to an entry of an older build has.
        older_id = others[1].settings.entry_id
        peer = scheduler.links_.peers_by_id_[older_id]
        info = peer.info
        peer.info = msgspec.structs.replace(info, protocol_version=PROTOCOL_LATE - 1)
        make_late(scheduler)
        await deployment.until(lambda: scheduler.state_.handover_.is_yielding_)
        await asyncio.sleep(WATCH_S)
        assert is_scheduled_by(deployment, [scheduler])
        peer.info = info
        await deployment.until(lambda: is_scheduled_by(deployment, others))

    run_scenario(scenario, entries=3)


def test_an_entry_that_left_while_it_was_late_schedules_after_its_return():
    """The mark of the process that was late outlived it."""

    async def scenario(deployment):
        scheduler, others = await find_scheduler(deployment)
        name = scheduler.settings.entry_id
        make_late(scheduler)
        await deployment.until(lambda: is_scheduled_by(deployment, others))
        number = deployment.entries_.index(scheduler)
        await deployment.restart_entry(number)
        await deployment.until(
            lambda: scheduler_ids(deployment) == {name}, timeout_s=3.0
        )

    run_scenario(scenario, entries=3)
