"""Decide which new connections an entry reads, and which it refuses or closes unread.

A caller whose connection is refused or closed unread tries another entry at once, and
nothing has run. A refused one also sends nothing over a link that is full; what has
connected has sent its request already, so it is read unless the event loop has been
late itself. What was read keeps its place: requests and streams under way go on. So new
connections give way first, as soon as the event loop lags behind or packets wait at the
link, and as many as it takes to keep up.

The rate of connections that are read is lowered each time the entry becomes late, and
raised slowly while it is on time. Until what waits has been worked off, only few are
read. Some always are: an entry that says it is ready takes connections. A link may also
be full of other things, such as a configuration, for all entries at once. So its state
never lowers the rate below the usual one.

A loop whose turns are filled by the entry's own work has more to do than it bears. One
that other processes hold up may bear all that comes, only later. Then connections are
closed only while another entry is less late, where their callers are served sooner, or
where turns are so long that callers would no longer wait for the answers.

Owns the rate. The server asks for each new connection, and calls `update` after each
measured turn.
"""

from enum import Enum

from leadford.common import EventRate, TokenBucket
from leadford.forwarding.overload._link import MAX_CALM_WAIT_S, LinkWaits
from leadford.forwarding.overload._peers import PeerDelays
from leadford.forwarding.overload._turns import MAX_CALM_TURN_S, LoopTurns

# Time between two steps that raise the rate.
RAISING_INTERVAL_S = 0.1
# Turns up to this duration are borne while other processes hold up all entries alike:
# about ten of them leave an answer in time for most callers.
MAX_BORNE_TURN_S = 0.040
# An entry that is still late after this time gets a lower rate again.
MAX_BACKLOG_S = 1.0
# Factors that lower the rate, by how late the entry is.
MIN_LOWERING = 0.75
MAX_LOWERING = 0.9
# Factor that raises it, below this fraction of the rate at which the entry became late,
# and above it.
KNOWN_FRACTION = 0.85
FAST_RAISING = 1.2
SLOW_RAISING = 1.03
RAISING_PER_S = 0.5
# Connections that are read in any case.
MIN_ADMITTED_PER_S = 5.0
# The rate may be exceeded for this time.
BURST_S = 0.05
# Fraction of these connections for which refusals end.
RESUMED_FRACTION = 0.5
# Time without a closed connection after which all are read again.
RECOVERY_S = 2.0
# Time after a closed connection in which kept ones are closed with their answers.
CLOSING_S = 1.0
ADMITTED_TIME_CONSTANT_S = 0.3
# Time over which the usual rate is averaged, while the entry is on time.
USUAL_TIME_CONSTANT_S = 20.0


class LateCause(Enum):
    """Say why fewer new connections are read."""

    NONE = ""
    OVERLOAD = "overload"
    HELD_UP = "held-up"
    LINK = "link"


class ConnectionAdmission:
    """Hold the rate of new connections that are read; None while all of them are."""

    def __init__(
        self,
        *,
        turns: LoopTurns,
        link: LinkWaits | None = None,
        peers: PeerDelays | None = None,
    ) -> None:
        self.turns = turns
        self.link = link or LinkWaits()
        self.peers = peers or PeerDelays()
        self.limit_per_s_: float | None = None
        # Why the rate was lowered last.
        self.cause_ = LateCause.NONE
        self.usual_ = EventRate(time_constant_s=USUAL_TIME_CONSTANT_S)
        # The usual rate when the entry became late.
        self.usual_per_s_ = 0.0
        # The rate at which the entry became late last.
        self.late_per_s_ = 0.0
        self.admitted_ = EventRate(time_constant_s=ADMITTED_TIME_CONSTANT_S)
        self.bucket_ = TokenBucket(rate_per_s=MIN_ADMITTED_PER_S, burst=1.0)
        self.raised_at_ = float("-inf")
        # When the rate was lowered, until the loop is on time again.
        self.lowered_at_: float | None = None
        self.shed_at_ = float("-inf")
        self.shed_count_ = 0
        # Whether connections were closed for the event loop since all were read.
        self.was_loop_late_ = False

    def admits(self, now: float) -> bool:
        """Return whether to read a new connection, and go on accepting others.

        Units: now in seconds.
        """
        if self.limit_per_s_ is not None and not self.bucket_.try_take(now):
            self.shed_at_ = now
            self.shed_count_ += 1
            return False
        self.admitted_.record(now)
        if self.limit_per_s_ is None:
            self.usual_.record(now)
        return True

    @property
    def reads_waiting(self) -> bool:
        """Return whether to read what has connected before new ones are refused."""
        return not self.was_loop_late_

    def pause_s(self, now: float) -> float:
        """Return for how long to refuse connections, after one that was not admitted.

        Units: seconds.
        """
        return self.bucket_.wait_s(now, max(1.0, RESUMED_FRACTION * self.bucket_.burst))

    def closes_kept(self, now: float) -> bool:
        """Return whether to close kept connections together with their answers.

        Then callers open new ones, which this entry may leave to others.

        Units: now in seconds.
        """
        return now - self.shed_at_ < CLOSING_S

    def is_late(self, now: float) -> bool:
        """Return whether the entry is late, or still recovers from that.

        Units: now in seconds.
        """
        if self.limit_per_s_ is not None or self.turns.is_late:
            return True
        return self._link_lateness(now) > 1.0

    def update(self, now: float) -> None:
        """Change the rate by the last turns of the loop.

        Units: now in seconds.
        """
        loop_lateness = self._loop_lateness(now)
        lateness = max(loop_lateness, self._link_lateness(now))
        self.was_loop_late_ |= loop_lateness > 1.0
        if lateness > 1.0:
            self._lower(lateness, now)
        elif self._is_held_up_alike(now):
            self._read_all(now)
        elif self.lowered_at_ is not None:
            self.lowered_at_ = None
            self.raised_at_ = now
        elif now - self.raised_at_ >= RAISING_INTERVAL_S:
            self.raised_at_ = now
            self._raise(now)
        self._apply(now)

    def _loop_lateness(self, now: float) -> float:
        """Return by which factor turns are longer than they may be.

        Turns that something else fills count while another entry is less late.
        """
        if self._is_overloaded or self._is_other_less_late(now):
            return self.turns.standing_s / MAX_CALM_TURN_S
        return 0.0

    @property
    def _is_overloaded(self) -> bool:
        """Return whether the entry has more to do than it bears."""
        if self.turns.standing_worked_s > MAX_CALM_TURN_S:
            return True
        return self.turns.standing_s > MAX_BORNE_TURN_S

    def _link_lateness(self, now: float) -> float:
        """Return by which factor packets wait longer than they may."""
        return self.link.wait_s(now) / MAX_CALM_WAIT_S

    def _is_other_less_late(self, now: float) -> bool:
        return self.peers.is_any_less_late(self.turns.delay_fraction_, now)

    def _is_held_up_alike(self, now: float) -> bool:
        """Return whether the limit helps nobody: all entries are held up alike."""
        return self.cause_ is LateCause.HELD_UP and not self._is_other_less_late(now)

    def _cause(self, now: float) -> LateCause:
        """Return why the rate is lowered now."""
        if self._is_overloaded:
            return LateCause.OVERLOAD
        if self._loop_lateness(now) > 1.0:
            return LateCause.HELD_UP
        return LateCause.LINK

    def _min_per_s(self, now: float) -> float:
        """Return the rate of connections that are read however late the entry is."""
        if self._loop_lateness(now) > 1.0:
            return MIN_ADMITTED_PER_S
        return max(MIN_ADMITTED_PER_S, self.usual_per_s_)

    def _lower(self, lateness: float, now: float) -> None:
        """Lower the rate, unless the entry still works off what came before."""
        if self.cause_ is not LateCause.OVERLOAD:
            self.cause_ = self._cause(now)
        was_late = self.lowered_at_ is not None
        if was_late and now - self.lowered_at_ < MAX_BACKLOG_S:
            return
        self.lowered_at_ = now
        per_s = self.limit_per_s_
        if per_s is None:
            self.usual_per_s_ = self.usual_.per_s(now)
        if not was_late:
            admitted_per_s = self.admitted_.per_s(now)
            per_s = min(admitted_per_s, self.limit_per_s_ or admitted_per_s)
            self.late_per_s_ = per_s
        factor = min(MAX_LOWERING, max(MIN_LOWERING, 1.0 / lateness))
        self.limit_per_s_ = max(self._min_per_s(now), per_s * factor)

    def _raise(self, now: float) -> None:
        if self.limit_per_s_ is None or now - self.shed_at_ >= RECOVERY_S:
            self._read_all(now)
            return
        is_known = self.limit_per_s_ < KNOWN_FRACTION * self.late_per_s_
        raising = FAST_RAISING if is_known else SLOW_RAISING
        self.limit_per_s_ = self.limit_per_s_ * raising + RAISING_PER_S

    def _read_all(self, now: float) -> None:
        """Read all connections from now on."""
        if self.limit_per_s_ is not None:
            self.usual_.set(self.usual_per_s_, now)
        self.limit_per_s_ = None
        self.lowered_at_ = None
        self.cause_ = LateCause.NONE
        self.was_loop_late_ = False

    def _apply(self, now: float) -> None:
        """Set the rate that is in force until the next update."""
        if self.limit_per_s_ is None:
            return
        is_held_up = self.cause_ is LateCause.HELD_UP
        works_off_backlog = self.lowered_at_ is not None and not is_held_up
        rate_per_s = self.limit_per_s_
        if works_off_backlog:
            rate_per_s = min(rate_per_s, self._min_per_s(now))
        self.bucket_.refill(now)
        self.bucket_.rate_per_s = rate_per_s
        self.bucket_.burst = max(1.0, rate_per_s * BURST_S)
        self.bucket_.tokens_ = min(self.bucket_.tokens_, self.bucket_.burst)
