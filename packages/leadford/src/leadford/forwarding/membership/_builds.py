"""Decide which rules the entries of two builds follow together.

During an upgrade, entries of the previous build and of this one run side by side.
`leadford.protocol` keeps their messages readable. What entries agree on without
messages, such as which entry chooses the engine of a prompt, works only if all of them
decide alike. Therefore each change of such a rule is listed here with the first
protocol version that knows it, and all entries follow the rules of the oldest build
that is alive. A new rule takes effect once the last old entry is gone, and ends when an
old entry returns, as in a rollback.

An entry knows the versions of its linked peers from the links. Every entry is linked to
the first candidates of each group, and reports in its heartbeats the oldest version
among its own links. So each version is known over two links, without a record in the
store that a killed entry would leave behind.
"""

from collections.abc import Mapping
from enum import Enum

from leadford.common import EntryId
from leadford.protocol import PROTOCOL_COLD_PLACED, PROTOCOL_LOAD, PROTOCOL_UNTOLD


class SharedRule(Enum):
    """List the rules that all entries follow together, with the version that adds each.

    COLD_ENGINES_PLACED: one entry chooses the engines of all prompts also at services
    whose endpoints may be cold; without this rule, each entry chooses them on its own.
    PRIORITY_LEVELS: pieces of contended services are admitted and queued by level of
    priority, and refused callers get bookings; without this rule, two levels count.
    """

    COLD_ENGINES_PLACED = PROTOCOL_COLD_PLACED
    PRIORITY_LEVELS = PROTOCOL_LOAD


class BuildVersions:
    """Track the oldest version among the entries that are alive.

    `linked` holds the versions of the links to entries that are alive.
    """

    def __init__(self, *, own: int) -> None:
        self.own = own
        self.reported_by_id_: dict[EntryId, int] = {}

    def record_reported(self, entry_id: EntryId, lowest: int) -> None:
        """Record the oldest version among an entry's links, as it reports it."""
        self.reported_by_id_[entry_id] = lowest

    def forget(self, entry_id: EntryId) -> None:
        """Forget the report of an entry that lost its link or was replaced."""
        self.reported_by_id_.pop(entry_id, None)

    def lowest_linked(self, linked: Mapping[EntryId, int]) -> int:
        """Return the oldest version of this entry and its links, for heartbeats."""
        return min([self.own, *linked.values()])

    def lowest(self, linked: Mapping[EntryId, int]) -> int:
        """Return the oldest version of all entries; those without a report are old."""
        reported = [self.reported_by_id_.get(name, PROTOCOL_UNTOLD) for name in linked]
        return min([self.lowest_linked(linked), *reported])

    def shared_rules(self, linked: Mapping[EntryId, int]) -> frozenset[SharedRule]:
        """Return the rules that every entry that is alive knows."""
        lowest = self.lowest(linked)
        return frozenset(rule for rule in SharedRule if lowest >= rule.value)
