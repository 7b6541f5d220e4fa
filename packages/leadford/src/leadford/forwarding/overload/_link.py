"""Tell from round trips to other entries how long packets wait at this entry's link.

A link that is full delays all round trips alike, in either direction. What a peer, its
own link or the way to it delays concerns that peer only, and a large message delays
only the trips beside it. So the shortest of several trips in a row counts, to more than
one peer. What the event loop of this entry delays is subtracted before.

Owns the shortest round trip of each peer, the last trips and those under way. The
server chooses the peers and makes the round trips.
"""

from collections import deque

import msgspec

from leadford.common import EntryId

# Packets may wait for this long. A request passes the link about six times: from its
# caller, to an endpoint, and back, and its stages twice.
MAX_CALM_WAIT_S = 0.050
# Trips in a row that must all be slow, and the peers that they go to at least.
STANDING_TRIP_COUNT = 5
MIN_PEER_COUNT = 2


class LinkTrip(msgspec.Struct, frozen=True):
    """Hold how much longer than the shortest a trip to a peer took.

    Units: seconds.
    """

    peer_id: EntryId
    wait_s: float


class LinkWaits:
    """Hold the round trips to peers, and tell how long packets wait at the link."""

    def __init__(self) -> None:
        self.shortest_by_peer_: dict[EntryId, float] = {}
        self.began_by_peer_: dict[EntryId, float] = {}
        self.last_: deque[LinkTrip] = deque(maxlen=STANDING_TRIP_COUNT)

    def begin(self, peer_id: EntryId, now: float) -> bool:
        """Record that a trip begins; return False if one is still under way.

        Units: now in seconds.
        """
        if peer_id in self.began_by_peer_:
            return False
        self.began_by_peer_[peer_id] = now
        return True

    def end(self, peer_id: EntryId, elapsed_s: float) -> None:
        """Record how long a trip took without what this entry delayed itself.

        Units: seconds.
        """
        self.began_by_peer_.pop(peer_id, None)
        shortest_s = min(elapsed_s, self.shortest_by_peer_.get(peer_id, elapsed_s))
        self.shortest_by_peer_[peer_id] = shortest_s
        self.last_.append(LinkTrip(peer_id, elapsed_s - shortest_s))

    def forget(self, peer_id: EntryId) -> None:
        """Forget a peer whose connection ended."""
        self.shortest_by_peer_.pop(peer_id, None)
        self.began_by_peer_.pop(peer_id, None)

    def wait_s(self, now: float) -> float:
        """Return how long packets have been waiting at the link in all last trips.

        Units: seconds; 0 if too few trips are known.
        """
        trips = [*self.last_, *self._slow_under_way(now)][-STANDING_TRIP_COUNT:]
        peer_count = len({trip.peer_id for trip in trips})
        if len(trips) < STANDING_TRIP_COUNT or peer_count < MIN_PEER_COUNT:
            return 0.0
        return max(0.0, min(trip.wait_s for trip in trips))

    def _slow_under_way(self, now: float) -> list[LinkTrip]:
        """Return the trips under way that are known to be slow already."""
        trips = [
            LinkTrip(peer_id, now - began_at - self.shortest_by_peer_[peer_id])
            for peer_id, began_at in self.began_by_peer_.items()
            if peer_id in self.shortest_by_peer_
        ]
        return [trip for trip in trips if trip.wait_s > MAX_CALM_WAIT_S]

    def is_slow(self, now: float) -> bool:
        """Return whether the last trip was slow, so that more are to be made.

        Units: now in seconds.
        """
        trips = [*self.last_, *self._slow_under_way(now)]
        return bool(trips) and trips[-1].wait_s > MAX_CALM_WAIT_S
