"""Make HTTP calls that return failures as responses instead of raising them.

Curl takes what it has for a whole response if the peer closes the connection inside the
head: without the end of the head it knows of no body. Such a call has no response here.
"""

from collections.abc import Callable

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

# Status that tornado's client sets where no response came; it is never sent.
NO_RESPONSE_STATUS = 599
# The statuses of the protocol.
_STATUSES = range(100, 600)
# Error numbers of curl for an open connection that the peer closed.
_CLOSED_BY_PEER = frozenset(
    {
        pycurl.E_GOT_NOTHING,
        pycurl.E_PARTIAL_FILE,
        pycurl.E_RECV_ERROR,
        pycurl.E_SEND_ERROR,
    }
)


class _ResponseHead:
    """Follow the lines of a response's head, which ends with an empty line.

    `on_line` is called with each line, if given.
    """

    def __init__(self, *, on_line: Callable[[str], None] | None) -> None:
        self.on_line = on_line
        # Whether the head has begun and not ended.
        self.is_open_ = False

    def add_line(self, line: str) -> None:
        """Add a line; a first one follows the head of an interim response too."""
        if line.startswith("HTTP/"):
            self.is_open_ = True
        if not line.strip("\r\n"):
            self.is_open_ = False
        if self.on_line is not None:
            self.on_line(line)


async def fetch(http: AsyncHTTPClient, request: HTTPRequest | str) -> HTTPResponse:
    """Return the response, with status 599 if no complete and valid one came."""
    if isinstance(request, str):
        request = HTTPRequest(request)
    head = _ResponseHead(on_line=request.header_callback)
    request.header_callback = head.add_line
    try:
        # The client still raises if the connection fails or times out.
        response = await http.fetch(request, raise_error=False)
    except (HTTPClientError, OSError) as error:
        return HTTPResponse(request, NO_RESPONSE_STATUS, error=error)
    if response.code not in _STATUSES:
        error = HTTPClientError(NO_RESPONSE_STATUS, f"status {response.code}")
        return HTTPResponse(request, NO_RESPONSE_STATUS, error=error)
    if not head.is_open_ or response.code == NO_RESPONSE_STATUS:
        return response
    error = CurlError(pycurl.E_PARTIAL_FILE, "the response ended inside its head")
    return HTTPResponse(request, NO_RESPONSE_STATUS, error=error)


def is_closed_by_peer(response: HTTPResponse) -> bool:
    """Return whether the peer closed the connection during a call."""
    error = response.error
    return isinstance(error, CurlError) and error.errno in _CLOSED_BY_PEER
