"""A wait for an endpoint ends in time, and later by what the entry itself delays."""

import asyncio

import pytest

from leadford.forwarding.overload import LoopTurns
from leadford_server.forwarding._endpoint_timeout import EndpointTimeout

LIMIT_S = 0.05


def waited_s(turns, begin=lambda now: None):
    """Return how long a block is let wait for nothing, None if it was not ended."""

    async def main():
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        with pytest.raises(TimeoutError):
            async with EndpointTimeout(began_at + LIMIT_S, turns):
                begin(began_at)
                await asyncio.sleep(5.0)
        return loop.time() - began_at

    return asyncio.run(main())


def test_a_wait_ends_at_its_limit():
    assert LIMIT_S <= waited_s(LoopTurns()) < 1.0


def test_a_wait_ends_later_by_the_delay_of_the_loop():
    turns = LoopTurns()

    def hold_up(began_at):
        turns.begin(began_at)
        turns.record(0.2, began_at + 0.2)

    assert waited_s(turns, hold_up) >= LIMIT_S + 0.15


def test_a_block_that_ends_or_fails_by_itself_is_not_ended():
    async def main():
        loop = asyncio.get_running_loop()
        async with EndpointTimeout(loop.time() + LIMIT_S, LoopTurns()):
            await asyncio.sleep(0.0)
        with pytest.raises(ValueError):
            async with EndpointTimeout(loop.time() + LIMIT_S, LoopTurns()):
                raise ValueError
        await asyncio.sleep(2 * LIMIT_S)

    asyncio.run(main())


def test_a_cancelled_block_stays_cancelled():
    async def main():
        async def wait():
            async with EndpointTimeout(float(10**9), LoopTurns()):
                await asyncio.sleep(60.0)

        task = asyncio.create_task(wait())
        await asyncio.sleep(0.01)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(main())
