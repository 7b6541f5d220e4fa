"""Decide how long a call to the store waits, by how soon an entry must hear of news.

Asked before each call that follows a kind of object. Every watch is paid for, and a
change ends it at once however long it waits; its end without one only helps where a
store that was silent or compacts its history never answers it. Entries tell each other
what they hear, so the more of them live, the longer each may wait; but one event may
leave the watches of all of them unanswered, so none waits longer than it may alone.
"""

# Entries that together hear of a change as soon as one with the least wait.
SHARING_ENTRIES_COUNT = 3
# Most that a watch waits in place of its least.
MAX_WAIT_FACTOR = 2.6
# Parts of the wait between which each is drawn, so that entries that started together
# do not end their watches together.
WATCH_SPREAD = (0.75, 1.0)
# Seconds beyond its wait after which a watch is given up.
WATCH_MARGIN_S = 0.35
# Seconds kept of the time to catch up for the answer that ends it, which may be a large
# configuration over a slow link.
ANSWER_RESERVE_S = 0.6
# Least seconds that a watch waits where there is hardly any time to catch up, so that
# watches do not follow each other without a pause.
MIN_WAIT_S = 0.2
# Most seconds until the first byte of a call that waits for no change. A store whose
# answers take 1.5 s is followed with it.
MAX_CALL_S = 2.0


def longest_watch_s(resync_s: float) -> float:
    """Return how long a watch may wait that is perhaps never answered.

    `resync_s` is the time to catch up after trouble with the store: entries that all
    wait for answers which never come would hear nothing for longer.

    Units: seconds.
    """
    return max(MIN_WAIT_S, resync_s - WATCH_MARGIN_S - ANSWER_RESERVE_S)


def longest_call_s(resync_s: float) -> float:
    """Return how long a call that waits for no change may take to its first byte.

    Units: seconds.
    """
    return max(MIN_WAIT_S, min(MAX_CALL_S, resync_s - ANSWER_RESERVE_S))


def watch_s(alone_s: float, live_peers: int, drawn: float, *, resync_s: float) -> float:
    """Return how long a watch waits, where this entry alone would wait `least_s`.

    `drawn` is a number from 0 to 1 that was drawn at random, `resync_s` the time to
    catch up after trouble with the store.

    Units: seconds.
    """
    bound_s = longest_watch_s(resync_s)
    alone_s = min(alone_s, bound_s)
    factor = min(MAX_WAIT_FACTOR, (1 + live_peers) / SHARING_ENTRIES_COUNT)
    if factor <= 1.0:
        return alone_s
    low, high = WATCH_SPREAD
    spread = low + drawn * (high - low)
    return max(alone_s, min(alone_s * factor, bound_s) * spread)
