"""Choose bounded, deterministic subsets by rendezvous hashing.

Used by entries of the own interface: the endpoints of a pool that each talks to, and
the entries of a hall that watch the store for it.
"""

from leadford.common import EndpointId, EntryId, HallId, rendezvous_order

# Entries of a hall that watch the store for it.
RELAYS_PER_HALL = 2
# Part of a subset that lies in other halls.
OTHER_HALL_PART = 0.25


def choose_subset(
    node_id: str,
    halls_by_endpoint: dict[EndpointId, HallId],
    *,
    hall: HallId,
    size: int,
) -> list[EndpointId]:
    """Return the endpoints of a pool that one entry talks to.

    Most come from the entry's own hall; a part always lies elsewhere, so that the
    loss of the hall leaves connections that already stand.
    """
    near: list[EndpointId] = []
    far: list[EndpointId] = []
    for endpoint_id, endpoint_hall in halls_by_endpoint.items():
        (near if endpoint_hall == hall else far).append(endpoint_id)
    near = rendezvous_order(node_id, near)
    far = rendezvous_order(node_id, far)
    reserved = min(len(far), max(1, int(size * OTHER_HALL_PART)))
    chosen = near[: size - reserved]
    return chosen + far[: size - len(chosen)]


def choose_relays(halls_by_entry: dict[EntryId, HallId], hall: HallId) -> list[EntryId]:
    """Return the entries of a hall that watch the store for it."""
    members = [entry for entry, where in halls_by_entry.items() if where == hall]
    return rendezvous_order(f"relay/{hall}", members)[:RELAYS_PER_HALL]
