"""Decide when a planned stop ends.

Asked by the process while it stops. It goes on serving at least for a while, since
callers still come until the platform has seen that it is not ready; then it ends with
its last request, and in any case before the grace period does. Which requests still
begin is decided in `leadford.forwarding.routes`.
"""

# Seconds that a planned stop takes at least.
STOP_MIN_S = 3.2
# Seconds before the end of the grace period at which a stop ends.
STOP_MARGIN_S = 0.6


def stop_ends_at(began_at: float, grace_s: float) -> float:
    """Return when a stop ends, whatever is left.

    Units: seconds; began_at and the result are moments of the monotonic clock.
    """
    return began_at + grace_s - STOP_MARGIN_S


def may_stop(elapsed_s: float, live: int) -> bool:
    """Tell whether a stop may end before, with so many requests under way."""
    return elapsed_s >= STOP_MIN_S and live == 0
