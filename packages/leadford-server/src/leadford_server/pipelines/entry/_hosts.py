"""Poll the platform's host list, which lags behind the hosts.

What the list means is decided in `leadford.pipelines.membership`.
"""

import asyncio
from random import Random

from tornado.httpclient import AsyncHTTPClient

from leadford.common import HostId, parse_json
from leadford.events import Event
from leadford.pipelines.membership import HostState, HostTable
from leadford_server.logs import EventLog
from leadford_server.web import fetch

# Names of hosts in a log line are cut to this length.
NAMES_LOGGED_MAX_CHARS = 300
# Interval between polls of the host list.
POLL_INTERVAL_S = 2.0


class HostPoller:
    """Poll the host list; while it does not answer, the last one remains in force."""

    def __init__(
        self,
        *,
        url: str,
        hosts: HostTable,
        http: AsyncHTTPClient,
        random: Random,
        log: EventLog,
    ) -> None:
        self.url = url
        self.hosts = hosts
        self.http = http
        self.random = random
        self.log = log
        self.task_: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to poll."""
        if self.url:
            self.task_ = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop polling."""
        if self.task_ is not None:
            self.task_.cancel()

    async def _run(self) -> None:
        while True:
            response = await fetch(self.http, f"{self.url}/hosts")
            if response.code == 200:
                self._take(response.body)
            await asyncio.sleep(POLL_INTERVAL_S * self.random.uniform(0.75, 1.25))

    def _take(self, body: bytes) -> None:
        """Record the list; a host whose state cannot be read keeps the last one."""
        listed = _parse(body)
        if not isinstance(listed, dict):
            self.log.report(Event.RECORD_UNREADABLE, record="hosts", error="no list")
            return
        states_by_host: dict[HostId, HostState] = {}
        unreadable: list[str] = []
        for host, text in listed.items():
            state = _state(text) or self.hosts.listed_by_host_.get(HostId(host))
            if state is not None:
                states_by_host[HostId(host)] = state
            if _state(text) is None:
                unreadable.append(host)
        if unreadable:
            names = ",".join(unreadable)[:NAMES_LOGGED_MAX_CHARS]
            self.log.report(
                Event.RECORD_UNREADABLE, record=names, error="state of a host"
            )
        self.hosts.record_list(states_by_host)


def _parse(body: bytes) -> object:
    """Return parsed JSON, None if it is not JSON."""
    try:
        return parse_json(body)
    except ValueError:
        return None


def _state(value: object) -> HostState | None:
    """Return the state of a host, None if it is not known here."""
    known = [state for state in HostState if state.value == value]
    return known[0] if known else None
