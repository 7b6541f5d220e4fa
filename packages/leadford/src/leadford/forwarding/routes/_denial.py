"""Decide whether a request may start, by configuration, route, key and planned stop.

Called by the request forwarder before anything else is done for a request. The decision
follows from the active configuration, the time since the store confirmed it, and the
time since a planned stop began. A missing route or key is reported only from a recently
confirmed configuration; otherwise the request is refused, because a newer configuration
may allow it. A configuration that is known to be too old is not used at all: its routes
may have moved and its keys may have been revoked. While no newer one is known, its age
alone refuses nothing: the store may be unavailable to all. It is not used either where
the store has been answering this entry with refusals for as long, and no peer can tell
what it accepts from others. `admission` decides whether there is capacity for a
request with stages.
"""

from enum import Enum

import msgspec
from returns.result import Failure, Result, Success

from leadford.forwarding.routes._model import Route, RouteKind
from leadford.forwarding.routes._table import LookupFailure, LookupFault, RouteMatch

# Time since the last confirmation by the store after which a missing route or key may
# exist in a newer configuration that this process does not know.
MAX_DENIAL_CONFIG_AGE_S = 6.0
# A configuration known to be stale is no longer used from this long before the
# deployment's bounds on stale configurations: heartbeats report a newer one up to 0.2 s
# after it became active at the sender.
STALE_CONFIG_MARGIN_S = 0.5
# Time after the start of a planned stop during which all requests may start. No stream
# starts later, since it would be cut at the end of the grace period.
STOP_ACCEPT_ALL_S = 2.6
# Time before the end of the grace period from which no plain request starts.
STOP_REFUSE_ALL_S = 2.0
# Time before the end of the grace period by which the time limit of a plain request
# must have passed, unless it starts while all requests may.
STOP_MARGIN_S = 0.8


class StartDenial(Enum):
    """Enumerate the reasons why a request does not start."""

    NO_CONFIG = "no-config"
    NO_ROUTE = "no-route"
    NO_KEY = "no-key"
    CONFIG_MAY_BE_OLD = "config-may-be-old"
    STOPPING = "stopping"


class ProcessStatus(msgspec.Struct, frozen=True):
    """Hold the age of the configuration and the progress of a planned stop.

    Units: seconds. config_age_s counts from the last confirmation by the store, to this
    entry or to one that reported it, None without one; stopping_s counts from the start
    of a planned stop, None without one; grace_s is the maximum duration of a planned
    stop; stale_s is for how long another entry has been known to use a newer
    configuration, None if none is known; config_s is the maximum time from the
    acceptance of a configuration until it is active; outer_s is added to it while the
    store serves only a part of the entries. refused_s is for how long the store has
    been refusing calls, None if it has refused none lately; alone_s is for how long no
    peer has been alive, None while one is.
    """

    config_age_s: float | None
    stopping_s: float | None
    grace_s: float
    stale_s: float | None = None
    config_s: float = 2.0
    outer_s: float = 5.0
    refused_s: float | None = None
    alone_s: float | None = None

    @property
    def is_stale(self) -> bool:
        """Return whether the configuration is too old to be used.

        An entry without a confirmation for longer than the bounds allow may have heard
        late that there is a newer one, for example because all its peers were lost.
        """
        if self.stale_s is None:
            return self.is_unconfirmed and self._is_turned_away
        if self.stale_s > self._max_stale_s:
            return True
        return self.is_unconfirmed

    @property
    def is_unconfirmed(self) -> bool:
        """Return whether the last confirmation is older than the bounds allow."""
        if self.config_age_s is None:
            return True
        return self.config_age_s > self._max_unconfirmed_s

    @property
    def _is_turned_away(self) -> bool:
        """Return whether the store may serve others, and no peer can tell.

        A store that gives no answer at all may be unavailable to all others, too.
        """
        if self.refused_s is None or self.alone_s is None:
            return False
        return (
            self.refused_s > self._max_unconfirmed_s
            and self.alone_s > self._max_stale_s
        )

    @property
    def _max_stale_s(self) -> float:
        return self.config_s - STALE_CONFIG_MARGIN_S

    @property
    def _max_unconfirmed_s(self) -> float:
        return self.config_s + self.outer_s - STALE_CONFIG_MARGIN_S


_DENIAL_BY_FAULT = {
    LookupFault.NO_ROUTE: StartDenial.NO_ROUTE,
    LookupFault.NO_KEY: StartDenial.NO_KEY,
}


def decide_start(
    found: Result[RouteMatch, LookupFailure] | None,
    age: ProcessStatus,
    deadline_ms: float | None = None,
) -> Result[RouteMatch, StartDenial]:
    """Return the matched route if the request may start, or why it may not.

    `found` is None if this process has no configuration, `deadline_ms` if the caller
    states no time limit of its own.

    Errors: the reason for which the request does not start.
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
    if not _can_finish(match.route, age, deadline_ms):
        return Failure(StartDenial.STOPPING)
    return Success(match)


def _is_fresh(age: ProcessStatus) -> bool:
    return age.config_age_s is not None and age.config_age_s < MAX_DENIAL_CONFIG_AGE_S


def _can_finish(route: Route, age: ProcessStatus, deadline_ms: float | None) -> bool:
    """Return whether a request that starts now can end before a planned stop does.

    If too few other entries are ready, the platform may route callers here for as long
    as the process runs. A request that would be cut is refused, so that its caller
    tries another entry.
    """
    if age.stopping_s is None or age.stopping_s < STOP_ACCEPT_ALL_S:
        return True
    if route.kind is RouteKind.STREAM:
        return False
    if age.stopping_s >= age.grace_s - STOP_REFUSE_ALL_S:
        return False
    limit_ms = route.timeout_ms
    if deadline_ms is not None:
        limit_ms = min(limit_ms, deadline_ms)
    latest_end_s = age.stopping_s + limit_ms / 1_000.0
    return latest_end_s <= age.grace_s - STOP_MARGIN_S
