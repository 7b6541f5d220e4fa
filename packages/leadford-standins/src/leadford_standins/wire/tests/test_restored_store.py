"""Handle a store that is restored from a copy and assigns the same revisions again."""

import asyncio

from leadford_standins.wire import StoreFault, run_scenario

ENTRIES = 9


async def wait_until_followers_known(deployment):
    """Wait until all entries know each other and agree on which ones follow."""
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


async def restore_store(deployment, copy, *, outage_s):
    """Make the store unavailable for a time, then restore it from a copy."""
    deployment.store.fault = StoreFault.RESET
    await asyncio.sleep(outage_s)
    deployment.store.restore(copy)
    deployment.store.fault = StoreFault.NONE


def test_an_endpoint_that_leaves_after_the_store_was_restored_is_known_to_leave():
    async def scenario(deployment):
        await wait_until_followers_known(deployment)
        copy = deployment.store.copy()
        for _ in range(2):
            await deployment.apply_config()
        await restore_store(deployment, copy, outage_s=1.0)
        # The second of three revisions that the store assigns again.
        leaving = deployment.plain[0]
        deployment.config["version"] += 1
        deployment.put_config()
        deployment.store.put("servers", leaving.endpoint_id, leaving.spec("draining"))
        deployment.config["version"] += 1
        deployment.put_config()
        rosters = [entry.state_.roster_ for entry in deployment.entries_]
        await deployment.until(
            lambda: all(leaving.endpoint_id in r.leaving_ids_ for r in rosters)
        )

    run_scenario(scenario, entries=ENTRIES)


def test_entries_that_a_restored_store_has_lost_are_listed_again():
    async def scenario(deployment):
        await wait_until_followers_known(deployment)
        copy = deployment.store.copy()
        listed = copy.objects_by_kind["leadford-entries"]
        for name in ("entry-0", "entry-5"):
            del listed[name]
        await restore_store(deployment, copy, outage_s=0.5)
        entries = deployment.store.objects_by_kind_["leadford-entries"]
        await deployment.until(lambda: len(entries) == ENTRIES)
        known = [e.links_.fleet.entry_count() for e in deployment.entries_]
        assert known == [ENTRIES] * ENTRIES

    run_scenario(scenario, entries=ENTRIES)


def test_a_configuration_that_a_restored_store_has_lost_stays_in_force():
    async def scenario(deployment):
        copy = deployment.store.copy()
        deployment.config["tenants"][0]["apiKeys"] = ["key-2"]
        await deployment.apply_config()
        await restore_store(deployment, copy, outage_s=0.5)
        (entry,) = deployment.entries_
        await deployment.until(lambda: entry.state_.epochs_.current_ == 2)
        await asyncio.sleep(0.5)
        assert entry.state_.config_version() == deployment.config["version"]
        answer = await deployment.send("/safe/x", request_id="a", key="key-2")
        assert answer.code == 200

    run_scenario(scenario)
