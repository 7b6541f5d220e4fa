"""The store may come back from a copy, and give the same revisions out again."""

import asyncio

from leadford_standins.wire import StoreFault, play

ENTRIES = 9


async def settle(deployment):
    """Wait until all entries know each other, and so agree on who follows."""
    relays = [entry.links_.relays for entry in deployment.entries_]
    await deployment.until(
        lambda: (
            all(len(e.members_.entries_by_id_) == ENTRIES for e in deployment.entries_)
            and all(len(r.followers()) == 2 for r in relays)
        )
    )
    await deployment.until(
        lambda: all(
            r.is_follower or r.clocks_by_peer_.keys() >= r.followers() for r in relays
        )
    )


async def change_config(deployment):
    """Put another configuration in force, and wait until every entry runs it."""
    deployment.config["version"] += 1
    deployment.put_config()
    version = deployment.config["version"]
    await deployment.until(
        lambda: all(e.state_.config_version() == version for e in deployment.entries_)
    )


async def restore(deployment, copy, *, away_s):
    """Let the store be away, and come back from a copy."""
    deployment.store.fault = StoreFault.RESET
    await asyncio.sleep(away_s)
    deployment.store.restore(copy)
    deployment.store.fault = StoreFault.NONE


def test_an_endpoint_that_leaves_after_the_store_was_restored_is_known_to_leave():
    async def scenario(deployment):
        await settle(deployment)
        copy = deployment.store.copy()
        for _ in range(2):
            await change_config(deployment)
        await restore(deployment, copy, away_s=1.0)
        # The second of three revisions that are given out again.
        leaver = deployment.plain[0]
        deployment.config["version"] += 1
        deployment.put_config()
        deployment.store.put("servers", leaver.endpoint_id, leaver.spec("draining"))
        deployment.config["version"] += 1
        deployment.put_config()
        rosters = [entry.state_.roster_ for entry in deployment.entries_]
        await deployment.until(
            lambda: all(leaver.endpoint_id in r.leaving_ids_ for r in rosters)
        )

    play(scenario, entries=ENTRIES)


def test_entries_that_a_restored_store_has_lost_are_listed_again():
    async def scenario(deployment):
        await settle(deployment)
        copy = deployment.store.copy()
        listed = copy.objects_by_kind["leadford-entries"]
        for name in ("entry-0", "entry-5"):
            del listed[name]
        await restore(deployment, copy, away_s=0.5)
        entries = deployment.store.objects_by_kind_["leadford-entries"]
        await deployment.until(lambda: len(entries) == ENTRIES)
        known = [e.links_.fleet.entry_count() for e in deployment.entries_]
        assert known == [ENTRIES] * ENTRIES

    play(scenario, entries=ENTRIES)


def test_a_configuration_that_a_restored_store_has_lost_stays_in_force():
    async def scenario(deployment):
        copy = deployment.store.copy()
        deployment.config["tenants"][0]["apiKeys"] = ["key-2"]
        await change_config(deployment)
        await restore(deployment, copy, away_s=0.5)
        (entry,) = deployment.entries_
        await deployment.until(lambda: entry.state_.epochs_.current_ == 2)
        await asyncio.sleep(0.5)
        assert entry.state_.config_version() == deployment.config["version"]
        answer = await deployment.send("/safe/x", request_id="a", key="key-2")
        assert answer.code == 200

    play(scenario)
