"""Measure turns of the event loop, and report when this entry is late itself.

`leadford.forwarding.overload` decides what the turns mean. Owns the timer of the
measurement; a measurement takes one timer and two callbacks of the loop.
"""

import asyncio
import time
from collections.abc import Callable

from leadford.events import Event
from leadford.forwarding.overload import MAX_CALM_TURN_S, LoopTurns
from leadford_server.logs import EventLog
from leadford_server.metrics import LOOP_DELAY_SECONDS, LOOP_TURN_SECONDS

# Time between two measurements, while turns are short and while they are long.
CALM_INTERVAL_S = 0.05
BUSY_INTERVAL_S = 0.005
# Time between two log lines while the entry is late, and after which it is on time.
REPORT_INTERVAL_S = 1.0


class TurnProbe:
    """Measure turns from `start` until `stop`.

    `on_turn` is called after each measured turn. `is_late` returns whether the entry is
    late, and `load_fields` the log fields that tell what it holds.
    """

    def __init__(
        self,
        *,
        turns: LoopTurns,
        loop: asyncio.AbstractEventLoop,
        log: EventLog,
        on_turn: Callable[[float], None],
        is_late: Callable[[float], bool],
        load_fields: Callable[[], dict[str, int | float | str]],
    ) -> None:
        self.turns = turns
        self.loop = loop
        self.log = log
        self.on_turn = on_turn
        self.is_late = is_late
        self.load_fields = load_fields
        self.timer_: asyncio.TimerHandle | None = None
        self.began_at_ = 0.0
        # Processor time of the thread at the begin of the turn.
        self.began_used_s_ = 0.0
        self.late_at_ = float("-inf")
        self.reported_at_ = float("-inf")
        self.is_reported_late_ = False
        # Processor time and clock of the last report.
        self.used_s_ = time.process_time()
        self.used_at_ = loop.time()

    def start(self) -> None:
        """Begin to measure."""
        is_busy = (
            bool(self.turns.last_) and self.turns.last_[-1].turn_s > MAX_CALM_TURN_S
        )
        interval_s = BUSY_INTERVAL_S if is_busy else CALM_INTERVAL_S
        due_at = self.loop.time() + interval_s
        self.turns.begin(due_at)
        self.timer_ = self.loop.call_later(interval_s, self._begin_turn)

    def stop(self) -> None:
        """End the measurement."""
        if self.timer_ is not None:
            self.timer_.cancel()
            self.timer_ = None

    def _begin_turn(self) -> None:
        # A callback that runs among the timers would miss a part of the turn.
        self.loop.call_soon(self._mark_begin)

    def _mark_begin(self) -> None:
        self.began_at_ = self.loop.time()
        self.began_used_s_ = time.thread_time()
        self.loop.call_soon(self._end_turn)

    def _end_turn(self) -> None:
        if self.timer_ is None:
            return
        now = self.loop.time()
        worked_s = time.thread_time() - self.began_used_s_
        self.turns.record(now - self.began_at_, now, worked_s=worked_s)
        self.on_turn(now)
        self._report(now)
        self.start()

    def _report(self, now: float) -> None:
        """Log that the entry is late, each second while it is, and once it is not."""
        turns = self.turns
        if self.is_late(now):
            self.late_at_ = now
        is_late = now - self.late_at_ < REPORT_INTERVAL_S
        is_due = is_late and now - self.reported_at_ >= REPORT_INTERVAL_S
        if is_late == self.is_reported_late_ and not is_due:
            return
        self.is_reported_late_ = is_late
        self.reported_at_ = now
        self.log.report(
            Event.ENTRY_LATE,
            is_late=is_late,
            turn_ms=round(turns.standing_s * 1_000.0, 1),
            worked_ms=round(turns.standing_worked_s * 1_000.0, 1),
            late_part=round(turns.delay_fraction_, 2),
            delay_ms=round(turns.total_delay_s(now) * 1_000.0),
            processor=self._processor_fraction(now),
            **self.load_fields(),
        )

    def _processor_fraction(self, now: float) -> float:
        """Return the processor time per time since the last call."""
        used_s = time.process_time()
        elapsed_s = max(BUSY_INTERVAL_S, now - self.used_at_)
        fraction = (used_s - self.used_s_) / elapsed_s
        self.used_s_, self.used_at_ = used_s, now
        return round(fraction, 2)

    def export(self) -> None:
        """Write the turns and the delay to the metrics."""
        LOOP_TURN_SECONDS.set(self.turns.standing_s)
        total_s = self.turns.total_delay_s(self.loop.time())
        LOOP_DELAY_SECONDS.set(total_s)
