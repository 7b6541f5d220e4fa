"""Hold which entries exist and which groups of endpoints they share.

Owns the entries that the store or a peer named. Applies the rules of
`leadford.forwarding.membership` to them, the listing and the configuration: which
entries to link to, which follow the store, which groups of engines one entry places
prompts for. `_links` knows which of them are alive.
"""

from leadford.common import EntryId, HallId
from leadford.forwarding.batching import GroupId
from leadford.forwarding.membership import (
    ALL_REACHABLE,
    PeerReach,
    candidate_orders,
    candidates_to_link,
    common_peers,
    first_of_each,
    peers_to_link,
    placement_group,
    placement_groups,
    store_followers,
)
from leadford.forwarding.routes import Service, ServiceId
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding._store_contract import KnownEntry


class FleetView:
    """Derive which entries work together from what this entry knows of the fleet."""

    def __init__(self, *, state: ForwardState) -> None:
        self.state = state
        self.entries_by_id_: dict[EntryId, KnownEntry] = {}
        self.first_candidates_: set[EntryId] = set()
        self.reach_ = ALL_REACHABLE

    def set_known_entries(self, entries: dict[EntryId, KnownEntry]) -> None:
        """Replace the entries that are known to exist."""
        self.entries_by_id_.clear()
        self.entries_by_id_.update(entries)
        self.entries_by_id_.pop(self.state.entry_id, None)

    def entry_count(self) -> int:
        """Return how many entries exist, including this one."""
        return 1 + len(self.entries_by_id_)

    def halls_by_entry(self) -> dict[EntryId, HallId]:
        """Return the hall of each entry that exists, including this one."""
        halls = {entry.entry_id: entry.hall for entry in self.entries_by_id_.values()}
        halls[self.state.entry_id] = self.state.hall
        return halls

    def peers_to_link(self, reach: PeerReach = ALL_REACHABLE) -> set[EntryId]:
        """Return the entries to hold links to, and update the first candidates.

        `reach` holds until the next call, also for the choice of followers.
        """
        self.reach_ = reach
        halls = self.halls_by_entry()
        orders = candidate_orders(halls, self._linked_groups(), self.state.regions)
        self.first_candidates_ = first_of_each(orders)
        candidates = candidates_to_link(orders, reach)
        return peers_to_link(self.state.entry_id, halls, candidates, reach)

    def common_peers(self) -> set[EntryId]:
        """Return the entries to which all entries of a region hold links.

        As of the last update of the first candidates, which takes some milliseconds in
        a large fleet.
        """
        return common_peers(self.halls_by_entry(), self.first_candidates_)

    def _linked_groups(self) -> set[GroupId]:
        """Return the groups to whose first candidates entries hold links."""
        stages = self.stage_groups()
        groups = stages | self.engine_groups()
        if not stages:
            # The entries that follow the store for all others are found by this group.
            groups.add(self._own_region())
        return groups

    def followers(self) -> set[EntryId]:
        """Return the entries that follow the store for all others."""
        groups = self.stage_groups() or {self._own_region()}
        return store_followers(
            self.halls_by_entry(),
            groups,
            self.state.regions,
            self.reach_.unreached,
        )

    def stage_groups(self) -> set[GroupId]:
        """Return the groups of usable endpoints of all stages."""
        found = set()
        now = self.state.now()
        for service in self._services():
            if service.pieces is None:
                continue
            found.update(self.state.group_map_.usable_by_group(service.service_id, now))
        return found

    def engine_groups(self) -> set[GroupId]:
        """Return the groups of engines for which one entry places all prompts."""
        found = set()
        for service in self._services():
            if service.engine is None:
                continue
            found |= placement_groups(
                service.service_id,
                self.state.roster_.listed_by_hall(service.service_id),
                self.halls_by_entry(),
                self.state.regions,
            )
        return found

    def engine_group(self, service_id: ServiceId, pool_key: str) -> GroupId | None:
        """Return the group of engines for a prompt, if one entry places for all."""
        service = self.state.service(service_id)
        if service is None or service.engine is None:
            return None
        return placement_group(
            service_id,
            self.state.roster_.listed_by_hall(service_id),
            self.halls_by_entry(),
            self.state.regions,
            pool_key=pool_key,
        )

    def _services(self) -> list[Service]:
        table = self.state.table_
        return [] if table is None else list(table.config.services_by_id.values())

    def _own_region(self) -> GroupId:
        """Return a group of no service; all entries of a region link its candidates."""
        return GroupId(ServiceId(""), self.state.regions.region(self.state.hall))
