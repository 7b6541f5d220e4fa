"""Removed endpoints get no requests late, and those that an outage removed still do."""

import asyncio

import pytest

from leadford.forwarding.routes import ServiceId
from leadford_standins.simulated import run_simulated
from leadford_standins.wire import SimulatedFleet, StoreFault
from leadford_standins.wire._fleet import BOUNDS, ENDPOINTS_KIND

SERVICE = ServiceId("s")
# A time in which all entries have listed the endpoints, and followers confirm them.
SETTLE_S = 5.0


def used_names(entry):
    now = asyncio.get_running_loop().time()
    return {r.listed.endpoint_id for r in entry.roster_.usable(SERVICE, now)}


async def started_fleet():
    """Return a running fleet that knows three endpoints."""
    fleet = SimulatedFleet(followers=3, resting=5)
    for name in "abc":
        fleet.put(name)
    fleet.start()
    await asyncio.sleep(SETTLE_S)
    return fleet


def stop_followers(fleet):
    """Stop all entries that follow the store for the others, for good."""
    for task in fleet.running_[: 2 * len(fleet.follower_ids)]:
        task.cancel()


@pytest.mark.parametrize("tenths", range(0, 24, 3))
def test_most_of_a_service_that_leaves_gets_no_requests_after_its_drain_period(tenths):
    """Entries that learn of removals late go on to use no removed endpoint.

    The followers of the store are lost for good, so the others learn of a removal from
    their own next call. The store answers all the time.
    """
    late = []

    async def run():
        fleet = await started_fleet()
        resting = fleet.entries[len(fleet.follower_ids) :]
        stop_followers(fleet)
        await asyncio.sleep(SETTLE_S + tenths / 10.0)
        for name in "ab":
            fleet.store.delete(ENDPOINTS_KIND, name)
        await asyncio.sleep(BOUNDS.drain_s)
        late.extend(entry.entry_id for entry in resting if used_names(entry) != {"c"})
        fleet.stop()

    run_simulated(run())
    assert late == []


@pytest.mark.parametrize("are_followers_lost", [False, True])
@pytest.mark.parametrize("fault", [StoreFault.RESET, StoreFault.SILENT])
@pytest.mark.parametrize("outage_s", [4.0, 5.0, 6.0, 9.0])
def test_endpoints_that_lapse_in_an_outage_are_used_as_it_ends(
    outage_s, fault, are_followers_lost
):
    """A service whose records lapse while the store is away is served on.

    All entries learn of the removals once the store answers again.
    """
    unused, still_listing = [], []

    async def run():
        fleet = await started_fleet()
        live = list(fleet.entries)
        if are_followers_lost:
            live = live[len(fleet.follower_ids) :]
            stop_followers(fleet)
            await asyncio.sleep(SETTLE_S)
        fleet.store.fault = fault
        await asyncio.sleep(outage_s)
        for name in "abc":
            fleet.store.delete(ENDPOINTS_KIND, name)
        fleet.store.fault = StoreFault.NONE
        for _ in range(10):
            await asyncio.sleep(0.1)
            unused.extend(entry.entry_id for entry in live if not used_names(entry))
        await asyncio.sleep(1.0)
        still_listing.extend(e.entry_id for e in live if e.roster_.listed())
        fleet.stop()

    run_simulated(run())
    assert (unused, still_listing) == ([], [])
