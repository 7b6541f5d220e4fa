"""Name what a request of the own interface may be told while a stage runs.

Messages of agents, and what happens to connections; `Settled` says what they mean for
an attempt.
"""

import msgspec

from leadford.common import EndpointId, RefusalReason
from leadford.pipelines.retries import AttemptFailure, FailureKind
from leadford.protocol import Message

# The endpoint of a failure that concerns no endpoint.
NOWHERE = EndpointId("")


class PeerLost(msgspec.Struct, frozen=True):
    """Tell a request that the connection to an endpoint's agent ended."""

    endpoint_id: EndpointId


class AnswerDiverged(msgspec.Struct, frozen=True):
    """Tell a request that a later attempt gives another text than was shown."""

    stage: str
    attempt: int


class Wake(msgspec.Struct, frozen=True):
    """Tell a request to look again at what was asked of it."""


Delivery = Message | PeerLost | AnswerDiverged | Wake


class Settled(msgspec.Struct, frozen=True):
    """Say that an attempt ended, and why if it failed."""

    failure: AttemptFailure | None = None


def make_failure(
    kind: FailureKind,
    reason: RefusalReason,
    endpoint_id: EndpointId = NOWHERE,
    detail: str = "",
) -> AttemptFailure:
    """Return a failure."""
    return AttemptFailure(kind, reason, endpoint_id, detail=detail)


def reason_of(text: str) -> RefusalReason:
    """Return the reason that an agent names."""
    try:
        return RefusalReason(text)
    except ValueError:
        # A newer agent may know reasons that this process does not.
        return RefusalReason.ENDPOINT_ERROR
