"""Limit the rate of requests that all entries together send to a cold endpoint.

Called for each attempt before the endpoint is chosen. An endpoint that has just
started, or whose hall is no longer evacuated, fails when it gets more requests than it
can serve while cold. The limit applies to the sum over all entries and needs no
messages: rendezvous hashing over the existing entries selects a few that may use the
endpoint while it is cold, and each of them has its own share of the rate. Calls of
batched stages are not counted, because one scheduler makes them, at most a few per
second.
"""

from collections.abc import Collection

import msgspec

from leadford.common import EndpointId, EntryId, TokenBucket, rendezvous_order
from leadford.forwarding.endpoints._record import EndpointRecord
from leadford.forwarding.endpoints._sharers import BusiestEntry, part_of_limit
from leadford.forwarding.routes import ColdLimits

# Number of entries that use a cold endpoint, per request per second that it can serve.
# Each may send one request at once in addition to its share of the rate, so together
# they send at most 1.5 times the rate in any second.
ENTRIES_PER_REQUEST_PER_S = 0.5
# Requests that an entry may send to a cold endpoint at once.
BURST_REQUESTS = 1.0


class _ColdShare(msgspec.Struct, eq=False):
    """Hold the share of this entry in the rate of one endpoint.

    `bucket` is None where this entry has no share.
    """

    limits: ColdLimits
    bucket: TokenBucket | None


class ColdEndpoints:
    """Decide which cold endpoints this entry may use now."""

    def __init__(self, *, entry_id: EntryId) -> None:
        self.entry_id = entry_id
        self.entry_ids_: frozenset[EntryId] = frozenset()
        self.busiest_: BusiestEntry | None = None
        self.share_by_id_: dict[EndpointId, _ColdShare] = {}

    def set_entries(self, entry_ids: Collection[EntryId]) -> None:
        """Set the existing entries, over which the rates are divided."""
        self.entry_ids_ = frozenset(entry_ids)
        self.share_by_id_.clear()

    def set_busiest(self, busiest: BusiestEntry | None) -> None:
        """Set the entry that gets most of the callers, None if they are spread."""
        if busiest == self.busiest_:
            return
        self.busiest_ = busiest
        self.share_by_id_.clear()

    def may_use(
        self, record: EndpointRecord, limits: ColdLimits | None, now: float
    ) -> bool:
        """Tell whether another request may be sent to an endpoint now."""
        if limits is None or limits.per_s <= 0.0 or not record.is_cold(now):
            return True
        bucket = self._bucket(record.listed.endpoint_id, limits)
        return bucket is not None and bucket.wait_s(now) <= 0.0

    def record_sent(
        self, record: EndpointRecord, limits: ColdLimits | None, now: float
    ) -> None:
        """Count a request that is sent to an endpoint."""
        if limits is None or limits.per_s <= 0.0 or not record.is_cold(now):
            return
        bucket = self._bucket(record.listed.endpoint_id, limits)
        if bucket is not None:
            bucket.try_take(now)

    def retain(self, known: Collection[EndpointId]) -> None:
        """Forget the endpoints that are not in `known`."""
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
        """Return the share of this entry, without a bucket if it was not selected."""
        entry_ids = self.entry_ids_ | {self.entry_id}
        count = max(1, int(limits.per_s * ENTRIES_PER_REQUEST_PER_S))
        chosen = rendezvous_order(endpoint_id, entry_ids)[:count]
        part = part_of_limit(self.entry_id, chosen, self.busiest_)
        bucket = None
        if part > 0.0:
            rate_per_s = limits.per_s * part
            bucket = TokenBucket(rate_per_s=rate_per_s, burst=BURST_REQUESTS)
        return _ColdShare(limits, bucket)
