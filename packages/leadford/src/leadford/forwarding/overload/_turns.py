"""Tell from the turns of the event loop how late this entry is itself.

In one turn the loop runs everything that is ready. While the processor keeps up, turns
are short and a timer fires on time. Beyond that, turns grow with what waits, and each
step of a request waits for a turn. A single long turn is no overload: something took
long once, or the process was held up. What endpoints or the store delay leaves turns
short, because the loop does not wait for them within a turn.

Turns are also long where the entry has little to do, but other processes hold the
processor. The processor time of a turn tells the two apart.

Owns the last turns, the sum of the delay, and its fraction of the last second. The
server measures one turn at a time, and schedules the next measurement.
"""

import math
from collections import deque
from collections.abc import Iterable

import msgspec

# A turn up to this duration is calm: a request passes through about ten of them.
MAX_CALM_TURN_S = 0.015
# Measured turns in a row that must be longer.
STANDING_TURN_COUNT = 3
# Two turns in a row that are longer than this are enough: a queue that grows with each
# turn would double in the third.
MAX_GROWING_TURN_S = 0.040
GROWING_TURN_COUNT = 2
# Fraction of a duration for which the loop may be late while it is measured.
MAX_DELAY_FRACTION = 0.25
# Timers are late by this much at times although the loop is idle.
MIN_DELAY_S = 0.004
# Time over which the fraction of delay is averaged.
DELAY_TIME_CONSTANT_S = 1.0


class LoopTurn(msgspec.Struct, frozen=True):
    """Hold the duration of a turn, and the processor time that it took.

    Units: seconds.
    """

    turn_s: float
    worked_s: float


class DelayMark(msgspec.Struct, frozen=True):
    """Hold a moment, and for how long the loop had been late until then.

    Units: seconds.
    """

    at: float
    delay_s: float


NO_DELAY = DelayMark(0.0, 0.0)


class LoopTurns:
    """Hold the last turns of the event loop, and sum up for how long it was late."""

    def __init__(self) -> None:
        self.last_: deque[LoopTurn] = deque(maxlen=STANDING_TURN_COUNT)
        # When the measurement under way ends if the loop is on time.
        self.due_at_ = float("inf")
        self.delay_s_ = 0.0
        # Fraction of the last time for which the loop was late.
        self.delay_fraction_ = 0.0
        self.recorded_at_: float | None = None

    def begin(self, due_at: float) -> None:
        """Record until when a measurement lasts if the loop is on time.

        Units: due_at in seconds.
        """
        self.due_at_ = due_at

    def record(
        self, turn_s: float, now: float, *, worked_s: float | None = None
    ) -> None:
        """Record a turn at the end of its measurement.

        A turn whose processor time is not known counts as worked.

        Units: seconds.
        """
        total_s = self.total_delay_s(now)
        self._average_delay(total_s - self.delay_s_, now)
        self.delay_s_ = total_s
        self.due_at_ = float("inf")
        self.last_.append(LoopTurn(turn_s, turn_s if worked_s is None else worked_s))

    def _average_delay(self, late_s: float, now: float) -> None:
        """Count for how long the loop was late since the last turn."""
        last_at = self.recorded_at_
        self.recorded_at_ = now
        if last_at is None or now <= last_at:
            return
        elapsed_s = now - last_at
        weight = 1.0 - math.exp(-elapsed_s / DELAY_TIME_CONSTANT_S)
        fraction = min(1.0, late_s / elapsed_s)
        self.delay_fraction_ += weight * (fraction - self.delay_fraction_)

    @property
    def standing_s(self) -> float:
        """Return the duration that each of the last turns had at least.

        Units: seconds; 0 until enough turns are known.
        """
        return _standing_s(turn.turn_s for turn in self.last_)

    @property
    def standing_worked_s(self) -> float:
        """Return the processor time that each of the last turns took at least.

        Units: seconds; 0 until enough turns are known.
        """
        return _standing_s(turn.worked_s for turn in self.last_)

    @property
    def is_late(self) -> bool:
        """Tell whether the loop lags behind what is ready to run."""
        return self.standing_s > MAX_CALM_TURN_S

    def total_delay_s(self, now: float) -> float:
        """Return for how long the loop was late since the start of the process.

        The difference of two values is what this entry itself delayed in between.

        Units: seconds.
        """
        late_s = now - self.due_at_
        return self.delay_s_ + (late_s if late_s > MIN_DELAY_S else 0.0)

    def mark(self, now: float) -> DelayMark:
        """Return the mark of a moment from which something is timed.

        Units: now in seconds.
        """
        return DelayMark(now, self.total_delay_s(now))

    def delay_since_s(self, mark: DelayMark, now: float) -> float:
        """Return for how long the loop was late since a moment.

        Units: seconds.
        """
        return min(now - mark.at, self.total_delay_s(now) - mark.delay_s)

    def min_elapsed_s(self, mark: DelayMark, now: float) -> float:
        """Return the time since a moment less all that the loop was late.

        What others took is longer where they worked while the loop was late.

        Units: seconds.
        """
        return now - mark.at - self.delay_since_s(mark, now)

    def measured_s(self, mark: DelayMark, now: float) -> float | None:
        """Return the time since a moment, None if the loop was late for much of it.

        Then it does not tell how long others took.

        Units: seconds.
        """
        elapsed_s = now - mark.at
        if self.delay_since_s(mark, now) > MAX_DELAY_FRACTION * elapsed_s:
            return None
        return elapsed_s


def _standing_s(last: Iterable[float]) -> float:
    """Return the least of the last durations, or of two that grow."""
    durations = list(last)
    growing = durations[-GROWING_TURN_COUNT:]
    if len(growing) == GROWING_TURN_COUNT and min(growing) > MAX_GROWING_TURN_S:
        return min(growing)
    return min(durations) if len(durations) == STANDING_TURN_COUNT else 0.0
