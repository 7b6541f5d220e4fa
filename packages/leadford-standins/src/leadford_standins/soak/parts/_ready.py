"""Ask each entry whether it takes new callers, as the platform does.

Writes each answer into the ledger; relies on the ready page of the entries.
"""

import asyncio

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from leadford_platform import PlatformRequests
from leadford_server.web import fetch
from leadford_standins.soak._ledger import Ledger, ReadyAnswer
from leadford_standins.soak.parts._processes import READY_PORT, EntryProcess

# Seconds between questions, and for an answer; those of the platform.
ASK_EVERY_S = 1.0
ANSWER_S = 1.0


async def watch_ready(entries: list[EntryProcess], ledger: Ledger) -> None:
    """Ask all entries again and again, until cancelled."""
    client = AsyncHTTPClient(force_instance=True, max_clients=len(entries))
    while True:
        asked = [_ask(client, entry, ledger) for entry in entries]
        await asyncio.gather(asyncio.sleep(ASK_EVERY_S), *asked)


async def _ask(client: AsyncHTTPClient, entry: EntryProcess, ledger: Ledger) -> None:
    if not entry.is_running():
        return
    loop = asyncio.get_running_loop()
    number = entry.number_
    asked_at = loop.time()
    url = f"http://{entry.ip}:{READY_PORT}{PlatformRequests().ready_path}"
    answer = await fetch(client, HTTPRequest(url, request_timeout=ANSWER_S))
    ledger.ready_answers_.append(
        ReadyAnswer(entry.name, number, asked_at, loop.time(), answer.code)
    )
