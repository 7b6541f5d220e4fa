"""Decide how long a watch of the store waits, by how many entries share the news.

Called before each watch. Every watch is paid for, and a change ends it at once however
long it waits; its end without one only helps where a store that compacts its history
lets a watch hear nothing. Entries tell each other what they hear, and renew their
watches at different moments, so the more of them live, the longer each may wait.
"""

# Entries that together hear of a change as soon as one with the least wait. With 21
# entries calls to the store fell from 2,631 to 1,970 on a calm simulated load, and from
# 3,716 to 3,010 on one with faults, with 4 (one run each); 3 was measured only together
# with the pause between changes, 1,240 and 2,290.
ENTRIES_SHARING = 3
# Most that a watch waits in place of its least: with it and the margin after it a
# configuration is confirmed before it counts as one that may be old; not varied.
TIMES_MOST = 2.6
# Parts of the wait between which each is drawn, so that entries that started together
# do not end their watches together; not measured.
SPREAD = (0.75, 1.0)


def watch_s(least_s: float, live_peers: int, drawn: float) -> float:
    """Return how long a watch waits, where this entry alone would wait `least_s`.

    `drawn` is a number from 0 to 1 that was drawn at random.

    Units: seconds.
    """
    times = min(TIMES_MOST, (1 + live_peers) / ENTRIES_SHARING)
    if times <= 1.0:
        return least_s
    low, high = SPREAD
    return least_s * times * (low + drawn * (high - low))
