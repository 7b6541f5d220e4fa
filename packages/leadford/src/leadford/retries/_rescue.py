"""Decide whether a slow generation is moved before its deadline passes."""

TOKENS_NEEDED = 2
MARGIN = 1.2


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
        elapsed_ms: float,
        remaining_ms: float,
        elsewhere_ms: float,
    ) -> bool:
        """Tell whether to give the attempt up for one that takes `elsewhere_ms`."""
        if received < TOKENS_NEEDED:
            # Before its first tokens the time that passed is all that is known.
            needed_ms = elapsed_ms / TOKENS_NEEDED * expected
        else:
            needed_ms = elapsed_ms / received * (expected - received)
        if needed_ms <= remaining_ms * self.margin:
            return False
        return elsewhere_ms * self.margin <= remaining_ms
