"""Keep the requests of all entries to an endpoint within the limit that it names.

An overloaded endpoint names in its answers how many requests per second it accepts from
all entries together; the limit holds until an answer names none. `EndpointLimits` is
queried before an endpoint is chosen and is told of each request that is sent. Dividing
a limit needs no messages: rendezvous hashing over the existing entries selects a few
that may use the endpoint while it is limited, and each of them gets a share of the
rate. The other entries learn of a limit and of its end from these, through heartbeats.
Calls of a batched stage are made by one entry, which has the whole rate.
"""

from collections.abc import Collection

import msgspec

from leadford.common import EndpointId, EntryId, TokenBucket, rendezvous_order
from leadford.forwarding.endpoints._sharers import BusiestEntry, part_of_limit

# Entries that use a limited endpoint. Each may send one request beyond its share of the
# rate, and an endpoint tolerates five at once beyond its limit.
MAX_SHARERS = 4
# Requests that an entry may send at once.
BURST_REQUESTS = 1.0
# Minimum rate of requests to an endpoint: only an answer can show that its limit has
# ended.
MIN_RATE_PER_S = 0.25
# Time after which an entry without a share sends a request of its own to the endpoint,
# if no other entry has reported the limit since.
UNREPORTED_LIMIT_S = 30.0
# Maximum time for a report to travel to another entry and back: a little more than
# twice the silence after which a peer no longer counts as alive.
ROUND_TRIP_S = 2.0
# How long the end of a limit is reported to other entries.
ENDED_REPORT_S = 10.0


class LimitObservation(msgspec.Struct, frozen=True):
    """Hold what is known of an endpoint's limit, and when this was true.

    Units: per_s in requests per second, None where the limit has ended; known_at in
    seconds of the monotonic clock.
    """

    endpoint_id: EndpointId
    per_s: float | None
    known_at: float


class EndpointLimits:
    """Decide when this entry may send another request to an endpoint."""

    def __init__(self, *, entry_id: EntryId) -> None:
        self.entry_id = entry_id
        self.entry_ids_: tuple[EntryId, ...] = (entry_id,)
        self.busiest_: BusiestEntry | None = None
        # This entry's part of the limit; 0 if it has none.
        self.part_by_id_: dict[EndpointId, float] = {}
        self.known_by_id_: dict[EndpointId, LimitObservation] = {}
        self.bucket_by_id_: dict[EndpointId, TokenBucket] = {}
        # When this entry last sent a request to an endpoint without having a share.
        self.probed_at_by_id_: dict[EndpointId, float] = {}

    def set_entries(self, entry_ids: Collection[EntryId]) -> None:
        """Set the existing entries; requests that were already sent stay counted."""
        self.entry_ids_ = tuple(sorted({*entry_ids, self.entry_id}))
        self.part_by_id_.clear()

    def set_busiest(self, busiest: BusiestEntry | None) -> None:
        """Set the entry that gets most of the callers, None if they are spread."""
        if busiest != self.busiest_:
            self.busiest_ = busiest
            self.part_by_id_.clear()

    def record_answer(
        self,
        endpoint_id: EndpointId,
        per_s: float | None,
        *,
        sent_at: float,
        now: float,
    ) -> None:
        """Record the limit, if any, that an answer to a request names.

        An answer without a limit ends only a limit that was known before its request
        was sent, at `sent_at`.
        """
        known = self.known_by_id_.get(endpoint_id)
        if per_s is not None:
            self.known_by_id_[endpoint_id] = LimitObservation(endpoint_id, per_s, now)
        elif known is not None and sent_at > known.known_at:
            self._end(LimitObservation(endpoint_id, None, sent_at))

    def record_report(self, heard: LimitObservation) -> None:
        """Record what another entry reports, unless this one knows something newer."""
        known = self.known_by_id_.get(heard.endpoint_id)
        if known is not None:
            # Reported ages do not include the time that the message took, so a repeated
            # report may look newer than it is.
            min_gain_s = ROUND_TRIP_S if heard.per_s == known.per_s else 0.0
            if heard.known_at <= known.known_at + min_gain_s:
                return
        if heard.per_s is not None:
            self.known_by_id_[heard.endpoint_id] = heard
        elif known is not None:
            self._end(heard)

    def reportable(self, now: float) -> list[LimitObservation]:
        """Return what to report to other entries: limits, and those that just ended."""
        for limit in list(self.known_by_id_.values()):
            if limit.per_s is None and now - limit.known_at > ENDED_REPORT_S:
                self._forget(limit.endpoint_id)
        return list(self.known_by_id_.values())

    def is_limited(self, endpoint_id: EndpointId) -> bool:
        """Tell whether an endpoint has a limit, as far as this entry knows."""
        known = self.known_by_id_.get(endpoint_id)
        return known is not None and known.per_s is not None

    def wait_s(
        self, endpoint_id: EndpointId, now: float, *, is_sole_sender: bool = False
    ) -> float:
        """Return the seconds until another request may be sent to an endpoint.

        `is_sole_sender` says that only this entry sends requests to it.
        """
        known = self.known_by_id_.get(endpoint_id)
        if known is None or known.per_s is None:
            return 0.0
        bucket = self._bucket(known, now, is_sole_sender=is_sole_sender)
        if bucket is None:
            probed_at = self.probed_at_by_id_.get(endpoint_id, known.known_at)
            return max(0.0, max(known.known_at, probed_at) + UNREPORTED_LIMIT_S - now)
        return bucket.wait_s(now)

    def record_sent(
        self, endpoint_id: EndpointId, now: float, *, is_sole_sender: bool = False
    ) -> None:
        """Count a request that is sent to an endpoint."""
        known = self.known_by_id_.get(endpoint_id)
        if known is None or known.per_s is None:
            return
        bucket = self._bucket(known, now, is_sole_sender=is_sole_sender)
        if bucket is not None:
            bucket.try_take(now)
        else:
            self.probed_at_by_id_[endpoint_id] = now

    def retain(self, endpoint_ids: Collection[EndpointId], now: float) -> None:
        """Forget old limits of endpoints that are not in `endpoint_ids`.

        Recent ones are kept: an endpoint that the store lost may be listed again.
        """
        kept = set(endpoint_ids)
        for endpoint_id in self.known_by_id_.keys() - kept:
            if now - self.known_by_id_[endpoint_id].known_at > UNREPORTED_LIMIT_S:
                self._forget(endpoint_id)

    def _end(self, limit: LimitObservation) -> None:
        self._forget(limit.endpoint_id)
        self.known_by_id_[limit.endpoint_id] = limit

    def _forget(self, endpoint_id: EndpointId) -> None:
        self.known_by_id_.pop(endpoint_id, None)
        self.bucket_by_id_.pop(endpoint_id, None)
        self.part_by_id_.pop(endpoint_id, None)
        self.probed_at_by_id_.pop(endpoint_id, None)

    def _bucket(
        self, known: LimitObservation, now: float, *, is_sole_sender: bool
    ) -> TokenBucket | None:
        """Return the bucket of this entry's share of a limit, or None."""
        part = 1.0 if is_sole_sender else self._part(known.endpoint_id)
        if part <= 0.0:
            return None
        rate_per_s = max(MIN_RATE_PER_S, known.per_s) * part
        bucket = self.bucket_by_id_.get(known.endpoint_id)
        if bucket is None:
            bucket = TokenBucket(rate_per_s=rate_per_s, burst=BURST_REQUESTS)
            self.bucket_by_id_[known.endpoint_id] = bucket
        elif bucket.rate_per_s != rate_per_s:
            bucket.refill(now)
            bucket.rate_per_s = rate_per_s
        return bucket

    def _part(self, endpoint_id: EndpointId) -> float:
        """Return this entry's part of a limit, 0 if it has none."""
        part = self.part_by_id_.get(endpoint_id)
        if part is None:
            sharers = rendezvous_order(endpoint_id, self.entry_ids_)[:MAX_SHARERS]
            part = part_of_limit(self.entry_id, sharers, self.busiest_)
            self.part_by_id_[endpoint_id] = part
        return part
