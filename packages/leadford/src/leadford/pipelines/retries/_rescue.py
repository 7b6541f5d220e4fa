"""Decide whether a slow generation is moved before its deadline passes."""

TOKENS_NEEDED = 3
MARGIN = 1.2
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
