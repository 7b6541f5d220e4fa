"""Count the pieces that are admitted and not yet made, here and at other entries.

Written by the stages of requests and by heartbeats of other entries, read by admission.
What another entry said long ago is left out, because it may be gone.
"""

from collections.abc import Iterable

import msgspec

from leadford.common import EntryId
from leadford.forwarding.routes import ServiceId

# Seconds that what another entry said is believed; not measured.
FRESH_S = 1.5


class BacklogKey(msgspec.Struct, frozen=True):
    """Name pieces of one service whose routes are urgent, or are not."""

    service_id: ServiceId
    is_urgent: bool


class _Heard(msgspec.Struct, frozen=True):
    """Hold what another entry said, and when."""

    counts_by_key: dict[BacklogKey, int]
    heard_at: float


class AdmittedBacklog:
    """Add up the admitted backlog of all entries; what was said long ago expires."""

    def __init__(self) -> None:
        self.own_by_key_: dict[BacklogKey, int] = {}
        self.heard_by_entry_: dict[EntryId, _Heard] = {}

    def add(self, key: BacklogKey, pieces: int) -> None:
        """Count pieces that this entry admitted, or with a minus that are made."""
        left = self.own_by_key_.get(key, 0) + pieces
        if left > 0:
            self.own_by_key_[key] = left
        else:
            self.own_by_key_.pop(key, None)

    def record_heard(
        self,
        entry_id: EntryId,
        counts_by_key: dict[BacklogKey, int],
        now: float,
    ) -> None:
        """Record what another entry has admitted."""
        self.heard_by_entry_[entry_id] = _Heard(counts_by_key, now)

    def forget(self, entry_id: EntryId) -> None:
        """Drop what an entry said that is gone."""
        self.heard_by_entry_.pop(entry_id, None)

    def pieces_before(
        self, service_id: ServiceId, is_urgent: bool, *, later_part: float, now: float
    ) -> float:
        """Return how many pieces go before those of a request.

        For an urgent one the others count in part: those that have waited long go
        first, and calls under way are not stopped.
        """
        total = 0.0
        for counts in self._all(now):
            for key, pieces in counts.items():
                if key.service_id != service_id:
                    continue
                total += pieces if key.is_urgent >= is_urgent else pieces * later_part
        return total

    def _all(self, now: float) -> Iterable[dict[BacklogKey, int]]:
        yield self.own_by_key_
        for heard in self.heard_by_entry_.values():
            if now - heard.heard_at < FRESH_S:
                yield heard.counts_by_key
