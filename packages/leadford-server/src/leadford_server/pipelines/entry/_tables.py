"""Build the rows that this entry has for each table of the language.

The rows of other processes come by `_fanout`, and `_merging` joins them.
"""

from leadford.common import RequestId
from leadford.pipelines.config import ConfigHead, FleetConfig
from leadford.pipelines.costs import CostLine, StageCost
from leadford.pipelines.language import Table
from leadford_server.pipelines.config import ConfigFollower
from leadford_server.pipelines.entry._merging import COLUMNS_BY_TABLE
from leadford_server.pipelines.entry._requests import RequestTable
from leadford_server.pipelines.entry._run import RequestRun
from leadford_server.pipelines.entry._services import EntryServices

CONFIGURED_TABLES = ("workspaces", "pipelines", "pools", "models")


def configured_table(name: str, follower: ConfigFollower) -> Table:
    """Return a table that every process reads from the configuration."""
    config = follower.tracker_.config_ or FleetConfig()
    rows: list[list] = []
    if name == "workspaces":
        for key, part in config.workspaces.items():
            keys = len(part.key_hashes)
            rows.append([key, part.share, part.minimum, part.priority_offset, keys])
    elif name == "pipelines":
        for key, part in config.pipelines.items():
            stages = " > ".join(stage.name for stage in part.stages)
            rows.append([key, stages, part.priority, part.deadline_ms, part.paused])
    elif name == "pools":
        for key, part in config.pools.items():
            count = sum(e.pool == key for e in config.endpoints.values())
            kind = part.kind.value
            rows.append([key, kind, count, part.concurrency, part.queue_limit])
    elif name == "models":
        for key, part in config.models.items():
            pinned = " ".join(part.pinned)
            rows.append([key, part.pool, part.version, part.copies, pinned])
    return Table(COLUMNS_BY_TABLE[name], rows)


def audit_table(head: ConfigHead) -> Table:
    """Return the audit records in a head, the newest first."""
    rows: list[list] = []
    for r in reversed(head.audit):
        rows.append([r.version, r.from_version, r.at_s, r.operator, r.command])
    return Table(COLUMNS_BY_TABLE["audit"], rows)


class LocalTables:
    """Answer queries from what this entry knows."""

    def __init__(
        self,
        *,
        services: EntryServices,
        requests: RequestTable,
        follower: ConfigFollower,
    ) -> None:
        self.services = services
        self.requests = requests
        self.follower = follower

    def rows(self, name: str, argument: str) -> list[list]:
        """Return the local rows of a table that is spread over the fleet."""
        builders = {
            "requests": self._requests,
            "endpoints": self._endpoints,
            "entries": self._entries,
            "versions": self._versions,
            "events": self._events,
            "cost": lambda: self._cost(argument),
            "explain": lambda: self._explain(argument),
        }
        builder = builders.get(name)
        return builder() if builder is not None else []

    def _requests(self) -> list[list]:
        now = self.services.clock()
        return [
            self._request_row(run, now) for run in self.requests.runs_by_id_.values()
        ]

    def _request_row(self, run: RequestRun, now: float) -> list:
        execution = run.execution
        attempts = list(execution.live_by_number_.values())
        state = "streaming" if execution.delivered_ else "sent"
        if not attempts:
            state = "between"
        return [
            run.request_id,
            self.services.entry_id,
            execution.pipeline_id,
            execution.workspace,
            state,
            execution.stage.name if not execution.is_finished else "",
            " ".join(attempt.endpoint_id for attempt in attempts),
            round((now - run.started_at_) * 1000.0),
            round((execution.deadline_at - now) * 1000.0),
            execution.attempts_made_,
        ]

    def _endpoints(self) -> list[list]:
        rows: list[list] = []
        directory = self.services.directory
        for endpoint_id, link in directory.links_by_id_.items():
            report = link.view.report_
            peer = link.peer
            rows.append(
                [
                    endpoint_id,
                    link.config.pool,
                    link.config.host,
                    link.config.hall,
                    directory.state_text(link),
                    report.queued,
                    report.running,
                    report.service_ms,
                    report.token_ms,
                    peer.peer_config_version_ if peer is not None else 0,
                ]
            )
        return rows

    def _entries(self) -> list[list]:
        live = len(self.requests.runs_by_id_)
        config = self.follower.tracker_.config_
        entry = config.entries.get(self.services.entry_id) if config else None
        host = entry.host if entry is not None else ""
        entry_id = self.services.entry_id
        return [[entry_id, host, self.services.hall, self.follower.version, live]]

    def _versions(self) -> list[list]:
        unread = self.follower.tracker_.unread_version_
        own = [
            self.services.entry_id,
            self.services.hall,
            self.follower.version,
            unread,
        ]
        rows = [own]
        for endpoint_id, link in self.services.directory.links_by_id_.items():
            if link.peer is None:
                continue
            version = link.peer.peer_config_version_
            rows.append([endpoint_id, link.config.hall, version, 0])
        return rows

    def _events(self) -> list[list]:
        log = self.services.log
        rows: list[list] = []
        for record in log.journal_.records_:
            fields = " ".join(f"{k}={v}" for k, v in record.fields.items())
            event = record.event
            name = event.name.lower()
            at_s = round(record.at_s, 3)
            rows.append([at_s, log.process_id, event.number, name, fields])
        return rows

    def _cost(self, by: str) -> list[list]:
        account = self.services.costs_
        totals = {
            "stage": account.totals_by_stage,
            "pipeline": account.totals_by_pipeline,
            "workspace": account.totals_by_workspace,
        }[by]()
        return [_cost_row(name, line) for name, line in totals.items()]

    def _explain(self, request_id: str) -> list[list]:
        trail = self.requests.trail(RequestId(request_id))
        entry_id = self.services.entry_id
        return [[entry_id, step.at_ms, step.text] for step in trail]


def _cost_row(name: str, line: CostLine) -> list:
    uses = line.service_ms_by_use_
    return [
        name,
        line.attempts_,
        line.completed_,
        round(uses[StageCost.USEFUL], 1),
        round(uses[StageCost.RETRIED], 1),
        round(uses[StageCost.WASTED], 1),
    ]
