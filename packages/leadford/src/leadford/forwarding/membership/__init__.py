"""Decide which peers are alive, which links to hold, whom to ask, and when to stop."""

from leadford.forwarding.membership._builds import BuildVersions, SharedRule
from leadford.forwarding.membership._fetch import NewsFetch
from leadford.forwarding.membership._heard import HeardVersions
from leadford.forwarding.membership._liveness import HeardPeers
from leadford.forwarding.membership._pace import HeartbeatNews, is_due
from leadford.forwarding.membership._peer_clock import PeerClock
from leadford.forwarding.membership._peers import (
    placed_group,
    placed_groups,
    wanted_peers,
)
from leadford.forwarding.membership._relays import (
    follower_watch_s,
    rest_s,
    store_followers,
)
from leadford.forwarding.membership._stop import may_stop, stop_ends_at
from leadford.forwarding.membership._watch import (
    WATCH_MARGIN_S,
    longest_call_s,
    watch_s,
)

__all__ = [
    "BuildVersions",
    "HeardPeers",
    "HeardVersions",
    "HeartbeatNews",
    "WATCH_MARGIN_S",
    "NewsFetch",
    "PeerClock",
    "SharedRule",
    "follower_watch_s",
    "is_due",
    "longest_call_s",
    "may_stop",
    "placed_group",
    "placed_groups",
    "rest_s",
    "stop_ends_at",
    "store_followers",
    "wanted_peers",
    "watch_s",
]
