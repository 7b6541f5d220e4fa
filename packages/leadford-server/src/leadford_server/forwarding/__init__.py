"""Forward requests, after their stages, to endpoints that run without an agent."""

from leadford_server.forwarding._contract import (
    AnswerHead,
    ForwardCall,
    HeaderList,
    InboundRequest,
    NotRunCause,
    OutboundRequest,
    PieceOutcome,
    RequestCodec,
)
from leadford_server.forwarding._process import ForwardProcess
from leadford_server.forwarding._settings import ForwardSettings
from leadford_server.forwarding._state import ForwardBounds
from leadford_server.forwarding._store_contract import (
    KnownEntry,
    ObjectCodec,
    ObjectEvent,
    ObjectEvents,
    ObjectList,
    StoreFailure,
)

__all__ = [
    "AnswerHead",
    "ForwardBounds",
    "ForwardCall",
    "ForwardProcess",
    "ForwardSettings",
    "HeaderList",
    "InboundRequest",
    "KnownEntry",
    "NotRunCause",
    "ObjectCodec",
    "ObjectEvent",
    "ObjectEvents",
    "ObjectList",
    "OutboundRequest",
    "PieceOutcome",
    "RequestCodec",
    "StoreFailure",
]
