"""Test that a claim for which there is no time holds nothing."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from leadford.protocol import ClaimVerdict
from leadford_server.pipelines.entry._claims import ClaimService

CLAIMED = ClaimVerdict.ALREADY_CLAIMED


class Writer:
    """Grant a request to the first claim of it, after the time of a write."""

    def __init__(self):
        self.holders = {}

    def claim(self, request_id, claim_id):
        holder = self.holders.setdefault(request_id, claim_id)
        verdict = ClaimVerdict.GRANTED if holder == claim_id else CLAIMED
        future = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_later(0.02, _settle, future, verdict)
        return future


def _settle(future, verdict):
    if not future.done():
        future.set_result(verdict)


def service(name, writer, seed):
    entries = SimpleNamespace(owner=lambda shard: name, peer=lambda owner: None)
    made = ClaimService(
        entry_id=name, store=None, entries=entries, events=None, random=Random(seed)
    )
    made.writer = lambda shard: writer
    return made


@pytest.mark.parametrize("remaining_s", [0.0, -1.0])
def test_a_claim_without_time_does_not_claim_the_request(remaining_s):
    # A repetition at another entry was told that the request may have run.
    async def scenario():
        writer = Writer()
        verdict = await service("a", writer, 1).claim("request", remaining_s)
        assert verdict is ClaimVerdict.STORE_UNAVAILABLE
        return await service("b", writer, 2).claim("request", 1.0)

    assert asyncio.run(scenario()) is ClaimVerdict.GRANTED


def test_a_claim_that_is_cancelled_is_taken_up_by_the_repetition():
    # The run is answered as not run, so its caller sends it again.
    async def scenario():
        entry = service("a", Writer(), 1)
        task = asyncio.ensure_future(entry.claim("request", 1.0))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait({task})
        assert task.cancelled()
        return await entry.claim("request", 1.0)

    assert asyncio.run(scenario()) is ClaimVerdict.GRANTED
