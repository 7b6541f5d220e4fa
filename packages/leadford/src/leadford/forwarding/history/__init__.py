"""Order data from the store by epoch and revision, across restorations of the store."""

from leadford.forwarding.history._epochs import AnswerAge, StoreEpochs
from leadford.forwarding.history._position import (
    FIRST_EPOCH,
    START_POSITION,
    StoreEpoch,
    StorePosition,
)

__all__ = [
    "AnswerAge",
    "FIRST_EPOCH",
    "START_POSITION",
    "StoreEpoch",
    "StoreEpochs",
    "StorePosition",
]
