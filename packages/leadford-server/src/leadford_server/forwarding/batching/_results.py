"""Hold where the results of this entry's requests lie, and release them.

Owns the maker of each result that a request of this entry holds. A result is released
to the entry that accounts for the room at its endpoint; if that entry is out of reach,
this one frees it itself.
"""

from collections.abc import Callable, Iterable

from leadford.common import EndpointId, EntryId, HallId
from leadford.forwarding.routes import ResultHandle
from leadford_server.forwarding.batching._jobs import ResultMaker, SchedulerLinks

# Releases results of an endpoint from here.
ReleaseHere = Callable[[EndpointId, list[ResultHandle]], None]


class ResultLedger:
    """Know the maker of each result, and release results that nobody reads any more."""

    def __init__(
        self,
        *,
        entry_id: EntryId,
        release_here: ReleaseHere,
    ) -> None:
        self.entry_id = entry_id
        self.release_here = release_here
        self.links: SchedulerLinks | None = None
        self.maker_by_handle_: dict[ResultHandle, ResultMaker] = {}

    def record(self, handle: ResultHandle, maker: ResultMaker) -> None:
        """Record who made a result and who accounts for it."""
        self.maker_by_handle_[handle] = maker

    def bytes_by_hall(self, handles: Iterable[ResultHandle]) -> dict[HallId, int]:
        """Return how many bytes of the results lie in each hall."""
        found: dict[HallId, int] = {}
        for handle in handles:
            maker = self.maker_by_handle_.get(handle)
            if maker is not None:
                found[maker.hall] = found.get(maker.hall, 0) + maker.result_bytes
        return found

    def release(self, handles: list[ResultHandle]) -> None:
        """Release results that nobody reads any more."""
        by_place: dict[tuple[EntryId, EndpointId], list[ResultHandle]] = {}
        for handle in handles:
            maker = self.maker_by_handle_.pop(handle, None)
            if maker is not None:
                place = (maker.scheduler_id, maker.endpoint_id)
                by_place.setdefault(place, []).append(handle)
        for (scheduler_id, endpoint_id), group in by_place.items():
            self.release_at(scheduler_id, endpoint_id, group)

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
        self.release_here(endpoint_id, handles)
