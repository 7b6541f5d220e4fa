"""Remember which works were answered completely lately.

Such a work is unlikely to crash endpoints: they more likely ended for another reason,
under copies that clients send all the time. The memory is bounded by the number of
works, so those that were not answered lately are displaced.
"""

from collections import OrderedDict

from leadford.quarantine._digest import RequestDigest

# A work takes about 155 bytes.
MAX_ANSWERED_WORKS = 10_000


class AnsweredWorks:
    """Hold when each work was last answered completely.

    Units: seconds.
    """

    def __init__(self) -> None:
        self.answered_at_by_digest_: OrderedDict[RequestDigest, float] = OrderedDict()

    def record(self, digest: RequestDigest, now: float) -> None:
        """Record a complete answer."""
        self.answered_at_by_digest_[digest] = now
        self.answered_at_by_digest_.move_to_end(digest)
        while len(self.answered_at_by_digest_) > MAX_ANSWERED_WORKS:
            self.answered_at_by_digest_.popitem(last=False)

    def answered_at(self, digest: RequestDigest) -> float:
        """Return when a work was last answered completely, -inf if unknown."""
        return self.answered_at_by_digest_.get(digest, float("-inf"))
