"""Play scenarios on a deployment of stand-ins, and read what was seen of them.

Used by the tests of the forwarding entry: each scenario starts a deployment of its own,
and ends with it.
"""

import asyncio
import re
from collections.abc import Awaitable, Callable, Iterable

from returns.result import Failure, Result

from leadford_server.forwarding import ForwardProcess, StoreFailure
from leadford_standins.wire._deployment import Deployment
from leadford_standins.wire._endpoints import Run

# Seconds that a scenario may take before it counts as hung.
SCENARIO_S = 40
# Seconds that a store takes to turn an entry away.
TURNED_AWAY_S = 0.05
_EVENT = re.compile(rb"id: (\d+)\ndata: token \1\n\n")


def play(scenario: Callable[[Deployment], Awaitable[None]], **fields: object) -> None:
    """Play a scenario on a new deployment; `fields` are those of Deployment."""

    async def main() -> None:
        async with Deployment(**fields) as deployment:
            await scenario(deployment)

    asyncio.run(asyncio.wait_for(main(), SCENARIO_S))


def turn_away(entry: ForwardProcess) -> None:
    """Let every further call of an entry to the store fail.

    A watch that waits already still ends as the store says.
    """

    async def refuse(*args: object, **fields: object) -> Result[bytes, StoreFailure]:
        await asyncio.sleep(TURNED_AWAY_S)
        return Failure(StoreFailure.UNAVAILABLE)

    entry.client_.call = refuse


def runs_of(endpoints: Iterable[object], request_id: str) -> list[Run]:
    """Return how often and how a request ran at stand-ins of endpoints."""
    found = [run for endpoint in endpoints for run in endpoint.runs_]
    return [run for run in found if run.request_id == request_id]


def event_ids(body: bytes) -> list[int]:
    """Return the ids of the events in an answer, which must hold nothing else."""
    assert _EVENT.sub(b"", body) == b""
    return [int(number) for number in _EVENT.findall(body)]
