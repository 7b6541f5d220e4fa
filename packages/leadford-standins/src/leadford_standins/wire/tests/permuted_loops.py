"""Run a scenario on an event loop that permutes its callbacks by a seed."""

import asyncio
import selectors
from functools import partial
from random import Random

from leadford_standins.wire import Deployment

SCENARIO_TIMEOUT_S = 30.0
# By how many turns a callback is put off, each as likely as the others.
TURNS_DRAWN = (0, 0, 0, 1, 2, 4)


# What relies on the order in which it asked for its callbacks, as asyncio promises it.
ORDERED_OWNERS = (
    asyncio.AbstractEventLoop,
    asyncio.BaseTransport,
    asyncio.BaseProtocol,
)


class DelayingLoop(asyncio.SelectorEventLoop):
    """Put off each callback by a few turns, at random by a seed.

    Those of asyncio's own sockets and transports keep their order.
    """

    def __init__(self, seed):
        super().__init__(selectors.DefaultSelector())
        self.random = Random(seed)

    def call_soon(self, callback, *args, context=None):
        turns = self.random.choice(TURNS_DRAWN)
        if isinstance(owner_of(callback), ORDERED_OWNERS):
            turns = 0
        return self._put_off(turns, callback, args, context)

    def _put_off(self, turns, callback, args, context):
        if turns == 0:
            return super().call_soon(callback, *args, context=context)
        handle = asyncio.Handle(callback, args, self, context)
        self._count_down(turns, handle)
        return handle

    def _count_down(self, turns, handle):
        if turns == 0:
            self._ready.append(handle)
            return
        super().call_soon(self._count_down, turns - 1, handle)


def owner_of(callback):
    """Return the object whose method a callback is, None if it is a function."""
    while isinstance(callback, partial):
        callback = callback.func
    return getattr(callback, "__self__", None)


def run_permuted(scenario, seed, **fields):
    """Run a scenario on a new deployment, with callbacks permuted by a seed.

    `fields` are arguments of `Deployment`.
    """

    async def main():
        async with Deployment(seed=seed, **fields) as deployment:
            await scenario(deployment)

    with asyncio.Runner(loop_factory=partial(DelayingLoop, seed)) as runner:
        runner.run(asyncio.wait_for(main(), SCENARIO_TIMEOUT_S))
