"""Forward requests to endpoints without an agent, with their stages before them."""

from leadford_server.forwarding._contract import (
    AnswerHead,
    ForwardCall,
    HeaderList,
    InboundRequest,
    KnownEntry,
    NotRunCause,
    ObjectCodec,
    ObjectEvent,
    ObjectEvents,
    ObjectList,
    OutboundRequest,
    PieceOutcome,
    RequestCodec,
    StoreFailure,
)
from leadford_server.forwarding._process import ForwardProcess
from leadford_server.forwarding._settings import ForwardSettings
from leadford_server.forwarding._state import ForwardBounds

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
