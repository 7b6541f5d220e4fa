"""What a request asks of other entries, through the links of this one."""

from collections.abc import Callable, Collection, Iterable, Sequence
from enum import Enum
from typing import Protocol

import msgspec

from leadford.common import EndpointId, EntryId, HallId, RequestId
from leadford.forwarding.admission import BookingQuery
from leadford.forwarding.endpoints import EndpointRecord, PromptShape, SoftwareVersion
from leadford.forwarding.routes import Service, ServiceId
from leadford.forwarding.streams import StreamKey, StreamOrigin


class PlacedEngine(msgspec.Struct, frozen=True, eq=False):
    """Hold an engine that another entry chose for a prompt.

    `report_prefilled` tells that entry that the prompt no longer waits at the engine.
    """

    record: EndpointRecord
    report_prefilled: Callable[[], None]


class PromptPlacement(Protocol):
    """Ask the entry that places the prompts of all entries."""

    def places_service(self, service: Service) -> bool:
        """Tell whether one entry chooses endpoints of a service for all entries."""

    def places_for_all(self, service_id: ServiceId, prompt: PromptShape) -> bool:
        """Tell whether this entry places the prompts of all entries."""

    async def place(
        self,
        service_id: ServiceId,
        prompt: PromptShape,
        *,
        excluded: Collection[EndpointId],
        bytes_by_hall: dict[HallId, int],
    ) -> PlacedEngine | None:
        """Return the engine that the placing entry chose; None if it named none."""


class ReturnBookings(Protocol):
    """Ask the schedulers of services to book capacity for refused callers that return.

    Units: until, in seconds of the monotonic clock, ends the wait for an answer.
    """

    def owner(self, service_id: ServiceId) -> EntryId | None:
        """Return the entry that books for a service, None if nothing is booked."""

    async def book(
        self, service_id: ServiceId, query: BookingQuery, until: float
    ) -> float | None:
        """Return in how many seconds a caller is to return; None without a booking."""

    async def claim(
        self, fingerprint: str, service_ids: Iterable[ServiceId], until: float
    ) -> bool:
        """Return whether a returned caller had a booking that is due, and end it."""


class OriginSource(Enum):
    """Tell who knew the software version that began a stream.

    STORE: it was recorded there. SOLE: nobody knows the stream, but only one version
    can have begun it.
    """

    OWN = "own"
    REPLICA = "replica"
    STORE = "store"
    SOLE = "sole"
    NOBODY = "nobody"


class FoundOrigin(msgspec.Struct, frozen=True):
    """Hold the origin of a stream, None if nobody knows it, and who knew it."""

    source: OriginSource
    origin: StreamOrigin | None


class SoftwareKnowledge(Protocol):
    """Record in the store at which versions of services streams may have begun.

    Units: wait_s is for how long a caller waits, in seconds.
    """

    def record_wait(self, wait_s: float) -> None:
        """Record for how long the caller of a stream may wait."""

    def longest_wait_s(self, service_id: ServiceId) -> float | None:
        """Return the longest time that a caller may wait, None if it is not known."""

    async def until_recorded(
        self, service_id: ServiceId, software: SoftwareVersion | None
    ) -> None:
        """Wait until a stream at a version may begin, or the store is too slow."""

    async def sole(self, service_ids: Sequence[ServiceId]) -> SoftwareVersion | None:
        """Return the only version of some services that can have begun a stream."""


class StreamKnowledge(Protocol):
    """Read from the store at which versions streams began."""

    async def find(self, request_id: RequestId) -> StreamOrigin | None:
        """Return the origin of a stream that any entry recorded, None if none did."""


class StreamOrigins(Protocol):
    """Tell other entries which software version began a stream, and ask them.

    Units: wait_s is for how much longer the caller waits.
    """

    def record(self, key: StreamKey, origin: StreamOrigin, wait_s: float) -> None:
        """Record the origin of a stream that this entry holds."""

    async def find(
        self, key: StreamKey, service_ids: Sequence[ServiceId]
    ) -> FoundOrigin:
        """Return the origin of a stream, and who knew it.

        `service_ids` are those of its route, the one that it would go to now first.
        """
