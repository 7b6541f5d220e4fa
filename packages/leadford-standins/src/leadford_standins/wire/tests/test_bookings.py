"""Callers that are refused by one entry are let in by another when they return."""

import asyncio

from prometheus_client import REGISTRY

from leadford.forwarding.batching import BacklogKey
from leadford.forwarding.routes import ServiceId
from leadford_standins.wire import event_ids, run_scenario

STAGE = ServiceId("stage")
# Pieces that take far longer than the target of the routes.
BACKLOG = 4_000
DEADLINE_MS = 3_000
# Time for which entries must agree; links of a fleet that starts are made within it.
SETTLED_S = 0.5


def total(end):
    return REGISTRY.get_sample_value("leadford_bookings_total", {"end": end}) or 0.0


async def contend(deployment):
    """Configure a less urgent route with a looser target, and wait until all know."""
    for route in deployment.config["routes"]:
        if route["name"] == "resumed":
            route.update(priority=2, goalMs=2_000)
    deployment.config["version"] += 1
    deployment.put_config()
    await deployment.until_linked()
    # A link that both ends dial is made twice, and its entry counts as unknown again.
    while not await agree_for(deployment, SETTLED_S):
        continue


async def agree_for(deployment, seconds):
    """Return whether all entries name the same owner of bookings all the time."""

    def owners():
        return {entry.links_.ledgers.owner(STAGE) for entry in deployment.entries_}

    await deployment.until(lambda: len(owners()) == 1 and None not in owners())
    first = owners()
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        await asyncio.sleep(0.02)
        if owners() != first:
            return False
    return True


def admit_much(deployment):
    """Let each entry believe that it has admitted many pieces."""
    for entry in deployment.entries_:
        entry.stages_.backlog_.add(BacklogKey(STAGE, 1), BACKLOG)


async def send(deployment, number, *, entry, deadline_ms):
    return await deployment.send(
        "/once/x",
        request_id=f"r-{entry}-{number}-{deadline_ms}",
        entry=entry,
        deadline_ms=deadline_ms,
        headers={"X-Piece-Key": f"caller-{number}"},
    )


def test_a_refused_caller_that_returns_through_another_entry_is_let_in():
    async def scenario(deployment):
        await contend(deployment)
        admit_much(deployment)
        kept = total("kept")
        # A busy machine may hold up one answer for longer than it is awaited.
        for number in range(5):
            made = total("made")
            refused = await send(deployment, number, entry=0, deadline_ms=DEADLINE_MS)
            assert refused.code == 503
            told_s = float(refused.headers["Retry-After"])
            if total("made") == made:
                continue
            # The entry knows the caller by the refusal that it hears of.
            await asyncio.sleep(told_s)
            left_ms = DEADLINE_MS - round(told_s * 1_000)
            back = await send(deployment, number, entry=1, deadline_ms=left_ms)
            if back.code == 200:
                break
        assert back.code == 200
        assert event_ids(back.body)
        assert total("kept") == kept + 1
        # Whoever has no booking is refused all the time.
        first = await send(deployment, 99, entry=1, deadline_ms=DEADLINE_MS)
        assert first.code == 503

    run_scenario(scenario, entries=3)


def test_without_contention_nothing_is_booked():
    async def scenario(deployment):
        await deployment.until_linked()
        admit_much(deployment)
        before = [total(end) for end in ("made", "none", "unanswered")]
        for entry in range(3):
            refused = await send(deployment, 1, entry=entry, deadline_ms=DEADLINE_MS)
            assert refused.code == 503
        assert [total(end) for end in ("made", "none", "unanswered")] == before

    run_scenario(scenario, entries=3)
