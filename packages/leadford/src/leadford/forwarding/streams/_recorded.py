"""Decide what the store holds of the software versions at which streams began.

A record for each service names every version at which a stream may have begun that its
caller may still resume. Entries extend it before they pass on a first event of another
version, so it still holds when all of them are lost. It changes only with the listing,
the routes and the longest wait of callers.
"""

import msgspec

from leadford.common import stable_hash
from leadford.forwarding.endpoints import SoftwareVersion
from leadford.forwarding.history import FIRST_EPOCH, StoreEpoch
from leadford.forwarding.routes import ForwardConfig, RouteKind, ServiceId
from leadford.forwarding.streams._ledger import MAX_ORIGIN_AGE_S
from leadford.forwarding.streams._software import MIN_SOLE_S

NO_VERSIONS: frozenset[SoftwareVersion] = frozenset()


class SeenSoftware(msgspec.Struct, frozen=True):
    """Hold what an entry sees of a service now.

    `routes_key` identifies the paths of streams that lead to the service, and the other
    services of these, in the configuration with `config_version`.

    Units: wait_s is the longest time that a caller may wait, in seconds.
    """

    service_id: ServiceId
    versions: frozenset[SoftwareVersion]
    wait_s: float = MIN_SOLE_S
    routes_key: str = ""
    config_version: int = 0
    epoch: StoreEpoch = FIRST_EPOCH


class RecordedSoftware(msgspec.Struct, frozen=True):
    """Hold at which versions of a service streams may have begun.

    `listed` are those that were listed when it was written, `gone` those that left
    before. `is_complete` is False if streams may have begun that it does not know of:
    before the first record, in a history of the store that ended, or at the services
    that routes led to before.

    Units: wait_s is the longest time that a caller may wait, in seconds.
    """

    service_id: ServiceId
    listed: frozenset[SoftwareVersion]
    gone: frozenset[SoftwareVersion] = NO_VERSIONS
    wait_s: float = MIN_SOLE_S
    routes_key: str = ""
    config_version: int = 0
    epoch: StoreEpoch = FIRST_EPOCH
    is_complete: bool = False

    @property
    def versions(self) -> frozenset[SoftwareVersion]:
        """Return all versions at which a stream may have begun."""
        return self.listed | self.gone

    def covers(self, seen: SeenSoftware) -> bool:
        """Return whether it names everything that an entry sees.

        An entry whose configuration is older leaves the routes to others.
        """
        has_routes = (
            self.routes_key == seen.routes_key
            or seen.config_version < self.config_version
        )
        return (
            self.epoch == seen.epoch
            and seen.versions <= self.listed
            and seen.wait_s <= self.wait_s
            and has_routes
        )

    def has_same_gaps(self, other: "RecordedSoftware") -> bool:
        """Return whether another record lacks the same streams as this one."""
        return self.routes_key == other.routes_key and self.epoch == other.epoch

    def sole(self, seen: SeenSoftware) -> SoftwareVersion | None:
        """Return the only version that can have begun a stream, None if unsure."""
        if not self.is_complete or self.epoch != seen.epoch:
            return None
        if self.routes_key != seen.routes_key:
            return None
        versions = self.versions | seen.versions
        return next(iter(versions)) if len(versions) == 1 else None

    def without_listed(
        self, versions: frozenset[SoftwareVersion]
    ) -> "RecordedSoftware":
        """Return a copy in which versions are listed no longer."""
        return msgspec.structs.replace(
            self, listed=self.listed - versions, gone=self.gone | versions
        )

    def without_gone(self, versions: frozenset[SoftwareVersion]) -> "RecordedSoftware":
        """Return a copy without versions at which no stream can go on any more."""
        return msgspec.structs.replace(self, gone=self.gone - versions)


def extended_record(
    found: RecordedSoftware | None,
    seen: SeenSoftware,
    *,
    known: RecordedSoftware | None,
    is_first: bool,
) -> RecordedSoftware:
    """Return the record to write for what an entry sees.

    `found` is what the store holds, `known` what this entry knew of it before. With
    `is_first` no stream can have begun before the first record.
    """
    is_present = found is not None and found.epoch == seen.epoch
    if is_present:
        sources = [found]
        is_complete = found.is_complete
    else:
        # The record, or its last changes, are gone with a history of the store.
        sources = [record for record in (found, known) if record is not None]
        is_complete = known.is_complete if known is not None else is_first
        is_complete = is_complete and not (known is None and found is not None)
    newest = max(sources, key=lambda record: record.config_version, default=None)
    routes_key, config_version = seen.routes_key, seen.config_version
    if newest is not None and seen.config_version < newest.config_version:
        routes_key, config_version = newest.routes_key, newest.config_version
    if any(record.routes_key != routes_key for record in sources):
        is_complete = False
    listed = seen.versions.union(*(record.listed for record in sources))
    gone = NO_VERSIONS.union(*(record.gone for record in sources)) - listed
    return RecordedSoftware(
        seen.service_id,
        listed,
        gone,
        max([seen.wait_s, *(record.wait_s for record in sources)]),
        routes_key,
        config_version,
        seen.epoch,
        is_complete,
    )


def recorded_wait_s(wait_s: float) -> float:
    """Return the wait to record for callers that wait this long, in steps.

    Units: seconds.
    """
    recorded_s = MIN_SOLE_S
    while recorded_s < wait_s and recorded_s < MAX_ORIGIN_AGE_S:
        recorded_s *= 2.0
    return min(recorded_s, MAX_ORIGIN_AGE_S)


def stream_routes_key(config: ForwardConfig, service_id: ServiceId) -> str:
    """Return a key of the paths of streams that lead to a service."""
    paths = []
    for route in config.routes:
        if route.kind is not RouteKind.STREAM:
            continue
        service_ids = [part.service_id for part in route.services if part.weight > 0.0]
        if service_id in service_ids:
            paths.append((route.host.lower(), route.path_prefix, sorted(service_ids)))
    return f"{stable_hash(repr(sorted(paths))):x}"


def longest_timeout_s(config: ForwardConfig) -> float:
    """Return the longest timeout of a stream by the configuration, in seconds."""
    timeouts_ms = [
        route.timeout_ms for route in config.routes if route.kind is RouteKind.STREAM
    ]
    return max(timeouts_ms, default=0.0) / 1_000.0
