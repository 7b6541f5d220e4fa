"""Entries go on together while the records of lost entries stay in the store."""

import asyncio

from leadford_standins.wire import refuse_store_calls, run_scenario

ENTRIES = 8
# Longer than any call to the store that began before all further ones are refused.
OPEN_CALLS_S = 3.0
OWN_ANSWERS = (401, 503)


async def lose_peers(deployment):
    """Lose the entries to which one is linked; return the number of that one.

    The one with the fewest links is chosen.
    """
    await deployment.until(
        lambda: all(
            entry.links_.fleet.peers_to_link() <= set(entry.links_.peers_by_id_)
            and len(entry.members_.entries_by_id_) == ENTRIES
            for entry in deployment.entries_
        )
    )
    alone = min(deployment.entries_, key=lambda e: len(e.links_.peers_by_id_))
    lost_ids = set(alone.links_.peers_by_id_)
    for entry in deployment.entries_:
        if entry.settings.entry_id in lost_ids:
            entry.stop()
    deployment.entries_ = [
        entry
        for entry in deployment.entries_
        if entry.settings.entry_id not in lost_ids
    ]
    assert len(deployment.entries_) > 1
    return deployment.entries_.index(alone)


def test_an_entry_whose_peers_are_lost_hears_of_a_key_that_was_taken_away():
    """It must not serve by the key without end once the store turns it away."""

    async def scenario(deployment):
        number = await lose_peers(deployment)
        alone = deployment.entries_[number]
        refuse_store_calls(alone)
        await asyncio.sleep(OPEN_CALLS_S)
        deployment.config["version"] += 1
        deployment.config["tenants"][0]["apiKeys"] = ["key-2"]
        deployment.put_config()
        version = deployment.config["version"]
        await deployment.until(
            lambda: alone.state_.config_version() == version, timeout_s=10.0
        )
        answer = await deployment.send("/safe/x", request_id="a", entry=number)
        assert answer.code in OWN_ANSWERS

    run_scenario(scenario, entries=ENTRIES)
