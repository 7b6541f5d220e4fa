"""Decide which entries to dial in place of those that cannot be reached.

The record of an entry that is lost for good may stay in the store, so an entry whose
peers are all lost must find others that live. Each entry judges only what it has dialed
itself, and forgets nobody: the entries that it would be linked to without losses are
dialed at all times, and take their place again once they answer. So two halves of a
fleet that could not reach each other are linked again at once.
"""

from collections.abc import Collection, Sequence

import msgspec

from leadford.common import EntryId

# Time of dialing in vain after which further entries are dialed. It includes one
# attempt to open a connection to a host that never answers.
MIN_UNREACHED_S = 2.5
# Interval at which entries that were replaced are dialed again. Their own links lead to
# others too, so nothing depends on a short one.
REDIAL_INTERVAL_S = 30.0
# Maximum number of further entries that are dialed at once.
MAX_FURTHER_DIALS_COUNT = 16


class PeerReach(msgspec.Struct, frozen=True):
    """Hold which entries are linked and live, and which were dialed in vain.

    `redialed` is the part of `unreached` that is dialed again now.
    """

    reached: Collection[EntryId] = frozenset()
    unreached: Collection[EntryId] = frozenset()
    redialed: Collection[EntryId] = frozenset()


class DialTimes:
    """Track since when entries have been dialed in vain."""

    def __init__(self) -> None:
        self.dialed_at_by_id_: dict[EntryId, float] = {}

    def record_dialing(self, entry_id: EntryId, now: float) -> None:
        """Record that an entry is dialed and was not reached yet."""
        self.dialed_at_by_id_.setdefault(entry_id, now)

    def record_reached(self, entry_id: EntryId) -> None:
        """Record that an entry is linked and live."""
        self.dialed_at_by_id_.pop(entry_id, None)

    def retain(self, known: Collection[EntryId]) -> None:
        """Forget the entries that are no longer recorded."""
        for entry_id in set(self.dialed_at_by_id_).difference(known):
            del self.dialed_at_by_id_[entry_id]

    def reach(self, reached: Collection[EntryId], now: float) -> PeerReach:
        """Return the reach of this entry, where `reached` are linked and live."""
        unreached, redialed = set(), set()
        for entry_id, dialed_at in self.dialed_at_by_id_.items():
            dialed_s = now - dialed_at
            if dialed_s < MIN_UNREACHED_S:
                continue
            unreached.add(entry_id)
            if dialed_s % REDIAL_INTERVAL_S < MIN_UNREACHED_S:
                redialed.add(entry_id)
        return PeerReach(frozenset(reached), unreached, redialed)


def entries_to_dial(
    order: Sequence[EntryId], count: int, reach: PeerReach
) -> set[EntryId]:
    """Return the first entries in an order, and others for those that are unreached.

    With each entry that is unreached more are tried at once, so that a long series of
    lost entries is passed soon.
    """
    wanted = set(order[:count])
    reached_count = tried_count = unreached_count = 0
    for entry_id in order:
        if entry_id in reach.unreached:
            unreached_count += 1
            if entry_id in reach.redialed:
                wanted.add(entry_id)
            continue
        wanted.add(entry_id)
        if entry_id in reach.reached:
            reached_count += 1
        else:
            tried_count += 1
        needed_count = max(count, min(unreached_count, MAX_FURTHER_DIALS_COUNT))
        if reached_count >= count or reached_count + tried_count >= needed_count:
            break
    return wanted
