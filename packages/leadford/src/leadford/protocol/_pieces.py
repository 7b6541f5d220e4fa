"""Messages by which entries have schedulers execute pieces of stages."""

from leadford.protocol._base import MessageBase

# The level of a piece whose service is not contended, or whose level is not stated.
LEVEL_UNTOLD = -1


class PieceSubmit(MessageBase, tag=29):
    """Ask the scheduler of a group for one piece; the answer has its correlation id.

    Units: remaining_ms in milliseconds until the request's deadline, due_ms until it
    should have been answered, and rank_ms orders pieces; near_bytes is, for each hall,
    the bytes that need not move between halls if the piece is executed in that hall;
    level is 0 for the highest priority.
    """

    correlation_id: int
    service_id: str
    place: str
    request_id: str
    stage: int
    piece: int
    request_key: str
    inputs: list[str]
    result_bytes: int
    remaining_ms: float
    due_ms: float
    rank_ms: float
    excluded: list[str] = []
    near_bytes: dict[str, int] = {}
    level: int = LEVEL_UNTOLD


class SuspectPieceSubmit(PieceSubmit, tag=52):
    """Ask for one piece of a request under which an endpoint has ended before.

    `is_suspect_once` tells that it was one endpoint only, and that the piece may share
    a call with others of which the same holds.
    """

    is_suspect_once: bool = False


class ResumedPieceSubmit(PieceSubmit, tag=67):
    """Ask for one piece of a stream that goes on after its caller has had events.

    The piece is of use until the request's deadline, also after it should have been
    answered.
    """

    is_suspect: bool = False
    is_suspect_once: bool = False


class PieceAnswer(MessageBase, tag=30):
    """Answer with the result of a piece, or why it has none, and its endpoint."""

    correlation_id: int
    handle: str
    reason: str
    endpoint_id: str


class PieceWorking(MessageBase, tag=38):
    """Tell an entry that its pieces are in execution and have fetched their inputs."""

    correlation_ids: list[int]


class PieceCancel(MessageBase, tag=31):
    """Tell a scheduler that pieces are no longer needed."""

    correlation_ids: list[int]


class PieceRelease(MessageBase, tag=32):
    """Tell a scheduler that results at an endpoint are no longer needed."""

    endpoint_id: str
    handles: list[str]
