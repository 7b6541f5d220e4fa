"""Decide to which peers an entry holds links, and whether one entry places prompts.

An entry holds links to the first candidates to schedule each group, because pieces are
sent to them, and to the next entries in the order of ids, so that news reaches every
entry. The number of links does not grow with the fleet. The caller tracks which links
are established; others take the place of entries that cannot be reached (`_reach`).
"""

from collections.abc import Collection, Iterable, Mapping, Sequence

from leadford.common import EntryId, HallId
from leadford.forwarding.batching import (
    GroupId,
    PlaceId,
    RegionMap,
    schedulers_in_order,
)
from leadford.forwarding.endpoints import pool_count, prompt_pool
from leadford.forwarding.membership._reach import PeerReach, entries_to_dial
from leadford.forwarding.routes import ServiceId

# Number of next entries in the order of ids to hold links to.
SUCCESSORS_COUNT = 2
# In fleets up to this size, each entry is linked to every other one.
MAX_FULLY_LINKED_ENTRIES = 2 * SUCCESSORS_COUNT + 1
# Number of first candidates of each group to hold links to.
CANDIDATES_COUNT = 2
# The reach of an entry that has dialed nobody in vain.
ALL_REACHABLE = PeerReach()
# Minimum number of entries at which one of them places the prompts of all. In a smaller
# fleet, each entry learns the load of engines from its own answers.
PLACING_MIN_ENTRIES = 8


def first_candidates(
    halls_by_entry: dict[EntryId, HallId],
    groups: Iterable[GroupId],
    regions: RegionMap,
) -> set[EntryId]:
    """Return the first candidates to schedule groups, to which all entries link."""
    return first_of_each(candidate_orders(halls_by_entry, groups, regions))


def candidate_orders(
    halls_by_entry: dict[EntryId, HallId],
    groups: Iterable[GroupId],
    regions: RegionMap,
) -> list[list[EntryId]]:
    """Return for each group the candidates to schedule it, in order of preference."""
    return [schedulers_in_order(group, halls_by_entry, regions) for group in groups]


def first_of_each(orders: Iterable[Sequence[EntryId]]) -> set[EntryId]:
    """Return the first candidates of each order."""
    found: set[EntryId] = set()
    for order in orders:
        found.update(order[:CANDIDATES_COUNT])
    return found


def candidates_to_link(
    orders: Iterable[Sequence[EntryId]], reach: PeerReach
) -> set[EntryId]:
    """Return the first candidates, and the next ones for those that are unreached."""
    found: set[EntryId] = set()
    for order in orders:
        found |= entries_to_dial(order, CANDIDATES_COUNT, reach)
    return found


def common_peers(
    halls_by_entry: Mapping[EntryId, HallId], candidates: Collection[EntryId]
) -> set[EntryId]:
    """Return the entries to which all others hold links.

    `candidates` holds the first candidates to schedule groups.
    """
    if len(halls_by_entry) <= MAX_FULLY_LINKED_ENTRIES:
        return set(halls_by_entry)
    return set(candidates)


def peers_to_link(
    own: EntryId,
    halls_by_entry: Mapping[EntryId, HallId],
    candidates: Collection[EntryId],
    reach: PeerReach = ALL_REACHABLE,
) -> set[EntryId]:
    """Return the peers to hold links to; `halls_by_entry` includes this entry.

    `candidates` holds the candidates to schedule groups to which this entry links.
    """
    ring = sorted(halls_by_entry)
    own_index = ring.index(own)
    successors = ring[own_index + 1 :] + ring[:own_index]
    wanted = set(candidates) | entries_to_dial(successors, SUCCESSORS_COUNT, reach)
    wanted.discard(own)
    return wanted


def placement_group(
    service_id: ServiceId,
    engines_by_hall: Mapping[HallId, int],
    halls_by_entry: Mapping[EntryId, HallId],
    regions: RegionMap,
    *,
    pool_key: str,
) -> GroupId | None:
    """Return the group of engines whose prompts one entry places.

    `pool_key` is the part that assigns a prompt to a pool of a large service. The
    result is None in a small fleet, and where engines or entries are in several
    regions: requesting a placement would take longer than it saves.
    """
    region = _one_region(engines_by_hall, halls_by_entry, regions)
    if region is None:
        return None
    count = pool_count(sum(engines_by_hall.values()))
    if count == 1 or not pool_key:
        return GroupId(service_id, region)
    return _pool_group(service_id, region, prompt_pool(pool_key, count))


def placement_groups(
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
    """Return the group of a pool; any entry may place its prompts."""
    return GroupId(service_id, PlaceId(f"{region}/{pool}"))


def _one_region(
    engines_by_hall: Mapping[HallId, int],
    halls_by_entry: Mapping[EntryId, HallId],
    regions: RegionMap,
) -> PlaceId | None:
    """Return the region of a large fleet that lies in a single one."""
    if len(halls_by_entry) < PLACING_MIN_ENTRIES:
        return None
    places = {
        regions.region(hall) for hall in (*engines_by_hall, *halls_by_entry.values())
    }
    return places.pop() if len(places) == 1 else None
