"""Make HTTP calls that return failures as responses instead of raising them."""

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
# Error numbers of curl for an open connection that the peer closed.
_CLOSED_BY_PEER = frozenset(
    {
        pycurl.E_GOT_NOTHING,
        pycurl.E_PARTIAL_FILE,
        pycurl.E_RECV_ERROR,
        pycurl.E_SEND_ERROR,
    }
)


async def fetch(http: AsyncHTTPClient, request: HTTPRequest | str) -> HTTPResponse:
    """Return the response, with status 599 if no complete one came."""
    if isinstance(request, str):
        request = HTTPRequest(request)
    try:
        # The client still raises if the connection fails or times out.
        return await http.fetch(request, raise_error=False)
    except (HTTPClientError, OSError) as error:
        return HTTPResponse(request, NO_RESPONSE_STATUS, error=error)


def is_closed_by_peer(response: HTTPResponse) -> bool:
    """Return whether the peer closed the connection during a call."""
    error = response.error
    return isinstance(error, CurlError) and error.errno in _CLOSED_BY_PEER
