"""Decide how many connections an entry holds to an endpoint, and which are used again.

Asked by the pool of connections. The bound of an endpoint holds for all entries
together, so each takes an equal part without a message. A connection that the endpoint
may be about to close is not used: a request on it would be lost, and might have run.
"""

# Part of an endpoint's bound that all entries together hold at most.
CONNECTIONS_FRACTION = 0.95
# Seconds that a connection rests where the endpoint says nothing.
DEFAULT_IDLE_TIMEOUT_S = 8.0
# Seconds before an endpoint closes a resting connection at which it is not used any
# more.
IDLE_TIMEOUT_MARGIN_S = 0.6


def connections_allowed(connections_max: int, entry_count: int) -> int:
    """Return how many connections one of so many entries holds to an endpoint."""
    bound = int(connections_max * CONNECTIONS_FRACTION)
    return max(1, bound // max(1, entry_count))


def may_use_again(idle_s: float, idle_timeout_s: float | None) -> bool:
    """Tell whether a connection that was idle is used for another request.

    Units: seconds. rest_s is how long the endpoint keeps idle connections, None where
    it did not say.
    """
    max_idle_s = (
        DEFAULT_IDLE_TIMEOUT_S
        if idle_timeout_s is None
        else idle_timeout_s - IDLE_TIMEOUT_MARGIN_S
    )
    return idle_s < max_idle_s
