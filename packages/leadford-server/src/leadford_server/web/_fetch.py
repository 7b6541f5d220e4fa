"""Make HTTP calls whose failures are answers, not exceptions."""

from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

# The status that tornado's client gives where no answer came; never on the wire.
NO_ANSWER = 599


async def fetch(http: AsyncHTTPClient, request: HTTPRequest | str) -> HTTPResponse:
    """Return the answer, with status 599 when none came whole."""
    if isinstance(request, str):
        request = HTTPRequest(request)
    try:
        # The client still raises for a connection that failed or timed out.
        return await http.fetch(request, raise_error=False)
    except (HTTPClientError, OSError) as error:
        return HTTPResponse(request, NO_ANSWER, error=error)
