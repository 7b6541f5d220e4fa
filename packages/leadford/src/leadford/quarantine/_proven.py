"""Remember which prompt parts were in complete answers lately.

Such a part is unlikely to crash endpoints. The memory is bounded by the number of
parts, so a caller that names many parts displaces those that were not used lately.
"""

from collections import OrderedDict
from collections.abc import Iterable

from leadford.quarantine._crash import PartId
from leadford.quarantine._decision import PROVEN_S

# A part takes about 200 bytes.
MAX_PROVEN_PARTS = 10_000


class ProvenParts:
    """Hold when the last complete answer with each part began."""

    def __init__(self) -> None:
        self.begun_at_by_part_: OrderedDict[PartId, float] = OrderedDict()

    def record(self, part_ids: Iterable[PartId], begun_at: float) -> None:
        """Record the parts of the prompt of a complete answer.

        Units: begun_at, when the answer began, in seconds.
        """
        for part_id in part_ids:
            known_at = self.begun_at_by_part_.get(part_id, begun_at)
            self.begun_at_by_part_[part_id] = max(known_at, begun_at)
            self.begun_at_by_part_.move_to_end(part_id)
        while len(self.begun_at_by_part_) > MAX_PROVEN_PARTS:
            self.begun_at_by_part_.popitem(last=False)

    def proven(self, part_ids: Iterable[PartId], now: float) -> tuple[PartId, ...]:
        """Return the parts that were in a complete answer lately.

        Units: now in seconds.
        """
        since = now - PROVEN_S
        return tuple(part_id for part_id in part_ids if self.begun_at(part_id) >= since)

    def begun_at(self, part_id: PartId) -> float:
        """Return when the last complete answer with a part began, -inf if unknown."""
        return self.begun_at_by_part_.get(part_id, float("-inf"))
