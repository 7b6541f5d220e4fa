"""Name the faults that a test injects into single requests at an endpoint.

A test queues them at a `PlainStandIn`; `EndpointHandler` and the endpoints inject them.
"""

from enum import Enum


class Misbehaviour(Enum):
    """Enumerate the faults that can be injected into one request."""

    NONE = "none"
    LOSE_ANSWER = "lose-answer"
    REFUSE = "refuse"
    FAIL = "fail"
    HANG = "hang"
    CUT = "cut"
    OTHER_ANSWER = "other-answer"
    GONE = "gone"
    STALL = "stall"
    UNSIGNED = "unsigned"
    REPEAT_ANSWER = "repeat-answer"
    REPEAT_REFUSAL = "repeat-refusal"
    REPEAT_GONE = "repeat-gone"
    UNFRAMED = "unframed"
    UNFRAMED_CUT = "unframed-cut"
    UNFRAMED_EMPTY = "unframed-empty"
    ENDLESS_LINE_ENDS = "endless-line-ends"
    ENDLESS_COMMENTS = "endless-comments"
    ENDLESS_OLD_EVENTS = "endless-old-events"
    ENDLESS_LINE = "endless-line"
    ENDLESS_TINY_CHUNKS = "endless-tiny-chunks"
    ENDLESS_UNFRAMED = "endless-unframed"
    ENDLESS_REFUSAL = "endless-refusal"
    ENDLESS_HEAD = "endless-head"
    ENDLESS_INTERIM_HEADS = "endless-interim-heads"
    ENDLESS_CHUNK_EXTENSION = "endless-chunk-extension"
    ENDLESS_TRAILERS = "endless-trailers"
    TRICKLED_COMMENTS = "trickled-comments"
    TRICKLED_LETTERS = "trickled-letters"
    TRICKLED_OLD_EVENTS = "trickled-old-events"
    TRICKLED_REFUSAL = "trickled-refusal"
    TRICKLED_ERROR = "trickled-error"


# Answers that have no length and end with their connection.
UNFRAMED = frozenset(
    {Misbehaviour.UNFRAMED, Misbehaviour.UNFRAMED_CUT, Misbehaviour.UNFRAMED_EMPTY}
)
