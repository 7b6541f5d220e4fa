"""Serve operators over HTTP: statements and whole configurations.

A change is answered once every process runs it, or with the names of those that do not.
"""

import hashlib
from typing import Any

import msgspec
from returns.result import Failure
from tornado import web

from leadford.common import decode_json
from leadford.pipelines.config import ConfigHead, config_from_document
from leadford.pipelines.language import Explain, Show, Table, filter_table, parse
from leadford_server.pipelines.entry._changes import (
    Accepted,
    ChangeRefusal,
    Origin,
    plan_from_command,
    plan_from_config,
)
from leadford_server.pipelines.entry._operators import OperatorService


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
        read = decode_json(self.request.body, kind)
        if isinstance(read, Failure):
            self.refuse(400, f"malformed call: {read.failure()}")
            return None
        return read.unwrap()

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
