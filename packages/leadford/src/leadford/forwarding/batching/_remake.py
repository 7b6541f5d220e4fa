"""Decide what follows a piece that was not made.

Called by the entry that holds the request, for each piece that its scheduler gave back
or did not answer. A piece is made again until the time of its request is over or it has
failed too often; what made it fail decides whether its inputs are made again first,
whether the endpoint is left out, and whether to wait. Which endpoint makes it next is
left to the scheduler (`_filling`).
"""

from enum import Enum

import msgspec

# Failures of one piece after which its request is given up.
PIECE_TRIES_MAX = 6
# Seconds before a piece is sent again whose scheduler knew no endpoint, so that the
# listings of both entries can agree.
NO_ENDPOINT_WAIT_S = 0.15


class PieceFailure(Enum):
    """Say why a piece was not made.

    LATE, GONE and ROOM are said by endpoints: out of time, an input is gone, no room
    for the result. The others are said by schedulers: the endpoint's queue was full;
    there was no endpoint; another entry schedules the group now; the call was lost, not
    sent or not answered; another process has the endpoint's address.
    """

    LATE = "late"
    GONE = "gone"
    ROOM = "room"
    FULL = "full"
    NO_ENDPOINT = "no endpoint"
    MOVED = "moved"
    LOST = "lost"
    NOT_SENT = "not-sent"
    SILENT = "silent"
    REPLACED = "replaced"
    OTHER = "other"

    @classmethod
    def from_text(cls, text: str) -> "PieceFailure":
        """Return the failure that a text of a log line or a peer's answer names."""
        for failure in _EXACT:
            if text == failure.value:
                return failure
        for failure in ENDPOINT_LOST:
            # These may be followed by what is known of the cause.
            if text.startswith(failure.value):
                return failure
        return cls.OTHER


# Failures that leave the endpoint itself in doubt.
ENDPOINT_LOST = (
    PieceFailure.LOST,
    PieceFailure.NOT_SENT,
    PieceFailure.SILENT,
    PieceFailure.REPLACED,
)
_EXACT = (
    PieceFailure.LATE,
    PieceFailure.GONE,
    PieceFailure.ROOM,
    PieceFailure.FULL,
    PieceFailure.NO_ENDPOINT,
    PieceFailure.MOVED,
)


class RemakeAction(Enum):
    """Say what follows a piece that was not made."""

    FAIL_LATE = "fail-late"
    FAIL_TRIES = "fail-tries"
    REMAKE = "remake"
    REMAKE_LATER = "remake-later"


class RemakeDecision(msgspec.Struct, frozen=True):
    """Say what follows a piece that was not made.

    `tries` counts the failures of the piece so far. `drops_inputs`: the results that it
    reads are made again. `excludes_endpoint`: its next call goes elsewhere. Only the
    last failure excludes, or a small pool would be used up.
    """

    action: RemakeAction
    tries: int
    drops_inputs: bool = False
    excludes_endpoint: bool = False


def decide_remake(failure: PieceFailure, tries_before: int) -> RemakeDecision:
    """Return what follows a piece that failed, after earlier failures of it."""
    if failure is PieceFailure.LATE:
        return RemakeDecision(RemakeAction.FAIL_LATE, tries_before)
    if failure is PieceFailure.NO_ENDPOINT:
        # Nothing was tried, so it counts for nothing.
        return RemakeDecision(
            RemakeAction.REMAKE_LATER, tries_before, excludes_endpoint=True
        )
    if failure is PieceFailure.MOVED:
        return RemakeDecision(RemakeAction.REMAKE, tries_before)
    tries = tries_before + 1
    is_gone = failure is PieceFailure.GONE
    action = RemakeAction.REMAKE
    if tries >= PIECE_TRIES_MAX:
        action = RemakeAction.FAIL_TRIES
    return RemakeDecision(
        action, tries, drops_inputs=is_gone, excludes_endpoint=not is_gone
    )
