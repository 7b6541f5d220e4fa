"""Track which data halls the operator has evacuated.

Notices come from the store and from peers in any order; positions in the history of the
store decide which one is newer. Owned by the roster, which gives endpoints in an
evacuated hall no new work. Work that already runs there continues, and results that are
stored there can be read for as long as they exist.
"""

from collections.abc import Iterable

import msgspec

from leadford.common import HallId
from leadford.forwarding.history import FIRST_EPOCH, StoreEpoch, StorePosition

# Number of remembered halls above which those whose evacuation has ended are forgotten.
# They are remembered so that an older notice does not start the evacuation again. The
# limit is far above the number of halls of a fleet.
MAX_HALLS_COUNT = 2_000
# How long a hall stays evacuated when a restored store lacks its evacuation.
LOST_EVACUATION_S = 6.0


class HallNotice(msgspec.Struct, frozen=True):
    """State whether a hall was evacuated at a revision of the store."""

    hall: HallId
    revision: int
    is_evacuated: bool
    epoch: StoreEpoch = FIRST_EPOCH

    @property
    def order(self) -> tuple[StorePosition, bool]:
        """Return the sort key of notices.

        The end of an evacuation may have the same revision as the evacuation itself,
        and then sorts after it.
        """
        return (StorePosition(self.epoch, self.revision), not self.is_evacuated)

    def in_epoch(self, epoch: StoreEpoch) -> "HallNotice":
        """Return a copy of this notice in the given epoch of the store."""
        return msgspec.structs.replace(self, epoch=epoch)


class _Lost(msgspec.Struct, frozen=True):
    """Hold the position of the restored store's listing that lacked an evacuation.

    `until` is when the hall stops counting as evacuated.

    Units: until in seconds of the monotonic clock.
    """

    position: StorePosition
    until: float


class EvacuatedHalls:
    """Merge notices about halls by their positions in the history of the store.

    `is_known` is false where halls can be evacuated and neither the store nor a peer
    has yet said which ones are: an entry that starts during an evacuation must send
    nothing before it knows.
    """

    def __init__(self, *, is_known: bool = True) -> None:
        self.is_known = is_known
        self.is_known_ = is_known
        self.by_hall_: dict[HallId, HallNotice] = {}
        self.lost_by_hall_: dict[HallId, _Lost] = {}

    def record(self, notice: HallNotice) -> bool:
        """Record a notice; return whether it changed the state of its hall."""
        known = self.by_hall_.get(notice.hall)
        if known is not None and notice.order <= known.order:
            return False
        self.lost_by_hall_.pop(notice.hall, None)
        # Moved to the end, so that the hall with the oldest notice is forgotten first.
        self.by_hall_.pop(notice.hall, None)
        self.by_hall_[notice.hall] = notice
        self._forget_oldest()
        was_evacuated = known is not None and known.is_evacuated
        return was_evacuated != notice.is_evacuated

    def replace(
        self, evacuated: Iterable[HallNotice], position: StorePosition, now: float
    ) -> list[HallNotice]:
        """Record a complete listing at a position, and return the notices that changed.

        A hall whose evacuation is missing in a later epoch of the store stays evacuated
        for `LOST_EVACUATION_S`, so that the operator can write the evacuation again.
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

    def end_lost_evacuations(self, now: float) -> list[HallNotice]:
        """End the evacuations that were not written again in time; return them."""
        ended = [
            HallNotice(hall, lost.position.revision, False, lost.position.epoch)
            for hall, lost in self.lost_by_hall_.items()
            if now >= lost.until
        ]
        return [notice for notice in ended if self.record(notice)]

    def is_evacuated(self, hall: HallId) -> bool:
        """Tell whether endpoints in a hall get no new work."""
        if not self.is_known_:
            return True
        notice = self.by_hall_.get(hall)
        return notice is not None and notice.is_evacuated

    def notices(self) -> list[HallNotice]:
        """Return the newest notice about each remembered hall."""
        return list(self.by_hall_.values())

    def _forget_oldest(self) -> None:
        for hall in list(self.by_hall_):
            if len(self.by_hall_) <= MAX_HALLS_COUNT:
                return
            if not self.by_hall_[hall].is_evacuated:
                del self.by_hall_[hall]
