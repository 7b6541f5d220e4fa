"""Answer the queries of operators, and wait until changes are in force.

Queries are answered from this entry (`_tables`) and the fleet (`_fanout`), commands are
carried out by `_changes`. `_operator_pages` serves both over HTTP.
"""

import asyncio

from returns.result import Failure

from leadford.pipelines.language import Explain, Show, Subject, Table
from leadford_server.clock import boot_time
from leadford_server.pipelines.config import ConfigFollower
from leadford_server.pipelines.entry._changes import ChangeService
from leadford_server.pipelines.entry._fanout import FanOut
from leadford_server.pipelines.entry._merging import merge_rows
from leadford_server.pipelines.entry._tables import (
    CONFIGURED_TABLES,
    audit_table,
    configured_table,
)

# How long to wait until every process runs a change, and the time between checks.
WAIT_MAX_S = 12.0
WAIT_POLL_INTERVAL_S = 0.1


class OperatorService:
    """Answer statements: queries from the fleet, commands through the store."""

    def __init__(
        self, *, follower: ConfigFollower, changes: ChangeService, fanout: FanOut
    ) -> None:
        self.follower = follower
        self.changes = changes
        self.fanout = fanout

    async def show(self, statement: Show) -> tuple[Table, str]:
        """Return the table of a query and which share of the fleet answered."""
        name = statement.subject.value
        if name in CONFIGURED_TABLES:
            return configured_table(name, self.follower), ""
        if statement.subject is Subject.AUDIT:
            return await self._audit()
        if statement.subject is Subject.HALLS:
            return await self._halls()
        argument = statement.by if statement.subject is Subject.COST else ""
        return await self._ask(name, argument)

    async def explain(self, statement: Explain) -> tuple[Table, str]:
        """Return the decisions made for a request."""
        return await self._ask("explain", statement.request_id)

    async def _ask(self, name: str, argument: str) -> tuple[Table, str]:
        found = await self.fanout.ask(name, argument)
        coverage = f"{found.answered} of {found.asked} entries answered"
        return merge_rows(name, found.answers), coverage

    async def _audit(self) -> tuple[Table, str]:
        """Return the audit records from the store, or those known here."""
        read = await self.changes.read_head()
        if not isinstance(read, Failure):
            return audit_table(read.unwrap().head), ""
        head = self.follower.tracker_.head_
        records = audit_table(head) if head is not None else Table([], [])
        return records, "the store is silent; records known to this entry only"

    async def _halls(self) -> tuple[Table, str]:
        endpoints, coverage = await self._ask("endpoints", "")
        counts: dict[str, list[int]] = {}
        for row in endpoints.rows:
            line = counts.setdefault(row[3], [0, 0, 0])
            line[0] += 1
            line[1] += row[4] == "active"
        config = self.follower.tracker_.config_
        for entry in config.entries.values() if config else ():
            counts.setdefault(entry.hall, [0, 0, 0])[2] += 1
        rows = [[hall, *line] for hall, line in sorted(counts.items())]
        return Table(["hall", "endpoints", "usable", "entries"], rows), coverage

    async def laggards(self, version: int) -> list[str]:
        """Return the processes that do not run a version yet."""
        found = await self.fanout.ask("versions")
        table = merge_rows("versions", found.answers)
        behind = [row[0] for row in table.rows if row[2] < version]
        silent = found.asked - found.answered
        return [*behind, *(["(silent entry)"] * silent)]

    async def wait_in_force(self, version: int) -> list[str]:
        """Wait until every process runs a version; return those that do not."""
        limit = boot_time() + WAIT_MAX_S
        while True:
            behind = await self.laggards(version)
            if not behind or boot_time() >= limit:
                return behind
            await asyncio.sleep(WAIT_POLL_INTERVAL_S)
