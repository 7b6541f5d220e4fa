"""Send nothing more to an endpoint whose answers say that it is leaving.

Failure: a store delayed writes for 12 s. An engine said in each of its answers that it
was leaving, but its record in the store still said ready. Two entries relayed such
answers and sent the engine further requests 5.3 s and 6.1 s later, where 2 s are
allowed. No entry's listing of the engine changed in that time (event 304), and no
module read the header: entries learned of leaving endpoints from the store alone.
"""

import asyncio

import pytest

from leadford_standins.wire import StoreFault, run_scenario

# Time after which a leaving endpoint receives no requests; the default of the bounds.
DRAIN_S = 2.0


def now():
    return asyncio.get_running_loop().time()


async def send_for(deployment, path, seconds):
    """Send requests one after the other and return the set of their statuses."""
    ends_at = now() + seconds
    statuses = set()
    while now() < ends_at:
        answer = await deployment.send(path, request_id=f"s{now():.4f}")
        statuses.add(answer.code)
    return statuses


async def send_until_leaving_known(deployment, path, leaving):
    """Send requests until an answer tells the entry that an endpoint is leaving."""
    (entry,) = deployment.entries_
    while leaving.endpoint_id not in entry.state_.roster_.leaving_ids_:
        await send_for(deployment, path, 0.1)


def stand_ins(deployment, name):
    return {
        "plain": deployment.plain,
        "engine": deployment.engines,
        "stage": deployment.stage,
    }[name]


@pytest.mark.parametrize(
    "name, path", [("plain", "/safe/x"), ("engine", "/once/x"), ("stage", "/once/x")]
)
def test_an_endpoint_that_says_it_leaves_gets_nothing_though_the_store_is_silent(
    name, path
):
    async def scenario(deployment):
        deployment.store.fault = StoreFault.SILENT
        leaving = stand_ins(deployment, name)[0]
        leaving.extra_headers_["Server-Leaving"] = "1"
        await send_until_leaving_known(deployment, path, leaving)
        known_at = now()
        await asyncio.sleep(DRAIN_S)
        assert await send_for(deployment, path, 1.0) == {200}
        late_arrivals = [a for a in leaving.arrived_ if a.at_s > known_at + DRAIN_S]
        assert late_arrivals == []

    run_scenario(scenario)


def test_a_listing_that_still_says_ready_does_not_bring_a_leaving_endpoint_back():
    async def scenario(deployment):
        leaving = deployment.plain[0]
        leaving.extra_headers_["Server-Leaving"] = "1"
        await send_until_leaving_known(deployment, "/safe/x", leaving)
        deployment.store.put("servers", leaving.endpoint_id, leaving.spec())
        await asyncio.sleep(0.3)
        began_at = now()
        assert await send_for(deployment, "/safe/x", 0.5) == {200}
        assert [a for a in leaving.arrived_ if a.at_s > began_at] == []

    run_scenario(scenario)
