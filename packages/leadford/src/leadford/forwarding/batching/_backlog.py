"""Count the pieces that are admitted and not yet made, here and at other entries.

Written by the stages of requests and by heartbeats of other entries, read by admission.
An entry hears only the entries that it has links with, a part of a large fleet; the
scheduler of a group hears all that send it pieces, and tells them the sum. Whoever has
counted more entries is believed. What was said long ago is left out, because it may be
gone.
"""

import msgspec

from leadford.common import EntryId
from leadford.forwarding.batching._throughput import MadeRate
from leadford.forwarding.routes import ServiceId

# Seconds that what another entry said is believed.
FRESH_S = 1.5


class BacklogKey(msgspec.Struct, frozen=True):
    """Name pieces of one service whose routes are urgent, or are not."""

    service_id: ServiceId
    is_urgent: bool


class BacklogSum(msgspec.Struct, frozen=True):
    """Hold the admitted pieces of one service over the entries that were counted."""

    entries: int
    urgent: int
    less_urgent: int


class _Heard(msgspec.Struct, frozen=True):
    """Hold what another entry said, and when."""

    counts_by_key: dict[BacklogKey, int]
    heard_at: float


class _HeardSum(msgspec.Struct, frozen=True):
    """Hold a sum that a scheduler told, and what this entry had said before it."""

    told: BacklogSum
    said_by_key: dict[BacklogKey, int]
    heard_at: float


class _HeardRate(msgspec.Struct, frozen=True):
    """Hold what a scheduler said of its stage, and when."""

    rate: MadeRate
    heard_at: float


class AdmittedBacklog:
    """Add up the admitted backlog of all entries; what was said long ago expires."""

    def __init__(self) -> None:
        self.own_by_key_: dict[BacklogKey, int] = {}
        self.said_by_key_: dict[BacklogKey, int] = {}
        self.heard_by_entry_: dict[EntryId, _Heard] = {}
        self.sums_by_service_: dict[ServiceId, _HeardSum] = {}
        self.rates_by_service_: dict[ServiceId, _HeardRate] = {}

    def add(self, key: BacklogKey, pieces: int) -> None:
        """Count pieces that this entry admitted, or with a minus that are made."""
        left = self.own_by_key_.get(key, 0) + pieces
        if left > 0:
            self.own_by_key_[key] = left
        else:
            self.own_by_key_.pop(key, None)

    def say(self) -> dict[BacklogKey, int]:
        """Return what others are told now of this entry's own backlog."""
        self.said_by_key_ = dict(self.own_by_key_)
        return self.said_by_key_

    def record_heard(
        self,
        entry_id: EntryId,
        counts_by_key: dict[BacklogKey, int],
        now: float,
    ) -> None:
        """Record what another entry has admitted."""
        self.heard_by_entry_[entry_id] = _Heard(counts_by_key, now)

    def record_sum(self, service_id: ServiceId, told: BacklogSum, now: float) -> None:
        """Record the sum that a scheduler told, unless a wider one is still fresh."""
        known = self.sums_by_service_.get(service_id)
        is_wider = known is not None and known.told.entries > told.entries
        if is_wider and now - known.heard_at < FRESH_S:
            return
        self.sums_by_service_[service_id] = _HeardSum(told, self.said_by_key_, now)

    def record_rate(
        self, service_id: ServiceId, rate: MadeRate | None, now: float
    ) -> None:
        """Record what a stage makes that is behind; None while it is not."""
        if rate is None:
            self.rates_by_service_.pop(service_id, None)
        else:
            self.rates_by_service_[service_id] = _HeardRate(rate, now)

    def made_s(self, service_id: ServiceId, is_urgent: bool, now: float) -> float:
        """Return how long a stage that is behind needs for what is before a request.

        By what it made lately: 0 where it is not behind. Less urgent pieces leave as
        fast as they did lately, whatever urgent ones go before them.

        Units: seconds; infinite where nothing of the kind is made.
        """
        heard = self.rates_by_service_.get(service_id)
        if heard is None or now - heard.heard_at >= FRESH_S:
            return 0.0
        total = self.widest(service_id, now)
        pieces, rate = total.less_urgent, heard.rate.less_urgent
        if is_urgent:
            pieces, rate = total.urgent, heard.rate.pieces
        if pieces == 0:
            return 0.0
        return pieces / rate if rate > 0.0 else float("inf")

    def forget(self, entry_id: EntryId) -> None:
        """Drop what an entry said that is gone."""
        self.heard_by_entry_.pop(entry_id, None)

    def sum(self, service_id: ServiceId, now: float) -> BacklogSum:
        """Return the backlog of this entry and of those that it hears itself."""
        heard = [
            heard.counts_by_key
            for heard in self.heard_by_entry_.values()
            if now - heard.heard_at < FRESH_S
        ]
        urgent = less_urgent = 0
        for counts_by_key in (self.own_by_key_, *heard):
            urgent += counts_by_key.get(BacklogKey(service_id, True), 0)
            less_urgent += counts_by_key.get(BacklogKey(service_id, False), 0)
        return BacklogSum(1 + len(heard), urgent, less_urgent)

    def widest(self, service_id: ServiceId, now: float) -> BacklogSum:
        """Return the backlog over the most entries that anybody has counted.

        With 68 entries one hears some ten others by itself, so its own sum is a sixth
        of the backlog, and it admits several times what the stages can make.
        """
        own = self.sum(service_id, now)
        heard = self.sums_by_service_.get(service_id)
        if heard is None or now - heard.heard_at >= FRESH_S:
            return own
        if heard.told.entries <= own.entries:
            return own
        return BacklogSum(
            heard.told.entries,
            self._since(heard, BacklogKey(service_id, True), heard.told.urgent),
            self._since(heard, BacklogKey(service_id, False), heard.told.less_urgent),
        )

    def _since(self, heard: _HeardSum, key: BacklogKey, told: int) -> int:
        """Return a told count with what this entry has admitted or had made since."""
        said = heard.said_by_key.get(key, 0)
        return max(0, told + self.own_by_key_.get(key, 0) - said)

    def pieces_before(
        self, service_id: ServiceId, is_urgent: bool, *, later_part: float, now: float
    ) -> float:
        """Return how many pieces go before those of a request.

        For an urgent one the others count in part: those that have waited long go
        first, and calls under way are not stopped.
        """
        total = self.widest(service_id, now)
        if is_urgent:
            return total.urgent + total.less_urgent * later_part
        return float(total.urgent + total.less_urgent)
