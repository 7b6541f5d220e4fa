"""Bound what a cold endpoint gets from all entries together.

Called for each attempt before the endpoint is chosen. An endpoint that has just started
or whose hall was given back fails under more requests than it bears cold, and the bound
holds for the sum of all entries. No message is needed: rendezvous over the entries that
exist names a few that may use an endpoint while it is cold, and each of them has a rate
of its own. Calls of batched stages are not counted: one scheduler makes them, a few a
second at most.
"""

from collections.abc import Collection

import msgspec

from leadford.common import EndpointId, EntryId, TokenBucket, rendezvous_order
from leadford.forwarding.endpoints._record import EndpointRecord
from leadford.forwarding.routes import ColdLimits

# Entries that use a cold endpoint, as a part of the requests it bears in a second. Each
# may send one at once and its share of the rate, so in any second they send at most 1.5
# times that rate.
ENTRIES_PER_REQUEST_PER_S = 0.5
# Requests that an entry may send at once to a cold endpoint.
BURST_REQUESTS = 1.0


class _ColdShare(msgspec.Struct, eq=False):
    """Hold the share of this entry in one endpoint; none where it has no bucket."""

    limits: ColdLimits
    bucket: TokenBucket | None


class ColdEndpoints:
    """Say which cold endpoints this entry may use now."""

    def __init__(self, *, entry_id: EntryId) -> None:
        self.entry_id = entry_id
        self.entry_ids_: frozenset[EntryId] = frozenset()
        self.share_by_id_: dict[EndpointId, _ColdShare] = {}

    def set_entries(self, entry_ids: Collection[EntryId]) -> None:
        """Share what cold endpoints bear over the entries that exist."""
        self.entry_ids_ = frozenset(entry_ids)
        self.share_by_id_.clear()

    def may_use(
        self, record: EndpointRecord, limits: ColdLimits | None, now: float
    ) -> bool:
        """Tell whether another request may go to an endpoint now."""
        if limits is None or limits.per_s <= 0.0 or not record.is_cold(now):
            return True
        bucket = self._bucket(record.listed.endpoint_id, limits)
        return bucket is not None and bucket.wait_s(now) <= 0.0

    def record_sent(
        self, record: EndpointRecord, limits: ColdLimits | None, now: float
    ) -> None:
        """Count a request that goes to an endpoint."""
        if limits is None or limits.per_s <= 0.0 or not record.is_cold(now):
            return
        bucket = self._bucket(record.listed.endpoint_id, limits)
        if bucket is not None:
            bucket.try_take(now)

    def retain(self, known: Collection[EndpointId]) -> None:
        """Forget endpoints that left."""
        for endpoint_id in set(self.share_by_id_) - set(known):
            del self.share_by_id_[endpoint_id]

    def _bucket(
        self, endpoint_id: EndpointId, limits: ColdLimits
    ) -> TokenBucket | None:
        share = self.share_by_id_.get(endpoint_id)
        if share is None or share.limits != limits:
            share = self._new_share(endpoint_id, limits)
            self.share_by_id_[endpoint_id] = share
        return share.bucket

    def _new_share(self, endpoint_id: EndpointId, limits: ColdLimits) -> _ColdShare:
        """Return the share of this entry, if it is one of those that have any."""
        entry_ids = self.entry_ids_ | {self.entry_id}
        count = max(1, int(limits.per_s * ENTRIES_PER_REQUEST_PER_S))
        chosen = rendezvous_order(endpoint_id, entry_ids)[:count]
        bucket = None
        if self.entry_id in chosen:
            rate_per_s = limits.per_s / len(chosen)
            bucket = TokenBucket(rate_per_s=rate_per_s, burst=BURST_REQUESTS)
        return _ColdShare(limits, bucket)
