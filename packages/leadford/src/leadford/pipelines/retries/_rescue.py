"""Decide whether a slow generation is moved before its deadline passes.

Asked by the entry from time to time while a generation runs whose caller was shown
nothing yet. It compares what is left here at the speed seen so far with the forecast
elsewhere.
"""

# Tokens after which the speed of a generation counts.
TOKENS_NEEDED = 3
# Factor by which another endpoint must be better.
MARGIN = 1.2
# Milliseconds before the last moment to move, in which a generation that has said
# little is moved too.
LAST_CHANCE_MS = 300.0


class RescuePolicy:
    """Move a generation that would be late here and in time elsewhere.

    Units: milliseconds. The margin keeps a generation that is nearly in time.
    """

    def __init__(self, *, margin: float = MARGIN) -> None:
        self.margin = margin

    def moves(
        self,
        *,
        received: int,
        expected: int,
        generating_ms: float,
        remaining_ms: float,
        elsewhere_ms: float,
    ) -> bool:
        """Tell whether to give the attempt up for one that takes `elsewhere_ms`.

        `generating_ms` runs from the first token.
        """
        if elsewhere_ms * self.margin > remaining_ms:
            return False
        if received < TOKENS_NEEDED:
            # A queue or a long prompt may explain it, until the last chance to move.
            return remaining_ms - elsewhere_ms * self.margin < LAST_CHANCE_MS
        needed_ms = generating_ms / (received - 1) * (expected - received)
        return needed_ms > remaining_ms * self.margin
