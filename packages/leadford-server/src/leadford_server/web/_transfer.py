"""Fetch answers that may be large over slow links: as long as something arrives.

A bound on the whole time of a call gives up an answer that is on its way, and the next
call begins it anew; on a link that needs longer than the bound this never ends. Here a
bound holds for the wait for the first byte, and another for each pause after it.
Relies on tornado's curl client, whose handle can be told to end a transfer.
"""

import asyncio
from collections.abc import Callable, Mapping
from functools import partial

import msgspec
import pycurl
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from leadford_server.web._fetch import NO_ANSWER, fetch

# Seconds at no speed after which curl itself would end a transfer.
_NEVER_S = 3_600
# What curl's progress function returns to go on, and to end the transfer.
_GO_ON = 0
_END = 1


class Patience(msgspec.Struct, frozen=True):
    """Say how long a call may take.

    Units: seconds; until the connection stands, until the first byte, between two
    parts after it, and in all. A short `connect_s` also frees the handle of a call
    that was given up before its connection stood.
    """

    connect_s: float
    first_s: float
    stall_s: float
    whole_s: float


class Transferred(msgspec.Struct, frozen=True):
    """Hold an answer; without a whole one `status` is 599, `body` what had come.

    Units: took_s in seconds.
    """

    status: int
    body: bytes
    took_s: float
    headers: Mapping[str, str] = {}


class _Transfer:
    """Collect one answer, and end it when nothing arrives for too long."""

    def __init__(self, *, now: Callable[[], float]) -> None:
        self.now = now
        self.chunks_: list[bytes] = []
        self.arrived_at_: float | None = None
        self.is_abandoned_ = False

    def take(self, chunk: bytes) -> None:
        """Record a part of the body."""
        self.chunks_.append(chunk)
        self.arrived_at_ = self.now()

    def attach(self, curl: pycurl.Curl, *, is_fresh: bool) -> None:
        """Set a handle of curl up, and let it ask whether the transfer goes on.

        It asks once a second. A handle keeps its settings from one call to the next.
        """
        curl.setopt(pycurl.FRESH_CONNECT, int(is_fresh))
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._on_progress)
        # Curl looks at an idle transfer only while it watches its speed; the limit
        # itself is reached by none.
        curl.setopt(pycurl.LOW_SPEED_LIMIT, 1)
        curl.setopt(pycurl.LOW_SPEED_TIME, _NEVER_S)

    def _on_progress(self, *counts: int) -> int:
        return _END if self.is_abandoned_ else _GO_ON


async def fetch_while_arriving(
    http: AsyncHTTPClient,
    request: HTTPRequest,
    patience: Patience,
    *,
    is_fresh: bool = False,
) -> Transferred:
    """Return the answer, waiting for as long as parts of it arrive.

    The timeouts of the request are set here. With `is_fresh` a connection is opened for
    it; those that are kept may have gone silent together.
    """
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    transfer = _Transfer(now=loop.time)
    request.connect_timeout = patience.connect_s
    request.request_timeout = patience.whole_s
    request.streaming_callback = transfer.take
    request.prepare_curl_callback = partial(transfer.attach, is_fresh=is_fresh)
    call = asyncio.ensure_future(fetch(http, request))
    status = NO_ANSWER
    headers: Mapping[str, str] = {}
    try:
        if await _wait(call, transfer, began_at + patience.first_s, patience.stall_s):
            status = call.result().code
            headers = call.result().headers
    finally:
        # Also when this call is cancelled.
        transfer.is_abandoned_ = True
    took_s = loop.time() - began_at
    return Transferred(status, b"".join(transfer.chunks_), took_s, headers)


async def _wait(
    call: asyncio.Future, transfer: _Transfer, due_at: float, stall_s: float
) -> bool:
    """Wait until a call has ended, or has stalled; return whether it has ended."""
    loop = asyncio.get_running_loop()
    while not call.done():
        left_s = due_at - loop.time()
        if left_s <= 0.0:
            return False
        await asyncio.wait({call}, timeout=left_s)
        if transfer.arrived_at_ is not None:
            due_at = max(due_at, transfer.arrived_at_ + stall_s)
    return True
