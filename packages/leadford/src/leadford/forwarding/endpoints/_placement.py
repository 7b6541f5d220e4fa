"""Know which prompts of other entries wait at which engine, for the entry that places.

The load pattern: each engine reads one prompt after the other, and the streams beside
it pause meanwhile. With 68 entries before 39 engines an entry hears of an engine's load
every half minute; two long prompts meet at one engine while others are idle. So one
entry places the prompts of all, and keeps here what it has placed. Which engine it
chooses is decided in `_engines`; an entry that gets no answer soon chooses by itself.
"""

import msgspec

from leadford.common import EntryId
from leadford.forwarding.endpoints._engines import EngineChooser, SentPrompt

# Seconds that an entry waits to be told an engine before it chooses by itself: some ten
# times what an answer takes in one region.
PLACED_IN_S = 0.04
# Seconds after which a placed prompt counts as read though nobody said so: the entry
# that asked may be gone. Longer than the longest prompt takes.
PLACED_TIMEOUT_S = 3.0


class PlacedId(msgspec.Struct, frozen=True):
    """Name a prompt that was placed for another entry."""

    entry_id: EntryId
    ask_id: int


class _Placed(msgspec.Struct, frozen=True):
    """Hold a prompt that an engine has not read yet, as far as is known."""

    sent: SentPrompt
    placed_at: float


class PlacedPrompts:
    """Keep the prompts that were placed for others until they are read."""

    def __init__(self, *, engines: EngineChooser) -> None:
        self.engines = engines
        self.placed_by_id_: dict[PlacedId, _Placed] = {}

    def record_placed(self, placed_id: PlacedId, sent: SentPrompt, now: float) -> None:
        """Record a prompt that was placed now."""
        self._forget_old(now)
        # An entry that was started again counts its questions anew.
        self.record_read(placed_id)
        self.placed_by_id_[placed_id] = _Placed(sent, now)

    def record_read(self, placed_id: PlacedId) -> None:
        """Record that a prompt has been read, or is not sent there."""
        placed = self.placed_by_id_.pop(placed_id, None)
        if placed is not None:
            self.engines.record_started(placed.sent)

    def _forget_old(self, now: float) -> None:
        """Count prompts as read that nobody spoke of for long."""
        for placed_id, placed in list(self.placed_by_id_.items()):
            # They stand in the order in which they were placed.
            if now - placed.placed_at < PLACED_TIMEOUT_S:
                return
            self.record_read(placed_id)
