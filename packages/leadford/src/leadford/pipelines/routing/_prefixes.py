"""Remember which prompt prefixes an endpoint has probably cached."""

from collections import OrderedDict

PREFIXES_KEPT = 256
HINT_LIFETIME_S = 120.0


class PrefixIndex:
    """Hold prefixes as hints: bounded, ageing, corrected by outcomes."""

    def __init__(
        self, *, capacity: int = PREFIXES_KEPT, lifetime_s: float = HINT_LIFETIME_S
    ) -> None:
        self.capacity = capacity
        self.lifetime_s = lifetime_s
        self.seen_at_by_prefix_: OrderedDict[str, float] = OrderedDict()

    def note_cached(self, prefix: str, now: float) -> None:
        """Take in that a prefix was sent to or reported by the endpoint."""
        if not prefix:
            return
        self.seen_at_by_prefix_[prefix] = now
        self.seen_at_by_prefix_.move_to_end(prefix)
        if len(self.seen_at_by_prefix_) > self.capacity:
            self.seen_at_by_prefix_.popitem(last=False)

    def holds(self, prefix: str, now: float) -> bool:
        """Tell whether the prefix is probably cached."""
        seen_at = self.seen_at_by_prefix_.get(prefix)
        return seen_at is not None and now - seen_at < self.lifetime_s
