"""Decide what follows a piece that was not computed.

Called by the entry that holds the request, for each piece that its scheduler returned
or did not answer. A piece is retried until the time of its request is over or it has
failed too often. The kind of failure decides whether its inputs are computed again
first, whether the endpoint is excluded, and whether to wait. The scheduler chooses the
next endpoint (`_filling`).
"""

from enum import Enum

import msgspec

# A request fails once one of its pieces has failed this many times.
PIECE_TRIES_MAX = 6
# Delay before a piece is sent again whose scheduler knew no endpoint, so that the
# listings of both entries can agree.
NO_ENDPOINT_WAIT_S = 0.15


class PieceFailure(Enum):
    """Name the reason why a piece was not computed.

    LATE, GONE and ROOM come from endpoints: out of time, an input is gone, no room for
    the result. The others come from schedulers: the endpoint's queue was full; there
    was no endpoint; another entry schedules the group now; the call was lost, not sent
    or not answered; another process has the endpoint's address.
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
        """Return the failure named by the text of a log line or a peer's answer."""
        for failure in _EXACT_TEXT_FAILURES:
            if text == failure.value:
                return failure
        for failure in ENDPOINT_LOST:
            # Details of the cause may follow these texts.
            if text.startswith(failure.value):
                return failure
        return cls.OTHER


# Failures after which the endpoint itself is suspect.
ENDPOINT_LOST = (
    PieceFailure.LOST,
    PieceFailure.NOT_SENT,
    PieceFailure.SILENT,
    PieceFailure.REPLACED,
)
_EXACT_TEXT_FAILURES = (
    PieceFailure.LATE,
    PieceFailure.GONE,
    PieceFailure.ROOM,
    PieceFailure.FULL,
    PieceFailure.NO_ENDPOINT,
    PieceFailure.MOVED,
)


class RemakeAction(Enum):
    """Name what follows a piece that was not computed."""

    FAIL_LATE = "fail-late"
    FAIL_TRIES = "fail-tries"
    REMAKE = "remake"
    REMAKE_LATER = "remake-later"


class RemakeDecision(msgspec.Struct, frozen=True):
    """Hold what follows a piece that was not computed.

    `tries` counts the failures of the piece so far. With `drops_inputs`, the results
    that it reads are computed again. With `excludes_endpoint`, its next call goes to
    another endpoint. Only the endpoint of the last failure is excluded; otherwise a
    small pool would run out of endpoints.
    """

    action: RemakeAction
    tries: int
    drops_inputs: bool = False
    excludes_endpoint: bool = False


def decide_remake(failure: PieceFailure, tries_before: int) -> RemakeDecision:
    """Return what follows a failure of a piece that has failed `tries_before` times."""
    if failure is PieceFailure.LATE:
        return RemakeDecision(RemakeAction.FAIL_LATE, tries_before)
    if failure is PieceFailure.NO_ENDPOINT:
        # No endpoint was tried, so this does not count as a failure.
        return RemakeDecision(
            RemakeAction.REMAKE_LATER, tries_before, excludes_endpoint=True
        )
    if failure is PieceFailure.MOVED:
        return RemakeDecision(RemakeAction.REMAKE, tries_before)
    tries = tries_before + 1
    is_input_gone = failure is PieceFailure.GONE
    action = RemakeAction.REMAKE
    if tries >= PIECE_TRIES_MAX:
        action = RemakeAction.FAIL_TRIES
    return RemakeDecision(
        action, tries, drops_inputs=is_input_gone, excludes_endpoint=not is_input_gone
    )
