"""Merge listings of endpoints from the store, or from a peer with a newer one.

Updates the roster, which orders updates by their positions in the history of the store.
An endpoint that cannot be read is left out and logged.
"""

from collections.abc import Callable, Iterable

from leadford.events import Event
from leadford.forwarding.endpoints import ListedEndpoint, RosterChange
from leadford.forwarding.history import StoreEpoch, StorePosition
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding._store_contract import ObjectCodec, ObjectEvent
from leadford_server.forwarding.store._base import Listing
from leadford_server.forwarding.store._client import decoded_record_or_none


class ListingHolder:
    """Hold the listed endpoints.

    `on_change` is called after the listing has changed.
    """

    def __init__(
        self,
        *,
        objects: ObjectCodec,
        state: ForwardState,
        on_change: Callable[[], None],
    ) -> None:
        self.objects = objects
        self.state = state
        self.on_change = on_change

    def on_list(self, listing: Listing) -> None:
        """Apply a complete listing of the store."""
        epoch = listing.position.epoch
        found = [self._read(item, epoch) for item in listing.items]
        endpoints = [endpoint for endpoint in found if endpoint is not None]
        self.apply(endpoints, listing.position)

    def on_event(self, event: ObjectEvent) -> None:
        """Apply one change in the store."""
        roster = self.state.roster_
        endpoint = None if event.is_gone else self._read(event.item, event.epoch)
        if endpoint is None:
            # An unreadable record names no endpoint, the same as a deleted one.
            changes = roster.remove(
                self.objects.object_name(event.item),
                StorePosition(event.epoch, self.objects.object_revision(event.item)),
                self.state.now(),
                seen_at=event.seen_at,
            )
            self._log(changes)
            return
        self._log(roster.record_listed(endpoint))
        self._record_cold(endpoint)

    def on_confirmed(self, confirmed_at: float) -> None:
        """Do nothing: no decision depends on the age of a listing."""

    def on_failed_call(self, called_at: float, confirmed_at: float | None) -> None:
        """Record that a call for the listing failed now."""
        self.state.roster_.outage_.record_failed_call(
            called_at, confirmed_at, self.state.now()
        )

    def apply(self, endpoints: list[ListedEndpoint], position: StorePosition) -> None:
        """Merge a complete listing that was made at a position of the store."""
        roster = self.state.roster_
        self.state.software_history_.begin(self.state.now())
        self._log(roster.replace(endpoints, position, self.state.now()))
        for endpoint in endpoints:
            self._record_cold(endpoint)

    def _record_cold(self, endpoint: ListedEndpoint) -> None:
        record = self.state.roster_.record(endpoint.endpoint_id)
        if record is not None:
            record.record_listed_cold(endpoint, self.state.now())

    def _read(self, item: dict, epoch: StoreEpoch) -> ListedEndpoint | None:
        endpoint = decoded_record_or_none(
            self.objects.read_endpoint(item),
            self.objects.object_name(item),
            self.state.log,
        )
        return None if endpoint is None else endpoint.in_epoch(epoch)

    def _log(self, changes: Iterable[RosterChange]) -> None:
        """Log changes and call `on_change` if there are any."""
        changes = list(changes)
        for change in changes:
            if change.is_gone:
                self.state.software_history_.record_gone(
                    change.service_id, change.software, self.state.now()
                )
            self.state.log.report(
                Event.ENDPOINT_LISTED,
                endpoint=change.endpoint_id,
                service=change.service_id,
                software=change.software or "",
                before=change.before,
                after=change.after,
                revision=self.state.roster_.changed_position_.revision,
                epoch=self.state.roster_.changed_position_.epoch,
            )
        if changes:
            self.on_change()
