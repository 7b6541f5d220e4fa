"""Pieces of requests suspect for one crash may share calls of contended services."""

from random import Random
from types import SimpleNamespace

import pytest

from leadford.common import EndpointId, EntryId, HallId, RequestId
from leadford.forwarding.batching import PieceGraph, PieceKey
from leadford.forwarding.routes import RouteLevels, ServiceId, StageSpec
from leadford.quarantine import RequestDigest
from leadford_server.forwarding.batching._results import ResultTable
from leadford_server.forwarding.batching._tasks import TaskMaker
from leadford_server.quarantine import RequestQuarantine

ENTRY = EntryId("here")
DIGEST = RequestDigest("d")


def new_task(*, crashes, is_contended):
    """Return the task of a request under which endpoints have crashed."""
    quarantine = RequestQuarantine(
        now=lambda: 0.0,
        random=Random(1),
        log=SimpleNamespace(report=lambda event, **fields: None),
    )
    for number in range(crashes):
        quarantine.record_connection_lost(
            DIGEST, EndpointId(f"e{number}"), is_under_way=False
        )
    state = SimpleNamespace(
        quarantine_=quarantine,
        is_contended=lambda service_id: is_contended,
        service=lambda service_id: None,
    )
    graph = PieceGraph.from_counts((StageSpec(ServiceId("s")),), (1,)).unwrap()
    job = SimpleNamespace(
        request_id=RequestId("r"),
        request_key="k",
        graph=graph,
        deadline=9.0,
        due_at=9.0,
        delay_s=0.0,
        digest=DIGEST,
        is_resumed=False,
        hall=HallId("h"),
        levels=RouteLevels(0),
    )
    results = ResultTable(entry_id=ENTRY, release_locally=lambda *arguments: None)
    maker = TaskMaker(state=state, entry_id=ENTRY, results=results)
    return maker.make(
        job, PieceKey(0, 0), correlation_id=1, excluded=frozenset(), now=0.0
    )


@pytest.mark.parametrize(
    ("crashes", "is_contended", "is_suspect", "is_once"),
    [
        (0, True, False, False),
        (1, True, True, True),
        (1, False, True, False),
        (2, True, True, False),
    ],
)
def test_a_piece_tells_how_often_its_request_was_suspect(
    crashes, is_contended, is_suspect, is_once
):
    task = new_task(crashes=crashes, is_contended=is_contended)
    assert (task.is_suspect, task.is_suspect_once) == (is_suspect, is_once)
