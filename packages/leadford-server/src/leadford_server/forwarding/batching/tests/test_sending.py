"""Pieces that waited for an endpoint are sent with the inputs that are there then."""

from types import SimpleNamespace

from leadford.common import EntryId
from leadford.forwarding.batching import GroupId, PieceGraph, PieceKey, PlaceId
from leadford.forwarding.routes import ResultHandle, ServiceId, StageSpec
from leadford_server.forwarding.batching._sending import PieceSender

FIRST, SECOND = PieceKey(0, 0), PieceKey(1, 0)
STAGES = (StageSpec(ServiceId("a")), StageSpec(ServiceId("b"), after=(0,)))


class Harness:
    """Send the pieces of one job; collect what is sent and which timers are set."""

    def __init__(self):
        self.has_endpoints = True
        self.sent = []
        self.timers = []
        graph = PieceGraph.from_counts(STAGES, (1, 1)).unwrap()
        done = SimpleNamespace(done=lambda: False)
        self.job = SimpleNamespace(
            graph=graph, is_over_=False, deadline=9.0, done_=done
        )
        service = SimpleNamespace(pieces=SimpleNamespace(batch=4))
        loop = SimpleNamespace(
            call_later=lambda delay_s, *call: self.timers.append(call)
        )
        state = SimpleNamespace(
            now=lambda: 1.0,
            service=lambda service_id: service,
            loop=loop,
            loop_turns_=SimpleNamespace(mark=lambda now: None),
        )
        tasks = SimpleNamespace(
            excluded=lambda *arguments: frozenset(),
            local_bytes_by_hall=lambda *arguments: {},
            make=lambda job, key, **fields: (key, job.graph.inputs(key.stage)),
        )
        groups = SimpleNamespace(
            choose=self.choose, scheduler_of=lambda group: EntryId("e")
        )
        sent = SimpleNamespace(
            new_correlation_id=lambda: 1,
            submit_to_scheduler=lambda piece, *rest: self.sent.append(piece.task),
        )
        self.sender = PieceSender(state=state, groups=groups, tasks=tasks, sent=sent)

    def choose(self, stage, *arguments, **fields):
        if not self.has_endpoints:
            return None
        return GroupId(stage.service_id, PlaceId("p"))

    def fire_timers(self):
        timers, self.timers = self.timers, []
        for call, *arguments in timers:
            call(*arguments)


def waiting_second_piece():
    """Return a job whose second stage finds no endpoint."""
    harness = Harness()
    harness.job.graph.record_done(FIRST, ResultHandle("h1"))
    harness.has_endpoints = False
    harness.sender.send_ready(harness.job)
    assert not harness.sent
    harness.has_endpoints = True
    return harness


def test_a_piece_that_waited_is_sent_once_with_its_inputs():
    harness = waiting_second_piece()
    harness.fire_timers()
    assert harness.sent == [(SECOND, ("h1",))]
    harness.sender.send_ready(harness.job)
    assert len(harness.sent) == 1 and not harness.timers


def test_a_piece_whose_inputs_were_dropped_as_it_waited_is_not_sent_without_them():
    harness = waiting_second_piece()
    graph = harness.job.graph
    graph.drop_results([0])
    harness.sender.send_ready(harness.job)
    harness.fire_timers()
    assert harness.sent == [(FIRST, ())]
    graph.record_done(FIRST, ResultHandle("h2"))
    harness.sender.send_ready(harness.job)
    assert harness.sent == [(FIRST, ()), (SECOND, ("h2",))]
