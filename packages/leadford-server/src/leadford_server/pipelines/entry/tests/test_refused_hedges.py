"""Test that a refused attempt takes back nothing that another one may have begun."""

import asyncio

import pytest

from leadford.common import Outcome
from leadford.pipelines.config import StageConfig
from leadford.protocol import DoneStatus, NotHeld
from leadford_server.pipelines.entry._deliveries import PeerLost
from leadford_server.pipelines.entry.tests.test_attempts import Desk, done, refused

EFFECT = StageConfig(name="note", pool="p", effect=True, hedge=True)


class HedgedDesk(Desk):
    """Hold a run of an effect that two endpoints may run, and hedge it."""

    def __init__(self):
        super().__init__(EFFECT, names=("a", "b"))

    def play(self, *deliveries, hedge_is_sent=True):
        """Run the request and its hedge, delivering one message after another."""

        async def drive():
            task = asyncio.create_task(self.run.run())
            await asyncio.sleep(0)
            if not hedge_is_sent:
                self.break_unused_links()
            self.run.attempts_._hedge()
            assert len(self.submits()) == 1 + hedge_is_sent
            for delivery in deliveries:
                self.run.deliver(delivery(self) if callable(delivery) else delivery)
                for _ in range(5):
                    await asyncio.sleep(0)
            return await asyncio.wait_for(task, 5.0)

        return asyncio.run(drive())

    def break_unused_links(self):
        for link in self.links.values():
            if not link.peer.sent:
                link.peer.send = lambda message: False


def lost(attempt):
    return lambda desk: PeerLost(desk.place(attempt))


def failed(attempt):
    return done("note", attempt, status=DoneStatus.FAILED)


def begun(attempt):
    return refused("note", attempt, begun=True)


def not_held(attempt):
    return NotHeld("r", "note", attempt)


@pytest.mark.parametrize("end", [lost, failed, begun, not_held])
@pytest.mark.parametrize(("refusing", "running"), [(2, 1), (1, 2)])
@pytest.mark.parametrize("refusal_is_first", [True, False])
def test_a_refusal_beside_an_attempt_that_runs_does_not_say_not_run(
    refusing, running, refusal_is_first, end
):
    """A caller that comes back repeats an effect that may have run."""
    deliveries = [refused("note", refusing), end(running)]
    if not refusal_is_first:
        deliveries.reverse()
    answer = HedgedDesk().play(*deliveries)
    assert answer.outcome is Outcome.UNKNOWN
    assert answer.problem.retry_after_ms == 0


def test_refusals_of_both_attempts_say_not_run():
    answer = HedgedDesk().play(refused("note", 2), refused("note", 1))
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.problem.retry_after_ms > 0


@pytest.mark.parametrize(
    ("end", "outcome"),
    [(refused("note", 1), Outcome.NOT_RUN), (lost(1), Outcome.UNKNOWN)],
)
def test_a_hedge_that_was_not_sent_began_nothing(end, outcome):
    assert HedgedDesk().play(end, hedge_is_sent=False).outcome is outcome
