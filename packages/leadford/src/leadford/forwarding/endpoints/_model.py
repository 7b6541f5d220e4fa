"""Describe endpoints as the platform lists them and as their answers report.

Listed endpoints travel between entries by field name, so these names stay.
"""

from enum import Enum
from typing import NewType

import msgspec

from leadford.common import EndpointId, HallId
from leadford.forwarding.history import FIRST_EPOCH, StoreEpoch, StorePosition
from leadford.forwarding.routes import ServiceId

EndpointAddress = NewType("EndpointAddress", str)


class ListedState(Enum):
    """Say whether a listed endpoint takes new work."""

    READY = "ready"
    DRAINING = "draining"


class ListedEndpoint(msgspec.Struct, frozen=True):
    """Describe one start of an endpoint; another start has another id.

    `listed_as` is the name it is listed under, which a later start may have too, and
    `born` tells which start is later; both are left out where ids are drawn anew, and
    `epoch` where the store tells none.

    Units: cold_ms is how much longer it stays slow; revision orders the listings of an
    epoch of the store; born in milliseconds since 1970.
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

    @property
    def position(self) -> StorePosition:
        """Return where in the history of the store it was listed so."""
        epoch = FIRST_EPOCH if self.epoch is msgspec.UNSET else self.epoch
        return StorePosition(epoch, self.revision)

    def in_epoch(self, epoch: StoreEpoch) -> "ListedEndpoint":
        """Return the same, listed in an epoch of the store."""
        listed_epoch = msgspec.UNSET if epoch == FIRST_EPOCH else epoch
        return msgspec.structs.replace(self, epoch=listed_epoch)

    @property
    def name(self) -> str:
        """Return the name it is listed under."""
        if self.listed_as is msgspec.UNSET:
            return self.endpoint_id
        return self.listed_as

    def starts_after(self, other: "ListedEndpoint") -> bool:
        """Tell whether this is a later start than another one of the same name.

        Where none tells when it started, the listings decide.
        """
        return (self._born, self.position) > (other._born, other.position)

    @property
    def _born(self) -> int:
        return 0 if self.born is msgspec.UNSET else self.born


class Backpressure(msgspec.Struct, frozen=True):
    """Hold what an endpoint asks in an answer of those that send to it.

    Units: limit_per_s is the requests a second that it takes from all entries together,
    None where it names no limit; rest_s is how long it wants nothing more from the
    entry that it turned away, in seconds.
    """

    limit_per_s: float | None = None
    rest_s: float | None = None
    is_leaving: bool = False


class ReportedLoad(msgspec.Struct, frozen=True):
    """Hold the load that an endpoint put on an answer."""

    running: int
    waiting: int
    slots: int
