"""Divide the rate that an endpoint bears among the entries that may use it.

A few entries share it equally. If most callers go to one entry, that entry has the
fraction of the rate that it has of the load, whether it is one of these or not.
"""

from collections.abc import Collection

import msgspec

from leadford.common import EntryId


class BusiestEntry(msgspec.Struct, frozen=True):
    """Name the entry that gets most of the callers, and its fraction of the load."""

    entry_id: EntryId
    fraction: float


def part_of_limit(
    own: EntryId, sharers: Collection[EntryId], busiest: BusiestEntry | None
) -> float:
    """Return the part of a limit that an entry may use, 0 if it has none.

    `sharers` are the entries among which the limit is divided in equal parts.
    """
    if busiest is None:
        return 1.0 / len(sharers) if own in sharers else 0.0
    if own == busiest.entry_id:
        return busiest.fraction
    others = [entry_id for entry_id in sharers if entry_id != busiest.entry_id]
    if own not in others:
        return 0.0
    return (1.0 - busiest.fraction) / len(others)
