"""Messages by which entries have pieces of stages made at schedulers."""

from leadford.protocol._base import MessageBase


class PieceSubmit(MessageBase, tag=29):
    """Ask the scheduler of a group for one piece; its id comes back in the answer.

    Units: remaining_ms is what is left of the request's time, due_ms what is left
    until it should have been answered, and rank_ms orders pieces; near_bytes is
    what need not move between halls if the piece is made in one.
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


class SuspectPieceSubmit(PieceSubmit, tag=52):
    """Ask for one piece of a request under which an endpoint ended before."""


class PieceAnswer(MessageBase, tag=30):
    """Give the result of a piece, or why there is none, and the endpoint asked."""

    correlation_id: int
    handle: str
    reason: str
    endpoint_id: str


class PieceWorking(MessageBase, tag=38):
    """Tell an entry that its pieces are being made and have fetched their inputs."""

    correlation_ids: list[int]


class PieceCancel(MessageBase, tag=31):
    """Tell a scheduler that pieces are wanted no more."""

    correlation_ids: list[int]


class PieceRelease(MessageBase, tag=32):
    """Tell a scheduler that results of an endpoint have no reader any more."""

    endpoint_id: str
    handles: list[str]
