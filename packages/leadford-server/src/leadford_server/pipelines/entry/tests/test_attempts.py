"""Answers late, twice, swapped or diverging, with small fakes at the interfaces."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from leadford.common import Outcome
from leadford.pipelines.config import (
    EndpointConfig,
    FleetConfig,
    PipelineConfig,
    StageConfig,
)
from leadford.pipelines.costs import CostAccount
from leadford.pipelines.ejection import OutlierEjector
from leadford.pipelines.execution import RequestExecution
from leadford.pipelines.retries import (
    Backoff,
    HedgePolicy,
    RescuePolicy,
    RetryBudget,
    RetryPolicy,
)
from leadford.pipelines.routing import EndpointView, routing_policies
from leadford.protocol import (
    Cancel,
    Done,
    DoneStatus,
    Refused,
    Submit,
    TokenPart,
    Tokens,
)
from leadford_server.pipelines.entry._body import RequestBody
from leadford_server.pipelines.entry._deliveries import PeerLost
from leadford_server.pipelines.entry._run import RequestRun
from leadford_server.quarantine import RequestQuarantine

CHECK = StageConfig(name="check", pool="p")
CONFIRM = StageConfig(name="confirm", pool="p", repeatable=False, effect=True)
GENERATE = StageConfig(name="generate", pool="p", expected_tokens=3)


class FakePeer:
    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True


def make_link(name):
    config = EndpointConfig(
        pool="p", host=name, hall="h", agent="127.0.0.1:1", url="http://127.0.0.1:2"
    )
    view = EndpointView(endpoint_id=name, hall="h", concurrency=4)
    return SimpleNamespace(config=config, view=view, peer=FakePeer())


class Desk:
    """Hold a run and the fakes around it."""

    def __init__(self, *stages, names=("a", "b", "c")):
        self.links = {name: make_link(name) for name in names}
        ejector = OutlierEjector(random=Random(1))
        ejector.retain(set(names))
        pool = SimpleNamespace(
            ejector=ejector,
            policy=routing_policies.get("least_loaded").from_config(random=Random(1)),
            links_by_id_=self.links,
        )
        self.notes = []
        directory = SimpleNamespace(
            pool=lambda pool_id: pool,
            candidates=lambda pool_id, exclude, model="": [
                link.view for name, link in self.links.items() if name not in exclude
            ],
            report_ejections=lambda pool_id: None,
        )
        self.budget = RetryBudget()
        services = SimpleNamespace(
            entry_id="entry",
            hall="h",
            clock=lambda: 0.0,
            directory=directory,
            entries=SimpleNamespace(publish=self.notes.append),
            log=SimpleNamespace(report=lambda event, **fields: None),
            costs_=CostAccount(),
            budget_=self.budget,
            retry_policy_=RetryPolicy(
                budget=self.budget, backoff=Backoff(random=Random(1), base_ms=0.0)
            ),
            rescue_=RescuePolicy(),
            config_=FleetConfig(),
            hedge_policy=lambda stage: HedgePolicy(),
            random=Random(1),
            quarantine_=RequestQuarantine(
                now=lambda: 0.0,
                random=Random(1),
                log=SimpleNamespace(report=lambda event, **fields: None),
            ),
        )
        execution = RequestExecution(
            request_id="r",
            pipeline_id="p",
            pipeline=PipelineConfig(stages=stages),
            workspace="w",
            deadline_at=60.0,
        )
        self.run = RequestRun(
            execution=execution,
            body=RequestBody(b"{}", "digest"),
            priority=4,
            keyed=False,
            services=services,
        )

    def submits(self):
        sent = [m for link in self.links.values() for m in link.peer.sent]
        return sorted(
            (m for m in sent if isinstance(m, Submit)), key=lambda m: m.attempt
        )

    def cancels(self):
        sent = [m for link in self.links.values() for m in link.peer.sent]
        return [m for m in sent if isinstance(m, Cancel)]

    def place(self, attempt):
        """Return where an attempt was sent."""
        for name, link in self.links.items():
            if any(getattr(m, "attempt", 0) == attempt for m in link.peer.sent):
                return name
        raise AssertionError(f"attempt {attempt} was not sent")

    def play(self, *deliveries):
        """Run the request, delivering one message after another."""

        async def drive():
            task = asyncio.create_task(self.run.run())
            for delivery in deliveries:
                for _ in range(5):
                    await asyncio.sleep(0)
                self.run.deliver(delivery(self) if callable(delivery) else delivery)
            return await asyncio.wait_for(task, 5.0)

        return asyncio.run(drive())


def done(stage, attempt, result=b'"x"', status=DoneStatus.OK, sequence=0):
    return Done("r", stage, attempt, status, sequence, result, 1.0, 0.0)


def refused(stage, attempt, begun=False):
    return Refused("r", stage, attempt, "queue-full", begun)


def tokens(attempt, sequence, *texts):
    return Tokens([TokenPart("r", "generate", attempt, sequence, list(texts), "1")])


def test_each_stage_hands_its_result_to_the_next():
    desk = Desk(CHECK, StageConfig(name="second", pool="p"))
    answer = desk.play(done("check", 1, b'"one"'), done("second", 2, b'"two"'))
    assert (answer.outcome, answer.result) == (Outcome.COMPLETE, b'"two"')
    assert desk.submits()[1].previous == b'"one"'


def test_answers_late_twice_and_of_other_attempts_are_dropped():
    desk = Desk(CHECK, StageConfig(name="second", pool="p"))
    answer = desk.play(
        done("second", 1, b'"swapped"'),
        done("check", 7, b'"of nobody"'),
        done("check", 1, b'"one"'),
        done("check", 1, b'"again"'),
        done("second", 2, b'"two"'),
    )
    assert answer.result == b'"two"'
    assert desk.submits()[1].previous == b'"one"'


@pytest.mark.parametrize("stage", [CHECK, CONFIRM])
def test_a_refusal_moves_any_attempt(stage):
    desk = Desk(stage)
    answer = desk.play(refused(stage.name, 1), done(stage.name, 2))
    assert answer.outcome is Outcome.COMPLETE
    assert desk.place(1) != desk.place(2)


@pytest.mark.parametrize(
    "failure",
    [
        done("confirm", 1, status=DoneStatus.FAILED),
        refused("confirm", 1, begun=True),
        lambda desk: PeerLost(desk.place(1)),
    ],
)
def test_what_may_have_begun_and_may_not_be_repeated_ends_unknown(failure):
    desk = Desk(CONFIRM)
    answer = desk.play(failure)
    assert answer.outcome is Outcome.UNKNOWN
    assert len(desk.submits()) == 1


def test_a_refusal_everywhere_ends_not_run():
    desk = Desk(CONFIRM)
    answer = desk.play(*(refused("confirm", number) for number in (1, 2, 3)))
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.problem.retry_after_ms > 0


def test_a_failure_runs_elsewhere():
    desk = Desk(CHECK)
    failed = done("check", 1, status=DoneStatus.FAILED)
    answer = desk.play(failed, done("check", 2, b'"two"'))
    assert answer.result == b'"two"'


def test_a_stream_that_was_shown_goes_on_only_with_the_same_text():
    desk = Desk(GENERATE)
    desk.run.answer_.shown_ = 1
    same = desk.play(
        tokens(1, 0, "a "),
        lambda desk: PeerLost(desk.place(1)),
        tokens(2, 0, "a ", "b ", "c "),
        done("generate", 2, sequence=3),
    )
    assert same.outcome is Outcome.COMPLETE
    assert desk.run.answer_.texts == ["a ", "b ", "c "]


def test_a_stream_that_would_diverge_ends_unknown_and_is_cancelled():
    desk = Desk(GENERATE)
    desk.run.answer_.shown_ = 1
    answer = desk.play(
        tokens(1, 0, "a "),
        lambda desk: PeerLost(desk.place(1)),
        tokens(2, 0, "other "),
    )
    assert answer.outcome is Outcome.UNKNOWN
    assert desk.run.answer_.texts == ["a "]
    assert [cancel.attempt for cancel in desk.cancels()] == [2]


def test_a_stream_that_nobody_saw_begins_anew():
    desk = Desk(GENERATE)
    answer = desk.play(
        tokens(1, 0, "a "),
        lambda desk: PeerLost(desk.place(1)),
        tokens(2, 0, "x ", "y ", "z "),
        done("generate", 2, sequence=3),
    )
    assert answer.outcome is Outcome.COMPLETE
    assert desk.run.answer_.texts == ["x ", "y ", "z "]


def test_an_end_does_not_wake_too_early():
    desk = Desk(GENERATE)
    answer = desk.play(
        done("generate", 1, sequence=2),
        tokens(1, 0, "a ", "b "),
        done("generate", 1, sequence=2),
    )
    assert answer.outcome is Outcome.COMPLETE


def test_a_cancelled_request_ends_at_once():
    desk = Desk(CHECK)

    def cancel(desk):
        desk.run.cancel()
        return done("other", 9)

    answer = desk.play(cancel)
    assert answer.problem.reason.value == "cancelled"
    assert len(desk.cancels()) == 1
