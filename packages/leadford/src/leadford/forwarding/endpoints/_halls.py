"""Know which data halls the operator has evacuated.

Written from the store and from peers, in any order of arrival; positions in the history
of the store decide what is newer. Owned by the roster, which gives endpoints of an
evacuated hall no new work. Work that runs there is left alone, and results that lie
there are read as long as they last.
"""

from collections.abc import Iterable

import msgspec

from leadford.common import HallId
from leadford.forwarding.history import FIRST_EPOCH, StoreEpoch, StorePosition

# Halls whose evacuation is over and still remembered, so that an older notice does not
# bring it back; far more than a fleet has.
MAX_HALLS_COUNT = 2_000
# Seconds for which a hall stays evacuated after a restored store lacks its evacuation.
LOST_EVACUATION_S = 6.0


class HallNotice(msgspec.Struct, frozen=True):
    """Say whether a hall was evacuated at a revision of the store."""

    hall: HallId
    revision: int
    is_evacuated: bool
    epoch: StoreEpoch = FIRST_EPOCH

    @property
    def order(self) -> tuple[StorePosition, bool]:
        """Return what orders notices; the end of one may bear its last revision."""
        return (StorePosition(self.epoch, self.revision), not self.is_evacuated)

    def in_epoch(self, epoch: StoreEpoch) -> "HallNotice":
        """Return the same, told in an epoch of the store."""
        return msgspec.structs.replace(self, epoch=epoch)


class _Lost(msgspec.Struct, frozen=True):
    """Hold which listing of a restored store lacked an evacuation.

    Units: until in seconds of the monotonic clock.
    """

    position: StorePosition
    until: float


class EvacuatedHalls:
    """Join notices on halls by the positions they were made at.

    `is_known` is false where halls can be evacuated and neither the store nor a peer
    has told yet which are: an entry that starts during an evacuation must send nothing
    before it knows.
    """

    def __init__(self, *, is_known: bool = True) -> None:
        self.is_known = is_known
        self.is_known_ = is_known
        self.by_hall_: dict[HallId, HallNotice] = {}
        self.lost_by_hall_: dict[HallId, _Lost] = {}

    def record(self, notice: HallNotice) -> bool:
        """Record one notice; return whether it changed what holds for its hall."""
        known = self.by_hall_.get(notice.hall)
        if known is not None and notice.order <= known.order:
            return False
        self.lost_by_hall_.pop(notice.hall, None)
        # Moved to the end, so that the oldest is forgotten first.
        self.by_hall_.pop(notice.hall, None)
        self.by_hall_[notice.hall] = notice
        self._forget_oldest()
        was_evacuated = known is not None and known.is_evacuated
        return was_evacuated != notice.is_evacuated

    def replace(
        self, evacuated: Iterable[HallNotice], position: StorePosition, now: float
    ) -> list[HallNotice]:
        """Record a whole listing made at a position, and return what it changed.

        A hall that a later epoch of the store lacks stays evacuated for a while: the
        operator writes again what a copy does not have.
        """
        listed = list(evacuated)
        seen = {notice.hall for notice in listed}
        for hall, notice in self.by_hall_.items():
            if not notice.is_evacuated or hall in seen:
                continue
            if notice.epoch < position.epoch:
                self.lost_by_hall_.setdefault(
                    hall, _Lost(position, now + LOST_EVACUATION_S)
                )
                continue
            listed.append(HallNotice(hall, position.revision, False, position.epoch))
        self.is_known_ = True
        return [notice for notice in listed if self.record(notice)]

    def expire(self, now: float) -> list[HallNotice]:
        """Give halls back whose evacuation was not written again; return which."""
        ended = [
            HallNotice(hall, lost.position.revision, False, lost.position.epoch)
            for hall, lost in self.lost_by_hall_.items()
            if now >= lost.until
        ]
        return [notice for notice in ended if self.record(notice)]

    def is_evacuated(self, hall: HallId) -> bool:
        """Tell whether a hall gets no new work."""
        if not self.is_known_:
            return True
        notice = self.by_hall_.get(hall)
        return notice is not None and notice.is_evacuated

    def notices(self) -> list[HallNotice]:
        """Return what is known of every hall that was ever evacuated."""
        return list(self.by_hall_.values())

    def _forget_oldest(self) -> None:
        for hall in list(self.by_hall_):
            if len(self.by_hall_) <= MAX_HALLS_COUNT:
                return
            if not self.by_hall_[hall].is_evacuated:
                del self.by_hall_[hall]
