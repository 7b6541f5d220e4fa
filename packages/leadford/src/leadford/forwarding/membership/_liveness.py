"""Decide whether another entry lives, by when it was last heard.

Asked by the links to other entries. Heartbeats say who lives; the store only says who
exists, so its outage changes nothing. Groups of a dead entry are scheduled by the next
one in their order.
"""

# Seconds after its last message for which an entry counts as alive; not measured.
LIVE_S = 0.9
# Times of that, after which a silent peer is disconnected; not measured.
SILENT_TIMES = 3


def is_live(heard_at: float | None, now: float) -> bool:
    """Tell whether an entry was heard a short while ago."""
    return heard_at is not None and now - heard_at < LIVE_S


def is_silent(heard_at: float, now: float) -> bool:
    """Tell whether a connected peer has stopped to send heartbeats."""
    return now - heard_at > SILENT_TIMES * LIVE_S
