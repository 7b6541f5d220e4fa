"""Make HTTP calls whose failures are answers, not exceptions."""

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

# The status that tornado's client gives where no answer came; never on the wire.
NO_ANSWER = 599
# What the client says of a connection that stood and that its peer closed.
_CLOSED_BY_PEER = frozenset(
    {
        pycurl.E_GOT_NOTHING,
        pycurl.E_PARTIAL_FILE,
        pycurl.E_RECV_ERROR,
        pycurl.E_SEND_ERROR,
    }
)


async def fetch(http: AsyncHTTPClient, request: HTTPRequest | str) -> HTTPResponse:
    """Return the answer, with status 599 when none came whole."""
    if isinstance(request, str):
        request = HTTPRequest(request)
    try:
        # The client still raises for a connection that failed or timed out.
        return await http.fetch(request, raise_error=False)
    except (HTTPClientError, OSError) as error:
        return HTTPResponse(request, NO_ANSWER, error=error)


def was_closed(response: HTTPResponse) -> bool:
    """Tell whether the peer closed the connection under a call."""
    error = response.error
    return isinstance(error, CurlError) and error.errno in _CLOSED_BY_PEER
