"""Test that a wake-up is not lost with the request that it was meant for."""

import asyncio

from leadford_platform import PlatformRequests
from leadford_server.forwarding.endpoints._pool import ConnectionPool
from leadford_server.forwarding.endpoints.tests.test_connection import (
    ID,
    REQUEST,
    Endpoint,
    answer,
    record_at,
)


def test_a_connection_is_not_left_idle_when_who_was_woken_for_it_is_cancelled():
    async def scenario():
        async with Endpoint(answer(), answer()) as endpoint:
            pool = ConnectionPool(
                codec=PlatformRequests(), loop=asyncio.get_running_loop()
            )
            record = record_at(endpoint.port)
            first = await pool.acquire(record, 1)
            second = asyncio.ensure_future(pool.acquire(record, 1))
            third = asyncio.ensure_future(pool.acquire(record, 1))
            await asyncio.sleep(0.05)
            await first.fetch(REQUEST, ID)
            pool.release(record, first)
            # The caller of the second leaves in the turn in which it is woken.
            second.cancel()
            await asyncio.wait({third}, timeout=1.0)
            is_served = third.done()
            third.cancel()
            return is_served

    assert asyncio.run(scenario())
