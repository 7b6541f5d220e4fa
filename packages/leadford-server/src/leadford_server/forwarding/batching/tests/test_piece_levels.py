"""Test that the level of a piece reaches its scheduler, from builds of both kinds."""

from types import SimpleNamespace

import msgspec
import pytest

from leadford.common import EntryId, RequestId
from leadford.forwarding.batching import GroupId, PieceKey, PieceTask, PlaceId
from leadford.forwarding.routes import ServiceId
from leadford.protocol import PROTOCOL_LOAD, PieceSubmit
from leadford_server.forwarding.batching import PieceExchange

GROUP = GroupId(ServiceId("s"), PlaceId("region"))
SCHEDULER = EntryId("scheduler")


def task(level, delay_s):
    return PieceTask(
        correlation_id=1,
        origin=EntryId("entry"),
        request_id=RequestId("r"),
        key=PieceKey(0, 0),
        request_key="k",
        inputs=(),
        result_bytes=1,
        deadline=9.0,
        due_at=5.0,
        rank_at=5.0 + delay_s,
        queued_at=0.0,
        level=level,
    )


def submitted(sent_task, change=lambda message: message):
    """Return the task that a scheduler queues, and the message that told it."""
    messages, queued = [], []
    info = SimpleNamespace(peer_id=SCHEDULER, protocol_version=PROTOCOL_LOAD)
    peer = SimpleNamespace(
        info=info, send=lambda message: messages.append(message) or True
    )
    scheduler = SimpleNamespace(submit=lambda group, piece: queued.append(piece))
    exchange = PieceExchange(
        state=SimpleNamespace(now=lambda: 0.0),
        stages=SimpleNamespace(scheduler_=scheduler),
        peers_by_id={SCHEDULER: peer},
    )
    exchange.submit(SCHEDULER, GROUP, sent_task)
    (message,) = messages
    exchange.handlers()[PieceSubmit](peer, change(message))
    return queued[0]


@pytest.mark.parametrize("level", [0, 3, 9])
def test_the_level_at_a_contended_service_is_told(level):
    queued = submitted(task(level, delay_s=2.0))
    assert (queued.level, queued.known_level) == (level, level)


@pytest.mark.parametrize("delay_s, level", [(0.0, 0), (0.4, 0), (2.0, 1), (3.8, 1)])
def test_without_a_level_it_follows_from_the_delay(delay_s, level):
    queued = submitted(task(None, delay_s))
    assert (queued.level, queued.known_level) == (None, level)


def test_an_older_build_tells_none():
    def as_older(message):
        fields = msgspec.to_builtins(message)
        return msgspec.convert(fields[:-1], PieceSubmit)

    queued = submitted(task(3, delay_s=2.0), as_older)
    assert (queued.level, queued.known_level) == (None, 1)
