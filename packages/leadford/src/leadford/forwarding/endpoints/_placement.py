"""Track the prompts of other entries that wait at engines, for the placing entry.

Each engine prefills one prompt at a time, and its streams pause meanwhile. With 68
entries and 39 engines, an entry learns the load of an engine only every half minute, so
entries that choose on their own send two long prompts to one engine while others are
idle. Therefore one entry places the prompts of all entries and keeps track of them
here. `_engines` decides which engine it chooses; an entry that gets no answer in time
chooses on its own.
"""

import msgspec

from leadford.common import EntryId
from leadford.forwarding.endpoints._engines import EngineChooser, SentPrompt

# Time that an entry waits for a placement before it chooses an engine on its own: about
# ten times as long as an answer takes within a region.
PLACEMENT_TIMEOUT_S = 0.04
# Time after which a placed prompt counts as prefilled without a report, because the
# entry that requested it may be gone. Longer than the longest prefill.
PLACED_TIMEOUT_S = 3.0


class PlacedId(msgspec.Struct, frozen=True):
    """Identify a prompt that was placed for another entry."""

    entry_id: EntryId
    ask_id: int


class _Placed(msgspec.Struct, frozen=True):
    """Hold a prompt whose prefill has not been reported yet."""

    sent: SentPrompt
    placed_at: float


class PlacedPrompts:
    """Count the prompts placed for other entries until their prefill has ended."""

    def __init__(self, *, engines: EngineChooser) -> None:
        self.engines = engines
        self.placed_by_id_: dict[PlacedId, _Placed] = {}

    def record_placed(self, placed_id: PlacedId, sent: SentPrompt, now: float) -> None:
        """Record a prompt that is placed now."""
        self._forget_old(now)
        # After a restart an entry uses the same request numbers again.
        self.record_prefilled(placed_id)
        self.placed_by_id_[placed_id] = _Placed(sent, now)

    def record_prefilled(self, placed_id: PlacedId) -> None:
        """Record that the prefill of a prompt has ended, or that it was not sent."""
        placed = self.placed_by_id_.pop(placed_id, None)
        if placed is not None:
            self.engines.record_prefilled(placed.sent)

    def _forget_old(self, now: float) -> None:
        """Stop counting the prompts whose prefill was not reported in time."""
        for placed_id, placed in list(self.placed_by_id_.items()):
            # Prompts are kept in the order in which they were placed.
            if now - placed.placed_at < PLACED_TIMEOUT_S:
                return
            self.record_prefilled(placed_id)
