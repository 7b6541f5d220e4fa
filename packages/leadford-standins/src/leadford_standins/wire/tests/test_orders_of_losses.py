"""In no order of events does a stream go on at another version.

All entries are lost at once, several times, beside releases and troubles of the store.
"""

import asyncio
from random import Random

import pytest

from leadford_standins.wire.tests.drawn_callers import Callers, trouble_store
from leadford_standins.wire.tests.permuted_loops import run_permuted

SEEDS = (0, 1, 2, 21)
STEPS = 18
ENTRIES = 3
PAUSE_S = (0.0, 0.3)


async def lose_all(deployment):
    """Lose all entries, and start others at once, whatever the store does."""
    for entry in deployment.entries_:
        entry.stop()
    for number in range(ENTRIES):
        await deployment.restart_entry(number)


async def play(deployment, random):
    """Begin and resume streams beside losses, releases and troubles of the store."""
    callers = Callers(deployment, random)
    troubles = []
    for _ in range(STEPS):
        step = random.random()
        if step < 0.3:
            await asyncio.gather(*(callers.begin() for _ in range(2)))
        elif step < 0.62:
            await asyncio.gather(*(callers.resume() for _ in range(3)))
        elif step < 0.78:
            callers.release()
        elif step < 0.93:
            await lose_all(deployment)
        else:
            trouble = trouble_store(deployment, random)
            troubles.append(asyncio.ensure_future(trouble))
        await asyncio.sleep(random.uniform(*PAUSE_S))
    await asyncio.gather(*troubles)
    return callers


@pytest.mark.parametrize("seed", SEEDS)
def test_no_stream_is_joined_in_any_order_of_losses(seed):
    async def scenario(deployment):
        await deployment.until_linked()
        callers = await play(deployment, Random(seed))
        assert not callers.joined_

    run_permuted(scenario, seed, entries=ENTRIES, endpoints=4)
