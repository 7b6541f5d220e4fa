"""Remember under which work endpoints ended.

A connection that its endpoint closes under a request is one case against the work of
that request: the endpoint may have ended by it. Everything that ran there gets one, so
a case alone says little; only what was there each time gathers many. What is taken
back: all cases of an endpoint once it answers a request that was sent after them (it
lives, so a reset or a spoiled answer looked like its end), and all cases against a work
once any run of it is answered whole.

Owned by each entry, which records what it sees and learns the cases of others. Cases
are known by an id, so that one that is told twice counts once, also after it was taken
back. What the cases lead to is decided in `_decision`.
"""

from collections import OrderedDict
from typing import NewType

import msgspec

from leadford.common import EndpointId
from leadford.quarantine._digest import RequestDigest

CaseId = NewType("CaseId", int)

# What a case weighs: a whole end where nothing of the answer had come yet, half of one
# where it was on its way, because what has run for a while is less likely to be what
# ended the endpoint just then.
ENDS_UNANSWERED = 1.0
ENDS_UNDER_WAY = 0.5
# Ends of endpoints under a work that show that it ends them. As many as the users
# allow: with fewer, a request that lost two endpoints by chance would not run again.
ENDS_MOST = 3.0
# Part that a case still weighs once another work is known to have ended the endpoint.
# Of 89,335 innocents beside such works that come one after the other 0 are refused, 77
# with 1.0. Where five are new within a second innocents are blamed first too, and what
# they explain must still be found out: the slowest ends 6 endpoints, with 0.25 it ends
# 9 and with 0.0 14 (the model of `test_innocents`, 6 and 18 endpoints, six seeds).
EXPLAINED_PART = 0.5
# Works that are remembered, some 950 bytes each; one endpoint that ends adds as many as
# it ran.
WORKS_KEPT = 4_000
# Ids of cases that are remembered, so that what is told late counts once.
CASE_IDS_KEPT = 20_000
# Seconds without another case after which a work is forgotten.
FORGOTTEN_S = 3_600.0
# Works that a new peer is told, the ones with the most ends first; 64 bytes a case by
# encoding.
TOLD_MOST = 300


class CrashCase(msgspec.Struct, frozen=True):
    """Hold one end of a connection by its endpoint under a request.

    Units: age_s in seconds, counted when the case is told.
    """

    case_id: CaseId
    digest: RequestDigest
    endpoint_id: EndpointId
    is_under_way: bool
    age_s: float = 0.0

    @property
    def ends(self) -> float:
        """Return how many ends the case counts for."""
        return ENDS_UNDER_WAY if self.is_under_way else ENDS_UNANSWERED


class Suspicion(msgspec.Struct, frozen=True):
    """Say how many endpoints are taken to have ended under a work.

    Units: last_at in seconds, when the last of them did.
    """

    ends: float
    last_at: float
    endpoint_ids: tuple[EndpointId, ...]


class _Work:
    """Hold the cases against one work, one an endpoint."""

    def __init__(self) -> None:
        self.case_by_endpoint: dict[EndpointId, CrashCase] = {}
        # Endpoints that another work is known to have ended.
        self.explained: set[EndpointId] = set()
        self.last_at = 0.0

    @property
    def ends(self) -> float:
        return sum(
            case.ends * (EXPLAINED_PART if endpoint_id in self.explained else 1.0)
            for endpoint_id, case in self.case_by_endpoint.items()
        )

    def suspicion(self) -> Suspicion:
        return Suspicion(self.ends, self.last_at, tuple(self.case_by_endpoint))


class CrashLedger:
    """Hold the cases against every work under suspicion."""

    def __init__(self) -> None:
        self.works_by_digest_: OrderedDict[RequestDigest, _Work] = OrderedDict()
        self.digests_by_endpoint_: dict[EndpointId, set[RequestDigest]] = {}
        # When the last case of an endpoint became known here.
        self.known_at_by_endpoint_: dict[EndpointId, float] = {}
        self.case_ids_: OrderedDict[CaseId, None] = OrderedDict()
        # Works that are known to end their endpoints.
        self.quarantined_: set[RequestDigest] = set()

    def record(self, case: CrashCase, now: float) -> bool:
        """Record a case; return whether it is news.

        Units: now in seconds.
        """
        if case.case_id in self.case_ids_:
            return False
        self.case_ids_[case.case_id] = None
        while len(self.case_ids_) > CASE_IDS_KEPT:
            self.case_ids_.popitem(last=False)
        work = self.works_by_digest_.setdefault(case.digest, _Work())
        self.works_by_digest_.move_to_end(case.digest)
        work.last_at = max(work.last_at, now - case.age_s)
        known = work.case_by_endpoint.get(case.endpoint_id)
        if known is None or known.ends < case.ends:
            work.case_by_endpoint[case.endpoint_id] = case
        self.digests_by_endpoint_.setdefault(case.endpoint_id, set()).add(case.digest)
        self.known_at_by_endpoint_[case.endpoint_id] = now
        if work.ends >= ENDS_MOST:
            self.quarantined_.add(case.digest)
            self._explain(work)
        self._forget_old(now)
        return True

    def holds(
        self, digest: RequestDigest, endpoint_id: EndpointId, *, is_under_way: bool
    ) -> bool:
        """Tell whether a case against a work would say nothing new of an endpoint."""
        work = self.works_by_digest_.get(digest)
        known = work.case_by_endpoint.get(endpoint_id) if work is not None else None
        return known is not None and (is_under_way or not known.is_under_way)

    def record_alive(self, endpoint_id: EndpointId, sent_at: float) -> bool:
        """Record an answer to a request sent at a moment; return whether it is news.

        Units: sent_at in seconds. Only what was sent after the last case shows that the
        endpoint lives on.
        """
        known_at = self.known_at_by_endpoint_.get(endpoint_id)
        if known_at is None or sent_at <= known_at:
            return False
        return self.take_back_endpoint(endpoint_id)

    def take_back_endpoint(self, endpoint_id: EndpointId) -> bool:
        """Take back every case of an endpoint; return whether there was one."""
        digests = list(self.digests_by_endpoint_.get(endpoint_id, ()))
        for digest in digests:
            self._take_back(digest, endpoint_id)
        return bool(digests)

    def clear(self, digest: RequestDigest) -> bool:
        """Take back every case against a work; return whether there was one."""
        work = self.works_by_digest_.get(digest)
        if work is None:
            return False
        for endpoint_id in list(work.case_by_endpoint):
            self._take_back(digest, endpoint_id)
        return True

    def suspicion(self, digest: RequestDigest) -> Suspicion | None:
        """Return what speaks against a work, None if nothing does."""
        work = self.works_by_digest_.get(digest)
        return work.suspicion() if work is not None else None

    def told(self, now: float) -> list[CrashCase]:
        """Return the cases that a new peer should know, those of the worst works."""
        works = sorted(self.works_by_digest_.values(), key=lambda work: -work.ends)
        found: list[CrashCase] = []
        for work in works[:TOLD_MOST]:
            age_s = max(0.0, now - work.last_at)
            found.extend(
                msgspec.structs.replace(case, age_s=age_s)
                for case in work.case_by_endpoint.values()
            )
        return found

    def _explain(self, work: _Work) -> None:
        """Count less at endpoints that a work has ended against others that ran there.

        Innocents beside such works do not gather their ends.
        """
        for endpoint_id in work.case_by_endpoint:
            for digest in self.digests_by_endpoint_[endpoint_id]:
                other = self.works_by_digest_[digest]
                if other.ends < work.ends:
                    other.explained.add(endpoint_id)
                    self._recheck(digest, other)

    def _recheck(self, digest: RequestDigest, work: _Work) -> None:
        """Record whether a work is still known to end its endpoints."""
        if work.ends < ENDS_MOST:
            self.quarantined_.discard(digest)

    def _forget_old(self, now: float) -> None:
        """Forget works that are too many or without a case for long."""
        while self.works_by_digest_:
            digest, work = next(iter(self.works_by_digest_.items()))
            is_old = now - work.last_at > FORGOTTEN_S
            if not is_old and len(self.works_by_digest_) <= WORKS_KEPT:
                return
            self.clear(digest)

    def _take_back(self, digest: RequestDigest, endpoint_id: EndpointId) -> None:
        """Take back the case of one endpoint against a work."""
        work = self.works_by_digest_[digest]
        del work.case_by_endpoint[endpoint_id]
        work.explained.discard(endpoint_id)
        self._recheck(digest, work)
        if not work.case_by_endpoint:
            del self.works_by_digest_[digest]
        digests = self.digests_by_endpoint_[endpoint_id]
        digests.discard(digest)
        if not digests:
            del self.digests_by_endpoint_[endpoint_id]
            del self.known_at_by_endpoint_[endpoint_id]
