"""Track which prompt prefixes an endpoint has probably cached.

Each `EndpointView` has one index. A prefix is recorded when an attempt with it is sent
to the endpoint or when the endpoint reports it. Nothing confirms that the endpoint
keeps it, so a prefix expires after a fixed time and only the newest are kept.
"""

from collections import OrderedDict

# Maximum number of prefixes for each endpoint.
MAX_PREFIXES = 256
# Time for which a prefix counts as cached.
PREFIX_LIFETIME_S = 120.0


class PrefixIndex:
    """Hold prefixes as hints: bounded in number, expiring, updated by outcomes."""

    def __init__(
        self, *, capacity: int = MAX_PREFIXES, lifetime_s: float = PREFIX_LIFETIME_S
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
        """Return whether the prefix is probably cached."""
        seen_at = self.seen_at_by_prefix_.get(prefix)
        return seen_at is not None and now - seen_at < self.lifetime_s
