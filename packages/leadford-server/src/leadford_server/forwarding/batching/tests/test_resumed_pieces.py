"""Test that schedulers of both builds learn which pieces are of a resumed stream."""

from types import SimpleNamespace

import msgspec
import pytest

from leadford.common import EntryId
from leadford.forwarding.batching import GroupId, PlaceId
from leadford.forwarding.batching.tests.conftest import piece_task
from leadford.forwarding.routes import ServiceId
from leadford.protocol import (
    PROTOCOL_CRASHES,
    PROTOCOL_RESUMED,
    PieceSubmit,
    ResumedPieceSubmit,
    SuspectPieceSubmit,
    decode,
    encode,
)
from leadford_server.forwarding.batching import PieceExchange

GROUP = GroupId(ServiceId("s"), PlaceId("region"))
SCHEDULER = EntryId("scheduler")


def submitted(task, protocol_version):
    """Return the message that tells a scheduler of a piece, and what it queues."""
    messages, queued = [], []
    info = SimpleNamespace(peer_id=SCHEDULER, protocol_version=protocol_version)
    peer = SimpleNamespace(
        info=info, send=lambda message: messages.append(message) or True
    )
    scheduler = SimpleNamespace(submit=lambda group, piece: queued.append(piece))
    exchange = PieceExchange(
        state=SimpleNamespace(now=lambda: 0.0),
        stages=SimpleNamespace(scheduler_=scheduler),
        peers_by_id={SCHEDULER: peer},
    )
    exchange.submit(SCHEDULER, GROUP, task)
    (message,) = decode(encode(0, messages)).unwrap().messages
    exchange.handlers()[type(message)](peer, message)
    return message, queued[0]


@pytest.mark.parametrize("is_suspect", [False, True])
def test_a_scheduler_learns_that_a_piece_is_of_a_resumed_stream(is_suspect):
    task = piece_task(
        is_resumed=True, is_suspect=is_suspect, is_suspect_once=is_suspect
    )
    message, queued = submitted(task, PROTOCOL_RESUMED)
    assert isinstance(message, ResumedPieceSubmit)
    expected = msgspec.structs.replace(task, origin=SCHEDULER)
    assert msgspec.structs.asdict(queued) == msgspec.structs.asdict(expected)


@pytest.mark.parametrize(
    ("is_suspect", "version", "message_type"),
    [
        (False, PROTOCOL_RESUMED - 1, PieceSubmit),
        (True, PROTOCOL_RESUMED - 1, SuspectPieceSubmit),
        (True, PROTOCOL_CRASHES - 1, PieceSubmit),
    ],
)
def test_an_older_scheduler_is_told_of_a_piece_as_before(
    is_suspect, version, message_type
):
    task = piece_task(is_resumed=True, is_suspect=is_suspect)
    message, queued = submitted(task, version)
    assert type(message) is message_type
    assert not queued.is_resumed
