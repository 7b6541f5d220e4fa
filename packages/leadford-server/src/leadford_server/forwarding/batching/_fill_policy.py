"""Look up the rules by which the calls of a group are filled."""

from leadford.forwarding.batching import (
    CONTENDED_CALLS,
    USUAL_CALLS,
    FillPolicy,
    GroupId,
)
from leadford_server.forwarding._state import ForwardState


def fill_policy(state: ForwardState, group: GroupId) -> FillPolicy:
    """Return the rules by which the calls of a group are filled."""
    is_contended = state.is_contended(group.service_id)
    return CONTENDED_CALLS if is_contended else USUAL_CALLS
