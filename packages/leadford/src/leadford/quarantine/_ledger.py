"""Record which requests were running when endpoints crashed.

A work is the set of all requests with the same digest. A connection that its endpoint
closes while a request runs is one case against the work of that request, because the
request may have crashed the endpoint. Every request that ran there gets a case, so a
single case says little; only a work that was present at each crash collects many.

Cases are retracted in two situations. Once an endpoint answers a request that was sent
after its cases, all cases of that endpoint go: it is alive, so a reset or an invalid
answer only looked like a crash. Once any run of a work is answered completely, all
cases against that work go.

Each entry owns a ledger, records the cases that it observes and receives those of other
entries. Cases have an id, so that a case that is received twice counts once, also after
it was retracted. `_decision` decides what follows from the cases.
"""

from collections import OrderedDict
from typing import NewType

import msgspec

from leadford.common import EndpointId
from leadford.quarantine._digest import RequestDigest

CaseId = NewType("CaseId", int)

# A case counts as a whole crash if no part of the answer had arrived, and as half a
# crash if the answer was under way: a request that has run for a while is less likely
# to have caused the crash at that moment.
UNANSWERED_CASE_WEIGHT = 1.0
UNDER_WAY_CASE_WEIGHT = 0.5
# Weighted crashes from which a work is known to crash endpoints. This is the number of
# crashes that users accept: with fewer, a request that lost two endpoints by chance
# would not run again.
MIN_QUARANTINE_ENDS = 3.0
# Fraction of its weight that a case keeps once another work is known to have crashed
# the endpoint. Of 89,335 harmless requests beside crashing works that arrive one after
# the other, 0 are refused with 0.5 and 77 with 1.0. If five crashing works arrive
# within a second, harmless ones are blamed first too, and the works whose crashes these
# explain must still be found: the slowest to be found crashes 6 endpoints with 0.5, 9
# with 0.25 and 14 with 0.0 (simulation of `test_innocents`, 6 and 18 endpoints, six
# seeds).
EXPLAINED_CASE_FRACTION = 0.5
# A work takes about 950 bytes; one crashed endpoint adds as many works as it ran.
MAX_WORKS = 4_000
# Case ids are kept so that a case that is received again late still counts once.
MAX_CASE_IDS = 20_000
# Seconds without a new case after which a work is removed.
WORK_RETENTION_S = 3_600.0
# Works that are sent to a new peer, those with the most crashes first; an encoded case
# takes 64 bytes.
MAX_SHARED_WORKS = 300


class CrashCase(msgspec.Struct, frozen=True):
    """Hold one connection that an endpoint closed while a request ran.

    Units: age_s in seconds, as of when the case is sent to a peer.
    """

    case_id: CaseId
    digest: RequestDigest
    endpoint_id: EndpointId
    is_under_way: bool
    age_s: float = 0.0

    @property
    def ends(self) -> float:
        """Return how many crashes the case counts for."""
        return UNDER_WAY_CASE_WEIGHT if self.is_under_way else UNANSWERED_CASE_WEIGHT


class Suspicion(msgspec.Struct, frozen=True):
    """Hold how many endpoints are assumed to have crashed while running a work.

    Units: ends in weighted crashes; last_at, the time of the last one, and known_at,
    the time from which there were enough to refuse the work, in seconds.
    """

    ends: float
    last_at: float
    endpoint_ids: tuple[EndpointId, ...]
    known_at: float | None = None


class _Work:
    """Hold the cases against one work, at most one per endpoint."""

    def __init__(self) -> None:
        self.case_by_endpoint: dict[EndpointId, CrashCase] = {}
        # Endpoints that another work is known to have crashed.
        self.explained_endpoint_ids: set[EndpointId] = set()
        self.last_at = 0.0
        self.known_at: float | None = None

    @property
    def ends(self) -> float:
        return sum(
            case.ends
            * (
                EXPLAINED_CASE_FRACTION
                if endpoint_id in self.explained_endpoint_ids
                else 1.0
            )
            for endpoint_id, case in self.case_by_endpoint.items()
        )

    def suspicion(self) -> Suspicion:
        return Suspicion(
            self.ends, self.last_at, tuple(self.case_by_endpoint), self.known_at
        )


class CrashLedger:
    """Hold the cases against all suspected works."""

    def __init__(self) -> None:
        self.works_by_digest_: OrderedDict[RequestDigest, _Work] = OrderedDict()
        self.digests_by_endpoint_: dict[EndpointId, set[RequestDigest]] = {}
        # Time at which the last case of an endpoint was recorded here.
        self.known_at_by_endpoint_: dict[EndpointId, float] = {}
        self.case_ids_: OrderedDict[CaseId, None] = OrderedDict()
        # Works that are known to crash endpoints.
        self.quarantined_: set[RequestDigest] = set()

    def record(self, case: CrashCase, now: float) -> bool:
        """Record a case; return whether it is new.

        Units: now in seconds.
        """
        if case.case_id in self.case_ids_:
            return False
        self.case_ids_[case.case_id] = None
        while len(self.case_ids_) > MAX_CASE_IDS:
            self.case_ids_.popitem(last=False)
        work = self.works_by_digest_.setdefault(case.digest, _Work())
        self.works_by_digest_.move_to_end(case.digest)
        work.last_at = max(work.last_at, now - case.age_s)
        known = work.case_by_endpoint.get(case.endpoint_id)
        if known is None or known.ends < case.ends:
            work.case_by_endpoint[case.endpoint_id] = case
        self.digests_by_endpoint_.setdefault(case.endpoint_id, set()).add(case.digest)
        self.known_at_by_endpoint_[case.endpoint_id] = now
        if work.ends >= MIN_QUARANTINE_ENDS:
            self.quarantined_.add(case.digest)
            if work.known_at is None:
                work.known_at = work.last_at
            self._mark_explained(work)
        self._expire_works(now)
        return True

    def has_case(
        self, digest: RequestDigest, endpoint_id: EndpointId, *, is_under_way: bool
    ) -> bool:
        """Return whether a case of at least this weight is recorded already."""
        work = self.works_by_digest_.get(digest)
        known = work.case_by_endpoint.get(endpoint_id) if work is not None else None
        return known is not None and (is_under_way or not known.is_under_way)

    def record_alive(self, endpoint_id: EndpointId, sent_at: float) -> bool:
        """Record that an endpoint answered; return whether cases were retracted.

        Only an answer to a request that was sent after the last case shows that the
        endpoint is still alive.

        Units: sent_at, when the answered request was sent, in seconds.
        """
        known_at = self.known_at_by_endpoint_.get(endpoint_id)
        if known_at is None or sent_at <= known_at:
            return False
        return self.retract_endpoint(endpoint_id)

    def retract_endpoint(self, endpoint_id: EndpointId) -> bool:
        """Retract all cases of an endpoint; return whether there were any."""
        digests = list(self.digests_by_endpoint_.get(endpoint_id, ()))
        for digest in digests:
            self._retract_case(digest, endpoint_id)
        return bool(digests)

    def clear(self, digest: RequestDigest) -> bool:
        """Retract all cases against a work; return whether there were any."""
        work = self.works_by_digest_.get(digest)
        if work is None:
            return False
        for endpoint_id in list(work.case_by_endpoint):
            self._retract_case(digest, endpoint_id)
        return True

    def suspicion(self, digest: RequestDigest) -> Suspicion | None:
        """Return the suspicion against a work, None if it has no cases."""
        work = self.works_by_digest_.get(digest)
        return work.suspicion() if work is not None else None

    def cases_for_new_peer(self, now: float) -> list[CrashCase]:
        """Return the cases to send to a new peer: those of the worst works.

        Units: now in seconds.
        """
        works = sorted(self.works_by_digest_.values(), key=lambda work: -work.ends)
        found: list[CrashCase] = []
        for work in works[:MAX_SHARED_WORKS]:
            age_s = max(0.0, now - work.last_at)
            found.extend(
                msgspec.structs.replace(case, age_s=age_s)
                for case in work.case_by_endpoint.values()
            )
        return found

    def _mark_explained(self, work: _Work) -> None:
        """Reduce the weight of the other cases at endpoints that a work crashed.

        Harmless requests that run beside such a work then do not accumulate its
        crashes.
        """
        for endpoint_id in work.case_by_endpoint:
            for digest in self.digests_by_endpoint_[endpoint_id]:
                other = self.works_by_digest_[digest]
                if other.ends < work.ends:
                    other.explained_endpoint_ids.add(endpoint_id)
                    self._update_quarantined(digest, other)

    def _update_quarantined(self, digest: RequestDigest, work: _Work) -> None:
        """Remove a work from the quarantined ones if its cases no longer suffice."""
        if work.ends < MIN_QUARANTINE_ENDS:
            self.quarantined_.discard(digest)
            work.known_at = None

    def _expire_works(self, now: float) -> None:
        """Remove works that had no case for long, and the oldest beyond the maximum."""
        while self.works_by_digest_:
            digest, work = next(iter(self.works_by_digest_.items()))
            is_old = now - work.last_at > WORK_RETENTION_S
            if not is_old and len(self.works_by_digest_) <= MAX_WORKS:
                return
            self.clear(digest)

    def _retract_case(self, digest: RequestDigest, endpoint_id: EndpointId) -> None:
        """Retract the case of one endpoint against a work."""
        work = self.works_by_digest_[digest]
        del work.case_by_endpoint[endpoint_id]
        work.explained_endpoint_ids.discard(endpoint_id)
        self._update_quarantined(digest, work)
        if not work.case_by_endpoint:
            del self.works_by_digest_[digest]
        digests = self.digests_by_endpoint_[endpoint_id]
        digests.discard(digest)
        if not digests:
            del self.digests_by_endpoint_[endpoint_id]
            del self.known_at_by_endpoint_[endpoint_id]
