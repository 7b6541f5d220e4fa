"""Decide which entries follow the store for all, and when others query it themselves.

Each change of an endpoint ends the watches of all entries at once, so the cost of a
change grows with the fleet. In a large fleet only a few entries follow the store; the
others learn from them what changed, and how long ago the store confirmed that nothing
is missing. An entry whose newest confirmation is too old queries the store itself,
whatever the reason: the followers or the store may be lost, cut off, slow, stopped or
unresponsive. So the data of an entry is never older than `max_confirmation_age_s` plus
one call, and no message or lease is needed to agree on the followers.

The records of lost entries may stay in the store. Therefore each entry leaves out those
that it has dialed in vain (`_reach`), and draws the next ones. Entries that cannot
reach each other draw different followers until they can: each half of a fleet has its
own, and as nobody is forgotten, both halves agree again once they are linked.
"""

from collections.abc import Collection, Iterable, Sequence

from leadford.common import EntryId, HallId
from leadford.forwarding.batching import GroupId, RegionMap, schedulers_in_order
from leadford.forwarding.membership._watch import (
    ANSWER_RESERVE_S,
    MIN_WAIT_S,
    WATCH_SPREAD,
    longest_watch_s,
)

# Number of entries that follow the store for the others: after the loss of any two, one
# is left, and because their watches end at different times, the newest confirmation is
# younger than one watch.
FOLLOWERS_COUNT = 3
# Minimum number of entries at which only the followers watch the store. In a smaller
# fleet each entry follows the store itself: three followers of six entries would save
# only half of the calls, and news would need two steps.
RELAY_MIN_ENTRIES = 8
# Maximum wait of a follower's watch as a fraction of `max_confirmation_age_s`: if all
# watches are lost at once, for example because the store discarded its history, the
# next ones are answered before all entries query the store.
FOLLOWER_WATCH_FRACTION = 0.5


def store_followers(
    halls_by_entry: dict[EntryId, HallId],
    groups: Iterable[GroupId],
    regions: RegionMap,
    unreached: Collection[EntryId] = (),
) -> set[EntryId]:
    """Return the entries that follow the store.

    These are the first candidates to schedule groups, because every entry holds links
    to them, and then the second candidates; the next ones follow in place of those that
    are `unreached`. Without groups, every entry follows.
    """
    if len(halls_by_entry) < RELAY_MIN_ENTRIES:
        return set(halls_by_entry)
    reachable = {
        entry: hall for entry, hall in halls_by_entry.items() if entry not in unreached
    }
    orders = [
        schedulers_in_order(group, reachable, regions)
        for group in sorted(groups, key=lambda group: group.key)
    ]
    followers = _first_of_each(orders)
    return set(followers) or set(halls_by_entry)


def _first_of_each(orders: Sequence[Sequence[EntryId]]) -> list[EntryId]:
    """Return the first entry of each order, then the second, up to the maximum."""
    followers: list[EntryId] = []
    for rank in (0, 1):
        for order in orders:
            if len(followers) >= FOLLOWERS_COUNT:
                return followers
            if rank < len(order) and order[rank] not in followers:
                followers.append(order[rank])
    return followers


def max_confirmation_age_s(bound_s: float) -> float:
    """Return the maximum age of the newest confirmation without a query to the store.

    `bound_s` is the time within which this entry must know of a change. The remainder
    is reserved for the query that follows.

    Units: seconds.
    """
    return max(MIN_WAIT_S, bound_s - ANSWER_RESERVE_S)


def follower_watch_s(bound_s: float, resync_s: float, random_fraction: float) -> float:
    """Return how long the watch of a follower waits.

    `random_fraction` is a random number from 0 to 1, so that followers that started
    together do not end their watches together.

    Units: seconds.
    """
    low, high = WATCH_SPREAD
    max_s = min(
        longest_watch_s(resync_s),
        FOLLOWER_WATCH_FRACTION * max_confirmation_age_s(bound_s),
    )
    return max(MIN_WAIT_S, max_s * (low + random_fraction * (high - low)))
