"""Define endpoints as the platform lists them, and the reports in their answers.

Entries send listed endpoints to each other by field name, so the names of these fields
must not change.
"""

from collections.abc import Sequence
from enum import Enum
from typing import NewType

import msgspec

from leadford.common import EndpointId, HallId
from leadford.forwarding.history import FIRST_EPOCH, StoreEpoch, StorePosition
from leadford.forwarding.routes import ServiceId

EndpointAddress = NewType("EndpointAddress", str)
# Names the software of an endpoint, not the weights of its model.
SoftwareVersion = NewType("SoftwareVersion", str)


class ListedState(Enum):
    """State whether a listed endpoint takes new work."""

    READY = "ready"
    DRAINING = "draining"


class ListedEndpoint(msgspec.Struct, frozen=True):
    """Describe one start of an endpoint; each start has its own id.

    `listed_as` is the name under which the endpoint is listed, which later starts may
    share, and `born` tells which start is later. Both are unset where each start draws
    a new id, and `epoch` is unset where the store reports none. `software` is unset
    where a peer of an older build sent the listing without it.

    Units: cold_ms is how much longer the endpoint stays cold; revision orders the
    listings of an epoch of the store; born in milliseconds since 1970.
    """

    endpoint_id: EndpointId
    service_id: ServiceId
    address: EndpointAddress
    hall: HallId
    state: ListedState
    slots: int
    cold_ms: float = 0.0
    revision: int = 0
    listed_as: str | msgspec.UnsetType = msgspec.UNSET
    born: int | msgspec.UnsetType = msgspec.UNSET
    epoch: StoreEpoch | msgspec.UnsetType = msgspec.UNSET
    software: SoftwareVersion | msgspec.UnsetType = msgspec.UNSET

    @property
    def known_software(self) -> SoftwareVersion | None:
        """Return the software version, None if it is not known."""
        return None if self.software is msgspec.UNSET else self.software

    @property
    def position(self) -> StorePosition:
        """Return the position of this listing in the history of the store."""
        epoch = FIRST_EPOCH if self.epoch is msgspec.UNSET else self.epoch
        return StorePosition(epoch, self.revision)

    def in_epoch(self, epoch: StoreEpoch) -> "ListedEndpoint":
        """Return a copy of this listing in the given epoch of the store."""
        listed_epoch = msgspec.UNSET if epoch == FIRST_EPOCH else epoch
        return msgspec.structs.replace(self, epoch=listed_epoch)

    @property
    def name(self) -> str:
        """Return the name under which the endpoint is listed."""
        if self.listed_as is msgspec.UNSET:
            return self.endpoint_id
        return self.listed_as

    def starts_after(self, other: "ListedEndpoint") -> bool:
        """Tell whether this start is later than another one of the same name.

        Where neither has a start time, the positions of the listings decide.
        """
        return (self._born, self.position) > (other._born, other.position)

    @property
    def _born(self) -> int:
        return 0 if self.born is msgspec.UNSET else self.born


class Backpressure(msgspec.Struct, frozen=True):
    """Hold what an answer of an endpoint asks of the entries that send to it.

    `is_leaving` says that the endpoint takes no new work from now on.

    Units: limit_per_s is the rate of requests that it accepts from all entries
    together, None where it names no limit; rest_s is how long the entry that it refused
    should send it no more requests, in seconds.
    """

    limit_per_s: float | None = None
    rest_s: float | None = None
    is_leaving: bool = False


class ReportedLoad(msgspec.Struct, frozen=True):
    """Hold the load that an endpoint reported in an answer."""

    running: int
    waiting: int
    slots: int


# More requests or slots at one endpoint are taken for a malformed report.
MAX_REPORTED_REQUESTS = 1_000_000
# Paces outside these bounds are taken for malformed reports.
MIN_PACE = 0.05
MAX_PACE = 100.0


class EndpointReport(msgspec.Struct, frozen=True):
    """Hold what an endpoint reported of itself in an answer.

    `load` and `pace` are None where the answer reports none that can be used, and
    `is_malformed` tells that it reported something else.

    Units: pace is the ratio of the duration of work there now to the usual one.
    """

    load: ReportedLoad | None = None
    pace: float | None = None
    is_malformed: bool = False

    @classmethod
    def from_figures(
        cls, counts: Sequence[int | None], paces: Sequence[float | None]
    ) -> "EndpointReport":
        """Return the report of three counts and at most one pace.

        The counts hold only together; a malformed pace leaves them valid, and
        malformed counts leave the pace valid.
        """
        load = None
        if len(counts) == 3 and all(map(_is_request_count, counts)):
            load = ReportedLoad(*counts)
        pace = paces[0] if paces else None
        if pace is not None and not MIN_PACE <= pace <= MAX_PACE:
            pace = None
        is_malformed = load is None or (bool(paces) and pace is None)
        return cls(load, pace, is_malformed)


def _is_request_count(count: int | None) -> bool:
    return count is not None and count <= MAX_REPORTED_REQUESTS
