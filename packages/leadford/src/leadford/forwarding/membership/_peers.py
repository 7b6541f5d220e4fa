"""Decide to which other entries an entry holds links, and whether one places for all.

These are the first candidates to schedule each group, because pieces go to them, and
the next entries in the order of ids, so that news reaches every entry. The number of
links does not grow with the fleet. Which links stand is left to the caller.
"""

from collections.abc import Iterable, Mapping

from leadford.common import EntryId, HallId
from leadford.forwarding.batching import (
    GroupId,
    PlaceId,
    RegionMap,
    schedulers_in_order,
)
from leadford.forwarding.endpoints import pool_count, prompt_pool
from leadford.forwarding.routes import ServiceId

# Next entries in the order of ids that a link is held to.
SUCCESSORS_COUNT = 2
# First candidates for each group that a link is held to.
CANDIDATES_COUNT = 2
# Entries from which on one of them places the prompts of all. Fewer hear by themselves
# what engines say of their load.
PLACING_MIN_ENTRIES = 8


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
        wanted.update(order[:CANDIDATES_COUNT])
    ring = sorted(halls_by_entry)
    own_index = ring.index(own)
    wanted.update(
        ring[(own_index + step) % len(ring)] for step in range(1, SUCCESSORS_COUNT + 1)
    )
    wanted.discard(own)
    return wanted


def placed_group(
    service_id: ServiceId,
    engines_by_hall: Mapping[HallId, int],
    halls_by_entry: Mapping[EntryId, HallId],
    regions: RegionMap,
    *,
    pool_key: str,
) -> GroupId | None:
    """Return the group of engines whose prompts one entry places.

    `pool_key` is the part by which a prompt is given to a pool of many engines. None in
    a small fleet, and where engines or entries lie in several regions: asking would
    take longer than it saves.
    """
    region = _one_region(engines_by_hall, halls_by_entry, regions)
    if region is None:
        return None
    count = pool_count(sum(engines_by_hall.values()))
    if count == 1 or not pool_key:
        return GroupId(service_id, region)
    return _pool_group(service_id, region, prompt_pool(pool_key, count))


def placed_groups(
    service_id: ServiceId,
    engines_by_hall: Mapping[HallId, int],
    halls_by_entry: Mapping[EntryId, HallId],
    regions: RegionMap,
) -> set[GroupId]:
    """Return every group of engines whose prompts one entry places."""
    region = _one_region(engines_by_hall, halls_by_entry, regions)
    if region is None:
        return set()
    count = pool_count(sum(engines_by_hall.values()))
    groups = {GroupId(service_id, region)}
    if count > 1:
        groups |= {_pool_group(service_id, region, pool) for pool in range(count)}
    return groups


def _pool_group(service_id: ServiceId, region: PlaceId, pool: int) -> GroupId:
    """Return the group of a pool; any entry may place for it."""
    return GroupId(service_id, PlaceId(f"{region}/{pool}"))


def _one_region(
    engines_by_hall: Mapping[HallId, int],
    halls_by_entry: Mapping[EntryId, HallId],
    regions: RegionMap,
) -> PlaceId | None:
    """Return the region of a large fleet, if all of it lies in one."""
    if len(halls_by_entry) < PLACING_MIN_ENTRIES:
        return None
    places = {
        regions.region(hall) for hall in (*engines_by_hall, *halls_by_entry.values())
    }
    return places.pop() if len(places) == 1 else None
