"""A graph returns each piece once, with all of its inputs and no others."""

from hypothesis import given, strategies as st

from leadford.forwarding.batching import PieceGraph, PieceKey, PieceState
from leadford.forwarding.routes import ResultHandle, ServiceId, StageSpec


def stage(*after, size=10):
    return StageSpec(ServiceId("s"), tuple(after), size)


def finish(graph, keys):
    for key in keys:
        graph.record_queued(key)
        graph.record_done(key, ResultHandle(f"h{key.stage}.{key.piece}"))


def test_stages_follow_each_other_with_all_inputs():
    graph = PieceGraph(stages=[stage(), stage(0), stage(1)], counts=[2, 3, 1])
    first = graph.ready()
    assert [key.stage for key in first] == [0, 0]
    finish(graph, first[:1])
    assert graph.ready() == first[1:]
    finish(graph, first[1:])
    assert graph.inputs(1) == ("h0.0", "h0.1")
    finish(graph, graph.ready())
    assert graph.take_fetched() == ["h0.0", "h0.1"]
    assert graph.inputs(2) == ("h1.0", "h1.1", "h1.2")
    finish(graph, graph.ready())
    assert graph.is_done
    assert graph.final_inputs() == ("h2.0",)


def test_a_short_branch_begins_when_it_is_due():
    stages = [stage(), stage(), stage(1), stage(2)]
    graph = PieceGraph(stages=stages, counts=[1, 1, 1, 1])
    assert graph.sinks_ == [0, 3]
    assert [key.stage for key in graph.ready()] == [1]
    finish(graph, graph.ready())
    assert [key.stage for key in graph.ready()] == [2]
    finish(graph, graph.ready())
    assert [key.stage for key in graph.ready()] == [0, 3]
    assert graph.longest_chain() == [0]


def test_a_stage_without_pieces_is_left_out():
    graph = PieceGraph(stages=[stage(), stage()], counts=[0, 1])
    assert graph.sinks_ == [1]
    empty = PieceGraph(stages=[stage()], counts=[0])
    assert empty.is_done and empty.final_inputs() == ()


def test_inputs_that_are_gone_are_made_again_down_the_chain():
    graph = PieceGraph(stages=[stage(), stage(0)], counts=[1, 1])
    finish(graph, graph.ready())
    finish(graph, graph.ready())
    assert graph.take_fetched() == ["h0.0"]
    assert graph.drop_results(graph.sinks_) == ["h1.0"]
    assert not graph.is_done
    assert [key.stage for key in graph.ready()] == [0]
    finish(graph, graph.ready())
    assert [key.stage for key in graph.ready()] == [1]


def test_inputs_are_given_up_once_every_reader_has_fetched_them():
    graph = PieceGraph(stages=[stage(), stage(0)], counts=[2, 2])
    finish(graph, graph.ready())
    first, second = graph.ready()
    graph.record_queued(first)
    graph.record_queued(second)
    graph.record_inputs_read(first)
    assert graph.take_fetched() == []
    graph.record_inputs_read(second)
    assert graph.take_fetched() == ["h0.0", "h0.1"]
    # The inputs are computed again only if a reader fails.
    assert graph.ready() == []
    assert graph.longest_chain() == [1]
    graph.record_done(first, ResultHandle("h1.0"))
    graph.record_failed(second)
    assert [key.stage for key in graph.ready()] == [0, 0]
    finish(graph, graph.ready())
    assert graph.ready() == [second]


def test_a_piece_that_is_done_does_not_work_again():
    graph = PieceGraph(stages=[stage()], counts=[1])
    finish(graph, graph.ready())
    graph.record_inputs_read(PieceKey(0, 0))
    assert graph.is_done
    assert graph.pieces_by_key_[PieceKey(0, 0)].state_ is PieceState.DONE


def test_counts_must_fit_the_stages():
    assert PieceGraph.from_counts([stage()], [1, 2]).failure()
    assert PieceGraph.from_counts([stage()], [-1]).failure()
    assert PieceGraph.from_counts([stage(0)], [1]).failure()
    assert PieceGraph.from_counts([stage()], [3]).unwrap()


@given(
    counts=st.lists(st.integers(0, 3), min_size=1, max_size=4),
    failures=st.lists(st.booleans(), max_size=30),
)
def test_any_order_of_failures_ends_with_every_piece_made(counts, failures):
    stages = [stage(*([number - 1] if number else [])) for number in range(len(counts))]
    graph = PieceGraph(stages=stages, counts=counts)
    failing = iter(failures)
    for _ in range(200):
        keys = graph.ready()
        if not keys:
            break
        key = keys[0]
        graph.record_queued(key)
        assert graph.pieces_by_key_[key].state_ is PieceState.QUEUED
        assert all(handle is not None for handle in graph.inputs(key.stage))
        if next(failing, False):
            graph.record_failed(key)
        else:
            graph.record_done(key, ResultHandle(f"h{key.stage}.{key.piece}"))
        graph.take_fetched()
    assert graph.is_done
    assert len(graph.final_inputs()) == sum(counts[sink] for sink in graph.sinks_)
    assert PieceKey(0, 99) not in graph.pieces_by_key_
