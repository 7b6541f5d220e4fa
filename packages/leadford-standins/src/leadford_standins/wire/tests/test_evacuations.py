"""No entry sends new requests or pieces to a hall that the operator evacuates."""

import asyncio

from leadford_server.forwarding.store import _follow
from leadford_server.forwarding.store._halls import WATCH_FRACTION
from leadford_standins.wire import StoreFault, refuse_store_calls, run_scenario

HALL = "hall-0"
EVACUATE_S = 5.0


def endpoints_in_hall(deployment, hall=HALL):
    return [e for e in deployment.all_endpoints() if e.hall == hall]


def request_ids_after(deployment, after_s):
    """Return the ids of requests that reached endpoints of the hall after a time."""
    return [
        arrival.request_id
        for endpoint in endpoints_in_hall(deployment)
        for arrival in endpoint.arrived_
        if arrival.at_s > after_s
    ]


def now():
    return asyncio.get_running_loop().time()


async def send_requests(deployment, name, *, entries, paths=("/safe/x", "/once/x")):
    """Send some requests to each entry, and return their statuses."""
    answers = await asyncio.gather(
        *(
            deployment.send(path, request_id=f"{name}{entry}{number}", entry=entry)
            for entry in entries
            for number, path in enumerate(paths * 3)
        )
    )
    return [answer.code for answer in answers]


def knows_evacuation(entry):
    return entry.state_.roster_.halls_.is_evacuated(HALL)


def test_an_evacuated_hall_gets_no_requests_and_no_pieces_until_it_is_given_back():
    async def scenario(deployment):
        entries = range(3)
        assert set(await send_requests(deployment, "a", entries=entries)) == {200}
        assert request_ids_after(deployment, 0.0)
        deployment.store.put("evacuations", HALL, {})
        await deployment.until(
            lambda: all(knows_evacuation(entry) for entry in deployment.entries_)
        )
        # Requests that were sent before may still be on their way.
        await asyncio.sleep(0.1)
        began_at = now()
        assert set(await send_requests(deployment, "b", entries=entries)) == {200}
        assert request_ids_after(deployment, began_at) == []
        deployment.store.delete("evacuations", HALL)
        await deployment.until(
            lambda: not any(knows_evacuation(entry) for entry in deployment.entries_)
        )
        assert set(await send_requests(deployment, "c", entries=entries)) == {200}
        assert request_ids_after(deployment, began_at)

    run_scenario(scenario, entries=3, evacuate_s=EVACUATE_S)


def test_work_that_runs_in_a_hall_when_it_is_evacuated_ends_well():
    async def scenario(deployment):
        for engine in deployment.engines:
            engine.pause_s = 0.05
        for stage in deployment.stage:
            stage.call_s = 0.15
        sent = asyncio.ensure_future(
            send_requests(deployment, "a", entries=[0], paths=("/once/x", "/resumed/x"))
        )
        await asyncio.sleep(0.2)
        deployment.store.put("evacuations", HALL, {})
        assert set(await sent) == {200}

    run_scenario(scenario, evacuate_s=EVACUATE_S)


def test_an_entry_that_starts_during_an_evacuation_sends_nothing_there():
    async def scenario(deployment):
        deployment.store.put("evacuations", HALL, {})
        await deployment.until(lambda: knows_evacuation(deployment.entries_[0]))
        began_at = now()
        entry = await deployment.restart_entry(0)
        sent = []
        while not entry.is_ready:
            answer = deployment.send("/safe/x", request_id=f"r{len(sent)}")
            sent.append(asyncio.ensure_future(answer))
            await asyncio.sleep(0.01)
        sent.append(asyncio.ensure_future(deployment.send("/safe/x", request_id="e")))
        answers = await asyncio.gather(*sent)
        assert answers[-1].code == 200
        assert {answer.code for answer in answers} <= {200, 503}
        assert request_ids_after(deployment, began_at) == []

    run_scenario(scenario, evacuate_s=EVACUATE_S)


def test_an_entry_that_the_store_turns_away_learns_of_evacuations_from_a_peer():
    async def scenario(deployment):
        first, second = deployment.entries_
        await deployment.until(lambda: first.links_.halls_by_live_entry())
        # Only the first entry can reach the store from now on.
        second.client_.url = "http://127.0.0.1:9"
        await asyncio.sleep(2.5)
        deployment.store.put("evacuations", HALL, {})
        await deployment.until(lambda: knows_evacuation(second))
        deployment.store.delete("evacuations", HALL)
        await deployment.until(lambda: not knows_evacuation(second))

    run_scenario(scenario, entries=2, evacuate_s=EVACUATE_S)


def test_an_entry_that_restarts_without_the_store_learns_of_evacuations_from_a_peer():
    async def scenario(deployment):
        first, second = deployment.entries_
        await deployment.until(lambda: first.links_.halls_by_live_entry())
        deployment.store.put("evacuations", HALL, {})
        await deployment.until(
            lambda: knows_evacuation(first) and knows_evacuation(second)
        )
        deployment.store.fault = StoreFault.SILENT
        restarted = await deployment.restart_entry(1)
        assert not restarted.is_ready
        await deployment.until(lambda: restarted.is_ready)
        assert knows_evacuation(restarted)

    run_scenario(scenario, entries=2, evacuate_s=EVACUATE_S)


def test_a_watch_that_hears_nothing_is_over_within_the_bound():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        # The watch that is open now gets no answer; later ones do.
        deployment.store.leaves_watches_unanswered = True
        began_at = now()
        deployment.store.put("evacuations", HALL, {})
        deployment.store.forget_history()
        await asyncio.sleep(_follow.WATCH_MAX_S + 0.2)
        deployment.store.leaves_watches_unanswered = False
        await deployment.until(lambda: knows_evacuation(entry))
        assert now() - began_at < EVACUATE_S

    run_scenario(scenario, evacuate_s=EVACUATE_S)


def test_endpoints_of_a_hall_that_is_given_back_count_as_cold():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        for service in deployment.config["services"]:
            service.update(coldPerS=2.0, coldS=1.0)
        await deployment.apply_config()
        deployment.store.put("evacuations", HALL, {})
        await deployment.until(lambda: knows_evacuation(entry))
        deployment.store.delete("evacuations", HALL)
        await deployment.until(lambda: not knows_evacuation(entry))
        began_at = now()
        statuses = await send_requests(
            deployment, "a", entries=[0], paths=("/safe/x",) * 10
        )
        assert set(statuses) == {200}
        cold, warm = deployment.plain
        assert len([a for a in cold.arrived_ if a.at_s > began_at]) <= 3
        await asyncio.sleep(1.1)
        assert not entry.state_.roster_.record(cold.endpoint_id).is_cold(now())

    run_scenario(scenario, evacuate_s=EVACUATE_S)


def test_a_deployment_without_evacuations_does_not_ask_for_them():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        assert entry.is_ready
        deployment.store.put("evacuations", HALL, {})
        await asyncio.sleep(0.3)
        assert not knows_evacuation(entry)

    run_scenario(scenario)


ENTRY_COUNT = 9


async def wait_for_relays(deployment):
    """Wait until a few entries follow the store and relay its changes to all others."""
    await deployment.until(
        lambda: all(
            len(e.members_.entries_by_id_) == ENTRY_COUNT
            and e.links_.relays.has_passive_entries
            for e in deployment.entries_
        )
    )
    await deployment.until(
        lambda: all(
            e.links_.relays.clocks_by_peer_.keys() >= e.links_.relays.followers()
            for e in passive_entries(deployment)
        )
    )


def passive_entries(deployment):
    return [e for e in deployment.entries_ if not e.links_.relays.is_follower]


def record_evacuation_calls(deployment):
    """Record which entries request evacuations from the store from now on."""
    calling_entries = []
    for entry in deployment.entries_:
        call = entry.client_.call

        async def record_call(path, *args, call=call, entry=entry, **fields):
            if "/evacuations" in path:
                calling_entries.append(entry)
            return await call(path, *args, **fields)

        entry.client_.call = record_call
    return calling_entries


def test_in_a_fleet_only_those_that_follow_the_store_ask_for_evacuations():
    async def scenario(deployment):
        await wait_for_relays(deployment)
        # Each entry lists again after its first listing, which may be old, and ends the
        # watch that it opened before it knew of the other entries.
        await asyncio.sleep(WATCH_FRACTION * EVACUATE_S + 1.0)
        calling_entries = record_evacuation_calls(deployment)
        followers = [e for e in deployment.entries_ if e.links_.relays.is_follower]
        await deployment.until(
            lambda: len(calling_entries) >= 3 * len(followers), timeout_s=20.0
        )
        assert set(calling_entries) <= set(followers)

    run_scenario(scenario, entries=ENTRY_COUNT, evacuate_s=EVACUATE_S)


def test_entries_that_rest_hear_of_an_evacuation_and_of_its_end():
    async def scenario(deployment):
        await wait_for_relays(deployment)
        for entry in passive_entries(deployment):
            refuse_store_calls(entry)
        deployment.store.put("evacuations", HALL, {})
        await deployment.until(lambda: all(map(knows_evacuation, deployment.entries_)))
        deployment.store.delete("evacuations", HALL)
        await deployment.until(
            lambda: not any(map(knows_evacuation, deployment.entries_))
        )

    run_scenario(scenario, entries=ENTRY_COUNT, evacuate_s=EVACUATE_S)


def test_entries_that_rest_ask_for_evacuations_once_those_that_follow_are_deaf():
    async def scenario(deployment):
        await wait_for_relays(deployment)
        followers = [e for e in deployment.entries_ if e.links_.relays.is_follower]
        for entry in followers:
            refuse_store_calls(entry)
        # Watches that are already open still end with the store's answer.
        await asyncio.sleep(WATCH_FRACTION * EVACUATE_S + 0.2)
        deployment.store.put("evacuations", HALL, {})
        await deployment.until(
            lambda: all(map(knows_evacuation, passive_entries(deployment))),
            timeout_s=EVACUATE_S,
        )

    run_scenario(scenario, entries=ENTRY_COUNT, evacuate_s=EVACUATE_S)
