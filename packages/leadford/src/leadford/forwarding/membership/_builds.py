"""Decide by which rules entries of two builds work together.

While a fleet is upgraded, entries of the last build and of this one run side by side.
What they tell each other, `leadford.protocol` keeps readable. What all of them agree on
without a message, such as who chooses the engine of a prompt, holds only where all
decide alike. So each change of such a rule is named here, with the version of the
protocol from which a build knows it, and the rule of the oldest build that lives is
followed by all: the new one begins once the last old entry is gone, and ends when one
comes back, as in an upgrade that is taken back.

The version of an entry that one is linked to is known from the link. Every entry is
linked to the first candidates of each group, and says in its heartbeats which is the
oldest version among its own links. So each version is known over two links, with no
record in the store that a killed entry would leave behind.
"""

from collections.abc import Mapping
from enum import Enum

from leadford.common import EntryId
from leadford.protocol import PROTOCOL_COLD_PLACED, PROTOCOL_UNTOLD


class SharedRule(Enum):
    """Name a rule that all entries follow together, by the version that brought it.

    COLD_ENGINES_PLACED: one entry chooses the engines of all prompts at services whose
    endpoints may be cold, too; before it, each entry chose them by itself.
    """

    COLD_ENGINES_PLACED = PROTOCOL_COLD_PLACED


class BuildVersions:
    """Know the oldest version among the entries that live.

    `linked` are the versions of the links to entries that live.
    """

    def __init__(self, *, own: int) -> None:
        self.own = own
        self.reported_by_id_: dict[EntryId, int] = {}

    def record_told(self, entry_id: EntryId, lowest: int) -> None:
        """Record the oldest version that an entry is linked to."""
        self.reported_by_id_[entry_id] = lowest

    def forget(self, entry_id: EntryId) -> None:
        """Forget what an entry told: its link ended, or another process is there."""
        self.reported_by_id_.pop(entry_id, None)

    def lowest_linked(self, linked: Mapping[EntryId, int]) -> int:
        """Return the oldest version of this entry and those linked, for heartbeats."""
        return min([self.own, *linked.values()])

    def lowest(self, linked: Mapping[EntryId, int]) -> int:
        """Return the oldest version of all entries; who told none counts as old."""
        reported = [self.reported_by_id_.get(name, PROTOCOL_UNTOLD) for name in linked]
        return min([self.lowest_linked(linked), *reported])

    def shared_rules(self, linked: Mapping[EntryId, int]) -> frozenset[SharedRule]:
        """Return the rules that every entry that lives knows."""
        lowest = self.lowest(linked)
        return frozenset(rule for rule in SharedRule if lowest >= rule.value)
