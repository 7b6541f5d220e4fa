"""Callers that were refused and return as told find the capacity that was booked."""

from random import Random

import msgspec
import pytest

from leadford.forwarding.admission import (
    BookingLedger,
    BookingQuery,
    ClaimEnd,
    ForwardAdmission,
    RetryReservations,
    StageCapacity,
    Verdict,
    booking_query,
    pieces_per_s,
)
from leadford.forwarding.admission._bookings import MAX_BOOKINGS, max_booked_per_s
from leadford.forwarding.admission.tests.conftest import (
    piece_limits,
    request_for,
    staged_route,
)
from leadford.forwarding.batching import AdmittedBacklog, BacklogKey
from leadford.forwarding.routes import ServiceId, StageSpec

SERVICE = ServiceId("stage")
PER_S = 100.0
QUERY = BookingQuery("f", 0, 4, 0.5, 2.0)
# Ten pieces in 0.1 s.
LIMITS = piece_limits(call_ms=50.0, piece_ms=5.0)
ROUTE = staged_route(StageSpec(SERVICE, (), 1_000), priority=1)
KEY = BacklogKey(SERVICE, 1)


def query(name, **fields):
    return msgspec.structs.replace(QUERY, fingerprint=str(name), **fields)


def book(ledger, asked, *, per_s=PER_S, now=0.0):
    return ledger.book(asked, capacity_per_s=per_s, now=now)


def most_in_a_second(booked):
    """Return the largest sum of (time, pieces) within any second."""
    return max(
        sum(pieces for at, pieces in booked if start - 1e-6 <= at < start + 1 - 1e-6)
        for start, _ in booked
    )


class BurstReplay:
    """Replay callers of one stage of 100 pieces/s: 2.7 times the usual for 5 s.

    Each request needs 4 pieces; the usual load is 80 pieces/s. Each refused caller
    returns when told; `repeats` is how often it is sent at each time.
    """

    def __init__(self, *, repeats=1, lost_at=None):
        self.repeats = repeats
        self.lost_at = lost_at
        self.random = Random(5)
        self.backlog = AdmittedBacklog()
        self.admission = ForwardAdmission(
            backlog=self.backlog,
            reservations=RetryReservations(),
            random=self.random,
        )
        self.ledger = BookingLedger()
        self.counted = 0
        self.booked = []
        self.returned = {True: 0, False: 0}
        self.refused_again = {True: 0, False: 0}
        self.answered_after_s = []

    def endpoints(self, now):
        return 2 if self.lost_at is not None and now >= self.lost_at else 3

    def run(self):
        limits = msgspec.structs.replace(LIMITS, call_ms=250.0)
        self.capacity = {
            count: {SERVICE: StageCapacity(limits, count)} for count in (2, 3)
        }
        due, made, number = [], 0.0, 0
        for step in range(1_200):
            now = step * 0.01
            self._count_due(now)
            made += 0.01 * pieces_per_s(limits, [1.0] * self.endpoints(now), None)
            waiting = self.backlog.own_by_key_.get(KEY, 0) - self.counted
            self.backlog.add(KEY, -min(int(made), waiting))
            made -= int(made)
            per_s = 20.0 * (2.7 if 1.0 <= now < 6.0 else 1.0)
            if now < 8.0 and self.random.random() < per_s * 0.01:
                number += 1
                due.append((now, f"caller-{number}", now, False))
            for item in [item for item in due if item[0] <= now]:
                due.remove(item)
                for _ in range(self.repeats):
                    told = self._send(item, now)
                    if told is None:
                        break
                if told is not None:
                    due.append((now + told[0], item[1], item[2], told[1]))
        return self

    def _count_due(self, now):
        self.ledger.drop_lapsed(now)
        counted = sum(self.ledger.due(1.0, now).values())
        self.backlog.add(KEY, counted - self.counted)
        self.counted = counted

    def _send(self, item, now):
        """Return when the caller is told to return and whether it was booked."""
        _, name, first_at, has_booking = item
        is_return = now > first_at
        request = request_for(
            ROUTE,
            (4,),
            self.capacity[self.endpoints(now)],
            fingerprint=name,
            timeout_s=8.0 - (now - first_at),
            caller_timeout_s=8.0 - (now - first_at),
            now=now,
        )
        if self.admission.is_return(request):
            end = self.ledger.claim(name, now)
            self._count_due(now)
            request = msgspec.structs.replace(request, is_booked=end is ClaimEnd.KEPT)
        decision = self.admission.decide(request)
        self.returned[has_booking] += is_return
        if decision.verdict is Verdict.ADMIT:
            self.backlog.add(KEY, 4)
            self.answered_after_s.append(now - first_at)
            return None
        self.refused_again[has_booking] += is_return
        asked = booking_query(request, decision)
        if asked is None:
            return decision.retry_after_s, False
        per_s = pieces_per_s(
            self.capacity[3][SERVICE].limits, [1.0] * self.endpoints(now), None
        )
        known = name in self.ledger.bookings_by_fingerprint_
        return_at = book(self.ledger, asked, per_s=per_s, now=now)
        if return_at is None:
            return decision.retry_after_s, False
        if not known:
            self.booked.append((return_at, 4))
        return return_at - now, True


def test_in_a_burst_callers_that_return_as_told_are_let_in():
    replay = BurstReplay().run()
    assert replay.refused_again[True] < 0.05 * replay.returned[True]
    bound = max_booked_per_s(1, PER_S)
    assert most_in_a_second(replay.booked) <= bound
    # Most of what may be booked is booked throughout the burst.
    assert 4 * len(replay.booked) >= 0.8 * bound * 5.0


def test_a_third_of_the_endpoints_lost_in_a_burst_breaks_no_promise():
    replay = BurstReplay(lost_at=3.0).run()
    assert replay.returned[True] > 20
    assert replay.refused_again[True] < 0.05 * replay.returned[True]
    late = [item for item in replay.booked if item[0] >= 3.0 + 8.0 / 3.0]
    assert most_in_a_second(late) <= max_booked_per_s(1, 2 * PER_S / 3)


def test_callers_that_repeat_three_times_at_once_gain_nothing():
    once, thrice = BurstReplay().run(), BurstReplay(repeats=3).run()
    assert len(thrice.booked) <= 1.1 * len(once.booked)
    assert thrice.refused_again[True] < 0.05 * thrice.returned[True]


@pytest.mark.parametrize("level", [0, 1, 5])
def test_bookings_of_any_size_keep_to_the_bound_in_every_second(level):
    ledger, random, booked = BookingLedger(), Random(level), []
    for number in range(600):
        now = number * 0.01
        earliest_s = random.uniform(0.25, 1.0)
        asked = query(
            number,
            level=level,
            pieces=random.choice((1, 4, 25)),
            earliest_s=earliest_s,
            latest_s=earliest_s + random.uniform(0.0, 2.0),
        )
        return_at = book(ledger, asked, per_s=4.0 * PER_S, now=now)
        if return_at is not None:
            assert asked.earliest_s - 0.1 <= return_at - now <= asked.latest_s
            booked.append((return_at, asked.pieces))
    assert most_in_a_second(booked) <= max_booked_per_s(level, 4.0 * PER_S)
    assert len(booked) > 50


def test_a_more_urgent_level_still_books_where_others_have_booked_their_part():
    ledger = BookingLedger()
    counts, all_booked = [], []
    for level in (2, 1, 0):
        booked = [
            book(ledger, query((level, number), level=level)) for number in range(60)
        ]
        counts.append(sum(at is not None for at in booked))
        all_booked += [(at, 4) for at in booked if at is not None]
        # Each level books only what the less urgent ones may not.
        assert counts[-1] > 0
        assert most_in_a_second(all_booked) <= max_booked_per_s(level, PER_S)
    assert ledger.due(9.0, 0.0) == {
        2: 4 * counts[0],
        1: 4 * counts[1],
        0: 4 * counts[2],
    }


def test_a_caller_that_asks_again_gets_the_same_time_and_costs_nothing():
    ledger = BookingLedger()
    first = book(ledger, QUERY)
    for number in range(50):
        assert book(ledger, QUERY, now=number * 0.005) == first
    assert sum(ledger.pieces_by_slot_.values()) == 4


def test_a_booking_is_kept_once_from_shortly_before_its_time_until_it_lapses():
    ledger = BookingLedger()
    at = book(ledger, QUERY)
    assert ledger.claim("f", at - 0.2) is ClaimEnd.EARLY
    assert ledger.claim("other", at) is ClaimEnd.UNKNOWN
    assert ledger.claim("f", at - 0.05) is ClaimEnd.KEPT
    assert ledger.claim("f", at) is ClaimEnd.UNKNOWN
    late = book(ledger, query("late"))
    assert ledger.claim("late", late + 0.99) is ClaimEnd.KEPT
    later = book(ledger, query("later"))
    assert ledger.claim("later", later + 1.01) is ClaimEnd.UNKNOWN


def test_lapses_are_counted_once_and_free_nothing():
    ledger = BookingLedger()
    numbers = range(60)
    booked = [number for number in numbers if book(ledger, query(number)) is not None]
    ends = [ledger.claim(str(number), 2.0) for number in booked[::2]]
    kept = ends.count(ClaimEnd.KEPT)
    assert kept > 0
    # Neither a claim nor a lapse frees capacity that was booked for the same time.
    assert book(ledger, query("next")) is None
    replaced = str(booked[1])
    assert book(ledger, query(replaced), now=3.1) is not None
    assert ledger.drop_lapsed(3.1) == len(booked) - kept
    assert ledger.drop_lapsed(3.1) == 0
    assert ledger.drop_lapsed(9.0) == 1
    assert ledger.is_empty


def test_made_bookings_stay_when_the_capacity_falls_and_new_ones_come_later():
    ledger = BookingLedger()
    made = {}
    for number in range(8):
        made[number] = book(ledger, query(number, latest_s=9.0))
    later = book(ledger, query("later", latest_s=9.0), per_s=PER_S / 3)
    assert later > max(made.values()) + 0.5
    assert book(ledger, query("none"), per_s=0.0) is None
    for number, at in made.items():
        assert ledger.claim(str(number), at) is ClaimEnd.KEPT


def test_due_bookings_are_those_within_the_horizon_that_nobody_claimed():
    ledger = BookingLedger()
    soon = book(ledger, QUERY)
    book(ledger, query("far", earliest_s=5.0, latest_s=6.0))
    assert ledger.due(1.0, 0.0) == {0: 4}
    ledger.claim("f", soon)
    assert ledger.due(1.0, soon) == {}
    assert ledger.due(1.0, 4.5) == {0: 4}


@pytest.mark.parametrize(
    "fields",
    [
        {"pieces": 0},
        {"pieces": -4},
        {"pieces": 10**9},
        {"level": -1},
        {"earliest_s": float("nan")},
        {"latest_s": float("inf")},
        {"latest_s": -1.0},
        {"earliest_s": 1e12, "latest_s": 1e13},
    ],
)
def test_nothing_is_booked_for_values_without_sense(fields):
    ledger = BookingLedger()
    assert book(ledger, query("f", **fields)) is None
    assert ledger.is_empty


def test_the_number_of_bookings_is_bounded():
    ledger = BookingLedger()
    for number in range(MAX_BOOKINGS + 10):
        book(ledger, query(number), per_s=1e9)
    assert len(ledger.bookings_by_fingerprint_) == MAX_BOOKINGS


def test_the_capacity_follows_slow_endpoints_and_the_measured_throughput():
    assert pieces_per_s(LIMITS, [1.0, 0.7], None) == pytest.approx(200.0)
    assert pieces_per_s(LIMITS, [1.0, 2.0], None) == pytest.approx(150.0)
    assert pieces_per_s(LIMITS, [1.0, 1.0], 120.0) == pytest.approx(120.0)
    assert pieces_per_s(LIMITS, [], None) == 0.0
