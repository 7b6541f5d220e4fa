"""Decide which peers are alive, which links to hold, whom to ask, and when to stop."""

from leadford.forwarding.membership._builds import BuildVersions, SharedRule
from leadford.forwarding.membership._fetch import PeerFetch
from leadford.forwarding.membership._heard import PeerVersions
from leadford.forwarding.membership._liveness import PeerLiveness
from leadford.forwarding.membership._load import (
    LoadShares,
    ReportedRates,
    RequestRate,
)
from leadford.forwarding.membership._pace import (
    REDUCED_HEARTBEAT_DIVISOR,
    HeartbeatNews,
    is_due,
)
from leadford.forwarding.membership._peer_clock import PeerClock
from leadford.forwarding.membership._peers import (
    ALL_REACHABLE,
    candidate_orders,
    candidates_to_link,
    common_peers,
    first_candidates,
    first_of_each,
    peers_to_link,
    placement_group,
    placement_groups,
)
from leadford.forwarding.membership._reach import (
    DialTimes,
    PeerReach,
    entries_to_dial,
)
from leadford.forwarding.membership._refusals import StoreRefusals
from leadford.forwarding.membership._relays import (
    follower_watch_s,
    max_confirmation_age_s,
    store_followers,
)
from leadford.forwarding.membership._stop import may_stop, stop_ends_at
from leadford.forwarding.membership._watch import (
    WATCH_MARGIN_S,
    max_call_s,
    watch_s,
)

__all__ = [
    "ALL_REACHABLE",
    "BuildVersions",
    "DialTimes",
    "LoadShares",
    "ReportedRates",
    "RequestRate",
    "PeerLiveness",
    "PeerVersions",
    "HeartbeatNews",
    "REDUCED_HEARTBEAT_DIVISOR",
    "WATCH_MARGIN_S",
    "PeerFetch",
    "PeerReach",
    "PeerClock",
    "SharedRule",
    "StoreRefusals",
    "candidate_orders",
    "candidates_to_link",
    "common_peers",
    "entries_to_dial",
    "first_candidates",
    "first_of_each",
    "follower_watch_s",
    "is_due",
    "max_call_s",
    "may_stop",
    "placement_group",
    "placement_groups",
    "max_confirmation_age_s",
    "stop_ends_at",
    "store_followers",
    "peers_to_link",
    "watch_s",
]
