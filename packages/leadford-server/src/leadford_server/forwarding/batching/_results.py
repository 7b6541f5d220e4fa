"""Track where the results of this entry's requests are stored, and release them.

Owns the location of each result that a request of this entry holds. A result is
released through the entry that accounts for the room at its endpoint; if that entry is
unreachable, this entry frees the result itself.
"""

from collections.abc import Callable, Iterable

from leadford.common import EndpointId, EntryId, HallId
from leadford.forwarding.batching import CapacityUse, sum_uses
from leadford.forwarding.routes import ResultHandle
from leadford_server.forwarding.batching._jobs import ResultLocation, SchedulerLinks

# Frees results of an endpoint from this entry.
ReleaseLocally = Callable[[EndpointId, list[ResultHandle]], None]


class ResultTable:
    """Track the location of each result, and release results without readers."""

    def __init__(
        self,
        *,
        entry_id: EntryId,
        release_locally: ReleaseLocally,
    ) -> None:
        self.entry_id = entry_id
        self.release_locally = release_locally
        self.links: SchedulerLinks | None = None
        self.location_by_handle_: dict[ResultHandle, ResultLocation] = {}
        # Results whose scheduler was lost; no scheduler counts the room they take.
        self.unaccounted_: set[ResultHandle] = set()

    def record(self, handle: ResultHandle, location: ResultLocation) -> None:
        """Record where a result is stored and which entry accounts for it."""
        self.location_by_handle_[handle] = location

    def bytes_by_hall(self, handles: Iterable[ResultHandle]) -> dict[HallId, int]:
        """Return how many bytes of the results are stored in each hall."""
        found: dict[HallId, int] = {}
        for handle in handles:
            location = self.location_by_handle_.get(handle)
            if location is not None:
                found[location.hall] = (
                    found.get(location.hall, 0) + location.result_bytes
                )
        return found

    def record_scheduler_lost(self, scheduler_id: EntryId) -> None:
        """Record that a lost scheduler no longer counts the room of its results."""
        self.unaccounted_ |= {
            handle
            for handle, location in self.location_by_handle_.items()
            if location.scheduler_id == scheduler_id
        }

    def unaccounted_uses(self, now: float) -> list[CapacityUse]:
        """Return the room taken by results whose scheduler was lost."""
        locations = [self.location_by_handle_[handle] for handle in self.unaccounted_]
        return sum_uses(
            CapacityUse(location.endpoint_id, location.result_bytes, calls=0)
            for location in locations
            if now < location.reported_until
        )

    def release(self, handles: list[ResultHandle]) -> None:
        """Release results that have no readers left."""
        handles_by_destination: dict[
            tuple[EntryId, EndpointId], list[ResultHandle]
        ] = {}
        for handle in handles:
            location = self.location_by_handle_.pop(handle, None)
            self.unaccounted_.discard(handle)
            if location is not None:
                destination = (location.scheduler_id, location.endpoint_id)
                handles_by_destination.setdefault(destination, []).append(handle)
        for (scheduler_id, endpoint_id), released in handles_by_destination.items():
            self.release_at(scheduler_id, endpoint_id, released)

    def release_at(
        self,
        scheduler_id: EntryId,
        endpoint_id: EndpointId,
        handles: list[ResultHandle],
    ) -> None:
        """Release results of one endpoint through the entry that accounts for them."""
        is_elsewhere = scheduler_id != self.entry_id
        if is_elsewhere and self.links.release(scheduler_id, endpoint_id, handles):
            return
        self.release_locally(endpoint_id, handles)
