"""Tell whether another entry is less late than this one.

A caller whose connection is closed unread tries another entry. That helps it only if
some other entry is less late: where the processes of all entries are short of processor
time alike, it is closed there as well. So entries tell each other for which fraction of
the time their event loops are late.

What peers tell is older than what this entry knows of itself. Where all become late at
once, each would find the others on time. So the own fraction counts as it was told
some heartbeats before, if it was less then.

Owns the fractions that peers told, and the last ones that were told to them. An entry
that tells nothing is of an older build; it counts as on time, since it may be.
"""

from collections import deque

import msgspec

from leadford.common import EntryId

# Time after which what a peer told no longer counts.
FRESH_S = 1.0
# A peer is less late if its fraction is less than this part of the own one.
LESS_LATE_FACTOR = 0.5
# Own fractions that are remembered, one each heartbeat.
OWN_TOLD_COUNT = 3
# What an entry tells that takes no callers.
TAKES_NO_CALLERS = 1.0


class _ToldDelay(msgspec.Struct, frozen=True):
    """Hold the fraction that a peer told, and when.

    Units: told_at in seconds.
    """

    fraction: float
    told_at: float


class PeerDelays:
    """Hold for which fraction of the time other entries are late."""

    def __init__(self) -> None:
        self.told_by_peer_: dict[EntryId, _ToldDelay] = {}
        self.own_told_: deque[float] = deque(maxlen=OWN_TOLD_COUNT)

    def record_own(self, fraction: float) -> None:
        """Record what this entry tells its peers."""
        self.own_told_.append(fraction)

    def record(self, peer_id: EntryId, fraction: float | None, now: float) -> None:
        """Record what a live peer told, None if its build tells nothing.

        Units: now in seconds.
        """
        self.told_by_peer_[peer_id] = _ToldDelay(fraction or 0.0, now)

    def forget(self, peer_id: EntryId) -> None:
        """Forget a peer whose connection ended."""
        self.told_by_peer_.pop(peer_id, None)

    def least(self, now: float) -> float | None:
        """Return the least fraction of all live peers, None if none is known.

        Units: now in seconds.
        """
        told = [
            told.fraction
            for told in self.told_by_peer_.values()
            if now - told.told_at <= FRESH_S
        ]
        return min(told, default=None)

    def is_any_less_late(self, own_fraction: float, now: float) -> bool:
        """Return whether some peer is known to be less late.

        Units: now in seconds.
        """
        least = self.least(now)
        own_fraction = min([own_fraction, *self.own_told_])
        return least is not None and least < LESS_LATE_FACTOR * own_fraction
