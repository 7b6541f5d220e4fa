"""Find the entry that gets most of the callers, so that shares can follow the load.

Limits of the fleet are divided equally among its entries. That fails when callers open
most of their connections to one entry. Each entry reports its rate of requests to a few
entries that all are linked to; these tell all others which entry is the busiest, as
long as its part of the load is far above an equal one. Without such news, or once it is
old, shares are equal.
"""

from leadford.common import EntryId, EventRate
from leadford.forwarding.endpoints import BusiestEntry

# Time constant of the measured rate of requests.
RATE_TIME_CONSTANT_S = 1.0
# Requests per second of the fleet below which shares stay equal.
MIN_FLEET_PER_S = 5.0
# The busiest entry has this multiple of an equal part of the load at least, or this
# fraction of it in a small fleet.
MIN_BUSIEST_MULTIPLE = 3.0
MAX_MIN_BUSIEST_FRACTION = 0.6
# The other entries always keep a part.
MAX_BUSIEST_FRACTION = 0.9
# A change of the fraction below this is ignored. The entries that sum tell slightly
# different ones, and limits are divided anew with each change.
MIN_FRACTION_CHANGE = 0.15
# Age from which a report of a rate counts for nothing; rates that change are reported
# at once, others every 5 s.
MAX_REPORT_AGE_S = 12.0
REPORT_INTERVAL_S = 5.0
# Relative and absolute change from which a rate is reported at once.
MIN_REPORTED_CHANGE = 0.3
MIN_REPORTED_CHANGE_PER_S = 2.0
# Age from which the news of the busiest entry counts for nothing. It is told again
# every second.
MAX_BUSIEST_AGE_S = 2.2
# Fraction of a limit that is divided equally even if one entry is the busiest.
EQUAL_FRACTION = 0.5


class RequestRate:
    """Measure the rate of requests that callers send to this entry."""

    def __init__(self) -> None:
        self.rate_ = EventRate(time_constant_s=RATE_TIME_CONSTANT_S)
        self.reported_per_s_ = 0.0
        self.reported_at_ = float("-inf")

    def record_request(self, now: float) -> None:
        """Count one request.

        Units: now in seconds.
        """
        self.rate_.record(now)

    def per_s(self, now: float) -> float:
        """Return the rate of requests, averaged over about a second.

        Units: now in seconds; requests per second.
        """
        return self.rate_.per_s(now)

    def take_report(self, now: float) -> float | None:
        """Return the rate if it is to be reported now, otherwise None.

        Units: now in seconds; requests per second.
        """
        per_s = self.per_s(now)
        change = abs(per_s - self.reported_per_s_)
        has_changed = change > max(
            MIN_REPORTED_CHANGE_PER_S, MIN_REPORTED_CHANGE * self.reported_per_s_
        )
        if not has_changed and now - self.reported_at_ < REPORT_INTERVAL_S:
            return None
        self.reported_per_s_ = per_s
        self.reported_at_ = now
        return per_s


class ReportedRates:
    """Hold the rates that entries report, at one of the entries that sum them."""

    def __init__(self) -> None:
        self.rate_by_entry_: dict[EntryId, tuple[float, float]] = {}

    def record(self, entry_id: EntryId, per_s: float, now: float) -> None:
        """Record the rate of one entry.

        Units: requests per second; now in seconds.
        """
        self.rate_by_entry_[entry_id] = (max(0.0, per_s), now)

    def forget(self, entry_id: EntryId) -> None:
        """Forget an entry that is no longer linked."""
        self.rate_by_entry_.pop(entry_id, None)

    def busiest(self, entry_count: int, now: float) -> BusiestEntry | None:
        """Return the busiest entry, or None if the load is spread well enough.

        Units: now in seconds.
        """
        rates = {
            entry_id: per_s
            for entry_id, (per_s, at) in self.rate_by_entry_.items()
            if now - at <= MAX_REPORT_AGE_S
        }
        total_per_s = sum(rates.values())
        if entry_count < 2 or total_per_s < MIN_FLEET_PER_S:
            return None
        entry_id = max(rates, key=lambda name: (rates[name], name))
        fraction = rates[entry_id] / total_per_s
        multiple = MIN_BUSIEST_MULTIPLE / max(1, entry_count)
        if fraction < min(MAX_MIN_BUSIEST_FRACTION, multiple):
            return None
        return BusiestEntry(entry_id, min(MAX_BUSIEST_FRACTION, fraction))


class LoadShares:
    """Hold which entry is the busiest, as this entry was told last."""

    def __init__(self, *, entry_id: EntryId) -> None:
        self.entry_id = entry_id
        self.busiest_: BusiestEntry | None = None
        self.told_at_ = 0.0

    def record(self, busiest: BusiestEntry, now: float) -> None:
        """Record which entry is the busiest.

        Units: now in seconds.
        """
        known = self.busiest(now)
        self.told_at_ = now
        if known is None or not _is_nearly_equal(known, busiest):
            self.busiest_ = busiest

    def busiest(self, now: float) -> BusiestEntry | None:
        """Return the busiest entry, or None if none is known now.

        Units: now in seconds.
        """
        if now - self.told_at_ > MAX_BUSIEST_AGE_S:
            self.busiest_ = None
        return self.busiest_

    def share(self, entry_count: int, now: float) -> float:
        """Return the fraction of the fleet's limits that this entry may use.

        The shares of all entries add up to 1 as long as all were told the same.

        Units: now in seconds.
        """
        equal = 1.0 / max(1, entry_count)
        busiest = self.busiest(now)
        if busiest is None or entry_count < 2:
            return equal
        if busiest.entry_id == self.entry_id:
            by_load = busiest.fraction
        else:
            by_load = (1.0 - busiest.fraction) / (entry_count - 1)
        return EQUAL_FRACTION * equal + (1.0 - EQUAL_FRACTION) * max(0.0, by_load)


def _is_nearly_equal(known: BusiestEntry, told: BusiestEntry) -> bool:
    """Return whether it makes no difference which of two is believed."""
    change = abs(known.fraction - told.fraction)
    return known.entry_id == told.entry_id and change < MIN_FRACTION_CHANGE
