"""Keep what an endpoint gets from all entries within the limit that it names.

An endpoint in need names in its answers how many requests a second it takes from all
entries together, for as long as its answers say so. It is asked about each endpoint
before that is chosen, and told of each request that is sent. No message is needed to
share a limit: rendezvous over the entries that exist names a few that may use the
endpoint while it is limited, and each of them has a part of the rate. The others hear
of a limit and of its end from these, in heartbeats. Calls of a batched stage are made
by one entry, which has the whole rate.
"""

from collections.abc import Collection

import msgspec

from leadford.common import EndpointId, EntryId, TokenBucket, rendezvous_order

# Entries that use a limited endpoint. Each may send one request beyond its part of the
# rate, and an endpoint bears five at once beyond what it names.
MAX_SHARERS = 4
# Requests that an entry may send at once.
BURST_REQUESTS = 1.0
# Requests a second that an endpoint gets at least: only an answer tells that a limit
# is over.
MIN_RATE_PER_S = 0.25
# Seconds after which an entry without a part asks an endpoint by itself, if nobody has
# told of the limit since.
UNREPORTED_LIMIT_S = 30.0
# Seconds that news may take to an entry and back: a little more than twice the silence
# after which a peer no longer counts as alive.
ROUND_TRIP_S = 2.0
# Seconds for which the end of a limit is told.
ENDED_REPORT_S = 10.0


class KnownLimit(msgspec.Struct, frozen=True):
    """Hold what is known of an endpoint's limit, and at which moment it held.

    Units: per_s in requests a second, None where the limit is over; known_at in seconds
    of the monotonic clock.
    """

    endpoint_id: EndpointId
    per_s: float | None
    known_at: float


class EndpointLimits:
    """Say how soon this entry may send another request to an endpoint."""

    def __init__(self, *, entry_id: EntryId) -> None:
        self.entry_id = entry_id
        self.entry_ids_: tuple[EntryId, ...] = (entry_id,)
        # How many entries share a limit with this one; 0 where it has no part.
        self.sharers_by_id_: dict[EndpointId, int] = {}
        self.known_by_id_: dict[EndpointId, KnownLimit] = {}
        self.bucket_by_id_: dict[EndpointId, TokenBucket] = {}
        # When this entry, without a part, last asked an endpoint by itself.
        self.probed_at_by_id_: dict[EndpointId, float] = {}

    def set_entries(self, entry_ids: Collection[EntryId]) -> None:
        """Share limits over the entries that exist; what was sent stays counted."""
        self.entry_ids_ = tuple(sorted({*entry_ids, self.entry_id}))
        self.sharers_by_id_.clear()

    def record_answer(
        self,
        endpoint_id: EndpointId,
        per_s: float | None,
        *,
        sent_at: float,
        now: float,
    ) -> None:
        """Record what the answer to a request says, which was sent at a moment.

        One that names no limit ends only what was known before it was asked for.
        """
        known = self.known_by_id_.get(endpoint_id)
        if per_s is not None:
            self.known_by_id_[endpoint_id] = KnownLimit(endpoint_id, per_s, now)
        elif known is not None and sent_at > known.known_at:
            self._end(KnownLimit(endpoint_id, None, sent_at))

    def record_heard(self, heard: KnownLimit) -> None:
        """Record what another entry knows, unless this one knows something newer."""
        known = self.known_by_id_.get(heard.endpoint_id)
        if known is not None:
            # Ages leave out the way of a message: what is told again is no news by it.
            min_gain_s = ROUND_TRIP_S if heard.per_s == known.per_s else 0.0
            if heard.known_at <= known.known_at + min_gain_s:
                return
        if heard.per_s is not None:
            self.known_by_id_[heard.endpoint_id] = heard
        elif known is not None:
            self._end(heard)

    def known(self, now: float) -> list[KnownLimit]:
        """Return what other entries have to hear: limits, and those just over."""
        for limit in list(self.known_by_id_.values()):
            if limit.per_s is None and now - limit.known_at > ENDED_REPORT_S:
                self._forget(limit.endpoint_id)
        return list(self.known_by_id_.values())

    def is_limited(self, endpoint_id: EndpointId) -> bool:
        """Tell whether an endpoint is believed to have a limit."""
        known = self.known_by_id_.get(endpoint_id)
        return known is not None and known.per_s is not None

    def wait_s(
        self, endpoint_id: EndpointId, now: float, *, is_alone: bool = False
    ) -> float:
        """Return in how many seconds another request may go to an endpoint.

        `is_alone` says that only this entry sends to it.
        """
        known = self.known_by_id_.get(endpoint_id)
        if known is None or known.per_s is None:
            return 0.0
        bucket = self._bucket(known, now, is_alone=is_alone)
        if bucket is None:
            probed_at = self.probed_at_by_id_.get(endpoint_id, known.known_at)
            return max(0.0, max(known.known_at, probed_at) + UNREPORTED_LIMIT_S - now)
        return bucket.wait_s(now)

    def record_sent(
        self, endpoint_id: EndpointId, now: float, *, is_alone: bool = False
    ) -> None:
        """Count a request that goes to an endpoint."""
        known = self.known_by_id_.get(endpoint_id)
        if known is None or known.per_s is None:
            return
        bucket = self._bucket(known, now, is_alone=is_alone)
        if bucket is not None:
            bucket.try_take(now)
        else:
            self.probed_at_by_id_[endpoint_id] = now

    def retain(self, endpoint_ids: Collection[EndpointId], now: float) -> None:
        """Forget endpoints that left; one that a store forgot may be listed again."""
        kept = set(endpoint_ids)
        for endpoint_id in self.known_by_id_.keys() - kept:
            if now - self.known_by_id_[endpoint_id].known_at > UNREPORTED_LIMIT_S:
                self._forget(endpoint_id)

    def _end(self, limit: KnownLimit) -> None:
        self._forget(limit.endpoint_id)
        self.known_by_id_[limit.endpoint_id] = limit

    def _forget(self, endpoint_id: EndpointId) -> None:
        self.known_by_id_.pop(endpoint_id, None)
        self.bucket_by_id_.pop(endpoint_id, None)
        self.sharers_by_id_.pop(endpoint_id, None)
        self.probed_at_by_id_.pop(endpoint_id, None)

    def _bucket(
        self, known: KnownLimit, now: float, *, is_alone: bool
    ) -> TokenBucket | None:
        """Return this entry's part of a limit as it is now, if it has any."""
        sharers = 1 if is_alone else self._sharers(known.endpoint_id)
        if sharers == 0:
            return None
        rate_per_s = max(MIN_RATE_PER_S, known.per_s) / sharers
        bucket = self.bucket_by_id_.get(known.endpoint_id)
        if bucket is None:
            bucket = TokenBucket(rate_per_s=rate_per_s, burst=BURST_REQUESTS)
            self.bucket_by_id_[known.endpoint_id] = bucket
        elif bucket.rate_per_s != rate_per_s:
            bucket.refill(now)
            bucket.rate_per_s = rate_per_s
        return bucket

    def _sharers(self, endpoint_id: EndpointId) -> int:
        """Return how many entries share a limit with this one; 0 if it has no part."""
        count = self.sharers_by_id_.get(endpoint_id)
        if count is None:
            sharers = rendezvous_order(endpoint_id, self.entry_ids_)[:MAX_SHARERS]
            count = len(sharers) if self.entry_id in sharers else 0
            self.sharers_by_id_[endpoint_id] = count
        return count
