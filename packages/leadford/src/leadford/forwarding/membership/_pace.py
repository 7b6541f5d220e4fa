"""Decide which links get every heartbeat, and which get only every second one.

With 300 entries, each holds about 12 links with five heartbeats per second in both
directions: 36,000 messages per second in all (by count of links), most of them between
entries that have nothing to report except that they are alive. Other reports are urgent
for schedulers: a scheduler needs the admitted backlog and which requests were told to
come back, and the others need from it how long its group makes pieces wait. So these
links get every heartbeat. The others get every second one, which still leaves two
within the time for which a silent entry counts as alive.
"""

import msgspec

# One of so many heartbeats is sent on a link that only needs to show that an entry is
# alive. Two of these still fit in the 0.9 s for which a silent entry counts as alive.
REDUCED_HEARTBEAT_DIVISOR = 2


class HeartbeatNews(msgspec.Struct, frozen=True):
    """Describe the content of a heartbeat beyond the fact that its sender is alive.

    `is_for_all_peers` is true where every peer must get it at once: a planned stop,
    requests that were told to come back, or reports of a scheduler or a follower of the
    store.
    """

    number: int
    is_for_all_peers: bool


def is_due(
    news: HeartbeatNews, *, is_scheduler: bool, peer_skips_heartbeats: bool
) -> bool:
    """Tell whether a peer gets a heartbeat now.

    `is_scheduler` says whether the peer schedules a group, `peer_skips_heartbeats`
    whether its build also skips heartbeats.
    """
    if news.is_for_all_peers or is_scheduler or not peer_skips_heartbeats:
        return True
    return news.number % REDUCED_HEARTBEAT_DIVISOR == 0
