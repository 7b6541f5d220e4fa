"""Serve requests while the store has faults.

It may be unavailable or slow, lose records or its history of changes, leave watches
unanswered, or refuse the calls of one entry.
"""

import asyncio
import copy

import pytest

from leadford_server.forwarding.store import _follow
from leadford_standins.wire import (
    StoreFault,
    event_ids,
    refuse_store_calls,
    run_scenario,
    runs_of,
)


def test_a_configuration_comes_in_force_and_never_goes_back():
    async def scenario(deployment):
        old = copy.deepcopy(deployment.config)
        deployment.config["version"] = 5
        deployment.config["tenants"][0]["apiKeys"] = ["key-2"]
        deployment.put_config()
        entry = deployment.entries_[0]
        await deployment.until(lambda: entry.state_.table_.config.version == 5)
        assert (await deployment.send("/safe/x", request_id="a")).code == 401
        answer = await deployment.send("/safe/x", request_id="b", key="key-2")
        assert answer.code == 200
        deployment.config = old
        deployment.put_config()
        deployment.store.forget_history()
        await asyncio.sleep(0.3)
        assert entry.state_.table_.config.version == 5

    run_scenario(scenario)


def test_a_store_that_forgets_every_endpoint_in_an_outage_does_not_stop_requests():
    async def scenario(deployment):
        entry = deployment.entries_[0]
        roster = entry.state_.roster_
        deployment.store.fault = StoreFault.RESET
        await deployment.until(lambda: roster.outage_.called_at_ is not None)
        for endpoint in deployment.all_endpoints():
            deployment.store.delete("servers", endpoint.endpoint_id)
        deployment.store.fault = StoreFault.NONE
        await deployment.until(lambda: not roster.records_by_id_)
        answer = await deployment.send("/resumed/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        await asyncio.sleep(1.2)
        answer = await deployment.send("/unsafe/x", request_id="r2")
        assert answer.code == 503
        assert runs_of(deployment.plain, "r2") == []

    run_scenario(scenario)


def test_endpoints_that_go_and_come_back_in_one_answer_of_the_store_are_used():
    async def scenario(deployment):
        entry = deployment.entries_[0]
        # One answer to the watch contains both changes of each endpoint.
        for endpoint in deployment.all_endpoints():
            deployment.store.delete("servers", endpoint.endpoint_id)
        for endpoint in deployment.all_endpoints():
            deployment.store.put("servers", endpoint.endpoint_id, endpoint.spec())
        await asyncio.sleep(1.5)
        assert deployment.knows_all_endpoints(entry)
        answer = await deployment.send("/resumed/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]

    run_scenario(scenario)


def test_a_draining_endpoint_gets_nothing_new():
    async def scenario(deployment):
        leaving = deployment.plain[0]
        deployment.store.put("servers", leaving.endpoint_id, leaving.spec("draining"))
        await asyncio.sleep(0.2)
        before = leaving.arrivals_
        for number in range(10):
            await deployment.send("/safe/x", request_id=f"r{number}", method="GET")
        assert leaving.arrivals_ == before

    run_scenario(scenario)


def test_a_request_that_waits_for_a_connection_does_not_follow_an_endpoint_that_left():
    """Symptom: a request reached an endpoint long after it was listed as draining.

    Sequence: all connections that this process may open to the endpoint are in use, so
    the request waits for one; the endpoint is listed as draining; a connection becomes
    free. Cause: the endpoint that was chosen before the wait was not checked again
    after it.
    """

    async def scenario(deployment):
        leaving, other = deployment.plain
        deployment.config["services"][0]["maxConns"] = 1
        await deployment.apply_config()
        entry = deployment.entries_[0]
        deployment.store.delete("servers", other.endpoint_id)
        roster = entry.state_.roster_
        await deployment.until(lambda: other.endpoint_id not in roster.records_by_id_)
        leaving.work_s = 0.5
        first = asyncio.ensure_future(deployment.send("/unsafe/x", request_id="r1"))
        await deployment.until(lambda: leaving.runs_)
        second = asyncio.ensure_future(deployment.send("/unsafe/x", request_id="r2"))
        await asyncio.sleep(0.1)
        deployment.store.put("servers", other.endpoint_id, other.spec())
        deployment.store.put("servers", leaving.endpoint_id, leaving.spec("draining"))
        assert (await first).code == 200
        assert (await second).code == 200
        assert runs_of([leaving], "r2") == []
        assert len(runs_of([other], "r2")) == 1

    run_scenario(scenario)


@pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.RESET])
def test_an_outage_of_the_store_changes_nothing_for_requests(fault):
    async def scenario(deployment):
        deployment.store.fault = fault
        await asyncio.sleep(0.2)
        answer = await deployment.send("/resumed/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        deployment.store.fault = StoreFault.NONE
        await deployment.apply_config()

    run_scenario(scenario)


def test_watches_that_hear_nothing_do_not_hold_up_a_configuration():
    async def scenario(deployment):
        entry = deployment.entries_[0]
        # The store answers no watch while this is set.
        deployment.store.leaves_watches_unanswered = True
        await asyncio.sleep(_follow.WATCH_MAX_S + 0.2)
        deployment.store.leaves_watches_unanswered = False
        deployment.config["version"] = 2
        deployment.put_config()
        deployment.store.forget_history()
        await deployment.until(
            lambda: entry.state_.table_.config.version == 2, timeout_s=3.0
        )

    run_scenario(scenario)


def test_an_entry_that_the_store_turns_away_follows_its_peers():
    async def scenario(deployment):
        first, second = deployment.entries_
        await deployment.until(lambda: second.links_.peers_by_id_)
        refuse_store_calls(second)
        leaving = deployment.plain[0]
        deployment.config["version"] = 9
        deployment.config["tenants"][0]["apiKeys"] = ["key-2"]
        deployment.put_config()
        deployment.store.put("servers", leaving.endpoint_id, leaving.spec("draining"))
        await deployment.until(lambda: second.state_.table_.config.version == 9)
        answer = await deployment.send("/safe/x", request_id="a", entry=1)
        assert answer.code in (401, 503)
        await deployment.until(lambda: len(second.state_.usable("plain")) == 1)

    run_scenario(scenario, entries=2)


def test_changes_that_follow_each_other_end_few_watches():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        spec = deployment.plain[0].spec()
        before = deployment.store.calls_
        for number in range(20):
            deployment.store.put("servers", f"i-new-{number}", spec)
            await asyncio.sleep(0.03)
        roster = entry.state_.roster_
        await deployment.until(
            lambda: all(f"i-new-{n}" in roster.records_by_id_ for n in range(20))
        )
        assert deployment.store.calls_ - before < 10

    run_scenario(scenario)
