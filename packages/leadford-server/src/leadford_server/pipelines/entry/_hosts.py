"""Poll the platform's host list, which lags behind the hosts.

What the list means is decided in `leadford.pipelines.membership`.
"""

import asyncio
from random import Random

import msgspec
from tornado.httpclient import AsyncHTTPClient

from leadford.common import HostId
from leadford.pipelines.membership import HostState, HostTable
from leadford_server.web import fetch

# Interval between polls of the host list.
POLL_INTERVAL_S = 2.0


class HostPoller:
    """Poll the host list; while it does not answer, the last one remains in force."""

    def __init__(
        self, *, url: str, hosts: HostTable, http: AsyncHTTPClient, random: Random
    ) -> None:
        self.url = url
        self.hosts = hosts
        self.http = http
        self.random = random
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
        try:
            listed = msgspec.json.decode(body, type=dict[str, HostState])
        except msgspec.MsgspecError:
            return
        self.hosts.record_list({HostId(host): state for host, state in listed.items()})
