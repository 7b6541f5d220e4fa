"""Follow which data halls the operator has evacuated, from the store or from a peer.

Updates the evacuated halls of the roster, which orders notices by their positions in
the history of the store, and passes changes on to peers, so that an entry whose calls
the store rejects still learns of them. Endpoints of a hall that is given back count as
cold at once, because their own listings say so only a heartbeat later.
"""

from collections.abc import Callable

from leadford.common import HallId
from leadford.events import Event
from leadford.forwarding.endpoints import HallNotice
from leadford.forwarding.history import StoreEpoch
from leadford.protocol import EvacuationReport, HallReport
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding._store_contract import ObjectCodec, ObjectEvent
from leadford_server.forwarding.store._base import Listing
from leadford_server.forwarding.store._client import FROM_STORE, decoded_record_or_none

# Wait of a watch in the store, as a fraction of the bound on evacuations. A watch that
# gets no response then ends, and the next one is answered, well within the bound.
WATCH_FRACTION = 0.4


class HallsHolder:
    """Hold which halls are evacuated.

    `on_change` is called after a hall has changed, `tell` with the report for peers.
    """

    def __init__(
        self,
        *,
        objects: ObjectCodec,
        state: ForwardState,
        on_change: Callable[[], None],
        tell: Callable[[EvacuationReport], None],
    ) -> None:
        self.objects = objects
        self.state = state
        self.on_change = on_change
        self.tell = tell

    def on_list(self, listing: Listing) -> None:
        """Apply a complete listing of the store."""
        epoch = listing.position.epoch
        read = [self._read(item, epoch) for item in listing.items]
        notices = [notice for notice in read if notice is not None]
        halls = self.state.roster_.halls_
        was_known = halls.is_known_
        changed = halls.replace(notices, listing.position, self.state.now())
        self._apply_changes(changed, FROM_STORE, is_first=not was_known)

    def on_event(self, event: ObjectEvent) -> None:
        """Apply one change in the store."""
        if not event.is_gone:
            notice = self._read(event.item, event.epoch)
        else:
            notice = HallNotice(
                HallId(self.objects.object_name(event.item)),
                self.objects.object_revision(event.item),
                False,
                event.epoch,
            )
        if notice is not None and self.state.roster_.halls_.record(notice):
            self._apply_changes([notice], FROM_STORE)

    def on_confirmed(self, confirmed_at: float) -> None:
        """Do nothing: no decision depends on the age of the list of evacuations."""

    def expire(self) -> None:
        """Give back halls whose evacuation a restored store has lost for good."""
        self._apply_changes(
            self.state.roster_.halls_.end_lost_evacuations(self.state.now()), FROM_STORE
        )

    def learn(
        self, report: EvacuationReport, source: str, *, has_epochs: bool = True
    ) -> None:
        """Record the evacuations that a peer reports; `source` is its name."""
        halls = self.state.roster_.halls_
        was_known = halls.is_known_
        halls.is_known_ = True
        changed = []
        for told in report.halls:
            epoch = StoreEpoch(told.epoch)
            if not has_epochs:
                epoch = self.state.epochs_.assumed_epoch()
            notice = HallNotice(
                HallId(told.hall), told.revision, told.is_evacuated, epoch
            )
            if halls.record(notice):
                changed.append(notice)
        self._apply_changes(changed, source, is_first=not was_known)

    def report(self) -> EvacuationReport | None:
        """Return the report for peers, or None before the evacuations are known."""
        halls = self.state.roster_.halls_
        if not halls.is_known_:
            return None
        return EvacuationReport(
            [
                HallReport(
                    notice.hall, notice.revision, notice.is_evacuated, notice.epoch
                )
                for notice in halls.notices()
            ]
        )

    def _apply_changes(
        self, changed: list[HallNotice], source: str, *, is_first: bool = False
    ) -> None:
        """Log changes, mark endpoints of halls given back as cold, and notify peers."""
        for notice in changed:
            if not notice.is_evacuated:
                self._record_cold(notice.hall)
            self.state.log.report(
                Event.HALL_EVACUATED,
                hall=notice.hall,
                is_evacuated=notice.is_evacuated,
                revision=notice.revision,
                epoch=notice.epoch,
                endpoints=len(self.state.roster_.in_hall(notice.hall)),
                source=source,
            )
        if changed or is_first:
            self.tell(self.report())
            self.on_change()

    def _record_cold(self, hall: HallId) -> None:
        """Mark the endpoints of a hall as cold for the time set by their service."""
        now = self.state.now()
        for record in self.state.roster_.in_hall(hall):
            service = self.state.service(record.listed.service_id)
            limits = service.cold_limits if service is not None else None
            if limits is not None:
                record.record_cold(now + limits.lasts_s)

    def _read(self, item: dict, epoch: StoreEpoch) -> HallNotice | None:
        notice = decoded_record_or_none(
            self.objects.read_evacuation(item),
            self.objects.object_name(item),
            self.state.log,
        )
        return None if notice is None else notice.in_epoch(epoch)
