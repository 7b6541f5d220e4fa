"""Follow which halls the operator has evacuated: from the store, or from a peer.

Writes the evacuated halls of the roster, which orders notices by the positions of the
store, and tells peers what it learns, so that an entry which the store turns away
follows its neighbours. Endpoints of a hall that is given back count as cold at once:
their listings say so only a heartbeat later.
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
from leadford_server.forwarding.store._client import FROM_STORE, readable_record

# Part of the bound on evacuations that a watch waits in the store. A watch that hears
# nothing is then over, and its successor answered, well within the bound.
WATCH_PART = 0.4


class HallsHolder:
    """Hold which halls are evacuated.

    `on_change` is called after a hall has changed, `tell` with what peers should know.
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
        """Read a whole listing of the store."""
        epoch = listing.position.epoch
        read = [self._read(item, epoch) for item in listing.items]
        notices = [notice for notice in read if notice is not None]
        halls = self.state.roster_.halls_
        was_known = halls.is_known_
        changed = halls.replace(notices, listing.position, self.state.now())
        self._settle(changed, FROM_STORE, is_first=not was_known)

    def on_event(self, event: ObjectEvent) -> None:
        """Read one change in the store."""
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
            self._settle([notice], FROM_STORE)

    def on_confirmed(self) -> None:
        """Do nothing: how old the list of evacuations is decides nothing."""

    def expire(self) -> None:
        """Give halls back whose evacuation a restored store has lost for good."""
        self._settle(self.state.roster_.halls_.expire(self.state.now()), FROM_STORE)

    def learn(
        self, report: EvacuationReport, source: str, *, tells_epochs: bool = True
    ) -> None:
        """Record what a peer knows; `source` names it."""
        halls = self.state.roster_.halls_
        was_known = halls.is_known_
        halls.is_known_ = True
        changed = []
        for told in report.halls:
            epoch = StoreEpoch(told.epoch)
            if not tells_epochs:
                epoch = self.state.epochs_.of_untold()
            notice = HallNotice(
                HallId(told.hall), told.revision, told.is_evacuated, epoch
            )
            if halls.record(notice):
                changed.append(notice)
        self._settle(changed, source, is_first=not was_known)

    def report(self) -> EvacuationReport | None:
        """Return what peers are told; nothing before it is known here."""
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

    def _settle(
        self, changed: list[HallNotice], source: str, *, is_first: bool = False
    ) -> None:
        """Log changes, count endpoints of halls that were given back as cold, tell."""
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
        """Count the endpoints of a hall as cold for as long as their service says."""
        now = self.state.now()
        for record in self.state.roster_.in_hall(hall):
            service = self.state.service(record.listed.service_id)
            limits = service.cold_limits if service is not None else None
            if limits is not None:
                record.record_cold(now + limits.lasts_s)

    def _read(self, item: dict, epoch: StoreEpoch) -> HallNotice | None:
        notice = readable_record(
            self.objects.read_evacuation(item),
            self.objects.object_name(item),
            self.state.log,
        )
        return None if notice is None else notice.in_epoch(epoch)
