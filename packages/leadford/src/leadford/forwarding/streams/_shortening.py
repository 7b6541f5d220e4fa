"""Decide when a version leaves the store's record, and when the record is complete.

An entry counts only the time that it has observed itself, so that no clocks have to
agree; one that starts counts anew.
"""

import msgspec

from leadford.forwarding.endpoints import SoftwareVersion
from leadford.forwarding.routes import ServiceId
from leadford.forwarding.streams._ledger import MAX_ORIGIN_AGE_S
from leadford.forwarding.streams._recorded import RecordedSoftware, SeenSoftware
from leadford.forwarding.streams._software import sole_horizon_s

# Time for which a version must be listed no longer before it is recorded as gone.
GONE_DELAY_S = 5.0
# Time for which another entry may still use endpoints that this one no longer lists.
STALE_LISTING_S = 10.0


class RecordAges:
    """Remember since when versions are gone, and records incomplete.

    Units: times in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self.gone_since_: dict[tuple[ServiceId, SoftwareVersion], float] = {}
        self.incomplete_since_: dict[ServiceId, tuple[RecordedSoftware, float]] = {}

    def shortened(
        self, record: RecordedSoftware, seen: SeenSoftware, now: float
    ) -> RecordedSoftware:
        """Return a record as it should be now; the same if nothing is due."""
        service_id = record.service_id
        for software in seen.versions:
            self.gone_since_.pop((service_id, software), None)
        if not seen.versions:
            # The listing may lack endpoints that work.
            return record
        left = self._gone_for(record, record.listed - seen.versions, GONE_DELAY_S, now)
        horizon_s = GONE_DELAY_S + sole_horizon_s(record.wait_s) + STALE_LISTING_S
        ended = self._gone_for(record, record.gone, horizon_s, now)
        shorter = record.without_listed(left).without_gone(ended)
        if self._is_long_observed(record, now):
            shorter = msgspec.structs.replace(shorter, is_complete=True)
        return shorter

    def _gone_for(
        self,
        record: RecordedSoftware,
        versions: frozenset[SoftwareVersion],
        seconds: float,
        now: float,
    ) -> frozenset[SoftwareVersion]:
        """Return those of some versions that were seen gone for as long."""
        found = set()
        for software in versions:
            key = (record.service_id, software)
            since = self.gone_since_.setdefault(key, now)
            if now - since >= seconds:
                found.add(software)
        return frozenset(found)

    def _is_long_observed(self, record: RecordedSoftware, now: float) -> bool:
        """Return whether all streams that a record does not know of have ended."""
        if record.is_complete:
            return False
        known, since = self.incomplete_since_.get(record.service_id, (None, now))
        if known is None or not known.has_same_gaps(record):
            known, since = record, now
        self.incomplete_since_[record.service_id] = known, since
        return now - since >= MAX_ORIGIN_AGE_S + STALE_LISTING_S
