"""Tell whether a single software version can have begun any stream of a service.

Used where nobody knows the origin of a stream. The store names every version at which
one may have begun (`_recorded`); what entries have listed lately may contradict it, but
proves nothing by itself.
"""

from collections.abc import Iterable

import msgspec

from leadford.forwarding.endpoints import SoftwareVersion
from leadford.forwarding.routes import ServiceId
from leadford.forwarding.streams._ledger import MAX_ORIGIN_AGE_S

# Minimum time for which a single version must have been listed.
MIN_SOLE_S = 30.0


class SoleSoftware(msgspec.Struct, frozen=True):
    """Hold the only version of a service that an entry has listed lately.

    Units: observed_s is for how long the entry has known the listing, in seconds.
    """

    software: SoftwareVersion
    observed_s: float


class SoftwareHistory:
    """Remember when versions of a service were last listed.

    Units: times in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        self.began_at_: float | None = None
        self.gone_at_by_version_: dict[tuple[ServiceId, SoftwareVersion], float] = {}

    def begin(self, now: float) -> None:
        """Record that the first complete listing is known."""
        if self.began_at_ is None:
            self.began_at_ = now

    def record_gone(
        self, service_id: ServiceId, software: SoftwareVersion | None, now: float
    ) -> None:
        """Record that an endpoint with a version is listed no longer.

        Versions that went before any caller that still waits began are forgotten.
        """
        if software is None:
            return
        self.gone_at_by_version_[service_id, software] = now
        self.gone_at_by_version_ = {
            version: gone_at
            for version, gone_at in self.gone_at_by_version_.items()
            if now - gone_at <= MAX_ORIGIN_AGE_S
        }

    def sole(
        self,
        service_id: ServiceId,
        listed: Iterable[SoftwareVersion | None],
        *,
        horizon_s: float,
        now: float,
    ) -> SoleSoftware | None:
        """Return the only version within the last `horizon_s`, None if there is none.

        `listed` holds the versions that are listed now, None for one that is not known.
        """
        if self.began_at_ is None:
            return None
        versions = set(listed)
        for (gone_service_id, software), gone_at in self.gone_at_by_version_.items():
            if gone_service_id == service_id and now - gone_at <= horizon_s:
                versions.add(software)
        if len(versions) != 1 or None in versions:
            return None
        return SoleSoftware(versions.pop(), now - self.began_at_)


def sole_horizon_s(longest_wait_s: float | None) -> float:
    """Return for how long a version must have been the only one, in seconds.

    `longest_wait_s` is the longest time that any caller waits, None if not known: the
    entries that could tell may be lost.
    """
    if longest_wait_s is None:
        return MAX_ORIGIN_AGE_S
    return max(MIN_SOLE_S, longest_wait_s)


def confirmed_software(
    recorded: SoftwareVersion | None, views: Iterable[SoleSoftware | None]
) -> SoftwareVersion | None:
    """Return the version that the store names alone, None if an entry contradicts.

    An entry that answers may have listed a version that is not recorded yet.
    """
    if any(view is None or view.software != recorded for view in views):
        return None
    return recorded
