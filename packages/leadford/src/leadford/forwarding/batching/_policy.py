"""Choose how the scheduler of a group treats pieces and room.

Where routes of several priorities compete for a stage, more waits at times than can be
served: a call for work that is lost anyway, or for results without room, takes the
place of another. Other stages are scheduled without these rules. Read by `_queue` and
`_endpoint_capacity`; owns no state.
"""

import msgspec


class FillPolicy(msgspec.Struct, frozen=True):
    """Hold which rules apply to the calls of a group."""

    # Pieces whose call would end after the deadline are returned instead of begun.
    drops_hopeless_pieces: bool = False
    # Room that an endpoint refuses again adds to what it refused before, and counts as
    # occupied for longer.
    keeps_refused_room: bool = False


USUAL_CALLS = FillPolicy()
# Of services that are contended.
CONTENDED_CALLS = FillPolicy(drops_hopeless_pieces=True, keeps_refused_room=True)
