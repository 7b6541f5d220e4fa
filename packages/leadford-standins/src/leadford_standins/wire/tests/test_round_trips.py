"""Entries measure round trips to each other, and take no peer for their own link."""

from leadford.forwarding.overload._link import STANDING_TRIP_COUNT
from leadford_standins.wire import run_scenario


def test_entries_measure_round_trips_to_several_peers():
    async def scenario(deployment):
        await deployment.until_linked()
        waits = deployment.entries_[0].state_.link_waits_
        await deployment.until(
            lambda: (
                len(waits.shortest_by_peer_) >= 2
                and len(waits.last_) == STANDING_TRIP_COUNT
            )
        )
        assert all(0.0 < s < 0.5 for s in waits.shortest_by_peer_.values())

    run_scenario(scenario, entries=4)


def test_a_peer_that_is_gone_is_replaced_by_another_one():
    async def scenario(deployment):
        await deployment.until_linked()
        waits = deployment.entries_[0].state_.link_waits_
        await deployment.until(lambda: len(waits.shortest_by_peer_) >= 3)
        gone = deployment.entries_[1]
        gone.stop()
        await deployment.until(
            lambda: gone.settings.entry_id not in waits.shortest_by_peer_
        )
        assert gone.settings.entry_id not in waits.began_by_peer_

    run_scenario(scenario, entries=4)
