"""Decide how long a call to the store waits, by how soon an entry must hear of news.

Asked before each call that follows a kind of object. Every watch is paid for, and a
change ends it at once however long it waits; its end without one only helps where a
store that was silent or compacts its history never answers it. Entries tell each other
what they hear, so the more of them live, the longer each may wait; but one event may
leave the watches of all of them unanswered, so none waits longer than it may alone.
"""

# Entries that together hear of a change as soon as one with the least wait.
ENTRIES_SHARING = 3
# Most that a watch waits in place of its least.
TIMES_MOST = 2.6
# Parts of the wait between which each is drawn, so that entries that started together
# do not end their watches together.
SPREAD = (0.75, 1.0)
# Seconds beyond its wait after which a watch is given up.
WATCH_MARGIN_S = 0.35
# Seconds kept of the time to catch up for the answer that ends it, which may be a large
# configuration over a slow link.
ANSWER_S = 0.6
# Least seconds that a watch waits where there is hardly any time to catch up, so that
# watches do not follow each other without a pause.
LEAST_S = 0.2
# Most seconds until the first byte of a call that waits for no change. A store whose
# answers take 1.5 s is followed with it.
CALL_MOST_S = 2.0


def longest_watch_s(resync_s: float) -> float:
    """Return how long a watch may wait that is perhaps never answered.

    `resync_s` is the time to catch up after trouble with the store: entries that all
    wait for answers which never come would hear nothing for longer.

    Units: seconds.
    """
    return max(LEAST_S, resync_s - WATCH_MARGIN_S - ANSWER_S)


def longest_call_s(resync_s: float) -> float:
    """Return how long a call that waits for no change may take to its first byte.

    Units: seconds.
    """
    return max(LEAST_S, min(CALL_MOST_S, resync_s - ANSWER_S))


def watch_s(least_s: float, live_peers: int, drawn: float, *, resync_s: float) -> float:
    """Return how long a watch waits, where this entry alone would wait `least_s`.

    `drawn` is a number from 0 to 1 that was drawn at random, `resync_s` the time to
    catch up after trouble with the store.

    Units: seconds.
    """
    bound_s = longest_watch_s(resync_s)
    least_s = min(least_s, bound_s)
    times = min(TIMES_MOST, (1 + live_peers) / ENTRIES_SHARING)
    if times <= 1.0:
        return least_s
    low, high = SPREAD
    spread = low + drawn * (high - low)
    return max(least_s, min(least_s * times, bound_s) * spread)
