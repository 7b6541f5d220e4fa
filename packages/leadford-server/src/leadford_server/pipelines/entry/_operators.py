"""Serve operators over HTTP: statements and whole configurations.

Queries are answered from this entry (`_tables`) and the fleet (`_fanout`), commands are
made by `_changes`. A change is answered once every process runs it, or with the names
of those that do not.
"""

import asyncio
import hashlib
from typing import Any

import msgspec
from returns.result import Failure
from tornado import web

from leadford.pipelines.config import ConfigHead, config_from_document
from leadford.pipelines.language import (
    Explain,
    Show,
    Subject,
    Table,
    filter_table,
    parse,
)
from leadford_server.clock import boot_time
from leadford_server.pipelines.config import ConfigFollower
from leadford_server.pipelines.entry._changes import (
    Accepted,
    ChangeRefusal,
    ChangeService,
    Origin,
    plan_from_command,
    plan_from_config,
)
from leadford_server.pipelines.entry._fanout import FanOut
from leadford_server.pipelines.entry._merging import merge_rows
from leadford_server.pipelines.entry._tables import (
    CONFIGURED_TABLES,
    audit_table,
    configured_table,
)

# Seconds for which a change is awaited in every process, and between looks.
WAIT_MAX_S = 12.0
WAIT_POLL_INTERVAL_S = 0.1


class StatementCall(msgspec.Struct):
    """Hold a statement that an operator sends.

    Units: if_version 0 stands for any version.
    """

    statement: str
    command_id: str = ""
    if_version: int = 0
    wait: bool = False


class ConfigCall(msgspec.Struct):
    """Hold a whole configuration that an operator sends."""

    document: dict[str, Any]
    command_id: str = ""
    if_version: int = 0
    wait: bool = False


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


class _OperatorHandler(web.RequestHandler):
    """Authenticate operators and answer errors."""

    def initialize(self, service: OperatorService) -> None:
        self.service = service

    def operator(self) -> str | None:
        """Return the name that goes with the token, or answer 401."""
        scheme, _, token = self.request.headers.get("Authorization", "").partition(" ")
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        config = self.service.follower.tracker_.config_
        operators = config.operators if config is not None else {}
        for name, operator in operators.items():
            if scheme.lower() == "bearer" and operator.token_hash == digest:
                self.may_change = operator.can_change
                return name
        self.refuse(401, "unknown operator token")
        return None

    def refuse(self, status: int, detail: str, **more: object) -> None:
        """Answer with a problem document."""
        self.set_status(status, "Refused")
        self.set_header("Content-Type", "application/problem+json")
        kind = "urn:leadford:problem:operator"
        document = {"type": kind, "title": "Refused", "status": status}
        self.finish({**document, "detail": detail, **more})

    def read(self, kind: type) -> Any:
        """Return the call in the body, or answer 400."""
        try:
            return msgspec.json.decode(self.request.body, type=kind)
        except msgspec.MsgspecError as error:
            self.refuse(400, f"malformed call: {error}")
            return None

    async def answer_change(self, changed: Any, command_id: str, wait: bool) -> None:
        """Answer what became of a change."""
        if isinstance(changed, Failure):
            refusal: ChangeRefusal = changed.failure()
            self.refuse(refusal.status, refusal.message, command_id=command_id)
            return
        accepted: Accepted = changed.unwrap()
        behind: list[str] = []
        if wait:
            behind = await self.service.wait_in_force(accepted.version)
        self.finish(
            {
                "version": accepted.version,
                "repeated": accepted.repeated,
                "command_id": command_id,
                "waited": wait,
                "behind": behind,
            }
        )

    def fresh_command_id(self) -> str:
        """Return a command id for a caller that gave none."""
        return f"c{self.service.fanout.random.getrandbits(64):016x}"


class StatementsHandler(_OperatorHandler):
    """Answer statements of the language."""

    async def post(self) -> None:
        """Parse and run a statement."""
        operator = self.operator()
        call = self.read(StatementCall) if operator is not None else None
        if call is None:
            return
        parsed = parse(call.statement)
        if isinstance(parsed, Failure):
            fault = parsed.failure()
            self.refuse(
                400, str(fault), column=fault.column, expected=list(fault.expected)
            )
            return
        statement = parsed.unwrap()
        if isinstance(statement, Show | Explain):
            await self._query(statement)
            return
        if not self.may_change:
            self.refuse(403, f"operator {operator!r} may not change anything")
            return
        command_id = call.command_id or self.fresh_command_id()
        origin = Origin(operator, command_id, call.statement, call.if_version)
        plan = plan_from_command(statement, origin)
        changed = await self.service.changes.change(plan, origin)
        await self.answer_change(changed, command_id, call.wait)

    async def _query(self, statement: Show | Explain) -> None:
        if isinstance(statement, Explain):
            table, coverage = await self.service.explain(statement)
            if not table.rows:
                self.refuse(404, f"no entry remembers request {statement.request_id}")
                return
            self._answer_table(table, coverage)
            return
        table, coverage = await self.service.show(statement)
        filtered = filter_table(table, statement.conditions, statement.limit)
        if isinstance(filtered, Failure):
            self.refuse(400, filtered.failure())
            return
        self._answer_table(filtered.unwrap(), coverage)

    def _answer_table(self, table: Table, coverage: str) -> None:
        self.finish(
            {
                "columns": table.columns,
                "rows": table.rows,
                "coverage": coverage,
                "version": self.service.follower.version,
            }
        )


class ConfigHandler(_OperatorHandler):
    """Take whole configurations, and show which version is in force."""

    def get(self) -> None:
        """Answer with the version in force."""
        if self.operator() is None:
            return
        head: ConfigHead | None = self.service.follower.tracker_.head_
        self.finish({"version": head.version if head is not None else 0})

    async def post(self) -> None:
        """Check a configuration whole and put it in force."""
        operator = self.operator()
        call = self.read(ConfigCall) if operator is not None else None
        if call is None:
            return
        if not self.may_change:
            self.refuse(403, f"operator {operator!r} may not change anything")
            return
        checked = config_from_document(call.document)
        if isinstance(checked, Failure):
            faults = [str(fault) for fault in checked.failure()]
            self.refuse(422, f"{len(faults)} faults", faults=faults)
            return
        command_id = call.command_id or self.fresh_command_id()
        origin = Origin(operator, command_id, "apply", call.if_version)
        plan = plan_from_config(checked.unwrap(), origin)
        changed = await self.service.changes.change(plan, origin)
        await self.answer_change(changed, command_id, call.wait)
