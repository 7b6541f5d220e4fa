"""Relay changes in the store from the few entries that follow it to all others."""

import asyncio

from leadford_standins.wire import refuse_store_calls, run_scenario

ENTRIES = 9


def non_followers(deployment):
    return [e for e in deployment.entries_ if not e.links_.relays.is_follower]


async def wait_until_followers_known(deployment):
    """Wait until all entries know each other and agree on which ones follow."""
    await deployment.until(
        lambda: all(
            len(e.members_.entries_by_id_) == ENTRIES
            and len(e.links_.relays.followers()) == 2
            for e in deployment.entries_
        )
    )
    await deployment.until(
        lambda: all(
            e.links_.relays.clocks_by_peer_.keys() >= e.links_.relays.followers()
            for e in non_followers(deployment)
        )
    )


def test_entries_that_rest_hear_of_every_change():
    async def scenario(deployment):
        await wait_until_followers_known(deployment)
        assert len(non_followers(deployment)) == ENTRIES - 2
        for entry in non_followers(deployment):
            refuse_store_calls(entry)
        gone = deployment.plain[0].endpoint_id
        deployment.store.delete("servers", gone)
        await deployment.until(
            lambda: all(
                gone not in e.state_.roster_.known_ids() for e in deployment.entries_
            )
        )
        await deployment.apply_config()

    run_scenario(scenario, entries=ENTRIES)


def test_entries_that_rest_ask_the_store_once_those_that_follow_are_deaf():
    async def scenario(deployment):
        await wait_until_followers_known(deployment)
        for entry in deployment.entries_:
            if entry.links_.relays.is_follower:
                refuse_store_calls(entry)
        # The store still answers pending watches.
        await asyncio.sleep(2.0)
        gone = deployment.plain[0].endpoint_id
        deployment.store.delete("servers", gone)
        await deployment.until(
            lambda: all(
                gone not in e.state_.roster_.known_ids()
                for e in non_followers(deployment)
            )
        )

    run_scenario(scenario, entries=ENTRIES)


def test_live_entries_follow_the_store_in_place_of_those_that_are_lost_for_good():
    """The others rest again, and hear of a change from the new followers."""

    async def scenario(deployment):
        await wait_until_followers_known(deployment)
        lost = [e for e in deployment.entries_ if e.links_.relays.is_follower]
        lost_ids = {entry.settings.entry_id for entry in lost}
        for entry in lost:
            entry.stop()
        deployment.entries_ = non_followers(deployment)
        await deployment.until(
            lambda: all(
                not e.links_.relays.followers() & lost_ids
                and len(e.links_.relays.followers()) == 2
                and e.links_.relays.clocks_by_peer_.keys()
                >= e.links_.relays.followers() - {e.settings.entry_id}
                for e in deployment.entries_
            ),
            timeout_s=15.0,
        )
        resting = non_followers(deployment)
        assert len(resting) == ENTRIES - 4
        for entry in resting:
            refuse_store_calls(entry)
        gone = deployment.plain[0].endpoint_id
        deployment.store.delete("servers", gone)
        await deployment.until(
            lambda: all(gone not in e.state_.roster_.known_ids() for e in resting)
        )

    run_scenario(scenario, entries=ENTRIES)
