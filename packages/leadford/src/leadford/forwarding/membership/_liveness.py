"""Decide whether another entry lives, by when it was last heard.

Asked by the links to other entries. Heartbeats say who lives; the store only says who
exists, so its outage changes nothing. Groups of a dead entry are scheduled by the next
one in their order.

The load pattern: a busy machine, or a suspended one, lets an entry not run for a second
or more. What its peers said meanwhile waits to be read, and all of them look silent at
once; the entry then scheduled every group and placed every prompt by itself until it
had read on. So silence is counted in the time in which this entry itself looked.
"""

from leadford.common import EntryId

# Seconds after its last message for which an entry counts as alive.
LIVE_TIMEOUT_S = 0.9
# Times of that, after which a silent peer is disconnected.
SILENT_TIMEOUT_FACTOR = 3
# Seconds between two looks that count as time in which this entry ran: a heartbeat, its
# spread and a third more. For the rest it was held up.
MAX_LOOK_INTERVAL_S = 0.3


class HeardPeers:
    """Remember when each peer was heard, in the time that this entry ran."""

    def __init__(self) -> None:
        self.heard_at_by_id_: dict[EntryId, float] = {}
        self.looked_at_: float | None = None
        self.suspended_s_ = 0.0

    def look(self, now: float) -> None:
        """Record that this entry runs; called with each of its heartbeats."""
        self.suspended_s_ += self._suspended_since_look_s(now)
        self.looked_at_ = now

    def record_heard(self, entry_id: EntryId, now: float) -> None:
        """Record that a message of a peer was read."""
        self.heard_at_by_id_[entry_id] = self._running_time_s(now)

    def is_live(self, entry_id: EntryId, now: float) -> bool:
        """Tell whether a peer was heard a short while ago."""
        heard_at = self.heard_at_by_id_.get(entry_id)
        return (
            heard_at is not None
            and self._running_time_s(now) - heard_at < LIVE_TIMEOUT_S
        )

    def is_silent(self, entry_id: EntryId, now: float) -> bool:
        """Tell whether a connected peer has stopped to send heartbeats."""
        heard_at = self.heard_at_by_id_.get(entry_id)
        if heard_at is None:
            return False
        return (
            self._running_time_s(now) - heard_at
            > SILENT_TIMEOUT_FACTOR * LIVE_TIMEOUT_S
        )

    def _running_time_s(self, now: float) -> float:
        """Return the seconds in which this entry ran, from an arbitrary start."""
        return now - self.suspended_s_ - self._suspended_since_look_s(now)

    def _suspended_since_look_s(self, now: float) -> float:
        """Return for how long this entry has been held up since it looked last."""
        if self.looked_at_ is None:
            return 0.0
        return max(0.0, now - self.looked_at_ - MAX_LOOK_INTERVAL_S)
