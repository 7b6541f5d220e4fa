"""Fetch responses that may be large over slow links, for as long as bytes arrive.

A timeout of the whole call abandons a response that is still arriving, and the next
call starts it again; on a link that needs longer than the timeout, this never succeeds.
So one timeout applies to the first byte, and another to each pause after it. Relies on
tornado's curl client, whose progress function can end a transfer.
"""

import asyncio
from collections.abc import Callable, Mapping
from functools import partial

import msgspec
import pycurl
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from leadford_server.web._fetch import NO_RESPONSE_STATUS, fetch

# Time without data after which curl itself ends a transfer; no transfer reaches it.
_LOW_SPEED_TIMEOUT_S = 3_600
# Values that curl's progress function returns to continue and to abort the transfer.
_CONTINUE = 0
_ABORT = 1


class FetchTimeouts(msgspec.Struct, frozen=True):
    """Hold the timeouts of a call.

    Units: seconds; until the connection is open, until the first byte, between two
    parts after it, and in total. A short `connect_timeout_s` also frees the
    handle of a call that was abandoned before its connection was open.
    """

    connect_timeout_s: float
    first_byte_timeout_s: float
    stall_timeout_s: float
    total_timeout_s: float


class FetchedResponse(msgspec.Struct, frozen=True):
    """Hold a response; if it is incomplete, `status` is 599 and `body` is what arrived.

    Units: duration_s in seconds.
    """

    status: int
    body: bytes
    duration_s: float
    headers: Mapping[str, str] = {}


class _Transfer:
    """Collect one response; end its transfer once it is abandoned."""

    def __init__(self, *, now: Callable[[], float]) -> None:
        self.now = now
        self.chunks_: list[bytes] = []
        self.last_chunk_at_: float | None = None
        self.is_abandoned_ = False

    def add_chunk(self, chunk: bytes) -> None:
        """Add a chunk of the body, and record when it arrived."""
        self.chunks_.append(chunk)
        self.last_chunk_at_ = self.now()

    def attach(self, curl: pycurl.Curl, *, opens_connection: bool) -> None:
        """Configure a curl handle to check whether the transfer was abandoned.

        Curl checks once a second. A handle keeps its settings for the next call.
        """
        curl.setopt(pycurl.FRESH_CONNECT, int(opens_connection))
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._on_progress)
        # Curl checks an idle transfer only while a speed limit is set.
        curl.setopt(pycurl.LOW_SPEED_LIMIT, 1)
        curl.setopt(pycurl.LOW_SPEED_TIME, _LOW_SPEED_TIMEOUT_S)

    def _on_progress(self, *counts: int) -> int:
        return _ABORT if self.is_abandoned_ else _CONTINUE


async def fetch_while_arriving(
    http: AsyncHTTPClient,
    request: HTTPRequest,
    timeouts: FetchTimeouts,
    *,
    opens_connection: bool = False,
) -> FetchedResponse:
    """Return the response, waiting for as long as parts of it arrive.

    Sets the timeouts of the request. With `opens_connection` it opens a new
    connection, as the pooled ones may all have stopped responding at once.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    transfer = _Transfer(now=loop.time)
    request.connect_timeout = timeouts.connect_timeout_s
    request.request_timeout = timeouts.total_timeout_s
    request.streaming_callback = transfer.add_chunk
    request.prepare_curl_callback = partial(
        transfer.attach, opens_connection=opens_connection
    )
    call = asyncio.ensure_future(fetch(http, request))
    status = NO_RESPONSE_STATUS
    headers: Mapping[str, str] = {}
    try:
        if await _wait_for_call(
            call,
            transfer,
            started_at + timeouts.first_byte_timeout_s,
            timeouts.stall_timeout_s,
        ):
            status = call.result().code
            headers = call.result().headers
    finally:
        # Also ends the transfer when this call is cancelled.
        transfer.is_abandoned_ = True
    took_s = loop.time() - started_at
    return FetchedResponse(status, b"".join(transfer.chunks_), took_s, headers)


async def _wait_for_call(
    call: asyncio.Future, transfer: _Transfer, deadline: float, stall_timeout_s: float
) -> bool:
    """Wait until a call has ended or stalled; return whether it has ended."""
    loop = asyncio.get_running_loop()
    while not call.done():
        remaining_s = deadline - loop.time()
        if remaining_s <= 0.0:
            return False
        await asyncio.wait({call}, timeout=remaining_s)
        if transfer.last_chunk_at_ is not None:
            deadline = max(deadline, transfer.last_chunk_at_ + stall_timeout_s)
    return True
