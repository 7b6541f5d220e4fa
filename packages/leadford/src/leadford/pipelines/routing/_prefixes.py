"""Remember which prompt prefixes an endpoint has probably cached.

One index for each `EndpointView`. A prefix is recorded when an attempt with it was sent
there or the endpoint reported it; nothing confirms that the endpoint keeps it, so a
prefix counts for a bounded time and only the newest are kept.
"""

from collections import OrderedDict

# Prefixes kept for each endpoint.
PREFIXES_KEPT = 256
# Seconds for which a prefix counts as cached.
HINT_LIFETIME_S = 120.0


class PrefixIndex:
    """Hold prefixes as hints: bounded, ageing, corrected by outcomes."""

    def __init__(
        self, *, capacity: int = PREFIXES_KEPT, lifetime_s: float = HINT_LIFETIME_S
    ) -> None:
        self.capacity = capacity
        self.lifetime_s = lifetime_s
        self.seen_at_by_prefix_: OrderedDict[str, float] = OrderedDict()

    def record_cached(self, prefix: str, now: float) -> None:
        """Record that a prefix was sent to or reported by the endpoint."""
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
