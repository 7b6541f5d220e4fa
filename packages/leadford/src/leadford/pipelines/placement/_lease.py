"""Lease the right to plan a pool by conditional updates of the plan's own object.

Used by the planner of each entry (`leadford_server.pipelines.entry`). `PlanRecord` is
a stored form: running processes of this and older versions read its fields by name.
"""

import cbor2
import msgspec

from leadford.common import EntryId
from leadford.pipelines.placement._planner import Plan

# Duration of a lease, and the interval at which its holder renews it.
LEASE_S = 15.0
RENEW_INTERVAL_S = 5.0


class PlanRecord(msgspec.Struct, frozen=True):
    """Hold a plan, who may change it, and until when.

    Units: until_s is seconds of Unix time at the holder.
    """

    holder: str
    until_s: float
    plan: Plan

    def encode(self) -> bytes:
        """Return the record in its stored form."""
        return cbor2.dumps(msgspec.to_builtins(self))


def decode_plan(data: bytes) -> PlanRecord:
    """Decode a stored record; a corrupt one raises an exception."""
    return msgspec.convert(cbor2.loads(data), PlanRecord)


class PlanningLease:
    """Decide from the stored record whether this entry may write the next one.

    The lease only prevents two planners from undoing each other's plans. Safety comes
    from conditional updates: an update that is based on an older record fails, and
    agents use the store's version of the object as a fencing token.
    """

    def __init__(self, *, entry_id: EntryId, lease_s: float = LEASE_S) -> None:
        self.entry_id = entry_id
        self.lease_s = lease_s

    def may_write(self, record: PlanRecord | None, now_s: float) -> bool:
        """Return whether this entry may replace the record."""
        if record is None or record.holder == self.entry_id:
            return True
        return now_s > record.until_s

    def must_write(self, record: PlanRecord | None, plan: Plan, now_s: float) -> bool:
        """Return whether a changed plan or the lease requires a write now."""
        if record is None or record.holder != self.entry_id:
            return True
        if plan != record.plan:
            return True
        return record.until_s - now_s < self.lease_s - RENEW_INTERVAL_S

    def next_record(self, plan: Plan, now_s: float) -> PlanRecord:
        """Return the record to write."""
        return PlanRecord(self.entry_id, now_s + self.lease_s, plan)
