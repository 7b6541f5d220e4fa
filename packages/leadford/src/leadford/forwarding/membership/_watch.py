"""Decide how long a watch waits, by how soon an entry must learn of a change.

Called before each call that follows a kind of object. Every watch has a cost, and a
change ends it at once however long it waits. Ending a watch without a change only helps
where a store that was silent or compacts its history never answers it. Entries forward
news to each other, so the more of them are alive, the longer each may wait. But one
event may leave the watches of all entries unanswered, so none waits longer than an
entry may on its own.
"""

# Number of entries that together learn of a change as soon as a single entry with the
# minimum wait.
SHARING_ENTRIES_COUNT = 3
# Maximum factor by which the wait of a watch is extended.
MAX_WAIT_FACTOR = 2.6
# Range of the random factor of each wait, so that entries that started together do not
# end their watches together.
WATCH_SPREAD = (0.75, 1.0)
# Time beyond its wait after which a watch is abandoned.
WATCH_MARGIN_S = 0.35
# Part of the time to catch up that is reserved for the final answer, which may be a
# large configuration over a slow link.
ANSWER_RESERVE_S = 0.6
# Minimum wait of a watch where there is hardly any time to catch up, so that watches do
# not follow each other without a pause.
MIN_WAIT_S = 0.2
# Maximum time until a call that does not wait for a change is repeated, unless a byte
# of its answer has arrived.
MAX_CALL_S = 2.0


def longest_watch_s(resync_s: float) -> float:
    """Return the maximum wait of a watch, which may never be answered.

    `resync_s` is the time to catch up after a fault of the store: if all entries wait
    for answers that never arrive, a longer wait would leave them without news for more
    than that time.

    Units: seconds.
    """
    return max(MIN_WAIT_S, resync_s - WATCH_MARGIN_S - ANSWER_RESERVE_S)


def max_call_s(resync_s: float) -> float:
    """Return the time until a call that does not wait is repeated without an answer.

    Units: seconds.
    """
    return max(MIN_WAIT_S, min(MAX_CALL_S, resync_s - ANSWER_RESERVE_S))


def watch_s(
    alone_s: float, live_peers: int, random_fraction: float, *, resync_s: float
) -> float:
    """Return how long a watch waits, where this entry alone would wait `alone_s`.

    `random_fraction` is a random number from 0 to 1, `resync_s` the time to catch up
    after a fault of the store.

    Units: seconds.
    """
    bound_s = longest_watch_s(resync_s)
    alone_s = min(alone_s, bound_s)
    factor = min(MAX_WAIT_FACTOR, (1 + live_peers) / SHARING_ENTRIES_COUNT)
    if factor <= 1.0:
        return alone_s
    low, high = WATCH_SPREAD
    spread = low + random_fraction * (high - low)
    return max(alone_s, min(alone_s * factor, bound_s) * spread)
