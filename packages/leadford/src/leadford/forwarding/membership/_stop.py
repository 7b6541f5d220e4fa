"""Decide when a planned stop ends.

Called by the process while it stops. The process keeps serving for a minimum time,
because callers keep connecting until the platform has seen that it is not ready. After
that it ends with its last request, and in any case before the end of the grace period.
`leadford.forwarding.routes` decides which requests may still begin.
"""

# Minimum duration of a planned stop.
STOP_MIN_S = 3.2
# Time before the end of the grace period at which a stop ends at the latest.
STOP_MARGIN_S = 0.6


def stop_ends_at(began_at: float, grace_s: float) -> float:
    """Return when a stop ends at the latest, whatever is still in progress.

    Units: seconds; began_at and the result are times of the monotonic clock.
    """
    return began_at + grace_s - STOP_MARGIN_S


def may_stop(elapsed_s: float, live_requests: int) -> bool:
    """Tell whether a stop may end early, with `live_requests` requests in progress."""
    return elapsed_s >= STOP_MIN_S and live_requests == 0
