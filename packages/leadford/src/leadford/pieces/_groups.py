"""Split the endpoints of a batched stage into groups, each with one keeper.

A group is the endpoints of one service in one hall. One entry keeps its queue, so that
calls fill from the pieces of all entries. Which one follows from the entries that are
alive; two keepers at once only make batches smaller.
"""

import msgspec

from leadford.common import EntryId, HallId, rendezvous_order
from leadford.forwarding import PieceLimits, ServiceId

LOAD_FRESH_S = 1.5
OTHER_HALL_S = 0.12
MOVED_S_PER_BYTE = 0.15e-6
MOVED_MOST_S = 0.45
ROOM_SHORT_S = 0.4


class GroupId(msgspec.Struct, frozen=True):
    """Name a group."""

    service_id: ServiceId
    hall: HallId

    @property
    def key(self) -> str:
        """Return the text that is hashed for the group."""
        return f"{self.service_id}/{self.hall}"


class GroupLoad(msgspec.Struct, frozen=True):
    """Hold what a keeper last said of a group.

    Units: wait_s is how long a new piece waits for its call; heard_at is in seconds
    of the monotonic clock.
    """

    wait_s: float
    room_bytes: int
    heard_at: float


def keepers_in_order(
    group: GroupId, halls_by_entry: dict[EntryId, HallId]
) -> list[EntryId]:
    """Return the entries in the order in which they keep a group, near ones first."""
    near = [entry for entry, hall in halls_by_entry.items() if hall == group.hall]
    far = [entry for entry, hall in halls_by_entry.items() if hall != group.hall]
    return rendezvous_order(group.key, near) + rendezvous_order(group.key, far)


class GroupTable:
    """Choose the group for each piece by what keepers said and what was sent since."""

    def __init__(self) -> None:
        self.loads_by_group_: dict[GroupId, GroupLoad] = {}
        self.sent_by_group_: dict[GroupId, int] = {}

    def note_load(self, group: GroupId, load: GroupLoad) -> None:
        """Take in what a keeper said; it counts what was sent before."""
        self.loads_by_group_[group] = load
        self.sent_by_group_[group] = 0

    def note_sent(self, group: GroupId) -> None:
        """Count a piece that the next report of the keeper will count."""
        self.sent_by_group_[group] = self.sent_by_group_.get(group, 0) + 1

    def wait_s(
        self, group: GroupId, limits: PieceLimits, endpoints: int, now: float
    ) -> float:
        """Return how long a piece sent now is expected to wait for its call."""
        load = self.loads_by_group_.get(group)
        wait_s = 0.0
        if load is not None and now - load.heard_at < LOAD_FRESH_S:
            wait_s = load.wait_s
        sent = self.sent_by_group_.get(group, 0)
        per_batch_s = limits.duration_ms(limits.batch) / 1_000.0
        return wait_s + sent / (limits.batch * max(1, endpoints)) * per_batch_s

    def choose(
        self,
        service_id: ServiceId,
        endpoints_by_hall: dict[HallId, int],
        limits: PieceLimits,
        *,
        result_bytes: int,
        moved_bytes_by_hall: dict[HallId, int],
        now: float,
    ) -> GroupId | None:
        """Return the group that takes a piece first; moved bytes speak against it."""
        best = None
        best_score = float("inf")
        for hall, endpoints in sorted(endpoints_by_hall.items()):
            if endpoints == 0:
                continue
            group = GroupId(service_id, hall)
            score = self.wait_s(group, limits, endpoints, now)
            load = self.loads_by_group_.get(group)
            if load is not None and load.room_bytes < result_bytes:
                score += ROOM_SHORT_S
            moved_bytes = moved_bytes_by_hall.get(hall, 0)
            if moved_bytes > 0:
                score += min(
                    MOVED_MOST_S, OTHER_HALL_S + moved_bytes * MOVED_S_PER_BYTE
                )
            if score < best_score:
                best, best_score = group, score
        return best
