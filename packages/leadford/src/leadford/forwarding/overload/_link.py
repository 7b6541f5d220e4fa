"""Tell from round trips to other entries how long packets wait at this entry's link.

A link that is full delays all round trips alike, in either direction. What a peer, its
own link or the way to it delays concerns that peer only, so the fastest of several
peers counts. What the event loop of this entry delays is subtracted before.

Owns the shortest and the last round trip of each peer, and the trips under way. The
server chooses the peers and makes the round trips.
"""

import msgspec

from leadford.common import EntryId

# Packets may wait for this long. A request passes the link about six times: from its
# caller, to an endpoint, and back, and its stages twice.
MAX_CALM_WAIT_S = 0.030
# Peers that must all be slow.
MIN_PEER_COUNT = 2
# A round trip that is older says nothing.
MAX_TRIP_AGE_S = 1.5


class PeerTrips(msgspec.Struct):
    """Hold the round trips to one peer.

    Units: seconds; `began_at` is None while no trip is under way.
    """

    shortest_s: float = float("inf")
    last_s: float = 0.0
    ended_at: float = float("-inf")
    began_at: float | None = None

    def wait_s(self, now: float) -> float | None:
        """Return how much longer than the shortest a trip takes; None if unknown."""
        waits = []
        if now - self.ended_at <= MAX_TRIP_AGE_S:
            waits.append(self.last_s - self.shortest_s)
        if self.began_at is not None and self.shortest_s < float("inf"):
            waits.append(now - self.began_at - self.shortest_s)
        return max(waits) if waits else None


class LinkWaits:
    """Hold the round trips to peers, and tell how long packets wait at the link."""

    def __init__(self) -> None:
        self.trips_by_peer_: dict[EntryId, PeerTrips] = {}

    def begin(self, peer_id: EntryId, now: float) -> bool:
        """Record that a trip begins; return False if one is still under way.

        Units: now in seconds.
        """
        trips = self.trips_by_peer_.setdefault(peer_id, PeerTrips())
        if trips.began_at is not None:
            return False
        trips.began_at = now
        return True

    def end(self, peer_id: EntryId, elapsed_s: float, now: float) -> None:
        """Record how long a trip took without what this entry delayed itself.

        Units: seconds.
        """
        trips = self.trips_by_peer_.get(peer_id)
        if trips is None:
            return
        trips.began_at = None
        trips.shortest_s = min(trips.shortest_s, elapsed_s)
        trips.last_s = elapsed_s
        trips.ended_at = now

    def forget(self, peer_id: EntryId) -> None:
        """Forget a peer whose connection ended."""
        self.trips_by_peer_.pop(peer_id, None)

    def wait_s(self, now: float) -> float:
        """Return how long packets wait at the link, by the fastest peer.

        Units: seconds; 0 if too few peers are known.
        """
        waits = [trips.wait_s(now) for trips in self.trips_by_peer_.values()]
        known = [wait_s for wait_s in waits if wait_s is not None]
        if len(known) < MIN_PEER_COUNT:
            return 0.0
        return max(0.0, min(known))

    def is_full(self, now: float) -> bool:
        """Return whether packets wait for too long.

        Units: now in seconds.
        """
        return self.wait_s(now) > MAX_CALM_WAIT_S
