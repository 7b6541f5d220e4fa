"""Check the readiness of each entry at intervals, as the platform does.

Records each answer in the ledger; relies on the readiness path of the entries.
"""

import asyncio

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from leadford_platform import PlatformRequests
from leadford_server.web import fetch
from leadford_standins.soak._ledger import Ledger, ReadyAnswer
from leadford_standins.soak.parts._processes import READY_PORT, EntryProcess

# Interval and timeout of readiness checks, as on the platform.
CHECK_INTERVAL_S = 1.0
CHECK_TIMEOUT_S = 1.0


async def watch_ready(entries: list[EntryProcess], ledger: Ledger) -> None:
    """Check all entries at intervals until cancelled."""
    client = AsyncHTTPClient(force_instance=True, max_clients=len(entries))
    while True:
        readiness_checks = [
            _check_readiness(client, entry, ledger) for entry in entries
        ]
        await asyncio.gather(asyncio.sleep(CHECK_INTERVAL_S), *readiness_checks)


async def _check_readiness(
    client: AsyncHTTPClient, entry: EntryProcess, ledger: Ledger
) -> None:
    if not entry.is_running():
        return
    loop = asyncio.get_running_loop()
    number = entry.start_count_
    asked_at = loop.time()
    url = f"http://{entry.ip}:{READY_PORT}{PlatformRequests().ready_path}"
    answer = await fetch(client, HTTPRequest(url, request_timeout=CHECK_TIMEOUT_S))
    ledger.ready_answers_.append(
        ReadyAnswer(entry.name, number, asked_at, loop.time(), answer.code)
    )
