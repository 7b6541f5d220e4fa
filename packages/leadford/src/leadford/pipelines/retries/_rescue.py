"""Decide whether a slow generation is moved before its deadline passes.

Called by the entry periodically while a generation runs of which the caller has seen no
output yet. The time that it still needs, at its speed so far, is compared with the
forecast for another endpoint.
"""

# Number of received tokens from which the speed of a generation is known.
MIN_TOKENS = 3
# Factor on the forecast elsewhere, and on the remaining time here.
SAFETY_FACTOR = 1.2
# Time before the latest possible move in which a generation with fewer tokens is moved
# too.
LAST_MOVE_WINDOW_MS = 300.0


class RescuePolicy:
    """Move a generation that would be late here and in time elsewhere.

    The safety factor keeps a generation that is nearly in time where it is.

    Units: milliseconds.
    """

    def __init__(self, *, safety_factor: float = SAFETY_FACTOR) -> None:
        self.safety_factor = safety_factor

    def moves(
        self,
        *,
        received: int,
        expected: int,
        generating_ms: float,
        remaining_ms: float,
        elsewhere_ms: float,
    ) -> bool:
        """Return whether to replace the attempt by one that takes `elsewhere_ms`.

        `generating_ms` is the time since the first token.
        """
        if elsewhere_ms * self.safety_factor > remaining_ms:
            return False
        if received < MIN_TOKENS:
            # A queue or a long prompt may be the cause, so wait until the last window.
            return (
                remaining_ms - elsewhere_ms * self.safety_factor < LAST_MOVE_WINDOW_MS
            )
        needed_ms = generating_ms / (received - 1) * (expected - received)
        return needed_ms > remaining_ms * self.safety_factor
