"""Choose how the scheduler of a group treats pieces and room.

Where routes of several priorities compete for a stage, at times more pieces wait than
can be computed. A call for pieces that miss their deadline, or for results without
room, then takes the place of a useful one. Other stages are scheduled without these
rules. Read by `_queue` and `_endpoint_capacity`; owns no state.
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
