"""Decide what the status of an endpoint's answer makes of the answer.

A caller cannot know what a status outside the classes of the protocol means, so an
answer with one is none.
"""

from enum import Enum

MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
# The endpoint would go on in another protocol, which entries never ask for.
STATUS_SWITCHING_PROTOCOLS = 101


class StatusKind(Enum):
    """Tell what follows the head of an answer.

    INTERIM: the answer itself. FINAL: the body of this answer. INVALID: nothing that
    can be read.
    """

    INTERIM = "interim"
    FINAL = "final"
    INVALID = "invalid"


def status_kind(status: int) -> StatusKind:
    """Return what a status makes of the answer that bears it."""
    if status == STATUS_SWITCHING_PROTOCOLS:
        return StatusKind.INVALID
    if not MIN_STATUS <= status <= MAX_STATUS:
        return StatusKind.INVALID
    return StatusKind.INTERIM if status < MIN_FINAL_STATUS else StatusKind.FINAL
