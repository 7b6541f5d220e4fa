"""Treat what an entry knows as outdated after its host was suspended.

The host is suspended between two iterations of the event loop: the time since boot
jumps, but timers use the steady clock, which does not advance.
"""

import asyncio
import time

from leadford_server.clock import BootClockLoop
from leadford_standins.wire import Deployment, Misbehaviour, plan_misbehaviour

SUSPENSION_S = 10.0


class SuspendableClock:
    """Return the time since boot of a host that a test suspends."""

    def __init__(self):
        self.suspended_s = 0.0

    def __call__(self):
        return time.monotonic() + self.suspended_s


def play_with_clock(scenario, **fields):
    clock = SuspendableClock()

    async def main():
        async with Deployment(**fields) as deployment:
            for entry in deployment.entries_:
                entry.boot_clock = clock
            await scenario(deployment, clock)

    with asyncio.Runner(loop_factory=lambda: BootClockLoop(clock=clock)) as runner:
        runner.run(asyncio.wait_for(main(), 40.0))


def test_a_request_whose_time_passed_during_a_suspension_ends_at_once():
    async def scenario(deployment, clock):
        plan_misbehaviour(deployment.plain, Misbehaviour.HANG, count=4)
        sending = asyncio.ensure_future(
            deployment.send("/unsafe/x", request_id="r", deadline_ms=9_000)
        )
        await asyncio.sleep(0.4)
        clock.suspended_s += SUSPENSION_S
        began_at = time.monotonic()
        answer = await sending
        assert answer.code == 504
        assert time.monotonic() - began_at < 1.5

    play_with_clock(scenario)


def test_what_was_known_before_a_suspension_is_asked_again_at_once():
    async def scenario(deployment, clock):
        entry = deployment.entries_[0]
        calls = deployment.store.calls_
        await asyncio.sleep(0.5)
        clock.suspended_s += SUSPENSION_S
        before = calls
        await deployment.until(lambda: deployment.store.calls_ > before, 1.0)
        assert entry.is_ready
        leaving = deployment.plain[0]
        deployment.store.put("servers", leaving.endpoint_id, leaving.spec("draining"))
        await asyncio.sleep(0.5)
        run_count = len(leaving.runs_)
        for number in range(10):
            answer = await deployment.send("/safe/x", request_id=f"r{number}")
            assert answer.code == 200
        assert len(leaving.runs_) == run_count

    play_with_clock(scenario)


def test_a_connection_that_rested_through_a_suspension_is_not_used():
    async def scenario(deployment, clock):
        for number in range(6):
            await deployment.send("/safe/x", request_id=f"r{number}")
        pool = deployment.entries_[0].state_.pool_
        clock.suspended_s += 60.0
        pool.close_idle(deployment.entries_[0].state_.roster_.known_ids())
        assert not any(found.idle_ for found in pool.connections_by_id_.values())

    play_with_clock(scenario)
