"""Decide whether another entry is alive, by the time of its last message.

Called by the links to other entries. Heartbeats show which entries are alive; the store
only shows which exist, so a store outage changes nothing. The groups of a dead entry
are scheduled by the next entry in their order.

On a busy or suspended machine, an entry may not run for a second or more. The messages
of its peers then wait unread, and all peers seem silent at once; the entry would
schedule every group and place every prompt itself until it has read them. Therefore
silence is measured only in the time in which this entry itself was running.
"""

from leadford.common import EntryId

# How long an entry counts as alive after its last message.
LIVE_TIMEOUT_S = 0.9
# Multiple of LIVE_TIMEOUT_S after which a silent peer is disconnected.
SILENT_TIMEOUT_FACTOR = 3
# Longest time between two calls of `record_running` that counts as running time: a
# heartbeat interval, its spread and a third more. Beyond it this entry was suspended.
MAX_LOOK_INTERVAL_S = 0.3


class PeerLiveness:
    """Record when each peer was last heard, in the running time of this entry."""

    def __init__(self) -> None:
        self.heard_at_by_id_: dict[EntryId, float] = {}
        self.looked_at_: float | None = None
        self.suspended_s_ = 0.0

    def record_running(self, now: float) -> None:
        """Record that this entry is running; called with each of its heartbeats."""
        self.suspended_s_ += self._suspended_since_look_s(now)
        self.looked_at_ = now

    def record_heard(self, entry_id: EntryId, now: float) -> None:
        """Record that a message of a peer was read."""
        self.heard_at_by_id_[entry_id] = self._running_time_s(now)

    def is_live(self, entry_id: EntryId, now: float) -> bool:
        """Tell whether a peer counts as alive."""
        heard_at = self.heard_at_by_id_.get(entry_id)
        return (
            heard_at is not None
            and self._running_time_s(now) - heard_at < LIVE_TIMEOUT_S
        )

    def is_silent(self, entry_id: EntryId, now: float) -> bool:
        """Tell whether a connected peer has stopped sending heartbeats."""
        heard_at = self.heard_at_by_id_.get(entry_id)
        if heard_at is None:
            return False
        return (
            self._running_time_s(now) - heard_at
            > SILENT_TIMEOUT_FACTOR * LIVE_TIMEOUT_S
        )

    def _running_time_s(self, now: float) -> float:
        """Return the running time of this entry in seconds, from an arbitrary start."""
        return now - self.suspended_s_ - self._suspended_since_look_s(now)

    def _suspended_since_look_s(self, now: float) -> float:
        """Return how long this entry was suspended since the last `record_running`."""
        if self.looked_at_ is None:
            return 0.0
        return max(0.0, now - self.looked_at_ - MAX_LOOK_INTERVAL_S)
