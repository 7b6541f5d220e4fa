"""Decide to which other entries an entry holds links, and whether one places for all.

These are the first candidates to schedule each group, because pieces go to them, and
the next entries in the order of ids, so that news reaches every entry. The number of
links does not grow with the fleet. Which links stand is left to the caller.
"""

from collections.abc import Collection, Iterable

from leadford.common import EntryId, HallId
from leadford.forwarding.batching import GroupId, RegionMap, schedulers_in_order
from leadford.forwarding.routes import ServiceId

# Next entries in the order of ids that a link is held to; not measured.
RELAYS = 2
# First candidates for each group that a link is held to; not measured.
CANDIDATES = 2
# Entries from which on one of them places the prompts of all. Fewer hear by themselves
# what engines say of their load. Not varied.
PLACED_FROM = 8


def wanted_peers(
    own: EntryId,
    halls_by_entry: dict[EntryId, HallId],
    groups: Iterable[GroupId],
    regions: RegionMap,
) -> set[EntryId]:
    """Return the entries to hold links to; `halls_by_entry` holds this one too."""
    wanted: set[EntryId] = set()
    for group in groups:
        order = schedulers_in_order(group, halls_by_entry, regions)
        wanted.update(order[:CANDIDATES])
    ring = sorted(halls_by_entry)
    here = ring.index(own)
    wanted.update(ring[(here + step) % len(ring)] for step in range(1, RELAYS + 1))
    wanted.discard(own)
    return wanted


def placed_group(
    service_id: ServiceId,
    engine_halls: Collection[HallId],
    halls_by_entry: dict[EntryId, HallId],
    regions: RegionMap,
) -> GroupId | None:
    """Return the group of engines whose prompts one entry places.

    None in a small fleet, and where engines or entries lie in several regions: asking
    would take longer than it saves.
    """
    if len(halls_by_entry) < PLACED_FROM:
        return None
    halls = {*engine_halls, *halls_by_entry.values()}
    places = {regions.region(hall) for hall in halls}
    if len(places) != 1:
        return None
    return GroupId(service_id, places.pop())
