"""Repeat calls to a server without giving up those that got no answer in time.

A server that answers every call, only later than its timeout, never answers a caller
that gives each call up and begins anew. A silent server never answers an open call, not
even once it is back. So a repeated call begins at the same moment in both cases, and
the earlier ones stay open beside it.
"""

import asyncio

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from leadford_server.web._transfer import (
    FetchedResponse,
    FetchTimeouts,
    OpenFetch,
    open_fetch,
    wait_while_arriving,
)

# Calls that are kept open in all. Four kinds that are each read every two seconds fill
# it in the time after which a call ends by itself.
MAX_OPEN_CALLS = 40
# The server refuses a call for now by these statuses, and another one may be served.
STATUS_TOO_MANY = 429
MIN_REFUSAL_STATUS = 500
# Age of a call after which its answer is no longer taken.
MAX_ANSWER_AGE_S = 30.0


class RepeatedResponse(msgspec.Struct, frozen=True):
    """Hold a response, and how long before the latest call the answered one began.

    Units: late_s in seconds.
    """

    response: FetchedResponse
    late_s: float = 0.0


class OpenCalls:
    """Hold the calls that got no answer in time, by what they ask for.

    Only calls whose answer may be older than the call that takes it belong here.
    """

    def __init__(self, *, http: AsyncHTTPClient) -> None:
        self.http = http
        self.open_by_key_: dict[tuple[str, str], list[OpenFetch]] = {}

    async def fetch(
        self,
        request: HTTPRequest,
        timeouts: FetchTimeouts,
        *,
        opens_connection: bool = False,
    ) -> RepeatedResponse:
        """Return the first success of this call and the open ones that ask the same.

        Without one in time, return how this call ended; it stays open if it has not.
        Any other answer than a refusal ends all calls that ask the same.
        """
        key = (request.method, request.url)
        began_at = asyncio.get_running_loop().time()
        earlier = self.open_by_key_.pop(key, [])
        fetches = [each for each in earlier if _may_be_taken(each, began_at)]
        if not any(fetch.has_succeeded for fetch in fetches):
            fetches.append(
                open_fetch(
                    self.http, request, timeouts, opens_connection=opens_connection
                )
            )
            await self._wait(fetches, timeouts)
        for fetch in fetches:
            if fetch.has_succeeded:
                _abandon(fetches)
                return RepeatedResponse(fetch.response(), began_at - fetch.began_at)
        last = fetches[-1]
        response = last.response()
        if _is_final(response.status):
            _abandon(fetches)
            return RepeatedResponse(response)
        self.open_by_key_[key] = fetches
        self._drop_ended(began_at)
        if self._open_count > MAX_OPEN_CALLS:
            # A server that is slow for all calls answers the earliest one first.
            last.abandon()
            self.open_by_key_[key].remove(last)
        return RepeatedResponse(response)

    async def _wait(self, fetches: list[OpenFetch], timeouts: FetchTimeouts) -> None:
        """Wait for calls; abandon them if the caller is cancelled."""
        is_finished = False
        try:
            await wait_while_arriving(fetches, timeouts)
            is_finished = True
        finally:
            if not is_finished:
                _abandon(fetches)

    def _drop_ended(self, now: float) -> None:
        """Forget calls that failed, and answers that are too old."""
        for key, fetches in list(self.open_by_key_.items()):
            kept = [each for each in fetches if _may_be_taken(each, now)]
            self.open_by_key_[key] = kept
            if not kept:
                del self.open_by_key_[key]

    @property
    def _open_count(self) -> int:
        found = [fetch for each in self.open_by_key_.values() for fetch in each]
        return sum(not fetch.call.done() for fetch in found)


def _is_final(status: int) -> bool:
    """Return whether a status answers the question, be it with a failure."""
    return status < MIN_REFUSAL_STATUS and status != STATUS_TOO_MANY


def _may_be_taken(fetch: OpenFetch, now: float) -> bool:
    """Return whether a call may still be answered, or has an answer to be taken."""
    if not fetch.call.done():
        return True
    return fetch.has_succeeded and now - fetch.began_at < MAX_ANSWER_AGE_S


def _abandon(fetches: list[OpenFetch]) -> None:
    """End the transfers of calls."""
    for fetch in fetches:
        fetch.abandon()
