"""Decide whether a request may begin at all: configuration, route, key, planned stop.

Called by the request forwarder before anything else is done for a request. It decides
from the configuration in force, how long ago the store confirmed it, and how long a
planned stop has been under way. A missing route or key is said only from a
configuration that is surely not behind; in doubt the request is refused, because a
newer configuration may allow it. Nothing is decided by a configuration that is known to
be too far behind: its routes may have moved and its keys been taken away. Whether a
request with stages fits is left to `admission`.
"""

from enum import Enum

import msgspec
from returns.result import Failure, Result, Success

from leadford.forwarding.routes._model import Route, RouteKind
from leadford.forwarding.routes._table import LookupFailure, LookupFault, RouteMatch

# Seconds since the store last confirmed the configuration, after which a missing route
# or key may be news that this process has not heard.
CONFIG_FRESH_S = 6.0
# Seconds before the deployment's bound on stale configurations from which nothing is
# decided by one that is known to be stale: heartbeats tell of a newer one up to 0.2 s
# after it came in force there.
BEHIND_MARGIN_S = 0.5
# Seconds after a planned stop began from which no stream begins: it would be cut at the
# end of the grace period.
STOP_TAKES_STREAMS_S = 2.6
# Seconds before the end of the grace period from which no plain request begins, and at
# which all that began have had the time of their route.
STOP_LEAST_S = 2.0
STOP_ENDED_S = 0.8


class StartDenial(Enum):
    """Say why a request does not begin."""

    NO_CONFIG = "no-config"
    NO_ROUTE = "no-route"
    NO_KEY = "no-key"
    CONFIG_MAY_BE_OLD = "config-may-be-old"
    STOPPING = "stopping"


class ProcessAge(msgspec.Struct, frozen=True):
    """Say how old what this process believes is, and how far its stop has come.

    Units: seconds. config_age_s counts from the last confirmation by the store, None
    without one; stopping_s from the begin of a planned stop, None without one; grace_s
    is how long a planned stop may take; behind_s is for how long another entry is known
    to run a newer configuration, None while none is; config_s is how long after its
    acceptance a configuration may not be in force.
    """

    config_age_s: float | None
    stopping_s: float | None
    grace_s: float
    behind_s: float | None = None
    config_s: float = 2.0

    @property
    def is_stale(self) -> bool:
        """Tell whether the configuration is known to be too far behind to be used."""
        if self.behind_s is None:
            return False
        return self.behind_s > self.config_s - BEHIND_MARGIN_S


_DENIAL_BY_FAULT = {
    LookupFault.NO_ROUTE: StartDenial.NO_ROUTE,
    LookupFault.NO_KEY: StartDenial.NO_KEY,
}


def decide_start(
    found: Result[RouteMatch, LookupFailure] | None,
    age: ProcessAge,
    deadline_ms: float | None = None,
) -> Result[RouteMatch, StartDenial]:
    """Return what the configuration says of a request that may begin, or why not.

    `found` is None while this process has no configuration, `deadline_ms` while the
    caller gives no time of its own.
    """
    if found is None:
        return Failure(StartDenial.NO_CONFIG)
    if age.is_stale:
        return Failure(StartDenial.CONFIG_MAY_BE_OLD)
    if isinstance(found, Failure):
        if not _is_fresh(age):
            return Failure(StartDenial.CONFIG_MAY_BE_OLD)
        return Failure(_DENIAL_BY_FAULT[found.failure().fault])
    match = found.unwrap()
    if not _leaves_time(match.route, age, deadline_ms):
        return Failure(StartDenial.STOPPING)
    return Success(match)


def _is_fresh(age: ProcessAge) -> bool:
    return age.config_age_s is not None and age.config_age_s < CONFIG_FRESH_S


def _leaves_time(route: Route, age: ProcessAge, deadline_ms: float | None) -> bool:
    """Tell whether a request that comes now can end before a planned stop does.

    The platform may send callers for as long as the process runs, when too few others
    are ready. A request that would be cut is refused, so that its caller goes to
    another entry.
    """
    if age.stopping_s is None or age.stopping_s < STOP_TAKES_STREAMS_S:
        return True
    if route.kind is RouteKind.STREAM:
        return False
    if age.stopping_s >= age.grace_s - STOP_LEAST_S:
        return False
    time_ms = route.timeout_ms
    if deadline_ms is not None:
        time_ms = min(time_ms, deadline_ms)
    ends_s = age.stopping_s + time_ms / 1_000.0
    return ends_s <= age.grace_s - STOP_ENDED_S
