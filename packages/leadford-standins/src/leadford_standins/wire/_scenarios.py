"""Run test scenarios on a deployment of stand-ins, and read their results.

The tests of the forwarding entry use this module. Each scenario has its own deployment,
which stops when the scenario ends.
"""

import asyncio
import re
from collections.abc import Awaitable, Callable, Iterable

from returns.result import Failure, Result

from leadford_server.forwarding import ForwardProcess, StoreFailure
from leadford_standins.wire._deployment import Deployment
from leadford_standins.wire._endpoints import PlainStandIn
from leadford_standins.wire._handler import Run
from leadford_standins.wire._misbehaviours import Misbehaviour

SCENARIO_TIMEOUT_S = 40
REFUSAL_DELAY_S = 0.05
_EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: token \1\n\n")


def run_scenario(
    scenario: Callable[[Deployment], Awaitable[None]], **fields: object
) -> None:
    """Run a scenario on a new deployment; `fields` are arguments of `Deployment`."""

    async def main() -> None:
        async with Deployment(**fields) as deployment:
            await scenario(deployment)

    asyncio.run(asyncio.wait_for(main(), SCENARIO_TIMEOUT_S))


def refuse_store_calls(entry: ForwardProcess) -> None:
    """Make every further call of an entry to the store fail.

    A watch that is already open still ends with the store's answer.
    """

    async def refuse(*args: object, **fields: object) -> Result[bytes, StoreFailure]:
        await asyncio.sleep(REFUSAL_DELAY_S)
        return Failure(StoreFailure.UNAVAILABLE)

    entry.client_.call = refuse


def plan_misbehaviour(
    endpoints: Iterable[PlainStandIn], misbehaviour: Misbehaviour, *, count: int = 1
) -> None:
    """Let each of these endpoints misbehave in as many of its next requests."""
    for endpoint in endpoints:
        endpoint.planned_misbehaviours_.extend([misbehaviour] * count)


def runs_of(endpoints: Iterable[object], request_id: str) -> list[Run]:
    """Return each run of a request at stand-ins of endpoints."""
    runs = [run for endpoint in endpoints for run in endpoint.runs_]
    return [run for run in runs if run.request_id == request_id]


def event_ids(body: bytes) -> list[int]:
    """Return the event ids in an answer, which must contain nothing but events."""
    assert _EVENT_PATTERN.sub(b"", body) == b""
    return [int(number) for number in _EVENT_PATTERN.findall(body)]
