"""Book capacity of a service for refused callers, and keep it until they return.

Owned by the entry that schedules the service. A refused caller is told the time of its
booking; when it returns through any entry, that entry claims the booking and admits the
request. A booking that is not claimed in time lapses.

Return times are multiples of a slot. Within any second, at most a fraction of the
pieces that the service computes in a second is booked, so that first tries are still
admitted; a more urgent level may book a larger fraction. Booked capacity is never
booked again, whether its booking was claimed or has lapsed. When the capacity falls,
existing bookings stay, and new ones are made later or not at all.
"""

import math
from collections.abc import Iterable, Sequence
from enum import Enum
from itertools import accumulate

import msgspec

from leadford.forwarding.routes import PieceLimits

# Return times are multiples of this.
SLOT_S = 0.1
# Number of slots within which the sum of bookings is bounded: one second.
WINDOW_SLOTS = 10
WINDOW_S = WINDOW_SLOTS * SLOT_S
# The same for a shorter window, so that bookings are spread over the second. Only the
# last booking in it may exceed the bound, because one may need more than the bound.
SHORT_WINDOW_SLOTS = 2
# Fraction of the capacity that the highest level may book, the reduction for each
# further level, and the minimum.
MAX_BOOKED_FRACTION = 0.3
BOOKED_FRACTION_STEP = 0.1
MIN_BOOKED_FRACTION = 0.1
# How much earlier than its return time a caller may claim. Callers get that time in
# hundredths of a second and measure it by clocks of their own.
MAX_EARLY_CLAIM_S = 0.1
# Time after its return time at which a booking lapses.
LAPSE_S = 1.0
# Maximum time from now until a return time.
MAX_BOOKING_AHEAD_S = 60.0
# Maximum number of bookings of one service.
MAX_BOOKINGS = 4_000
# Interval before their return time in which bookings count as admitted pieces.
DUE_WITHIN_S = 1.0


class BookingQuery(msgspec.Struct, frozen=True):
    """Describe the booking that a refused caller needs.

    `pieces` counts the pieces of the service; a lower `level` is more urgent.

    Units: earliest_s and latest_s bound the return time, in seconds from now.
    """

    fingerprint: str
    level: int
    pieces: int
    earliest_s: float
    latest_s: float

    @property
    def is_valid(self) -> bool:
        """Tell whether the values make sense; they may come from another build."""
        is_finite = math.isfinite(self.earliest_s) and math.isfinite(self.latest_s)
        return is_finite and self.level >= 0 and self.pieces > 0


class ClaimEnd(Enum):
    """Say what a claim found: a booking that is due, one due later, or none."""

    KEPT = "kept"
    EARLY = "early"
    UNKNOWN = "unknown"


class Booking(msgspec.Struct, frozen=True):
    """Hold the capacity that is booked for one caller.

    Units: return_at in seconds of the monotonic clock.
    """

    return_at: float
    level: int
    pieces: int

    def has_lapsed(self, now: float) -> bool:
        """Tell whether the caller can no longer claim the booking."""
        return now >= self.return_at + LAPSE_S


class BookingLedger:
    """Hold the bookings of one service."""

    def __init__(self) -> None:
        self.bookings_by_fingerprint_: dict[str, Booking] = {}
        # The pieces booked for each slot, also those of bookings that were claimed.
        self.pieces_by_slot_: dict[int, int] = {}
        # Lapsed bookings that were replaced since the last call of `drop_lapsed`.
        self.replaced_lapsed_ = 0

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing is booked, and no earlier booking limits new ones."""
        return not self.bookings_by_fingerprint_ and not self.pieces_by_slot_

    def book(
        self, query: BookingQuery, *, capacity_per_s: float, now: float
    ) -> float | None:
        """Return the return time, or None if nothing can be booked.

        A caller that has a booking gets the same time again.

        Units: capacity_per_s in pieces per second.
        """
        if not query.is_valid:
            return None
        known = self.bookings_by_fingerprint_.get(query.fingerprint)
        if known is not None and not known.has_lapsed(now):
            return known.return_at
        if known is None and len(self.bookings_by_fingerprint_) >= MAX_BOOKINGS:
            return None
        slot = self._free_slot(query, capacity_per_s, now)
        if slot is None:
            return None
        return_at = slot * SLOT_S
        self.replaced_lapsed_ += known is not None
        self.pieces_by_slot_[slot] = self.pieces_by_slot_.get(slot, 0) + query.pieces
        self.bookings_by_fingerprint_[query.fingerprint] = Booking(
            return_at, query.level, query.pieces
        )
        return return_at

    def claim(self, fingerprint: str, now: float) -> ClaimEnd:
        """Return whether the booking of a caller is due, and end it if so."""
        booking = self.bookings_by_fingerprint_.get(fingerprint)
        if booking is None or booking.has_lapsed(now):
            return ClaimEnd.UNKNOWN
        if now < booking.return_at - MAX_EARLY_CLAIM_S:
            return ClaimEnd.EARLY
        del self.bookings_by_fingerprint_[fingerprint]
        return ClaimEnd.KEPT

    def due(self, within_s: float, now: float) -> dict[int, int]:
        """Return the pieces of each level whose callers are to return soon."""
        pieces_by_level: dict[int, int] = {}
        for booking in self.bookings_by_fingerprint_.values():
            if booking.has_lapsed(now) or booking.return_at > now + within_s:
                continue
            known = pieces_by_level.get(booking.level, 0)
            pieces_by_level[booking.level] = known + booking.pieces
        return pieces_by_level

    def drop_lapsed(self, now: float) -> int:
        """Drop lapsed bookings; return how many have lapsed since the last call."""
        lapsed = [
            fingerprint
            for fingerprint, booking in self.bookings_by_fingerprint_.items()
            if booking.has_lapsed(now)
        ]
        for fingerprint in lapsed:
            del self.bookings_by_fingerprint_[fingerprint]
        oldest_slot = math.floor(now / SLOT_S) - WINDOW_SLOTS
        for slot in [slot for slot in self.pieces_by_slot_ if slot < oldest_slot]:
            del self.pieces_by_slot_[slot]
        count = len(lapsed) + self.replaced_lapsed_
        self.replaced_lapsed_ = 0
        return count

    def _free_slot(
        self, query: BookingQuery, capacity_per_s: float, now: float
    ) -> int | None:
        """Return the first slot in which a booking keeps to the bounds."""
        bound = max_booked_per_s(query.level, capacity_per_s) * WINDOW_S
        if query.pieces > bound:
            return None
        short_bound = bound * SHORT_WINDOW_SLOTS / WINDOW_SLOTS
        # Rounded down, so that any interval contains a slot.
        first = math.floor((now + query.earliest_s) / SLOT_S)
        first = max(first, math.ceil(now / SLOT_S))
        last = math.floor((now + min(query.latest_s, MAX_BOOKING_AHEAD_S)) / SLOT_S)
        sums = self._cumulative_pieces(first, last)
        for slot in range(first, last + 1):
            # The index in `sums` of the first slot of the first window with this slot.
            offset = slot - first
            booked = _max_window_sum(sums, offset + WINDOW_SLOTS, WINDOW_SLOTS)
            if booked + query.pieces > bound:
                continue
            nearby = _max_window_sum(sums, offset + WINDOW_SLOTS, SHORT_WINDOW_SLOTS)
            if nearby < short_bound:
                return slot
        return None

    def _cumulative_pieces(self, first: int, last: int) -> Sequence[int]:
        """Return the cumulative sums of booked pieces before each slot.

        The range extends by one window on both sides, for windows that overlap it.
        """
        slots = range(first - WINDOW_SLOTS, last + WINDOW_SLOTS)
        pieces = (self.pieces_by_slot_.get(slot, 0) for slot in slots)
        return list(accumulate(pieces, initial=0))


def pieces_per_s(
    limits: PieceLimits, duration_ratios: Iterable[float], measured_per_s: float | None
) -> float:
    """Return the capacity of a service for bookings.

    `duration_ratios` holds, for each usable endpoint, the ratio of the duration of its
    calls to the expected one. `measured_per_s` is the throughput while the service is
    behind, None if it is not.

    Units: pieces per second.
    """
    full_call_per_s = limits.batch / limits.full_call_s
    configured_per_s = sum(
        full_call_per_s / max(1.0, ratio) for ratio in duration_ratios
    )
    if measured_per_s is None:
        return configured_per_s
    return min(configured_per_s, measured_per_s)


def max_booked_per_s(level: int, capacity_per_s: float) -> float:
    """Return how many pieces per second may be booked, all levels together.

    The bound is that of the level of a new booking.
    """
    fraction = MAX_BOOKED_FRACTION - BOOKED_FRACTION_STEP * level
    return max(MIN_BOOKED_FRACTION, fraction) * capacity_per_s


def _max_window_sum(sums: Sequence[int], index: int, width: int) -> int:
    """Return the largest sum over windows that include the slot at an index."""
    return max(
        sums[start + width] - sums[start]
        for start in range(index - width + 1, index + 1)
    )
