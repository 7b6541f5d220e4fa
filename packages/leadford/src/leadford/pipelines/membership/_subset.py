"""Choose bounded, deterministic subsets by rendezvous hashing.

Used by entries of the own interface to choose the endpoints of a pool that each entry
connects to, and the entries that watch the store for their hall.
"""

from leadford.common import EndpointId, EntryId, HallId, rendezvous_order

# Number of entries that watch the store for their hall.
RELAYS_PER_HALL = 2
# Fraction of a subset that is in other halls.
OTHER_HALL_FRACTION = 0.25


def choose_subset(
    node_id: str,
    halls_by_endpoint: dict[EndpointId, HallId],
    *,
    hall: HallId,
    size: int,
) -> list[EndpointId]:
    """Return the endpoints of a pool that one entry connects to.

    Most are in the entry's own hall. Some are always in other halls, so that the entry
    still has open connections when its own hall is lost.
    """
    local: list[EndpointId] = []
    remote: list[EndpointId] = []
    for endpoint_id, endpoint_hall in halls_by_endpoint.items():
        (local if endpoint_hall == hall else remote).append(endpoint_id)
    local = rendezvous_order(node_id, local)
    remote = rendezvous_order(node_id, remote)
    reserved = min(len(remote), max(1, int(size * OTHER_HALL_FRACTION)))
    chosen = local[: size - reserved]
    return chosen + remote[: size - len(chosen)]


def choose_relays(halls_by_entry: dict[EntryId, HallId], hall: HallId) -> list[EntryId]:
    """Return the entries that watch the store for their hall."""
    members = [
        entry for entry, entry_hall in halls_by_entry.items() if entry_hall == hall
    ]
    return rendezvous_order(f"relay/{hall}", members)[:RELAYS_PER_HALL]
