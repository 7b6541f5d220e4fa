"""Hold the bookings of the services that this entry schedules.

One entry holds the ledger of a service: the scheduler of the first group of the
service, because all entries are linked to it. An entry that takes over starts with an
empty ledger. `leadford.forwarding.admission` decides what can be booked.
"""

from collections.abc import Callable

from leadford.common import EntryId
from leadford.forwarding.admission import (
    DUE_WITHIN_S,
    BookingLedger,
    BookingQuery,
    ClaimEnd,
    pieces_per_s,
)
from leadford.forwarding.batching import BacklogKey
from leadford.forwarding.membership import SharedRule
from leadford.forwarding.routes import ServiceId
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.batching import StageRunner
from leadford_server.metrics import BOOKINGS_TOTAL


class ServiceLedgers:
    """Book and claim at this entry, and count bookings in its admitted backlog.

    `all_know` returns whether the build of every live entry knows a shared rule.
    """

    def __init__(
        self,
        *,
        state: ForwardState,
        stages: StageRunner,
        all_know: Callable[[SharedRule], bool],
    ) -> None:
        self.state = state
        self.stages = stages
        self.all_know = all_know
        self.ledgers_by_service_: dict[ServiceId, BookingLedger] = {}
        # Booked pieces that are counted in the admitted backlog of this entry.
        self.counted_by_key_: dict[BacklogKey, int] = {}

    def owner(self, service_id: ServiceId) -> EntryId | None:
        """Return the entry that books for a service, None if nothing is booked."""
        if not self.state.is_contended(service_id):
            return None
        if not self.all_know(SharedRule.PRIORITY_LEVELS):
            return None
        groups = self.state.group_map_.usable_by_group(service_id, self.state.now())
        if not groups:
            return None
        first = min(groups, key=lambda group: group.key)
        return self.stages.groups.scheduler_of(first)

    def book(self, service_id: ServiceId, query: BookingQuery) -> float | None:
        """Return in how many seconds a caller is to return, None without a booking."""
        now = self.state.now()
        return_at = None
        # Two entries that book for one service would book the same capacity twice.
        if self.owner(service_id) == self.state.entry_id:
            ledger = self.ledgers_by_service_.setdefault(service_id, BookingLedger())
            capacity_per_s = self._capacity_per_s(service_id, now)
            return_at = ledger.book(query, capacity_per_s=capacity_per_s, now=now)
        end = "none" if return_at is None else "made"
        BOOKINGS_TOTAL.labels(end=end).inc()
        return None if return_at is None else max(0.0, return_at - now)

    def claim(self, service_id: ServiceId, fingerprint: str) -> bool:
        """Return whether a returned caller had a booking that is due, and end it."""
        ledger = self.ledgers_by_service_.get(service_id)
        if ledger is None:
            return False
        now = self.state.now()
        end = ledger.claim(fingerprint, now)
        if end is not ClaimEnd.UNKNOWN:
            BOOKINGS_TOTAL.labels(end=end.value).inc()
        if end is not ClaimEnd.KEPT:
            return False
        # The entry that admits the request counts its pieces from now on.
        self._count_due(now)
        return True

    def _capacity_per_s(self, service_id: ServiceId, now: float) -> float:
        """Return how many pieces a service can compute now.

        Units: pieces per second.
        """
        service = self.state.service(service_id)
        if service is None or service.pieces is None:
            return 0.0
        rate = self.stages.backlog_.rate(service_id, now)
        return pieces_per_s(
            service.pieces,
            [
                record.work_ratio(now)
                for record in self.state.usable(service_id)
                if not record.is_suspect(now)
            ],
            None if rate is None else rate.pieces,
        )

    def refresh(self) -> None:
        """Drop lapsed bookings, and count those due soon in the admitted backlog.

        They are reported to the other entries as pieces that this entry has admitted.
        """
        now = self.state.now()
        for service_id, ledger in list(self.ledgers_by_service_.items()):
            lapsed = ledger.drop_lapsed(now)
            BOOKINGS_TOTAL.labels(end="lapsed").inc(lapsed)
            if ledger.is_empty:
                del self.ledgers_by_service_[service_id]
        self._count_due(now)

    def _count_due(self, now: float) -> None:
        """Count the bookings due soon in the admitted backlog."""
        due_by_key: dict[BacklogKey, int] = {}
        for service_id, ledger in self.ledgers_by_service_.items():
            if self.owner(service_id) != self.state.entry_id:
                # Another entry owns the service now, and receives the claims.
                continue
            for level, pieces in ledger.due(DUE_WITHIN_S, now).items():
                key = BacklogKey(service_id, level)
                due_by_key[key] = due_by_key.get(key, 0) + pieces
        for key in set(self.counted_by_key_) | set(due_by_key):
            change = due_by_key.get(key, 0) - self.counted_by_key_.get(key, 0)
            self.stages.backlog_.add(key, change)
        self.counted_by_key_ = due_by_key
