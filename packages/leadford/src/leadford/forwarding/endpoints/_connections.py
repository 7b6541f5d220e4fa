"""Decide how many connections an entry holds to an endpoint, and which are reused.

Called by the connection pool. The connection limit of an endpoint applies to all
entries together. Each entry takes its share, which is equal unless most callers go to
one entry. A connection that the endpoint may be about to close is not reused: a request
on it could be lost, and it would be unknown whether it ran.
"""

# Maximum fraction of an endpoint's connection limit that all entries together use.
CONNECTIONS_FRACTION = 0.95
# Keeps a share that is a whole number of connections from being rounded down.
ROUNDING = 1e-9
# Idle timeout of a connection where the endpoint names none.
DEFAULT_IDLE_TIMEOUT_S = 8.0
# Time before the endpoint closes an idle connection from which it is no longer reused.
IDLE_TIMEOUT_MARGIN_S = 0.6


def max_connections(connections_max: int, share: float) -> int:
    """Return the maximum number of connections of one entry to an endpoint.

    `share` is the fraction of the limit that this entry may use.
    """
    bound = int(connections_max * CONNECTIONS_FRACTION)
    return max(1, int(bound * share + ROUNDING))


def may_use_again(idle_s: float, idle_timeout_s: float | None) -> bool:
    """Tell whether an idle connection may be used for another request.

    Units: seconds. idle_timeout_s is how long the endpoint keeps idle connections, None
    where it names no timeout.
    """
    max_idle_s = (
        DEFAULT_IDLE_TIMEOUT_S
        if idle_timeout_s is None
        else idle_timeout_s - IDLE_TIMEOUT_MARGIN_S
    )
    return idle_s < max_idle_s
