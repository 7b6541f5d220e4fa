"""Decide which links get a heartbeat now, and which only each second time.

The load pattern: at 300 entries each one holds a dozen links, five heartbeats a second
on each in both directions: 36,000 messages a second in all (by count of links), most of
them between entries that have nothing to tell each other but that they live. What
entries do tell, a scheduler needs soon: the backlog that is admitted, who was told to
come back; and from it, how long its group makes pieces wait. So these links keep the
pace, and the others get every second heartbeat, which still leaves two within the time
for which a silent entry counts as alive.
"""

import msgspec

# Heartbeats of which a link gets one that only has to show that an entry lives. Two of
# these still fit the 0.9 s for which it counts as alive.
REDUCED_HEARTBEAT_DIVISOR = 2


class HeartbeatNews(msgspec.Struct, frozen=True):
    """Say what a heartbeat holds besides that its sender lives.

    `tells_all` is what every peer has to hear at once: a planned stop, requests that
    were told to come back, or what a scheduler or a follower of the store knows.
    """

    number: int
    tells_all: bool


def is_due(news: HeartbeatNews, *, is_scheduler: bool, knows_pace: bool) -> bool:
    """Tell whether a peer gets a heartbeat now.

    `is_scheduler` says whether the peer schedules a group, `knows_pace` whether its
    build leaves heartbeats out, too.
    """
    if news.tells_all or is_scheduler or not knows_pace:
        return True
    return news.number % REDUCED_HEARTBEAT_DIVISOR == 0
