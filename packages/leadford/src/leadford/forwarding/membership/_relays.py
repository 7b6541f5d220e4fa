"""Decide which entries follow the store for all, and when another one asks it itself.

The load pattern: each change of an endpoint ends the watches of all entries at once, so
what a change costs grows with the fleet. Where many entries live, a few follow the
store; the others hear from them what changed, and how long ago the store confirmed that
nothing is missing. An entry whose newest confirmation is too old asks the store by
itself, whatever the reason: the relays are lost, cut off, slow, stopped or deaf, or the
store is. So what an entry knows is never older than `rest_s` and one call, with no
message and no lease to agree on who follows.
"""

from collections.abc import Iterable, Sequence

from leadford.common import EntryId, HallId
from leadford.forwarding.batching import GroupId, RegionMap, schedulers_in_order
from leadford.forwarding.membership._watch import (
    ANSWER_RESERVE_S,
    MIN_WAIT_S,
    WATCH_SPREAD,
    longest_watch_s,
)

# Entries that follow the store for the others: the loss of any two leaves one, and with
# watches that end at different moments the newest confirmation is younger than one
# watch.
FOLLOWERS_COUNT = 3
# Entries from which on the others rest. With fewer, each follows by itself: three of
# six would save half of the calls, and news would come in two steps.
RELAY_MIN_ENTRIES = 8
# Part of the rest of the others that the watch of a follower waits: where the watches
# of all are lost at once, such as by a history that was forgotten, the next ones are
# answered before everybody asks.
FOLLOWER_WATCH_FRACTION = 0.5


def store_followers(
    halls_by_entry: dict[EntryId, HallId],
    groups: Iterable[GroupId],
    regions: RegionMap,
) -> set[EntryId]:
    """Return the entries that follow the store.

    They are first candidates to schedule groups, because every entry holds links to
    these; the second ones come after the first. Without a group everybody follows.
    """
    if len(halls_by_entry) < RELAY_MIN_ENTRIES:
        return set(halls_by_entry)
    orders = [
        schedulers_in_order(group, halls_by_entry, regions)
        for group in sorted(groups, key=lambda group: group.key)
    ]
    followers = _first_of_each(orders)
    return set(followers) or set(halls_by_entry)


def _first_of_each(orders: Sequence[Sequence[EntryId]]) -> list[EntryId]:
    """Return the first of each order, then the second ones, until there are enough."""
    followers: list[EntryId] = []
    for rank in (0, 1):
        for order in orders:
            if len(followers) >= FOLLOWERS_COUNT:
                return followers
            if rank < len(order) and order[rank] not in followers:
                followers.append(order[rank])
    return followers


def rest_s(bound_s: float) -> float:
    """Return how old the newest confirmation may be while an entry asks nothing.

    `bound_s` is the time within which a change has to be known here. What is left of it
    is for the call that then follows.

    Units: seconds.
    """
    return max(MIN_WAIT_S, bound_s - ANSWER_RESERVE_S)


def follower_watch_s(bound_s: float, resync_s: float, drawn: float) -> float:
    """Return how long the watch of a follower waits, so that the others may rest.

    `drawn` is a number from 0 to 1 that was drawn at random: followers that started
    together do not end their watches together.

    Units: seconds.
    """
    low, high = WATCH_SPREAD
    max_s = min(longest_watch_s(resync_s), FOLLOWER_WATCH_FRACTION * rest_s(bound_s))
    return max(MIN_WAIT_S, max_s * (low + drawn * (high - low)))
