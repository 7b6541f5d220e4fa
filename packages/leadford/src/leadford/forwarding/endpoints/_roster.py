"""Track the endpoints of every service, and decide which of them take new work.

Listings come from the store and from peers in any order; positions in the history of
the store decide which one is newer. Endpoints that are listed as ready take new work.
Those that were removed together with most of their service after an outage do so for a
short time, because the store may have lost endpoints that still work. Endpoints in a
hall that the operator has evacuated take no new work.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from leadford.common import EndpointId, HallId
from leadford.forwarding.endpoints._halls import EvacuatedHalls
from leadford.forwarding.endpoints._listing import (
    GONE,
    UNKNOWN,
    RosterChange,
    merged_listing,
)
from leadford.forwarding.endpoints._model import (
    ListedEndpoint,
    ListedState,
    SoftwareVersion,
)
from leadford.forwarding.endpoints._outage import StoreOutage
from leadford.forwarding.endpoints._record import EndpointRecord
from leadford.forwarding.endpoints._removed import RemovedEndpoints
from leadford.forwarding.history import START_POSITION, StorePosition
from leadford.forwarding.routes import ServiceId

# Maximum number of endpoints that are no longer listed, or leaving, of which the last
# state is remembered.
MAX_REMEMBERED_ENDPOINTS = 2_000
# Time within which the platform guarantees that a working endpoint is listed again
# after a store outage removed it. An endpoint that is missing for longer is gone.
RELIST_TIMEOUT_S = 2.0
# Time before the end of an endpoint's drain period from which removed endpoints are no
# longer used, so that the last requests still arrive in time.
DRAIN_MARGIN_S = 0.9
# Number of missed heartbeats after which a record is certainly removed; the platform
# removes it after three.
EXPIRY_HEARTBEATS = 4
# Minimum number of heartbeat intervals in an outage that lets a record lapse.
MIN_LAPSE_HEARTBEATS = 2
# Heartbeat interval of an endpoint where the deployment sets none.
DEFAULT_HEARTBEAT_S = 1.2
# Drain period of an endpoint, and time after an outage of the store in which it may
# still remove records of working endpoints, where the deployment sets none.
DEFAULT_DRAIN_S = 2.0
DEFAULT_OUTAGE_EFFECT_S = 3.0


class EndpointRoster:
    """Merge listings from several sources by their positions in the store's history.

    An id identifies one start of an endpoint. Therefore an endpoint that is listed as
    draining stays so, even if the store lists it as ready again because of a delayed
    write. A later start under the same name ends an earlier one, whatever is reported
    of the earlier one afterwards, and inherits none of its observed state. A listing
    with a later position reverts a mistaken removal.

    After an outage the store may remove endpoints that still work: when most of a
    service is removed at once, these endpoints are used for `removed_grace_s`, which
    must be shorter than the drain period of an endpoint. Without an outage a removed
    endpoint is not used: how late this entry learns of the removal may take up the
    drain period.

    A store that was restored from a copy lacks endpoints that were listed after the
    copy was made, and lists some that were removed after it. The former are also used
    for `removed_grace_s`; the latter are a last resort for `expiry_s`, until the
    platform would have removed them.

    Units: removed_grace_s and expiry_s in seconds.
    """

    def __init__(
        self,
        *,
        removed_grace_s: float = RELIST_TIMEOUT_S,
        expiry_s: float = EXPIRY_HEARTBEATS * DEFAULT_HEARTBEAT_S,
        halls: EvacuatedHalls | None = None,
        outage: StoreOutage | None = None,
    ) -> None:
        self.expiry_s = expiry_s
        self.halls = halls
        self.halls_ = halls or EvacuatedHalls()
        self.outage_ = outage or StoreOutage(
            unconfirmed_min_s=DEFAULT_DRAIN_S, effect_s=DEFAULT_OUTAGE_EFFECT_S
        )
        self.removed_ = RemovedEndpoints(removed_grace_s=removed_grace_s)
        self.records_by_id_: dict[EndpointId, EndpointRecord] = {}
        self.ids_by_service_: dict[ServiceId, set[EndpointId]] = {}
        # The start that is listed under a name, or was listed last.
        self.last_by_name_: dict[str, ListedEndpoint] = {}
        self.removed_position_by_name_: dict[str, StorePosition] = {}
        # In order of arrival, so that the oldest is forgotten first.
        self.leaving_ids_: dict[EndpointId, None] = {}
        self.changed_position_ = START_POSITION
        self.membership_version_ = 0
        # Numbers of listed endpoints by hall, valid for `counted_at_version_`.
        self.listed_by_service_: dict[ServiceId, Mapping[HallId, int]] = {}
        self.counted_at_version_ = -1

    @classmethod
    def from_drain_period(
        cls,
        drain_s: float,
        heartbeat_s: float,
        halls: EvacuatedHalls | None = None,
        *,
        outage_effect_s: float = DEFAULT_OUTAGE_EFFECT_S,
    ) -> "EndpointRoster":
        """Return a roster for the drain period and heartbeat interval of a deployment.

        `drain_s` is how long an endpoint serves after it has said that it leaves,
        `heartbeat_s` the time between two records of an endpoint, `outage_effect_s` how
        long after an outage the store may still lack records because of it.

        Units: seconds.
        """
        removed_grace_s = max(0.0, min(RELIST_TIMEOUT_S, drain_s - DRAIN_MARGIN_S))
        expiry_s = EXPIRY_HEARTBEATS * heartbeat_s
        outage = StoreOutage(
            unconfirmed_min_s=max(drain_s, MIN_LAPSE_HEARTBEATS * heartbeat_s),
            effect_s=outage_effect_s,
        )
        return cls(
            removed_grace_s=removed_grace_s,
            expiry_s=expiry_s,
            halls=halls,
            outage=outage,
        )

    def replace(
        self, endpoints: Iterable[ListedEndpoint], position: StorePosition, now: float
    ) -> list[RosterChange]:
        """Record a complete listing; endpoints known from a later position stay."""
        changes = []
        seen = set()
        for endpoint in endpoints:
            seen.add(endpoint.name)
            is_stale_copy = self._is_stale_copy(endpoint)
            changes += self.record_listed(endpoint)
            if is_stale_copy:
                self._mark_doubted(endpoint.endpoint_id, now + self.expiry_s)
        names = {record.listed.name for record in self.records_by_id_.values()}
        for name in names - seen:
            changes += self.remove(name, position, now)
        self.changed_position_ = max(self.changed_position_, position)
        return changes

    def _is_stale_copy(self, endpoint: ListedEndpoint) -> bool:
        """Tell whether a restored store lists one that was removed after its copy."""
        removed_position = self.removed_position_by_name_.get(endpoint.name)
        last = self.last_by_name_.get(endpoint.name)
        if (
            removed_position is None
            or last is None
            or endpoint.position.epoch <= removed_position.epoch
        ):
            return False
        if endpoint.endpoint_id in self.records_by_id_:
            return False
        is_same_start = endpoint.endpoint_id == last.endpoint_id
        return is_same_start and endpoint.revision <= last.revision

    def _mark_doubted(self, endpoint_id: EndpointId, until: float) -> None:
        """Make an endpoint a last resort until a given time."""
        record = self.records_by_id_.get(endpoint_id)
        if record is not None:
            record.doubted_until_ = until

    def record_listed(self, endpoint: ListedEndpoint) -> list[RosterChange]:
        """Record one listed endpoint, unless something newer is known of it."""
        endpoint_id = endpoint.endpoint_id
        last = self.last_by_name_.get(endpoint.name)
        is_other_start = last is not None and last.endpoint_id != endpoint_id
        if is_other_start and not endpoint.starts_after(last):
            return []
        if endpoint.state is ListedState.DRAINING:
            self._remember_leaving(endpoint_id)
        if endpoint_id in self.leaving_ids_:
            endpoint = msgspec.structs.replace(endpoint, state=ListedState.DRAINING)
        removed_position = self.removed_position_by_name_.get(endpoint.name)
        if removed_position is not None and endpoint.position <= removed_position:
            return []
        is_known = endpoint_id in self.records_by_id_
        if not is_known and endpoint.position.epoch < self.changed_position_.epoch:
            # The current epoch of the store does not list it.
            return []
        ended = self._end_start(last.endpoint_id) if is_other_start else []
        self._remember_start(endpoint)
        record = self.records_by_id_.get(endpoint_id)
        self.changed_position_ = max(self.changed_position_, endpoint.position)
        if record is None:
            self.membership_version_ += 1
            self.records_by_id_[endpoint_id] = self._new_record(endpoint)
            self.ids_by_service_.setdefault(endpoint.service_id, set()).add(endpoint_id)
            return [*ended, RosterChange.of(endpoint, UNKNOWN, endpoint.state.value)]
        before = record.listed
        if endpoint.position > before.position:
            record.doubted_until_ = 0.0
        record.listed = merged_listing(before, endpoint)
        after = record.listed.state.value
        if before.known_software not in (None, record.listed.known_software):
            # Other software has started under the same id.
            return [
                RosterChange.of(before, before.state.value, GONE),
                RosterChange.of(record.listed, UNKNOWN, after),
            ]
        if before.state is record.listed.state:
            return []
        return [RosterChange.of(record.listed, before.state.value, after)]

    def record_leaving(self, endpoint_id: EndpointId) -> None:
        """Record that an endpoint itself says that it leaves, whatever its listing."""
        self._remember_leaving(endpoint_id)
        record = self.records_by_id_.get(endpoint_id)
        if record is not None:
            record.listed = msgspec.structs.replace(
                record.listed, state=ListedState.DRAINING
            )

    def _remember_leaving(self, endpoint_id: EndpointId) -> None:
        """Keep a leaving endpoint from being used, even if it was just removed."""
        self.removed_.forget(endpoint_id)
        self.leaving_ids_[endpoint_id] = None
        while len(self.leaving_ids_) > MAX_REMEMBERED_ENDPOINTS:
            self.leaving_ids_.pop(next(iter(self.leaving_ids_)))

    def _remember_start(self, endpoint: ListedEndpoint) -> None:
        """Record the start that was listed last under its name."""
        self.last_by_name_.pop(endpoint.name, None)
        self.last_by_name_[endpoint.name] = endpoint
        while (
            len(self.last_by_name_)
            > len(self.records_by_id_) + MAX_REMEMBERED_ENDPOINTS
        ):
            self.last_by_name_.pop(next(iter(self.last_by_name_)))

    def _end_start(self, endpoint_id: EndpointId) -> list[RosterChange]:
        """Remove a start that a later one of the same name has replaced."""
        self.removed_.forget(endpoint_id)
        record = self.records_by_id_.pop(endpoint_id, None)
        if record is None:
            return []
        self.membership_version_ += 1
        self.ids_by_service_[record.listed.service_id].discard(endpoint_id)
        return [RosterChange.of(record.listed, record.listed.state.value, GONE)]

    def _new_record(self, endpoint: ListedEndpoint) -> EndpointRecord:
        """Return a record for an endpoint; a recently removed one is reused."""
        record = self.removed_.take(endpoint.endpoint_id)
        if record is None:
            return EndpointRecord(listed=endpoint)
        record.listed = endpoint
        return record

    def remove(
        self,
        name: str,
        position: StorePosition,
        now: float,
        *,
        seen_at: StorePosition = START_POSITION,
    ) -> list[RosterChange]:
        """Record that no endpoint is listed under a name any more.

        `position` orders the removal relative to other listings of the endpoint;
        `seen_at` is that of the answer that reported it, which may hold later listings.
        """
        last = self.last_by_name_.get(name)
        endpoint_id = last.endpoint_id if last is not None else EndpointId(name)
        record = self.records_by_id_.get(endpoint_id)
        if record is not None and position < record.listed.position:
            return []
        removed_position = max(
            self.removed_position_by_name_.get(name, position), position
        )
        self.removed_position_by_name_[name] = removed_position
        while len(self.removed_position_by_name_) > MAX_REMEMBERED_ENDPOINTS:
            self.removed_position_by_name_.pop(
                next(iter(self.removed_position_by_name_))
            )
        if record is None:
            return []
        self.changed_position_ = max(self.changed_position_, position, seen_at)
        self.membership_version_ += 1
        del self.records_by_id_[endpoint_id]
        self.ids_by_service_[record.listed.service_id].discard(endpoint_id)
        if record.listed.state is ListedState.READY:
            is_lost = position.epoch > record.listed.position.epoch
            self.removed_.add(
                record,
                now,
                is_lost=is_lost,
                in_outage=self.outage_.explains_removal(now),
            )
        return [RosterChange.of(record.listed, record.listed.state.value, GONE)]

    def record(self, endpoint_id: EndpointId) -> EndpointRecord | None:
        """Return the record of an endpoint that is listed or was recently removed."""
        record = self.records_by_id_.get(endpoint_id)
        return self.removed_.record(endpoint_id) if record is None else record

    def listed_by_hall(self, service_id: ServiceId) -> Mapping[HallId, int]:
        """Return how many endpoints of a service are listed in each hall.

        The counts are cached until an endpoint joins or leaves, because each prompt
        needs them twice.
        """
        if self.counted_at_version_ != self.membership_version_:
            self.listed_by_service_.clear()
            self.counted_at_version_ = self.membership_version_
        counts = self.listed_by_service_.get(service_id)
        if counts is None:
            ids = self.ids_by_service_.get(service_id, ())
            counts = Counter(self.records_by_id_[name].listed.hall for name in ids)
            self.listed_by_service_[service_id] = counts
        return counts

    def listed_software(self, service_id: ServiceId) -> set[SoftwareVersion | None]:
        """Return the versions that endpoints of a service are listed with."""
        ids = self.ids_by_service_.get(service_id, ())
        return {self.records_by_id_[name].listed.known_software for name in ids}

    def usable_by_hall(self, service_id: ServiceId, now: float) -> dict[HallId, int]:
        """Return how many endpoints of a service take new work in each hall."""
        counts: dict[HallId, int] = {}
        for record in self.usable(service_id, now):
            hall = record.listed.hall
            counts[hall] = counts.get(hall, 0) + 1
        return counts

    def usable(self, service_id: ServiceId, now: float) -> list[EndpointRecord]:
        """Return the endpoints of a service that take new work."""
        return [
            record
            for record in self._ready(service_id, now)
            if not self.halls_.is_evacuated(record.listed.hall)
        ]

    def _ready(self, service_id: ServiceId, now: float) -> list[EndpointRecord]:
        """Return the endpoints that could take new work, also in evacuated halls."""
        listed = [
            self.records_by_id_[endpoint_id]
            for endpoint_id in self.ids_by_service_.get(service_id, ())
        ]
        gone = self.removed_.trusted(service_id, now)
        usable = [g.record for g in gone if g.is_lost]
        doubted = [g.record for g in gone if not g.is_lost]
        for record in listed:
            if record.listed.state is not ListedState.READY or record.is_replaced_:
                continue
            (doubted if now < record.doubted_until_ else usable).append(record)
        # A single endpoint that disappears in an outage has left. When most disappear
        # at once, the listing is wrong.
        return usable + doubted if len(doubted) > len(usable) else usable

    def is_usable(self, record: EndpointRecord, now: float) -> bool:
        """Tell whether an endpoint that was chosen earlier still takes new work."""
        listed = record.listed
        if self.halls_.is_evacuated(listed.hall):
            return False
        is_listed = self.records_by_id_.get(listed.endpoint_id) is record
        if is_listed and now >= record.doubted_until_:
            return listed.state is ListedState.READY and not record.is_replaced_
        return any(other is record for other in self.usable(listed.service_id, now))

    def in_hall(self, hall: HallId) -> list[EndpointRecord]:
        """Return every listed endpoint of a hall."""
        return [r for r in self.records_by_id_.values() if r.listed.hall == hall]

    def known_ids(self) -> set[EndpointId]:
        """Return the ids of endpoints that are listed or were recently removed."""
        return set(self.records_by_id_) | self.removed_.ids()

    def listed(self) -> list[ListedEndpoint]:
        """Return every listed endpoint."""
        return [record.listed for record in self.records_by_id_.values()]
