"""Decide when a late entry leaves the scheduling of groups to other entries.

The scheduler of a group delays the pieces of all entries by what it is late itself. So
it hands over once it has been late for a good part of the last time, and takes back
once it has been on time for some seconds. It waits longer after each early relapse,
since the role itself may be what makes it late.

Owns whether this entry yields. The server calls `update` after each measured turn, and
tells the other entries.
"""

import math

# Time over which the fraction is averaged, and the fraction from which an entry yields.
LATE_TIME_CONSTANT_S = 0.5
MIN_LATE_FRACTION = 0.3
# One measured turn stands for at most this time.
MAX_STEP_S = 0.1
# Time on time after which an entry takes back, and its limit after relapses.
MIN_ON_TIME_S = 5.0
MAX_ON_TIME_S = 60.0
RELAPSE_FACTOR = 2.0


class ScheduleHandover:
    """Hold whether this entry leaves the scheduling of groups to others."""

    def __init__(self) -> None:
        self.is_yielding_ = False
        self.late_fraction_ = 0.0
        self.updated_at_: float | None = None
        # When this entry was late, or still recovered from that, for the last time.
        self.late_at_ = float("-inf")
        self.taken_back_at_ = float("-inf")
        self.on_time_s_ = MIN_ON_TIME_S

    def update(self, now: float, *, lags: bool, recovers: bool) -> None:
        """Record whether the entry lags now, and whether it still recovers from that.

        Units: now in seconds.
        """
        self._average(lags, now)
        if lags or recovers:
            self.late_at_ = now
        if not self.is_yielding_ and self.late_fraction_ >= MIN_LATE_FRACTION:
            self._yield(now)
        elif self.is_yielding_ and now - self.late_at_ >= self.on_time_s_:
            self.is_yielding_ = False
            self.taken_back_at_ = now

    def _average(self, lags: bool, now: float) -> None:
        step_s = 0.0
        if self.updated_at_ is not None:
            step_s = min(MAX_STEP_S, now - self.updated_at_)
        self.updated_at_ = now
        weight = 1.0 - math.exp(-step_s / LATE_TIME_CONSTANT_S)
        self.late_fraction_ += weight * (float(lags) - self.late_fraction_)

    def _yield(self, now: float) -> None:
        self.is_yielding_ = True
        is_relapse = now - self.taken_back_at_ < MAX_ON_TIME_S
        longer_s = min(MAX_ON_TIME_S, RELAPSE_FACTOR * self.on_time_s_)
        self.on_time_s_ = longer_s if is_relapse else MIN_ON_TIME_S
